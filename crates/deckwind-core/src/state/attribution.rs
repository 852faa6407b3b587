//! Which of the traits of the requests at several crashes explains them.
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
use super::request_trait::RequestTrait;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

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

/// A crash of a target while runs with a trait had just begun there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    life: Incarnation,
    /// The runs with the trait, sorted.
    runs: Vec<RunKey>,
    /// Whether routers had received an event of each of them.
    begun: bool,
}

impl Crash {
    /// Returns the crash of an incarnation that had just begun this run.
    pub fn new(life: Incarnation, run: RunKey, begun: bool) -> Self {
        Self {
            life,
            runs: vec![run],
            begun,
        }
    }

    /// Returns the incarnation that crashed.
    pub fn life(&self) -> &Incarnation {
        &self.life
    }

    /// Returns whether all runs of the other crash are known here, as far as runs are recorded.
    fn contains_runs(&self, other: &Self) -> bool {
        let is_known = |run: &RunKey| self.runs.binary_search(run).is_ok();
        self.runs.len() == MAX_RUNS_PER_CRASH || other.runs.iter().all(is_known)
    }

    /// Adds the runs of the other report of this crash.
    fn merge(&mut self, other: &Self) {
        self.begun &= other.begun;
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
type Evidence = (bool, bool, usize, Reverse<usize>, Reverse<usize>);

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
    fn evidence(&self) -> Evidence {
        let all_runs = self.crashes.iter().flat_map(|c| &c.runs);
        let requests: BTreeSet<&RunKey> = all_runs.clone().collect();
        let begun = self.crashes.iter().filter(|c| c.begun).count();
        let is_likely = begun == 0 || requests.len() >= QUARANTINE_THRESHOLD;
        (
            !self.was_served,
            is_likely,
            self.crashes.len(),
            Reverse(all_runs.count()),
            Reverse(begun),
        )
    }

    fn all_runs(&self) -> impl Iterator<Item = (&Incarnation, RunKey)> + Clone {
        self.crashes
            .iter()
            .flat_map(|c| c.runs.iter().map(|run| (&c.life, *run)))
    }

    fn crash_of(&self, life: &Incarnation) -> Option<&Crash> {
        self.crashes.iter().find(|c| c.life == *life)
    }

    /// Returns whether both traits were at the same crashes, and each time in the same runs.
    fn is_inseparable_from(&self, other: &Self) -> bool {
        let is_same = |c: &Crash| other.crash_of(&c.life).is_some_and(|o| o.runs == c.runs);
        self.crashes.len() == other.crashes.len() && self.crashes.iter().all(is_same)
    }

    /// Returns whether each run with this trait also has the other one, and not the other way
    /// round. One that was served explains nothing for one that never was.
    fn is_narrower_than(&self, other: &Self) -> bool {
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
    fn is_explained_by(&self, narrower: &[&Suspect]) -> bool {
        let is_explained = |c: &&Crash| narrower.iter().any(|n| n.crash_of(&c.life).is_some());
        let explained = self.crashes.iter().filter(is_explained).count();
        self.crashes.len() - explained < QUARANTINE_THRESHOLD
    }
}

/// Number of crashes under runs without an event that make a trait a likely cause of each of
/// them: one may be chance.
const LIKELY_CRASHES: usize = 2;

/// Likely causes of crashes: the runs without an event there of each trait that is at several
/// such crashes. A poison request crashes its targets as they begin to run it.
struct LikelyCauses<'a>(HashMap<&'a Incarnation, Vec<&'a [RunKey]>>);

impl<'a> LikelyCauses<'a> {
    fn new(suspects: &[Candidate<'a>]) -> Self {
        let mut causes: HashMap<&Incarnation, Vec<&[RunKey]>> = HashMap::new();
        for (_, suspect) in suspects {
            let without_event = suspect.crashes.iter().filter(|c| !c.begun);
            if without_event.clone().count() >= LIKELY_CRASHES {
                for crash in without_event {
                    causes.entry(&crash.life).or_default().push(&crash.runs);
                }
            }
        }
        Self(causes)
    }

    /// Returns whether other runs are a likelier cause of a crash at which all runs with the
    /// trait had produced events.
    fn has_likelier(&self, crash: &Crash) -> bool {
        let is_other = |run: &RunKey| crash.runs.binary_search(run).is_err();
        let mut causes = self.0.get(&crash.life).into_iter().flatten();
        crash.begun && causes.any(|runs| runs.iter().all(is_other))
    }

    /// Returns whether the crashes of a trait suffice to quarantine it. One that has a likelier
    /// cause counts half.
    fn suffice(&self, suspect: &Suspect) -> bool {
        let weaker = suspect.crashes.iter().filter(|c| self.has_likelier(c));
        2 * suspect.crashes.len() - weaker.count() >= 2 * QUARANTINE_THRESHOLD
    }
}

/// A trait with its crashes.
type Candidate<'a> = (RequestTrait, &'a Suspect);

fn is_part(suspect: RequestTrait) -> bool {
    !matches!(suspect, RequestTrait::Content(_))
}

/// Removes and returns the traits whose crashes narrower ones explain: either several parts
/// together, or one content or account. A second one with the same part is no coincidence.
fn remove_wide<'a>(candidates: &mut Vec<Candidate<'a>>) -> Vec<Candidate<'a>> {
    let mut by_run: HashMap<(&Incarnation, RunKey), Vec<usize>> = HashMap::new();
    for (i, (_, suspect)) in candidates.iter().enumerate() {
        for run in suspect.all_runs() {
            by_run.entry(run).or_default().push(i);
        }
    }
    let is_wide = |(_, suspect): &Candidate| {
        let sharing = suspect.all_runs().filter_map(|run| by_run.get(&run));
        if sharing.clone().all(|sharing| sharing.len() == 1) {
            return false;
        }
        let sharing: BTreeSet<usize> = sharing.flatten().copied().collect();
        let sharing = sharing.into_iter().map(|i| candidates[i]);
        let narrower: Vec<Candidate> = sharing
            .filter(|(_, other)| other.is_narrower_than(suspect))
            .collect();
        let (parts, single): (Vec<Candidate>, Vec<Candidate>) = narrower
            .into_iter()
            .partition(|(t, _)| matches!(t, RequestTrait::Part(_)));
        let parts: Vec<&Suspect> = parts.into_iter().map(|(_, part)| part).collect();
        let mut single = single.into_iter();
        suspect.is_explained_by(&parts)
            || single.any(|(_, content)| suspect.is_explained_by(&[content]))
    };
    let (wide, rest) = candidates.iter().partition(|c| is_wide(c));
    *candidates = rest;
    wide
}

