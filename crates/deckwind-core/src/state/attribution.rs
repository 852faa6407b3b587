//! Evidence that a trait of requests crashes targets. `culprits` chooses the traits that explain
//! the crashes.
//!
//! ```text
//!  crash 1: runs {c1 a x}, {c2 b}          x is at each crash, and is quarantined
//!  crash 2: runs {c3 a x}                  a is too, but x is narrower and explains them
//!  crash 3: runs {c4 a x}, {c5 a}          c1 to c5, b: one crash each
//! ```
//!
//! This is group testing with one strong helper: a request that was served clears all of its
//! traits, so what many requests share stays a suspect for a moment only. That it was cleared
//! is remembered: the same crashes speak more against a trait that never was.

use super::content::ContentDigest;
use super::incarnations::Incarnation;
use super::quarantine::{MAX_ENDS, QUARANTINE_THRESHOLD};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of runs recorded per crash and trait. More make a trait no less specific.
const MAX_RUNS_PER_CRASH: usize = 8;

/// Identifies a run at a crash by the content of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey(u64);

impl From<ContentDigest> for RunKey {
    fn from(content: ContentDigest) -> Self {
        Self(content.low_bits())
    }
}

/// Longest time that poison requests were seen to run until they crash their targets, with a
/// margin.
const MAX_CRASH_TIME: Duration = Duration::from_millis(125);

/// How far a run had come when its target crashed, from the most likely cause to the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RunProgress {
    /// No event had come.
    NoEvent,
    /// It had written for no longer than poison requests take to crash a target.
    Begun,
    /// It had written for longer.
    InFlow,
}

impl RunProgress {
    /// Returns the progress of a run with this time from its first event to its last one, if
    /// there was any.
    pub fn of(wrote: Option<Duration>) -> Self {
        match wrote {
            None => Self::NoEvent,
            Some(wrote) if wrote <= MAX_CRASH_TIME => Self::Begun,
            Some(_) => Self::InFlow,
        }
    }
}

/// A crash of a target while runs with a trait had just begun there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    life: Incarnation,
    /// The runs with the trait, sorted.
    runs: Vec<RunKey>,
    /// How far the one of them had come that had come least far.
    progress: RunProgress,
    /// When it was recorded, by the clock of the record, milliseconds.
    at_ms: u64,
}

impl Crash {
    /// Returns the crash of an incarnation that had just begun this run, as recorded at
    /// `at_ms`.
    pub fn new(life: Incarnation, run: RunKey, progress: RunProgress, at_ms: u64) -> Self {
        Self {
            life,
            runs: vec![run],
            progress,
            at_ms,
        }
    }

    /// Returns when the crash was recorded, milliseconds.
    pub(super) fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// Returns the incarnation that crashed.
    pub fn life(&self) -> &Incarnation {
        &self.life
    }

    /// Returns the runs with the trait, sorted.
    pub(super) fn runs(&self) -> &[RunKey] {
        &self.runs
    }

    /// Returns how far the run had come that had come least far.
    pub(super) fn progress(&self) -> RunProgress {
        self.progress
    }

    /// Returns whether all runs of the other crash are known here, as far as runs are recorded.
    fn contains_runs(&self, other: &Self) -> bool {
        let is_known = |run: &RunKey| self.runs.binary_search(run).is_ok();
        self.runs.len() == MAX_RUNS_PER_CRASH || other.runs.iter().all(is_known)
    }

    /// Adds the runs of the other report of this crash.
    fn merge(&mut self, other: &Self) {
        self.progress = self.progress.min(other.progress);
        for run in &other.runs {
            if let Err(at) = self.runs.binary_search(run)
                && self.runs.len() < MAX_RUNS_PER_CRASH
            {
                self.runs.insert(at, *run);
            }
        }
    }
}

/// Crashes of targets that had just begun to run requests with one trait.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    crashes: Vec<Crash>,
    /// Whether a request with the trait was served before these crashes.
    was_served: bool,
}

/// Strength of the evidence against a trait, in the order in which it weighs: whether it was
/// never served, whether it is likely to be at fault by itself, the number of crashes, few
/// runs, and few runs that had produced an event.
pub(super) type Evidence = (bool, bool, usize, Reverse<usize>, Reverse<usize>);

impl Suspect {
    /// Records a crash, in place of the oldest one if there are too many. Returns whether it
    /// is a new one: an incarnation counts once.
    pub fn record(&mut self, crash: Crash) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|c| c.life == crash.life) {
            known.merge(&crash);
            return false;
        }
        if self.is_full() {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Forgets the crashes, since a request with the trait was served.
    pub fn clear(&mut self) {
        self.crashes.clear();
        self.was_served = true;
    }

    /// Returns whether the trait was served and has had no crash since.
    pub(super) fn is_cleared(&self) -> bool {
        self.was_served && self.crashes.is_empty()
    }

    /// Returns whether recording a crash would change nothing.
    pub(super) fn contains(&self, crash: &Crash) -> bool {
        let known = self.crash_of(&crash.life);
        known.is_some_and(|known| known.contains_runs(crash) && known.progress <= crash.progress)
    }

    /// Returns whether earlier crashes may have been forgotten.
    fn is_full(&self) -> bool {
        self.crashes.len() >= MAX_ENDS
    }

    /// Returns the crashes, in the order in which they became known.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns whether the number of crashes reaches the quarantine threshold.
    pub fn reaches_threshold(&self) -> bool {
        self.crashes.len() >= QUARANTINE_THRESHOLD
    }

    /// Returns whether each crash is also one of the other trait.
    pub fn has_crashes_within(&self, other: &Self) -> bool {
        self.crashes
            .iter()
            .all(|c| other.crash_of(&c.life).is_some())
    }

    /// Returns the strength of the evidence. A bystander is a stream that moves from one
    /// crashed target to the next. It is one request, and has produced events at times. A
    /// poison request crashes its targets as they begin to run it, so no event of it ever
    /// comes; or the crashes are those of several requests with the trait.
    pub(super) fn evidence(&self) -> Evidence {
        let all_runs = self.crashes.iter().flat_map(|c| &c.runs);
        let requests: BTreeSet<&RunKey> = all_runs.clone().collect();
        let has_event = |c: &&Crash| c.progress != RunProgress::NoEvent;
        let begun = self.crashes.iter().filter(has_event).count();
        let is_likely = begun == 0 || requests.len() >= QUARANTINE_THRESHOLD;
        (
            !self.was_served,
            is_likely,
            self.crashes.len(),
            Reverse(all_runs.count()),
            Reverse(begun),
        )
    }

    pub(super) fn all_runs(&self) -> impl Iterator<Item = (&Incarnation, RunKey)> + Clone {
        self.crashes
            .iter()
            .flat_map(|c| c.runs.iter().map(|run| (&c.life, *run)))
    }

    fn crash_of(&self, life: &Incarnation) -> Option<&Crash> {
        self.crashes.iter().find(|c| c.life == *life)
    }

    /// Returns whether both traits were at the same crashes, and each time in the same runs.
    pub(super) fn is_inseparable_from(&self, other: &Self) -> bool {
        let is_same = |c: &Crash| other.crash_of(&c.life).is_some_and(|o| o.runs == c.runs);
        self.crashes.len() == other.crashes.len() && self.crashes.iter().all(is_same)
    }

    /// Returns whether each run with this trait also has the other one, and not the other way
    /// round. One that was served explains nothing for one that never was.
    pub(super) fn is_narrower_than(&self, other: &Self) -> bool {
        let is_within = |c: &Crash| match other.crash_of(&c.life) {
            Some(other) => other.contains_runs(c),
            None => other.is_full(),
        };
        (!self.was_served || other.was_served)
            && self.crashes.iter().all(is_within)
            && !self.is_inseparable_from(other)
    }

    /// Returns whether narrower traits explain the crashes, but for fewer than would be needed
    /// to quarantine this one.
    pub(super) fn is_explained_by(&self, narrower: &[&Suspect]) -> bool {
        let is_explained = |c: &&Crash| narrower.iter().any(|n| n.crash_of(&c.life).is_some());
        let explained = self.crashes.iter().filter(is_explained).count();
        self.crashes.len() - explained < QUARANTINE_THRESHOLD
    }
}