/// Returns the traits that reach the quarantine threshold, without those whose crashes are
/// all explained by others with stronger evidence. Traits that came together in each run form
/// one group, and so do parts with equal evidence: which of them is at fault is not known, so
/// only requests with all of them are refused, and any other request with one of them decides.
pub fn culprits<'a>(
    suspects: impl Iterator<Item = (RequestTrait, &'a Suspect)>,
) -> Vec<Vec<RequestTrait>> {
    let suspects: Vec<_> = suspects.collect();
    let likely_causes = LikelyCauses::new(&suspects);
    let mut candidates = suspects;
    candidates.retain(|(_, s)| s.reaches_threshold() && likely_causes.suffice(s));
    let wide = remove_wide(&mut candidates);
    candidates.sort_by_cached_key(|(_, s)| Reverse(s.evidence()));
    let mut groups: Vec<(&Suspect, Vec<RequestTrait>)> = Vec::new();
    // Groups by a run of their first crash, which inseparable ones share.
    let mut by_run: HashMap<(&Incarnation, RunKey), Vec<usize>> = HashMap::new();
    let mut part_groups: Vec<usize> = Vec::new();
    // The strongest culprit at each crash.
    let mut explained: HashMap<&Incarnation, Evidence> = HashMap::new();
    for (candidate, suspect) in candidates {
        let evidence = suspect.evidence();
        let is_explained = |c: &Crash| explained.get(&c.life).is_some_and(|e| *e > evidence);
        if suspect.crashes.iter().all(is_explained) {
            continue;
        }
        let mut alike = suspect
            .all_runs()
            .filter_map(|run| by_run.get(&run))
            .flatten();
        let alike = alike.find(|g| suspect.is_inseparable_from(groups[**g].0));
        let is_tied = |g: &&usize| {
            let other = groups[**g].0;
            other.evidence() == evidence && other.has_crashes_within(suspect)
        };
        let tied = || {
            part_groups
                .iter()
                .find(is_tied)
                .filter(|_| is_part(candidate))
        };
        if let Some(group) = alike.or_else(tied).copied() {
            groups[group].1.push(candidate);
            continue;
        }
        for crash in &suspect.crashes {
            explained.entry(&crash.life).or_insert(evidence);
        }
        if let Some(run) = suspect.all_runs().next() {
            by_run.entry(run).or_default().push(groups.len());
        }
        let mut group = vec![candidate];
        if is_part(candidate) {
            part_groups.push(groups.len());
            // A wider part that was at all of its crashes may be at fault in its place.
            let wider = wide
                .iter()
                .filter(|(_, wide)| suspect.is_narrower_than(wide));
            group.extend(wider.map(|(t, _)| *t));
        }
        groups.push((suspect, group));
    }
    groups.into_iter().map(|(_, traits)| traits).collect()
}
