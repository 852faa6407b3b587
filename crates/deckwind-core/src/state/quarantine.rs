//! Quarantine of poison requests: requests that crash targets by one of their traits.
//!
//! ```text
//!  a target crashed ─► row of each trait: the crashes ──3 crashes──► quarantined
//!                        │                                              │
//!                        ├── served successfully or lifted: removed ◄───┤
//!                        └── expired: after 10 min; after 1 h ◄─────────┘
//! ```
//!
//! A single crash is weak evidence: every request in progress on the target ends with
//! it, and targets also crash for other reasons. A trait that was present at three crashes,
//! and was not served successfully in between, makes its requests be sent to no target
//! until an hour has passed since its last crash. Which of several traits a crash is
//! attributed to: `culprits`.

use super::attribution::{Crash, RunKey, RunProgress, Suspect};
use super::culprits::culprits;
use super::incarnations::Incarnation;
use super::request_trait::{RequestTrait, RequestTraits};
use super::waves::RecentCrashes;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Number of crashed incarnations after which a trait is quarantined: the number of targets
/// that operators allow a request to crash. Streams that move together from a crashed target
/// may also meet the next crash together, so two crashes can be a coincidence during bursts
/// of such requests.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Maximum number of crashes recorded per trait. Those of attempts that were in progress when
/// it was quarantined distinguish it from traits that were merely present.
pub const MAX_ENDS: usize = 16;

/// Time until a trait below the quarantine threshold expires after its last
/// crash, milliseconds. Callers that retry do so within minutes.
const SUSPECT_TTL_MS: u64 = 10 * 60 * 1_000;

/// Duration of a quarantine after the last crash, milliseconds. It limits a request that
/// always crashes its target to three crashes an hour; a request that was quarantined by
/// coincidence is served again afterwards.
pub const QUARANTINE_DURATION_MS: u64 = 60 * 60 * 1_000;

/// Maximum number of traits in the table, 150 bytes each. Sufficient for the crash of a data
/// centre of 500 targets with eight requests each: what many requests share is not reported.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of traits in the list sent to routers, 18 bytes each.
const MAX_LISTED: usize = 1_024;

/// Number of crashes listed of a trait that others explain, or of which it is an unlikely cause.
/// Routers that have served it say so; they don't hold requests with it back.
const EXPLAINED_COUNT: usize = 1;

/// A run that had just begun when its target crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Key of the run.
    pub run: RunKey,
    /// Traits of the request, without those that the router has served lately.
    pub traits: Vec<RequestTrait>,
    /// Traits of the request that the router has served lately.
    pub served: Vec<RequestTrait>,
    /// The incarnation that crashed.
    pub life: Incarnation,
    /// How far the run had come.
    pub progress: RunProgress,
}

/// An observation of a router, or a decision of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectChange {
    /// An incarnation ended just before or just after it began to run a request.
    Ended(CrashedRun),
    /// A target ran a request with this trait and is still available.
    Served(RequestTrait),
    /// An operator lifted the quarantine.
    Lift(RequestTrait),
}

/// All traits at crashes. Kept on control replicas only; routers get the [`SuspectList`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine(BTreeMap<RequestTrait, SuspectRow>);

/// A suspect, and the time of its last crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SuspectRow {
    suspect: Suspect,
    /// By the leader's clock, milliseconds since the Unix epoch.
    last_ms: u64,
}

impl SuspectRow {
    fn is_expired(&self, now_ms: u64) -> bool {
        let ttl_ms = match self.suspect.reaches_threshold() {
            true => QUARANTINE_DURATION_MS,
            false => SUSPECT_TTL_MS,
        };
        now_ms.saturating_sub(self.last_ms) >= ttl_ms
    }
}

/// Traits that are quarantined together, because no crash tells them apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedGroup<'a> {
    /// The traits. A request with all of them is refused.
    pub traits: Vec<RequestTrait>,
    /// Incarnations that crashed.
    pub ended: Vec<&'a Incarnation>,
    /// Remaining time of the quarantine, milliseconds.
    pub left_ms: u64,
}

impl Quarantine {
    /// Applies changes as of `now_ms` by the leader's clock, after removing expired
    /// rows.
    pub(super) fn apply(&mut self, changes: Vec<SuspectChange>, now_ms: u64) {
        self.0.retain(|_, row| !row.is_expired(now_ms));
        for change in changes {
            match change {
                SuspectChange::Ended(run) => self.record_crash(run, now_ms),
                SuspectChange::Served(suspect) => self.clear(suspect),
                SuspectChange::Lift(suspect) => self.lift(suspect),
            }
        }
    }

    /// Returns the row of a trait.
    fn row(&mut self, suspect: RequestTrait, now_ms: u64) -> &mut SuspectRow {
        if !self.0.contains_key(&suspect) {
            self.evict_if_full();
        }
        self.0.entry(suspect).or_insert_with(|| SuspectRow {
            suspect: Suspect::default(),
            last_ms: now_ms,
        })
    }

    /// Forgets the crashes of a trait.
    fn clear(&mut self, suspect: RequestTrait) {
        if let Some(row) = self.0.get_mut(&suspect) {
            row.suspect.clear();
        }
    }

    fn record_crash(&mut self, run: CrashedRun, now_ms: u64) {
        for served in run.served {
            self.row(served, now_ms).suspect.clear();
        }
        for suspect in run.traits {
            let row = self.row(suspect, now_ms);
            let crash = Crash::new(run.life.clone(), run.run, run.progress, now_ms);
            if row.suspect.record(crash) {
                row.last_ms = now_ms;
            }
        }
    }

    /// Forgets the crashes of a trait, and of all others that have no further ones: they
    /// would be quarantined in its place.
    fn lift(&mut self, lifted: RequestTrait) {
        let Some(lifted) = self.0.remove(&lifted) else {
            return;
        };
        self.0
            .retain(|_, row| !row.suspect.has_crashes_within(&lifted.suspect));
    }

    /// If the table is full, removes the trait with the fewest crashes; of several, the one
    /// whose last crash is the oldest.
    fn evict_if_full(&mut self) {
        if self.0.len() < MAX_SUSPECTS {
            return;
        }
        let weakest = self
            .0
            .iter()
            .min_by_key(|(_, row)| (row.suspect.crashes().len(), row.last_ms));
        if let Some(weakest) = weakest.map(|(suspect, _)| *suspect) {
            self.0.remove(&weakest);
        }
    }

    /// Returns whether any row has expired. Expired rows are removed by the next
    /// [`SuspectChange`] command.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        self.0.values().any(|row| row.is_expired(now_ms))
    }

    /// Returns the number of traits at crashes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no traits at crashes.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the groups of traits to quarantine, and those that await an answer before.
    fn culprits(&self, now_ms: u64) -> (Vec<Vec<RequestTrait>>, Vec<Vec<RequestTrait>>) {
        let groups = culprits(self.0.iter().map(|(t, row)| (*t, &row.suspect)));
        if groups.is_empty() {
            return (groups, Vec::new());
        }
        let recent = RecentCrashes::new(self.0.values().map(|row| &row.suspect), now_ms);
        groups.into_iter().partition(|group| {
            let strongest = group.first().and_then(|t| self.0.get(t));
            !strongest.is_some_and(|row| recent.awaits_answer(&row.suspect))
        })
    }

    /// Iterates over the quarantined traits, by groups.
    pub fn quarantined(&self, now_ms: u64) -> impl Iterator<Item = QuarantinedGroup<'_>> {
        let group = move |traits: Vec<RequestTrait>| {
            let row = self.0.get(traits.first()?)?;
            let crashes = row.suspect.crashes().iter();
            (!row.is_expired(now_ms)).then(|| QuarantinedGroup {
                traits,
                ended: crashes.map(Crash::life).collect(),
                left_ms: (row.last_ms + QUARANTINE_DURATION_MS).saturating_sub(now_ms),
            })
        };
        let (quarantined, _) = self.culprits(now_ms);
        quarantined.into_iter().filter_map(group)
    }

    /// Returns the list for routers: traits that are quarantined, or would be after one more
    /// crash or without an answer to this list. If there are too many, those with the most crashes are listed, and of these
    /// the most recent ones.
    pub(super) fn suspect_list(&self, now_ms: u64) -> SuspectList {
        let min_ends = QUARANTINE_THRESHOLD - 1;
        let (groups, waiting) = self.culprits(now_ms);
        let culprits: BTreeSet<RequestTrait> = groups.iter().flatten().copied().collect();
        let awaits_answers = !waiting.is_empty();
        let waiting: BTreeSet<RequestTrait> = waiting.into_iter().flatten().collect();
        let is_listed = |row: &SuspectRow| row.suspect.crashes().len() >= min_ends;
        let mut listed: Vec<_> = self.0.iter().filter(|(_, row)| is_listed(row)).collect();
        if listed.len() > MAX_LISTED {
            listed.sort_by_key(|(_, row)| Reverse((row.suspect.crashes().len(), row.last_ms)));
            listed.truncate(MAX_LISTED);
        }
        let count = |t: &RequestTrait, row: &SuspectRow| match row.suspect.crashes().len() {
            ends if ends < QUARANTINE_THRESHOLD || culprits.contains(t) => ends,
            _ if waiting.contains(t) => min_ends,
            _ => EXPLAINED_COUNT,
        };
        let counts: BTreeMap<RequestTrait, u8> = listed
            .into_iter()
            .map(|(t, row)| (*t, count(t, row) as u8))
            .collect();
        let is_listed = |group: &Vec<RequestTrait>| group.iter().all(|t| counts.contains_key(t));
        let quarantined = groups.into_iter().filter(is_listed).collect();
        SuspectList {
            counts,
            quarantined,
            awaits_answers,
        }
    }
}

/// Traits that are quarantined, or would be after one more crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectList {
    /// Number of crashes of each trait.
    counts: BTreeMap<RequestTrait, u8>,
    /// Groups of traits. Requests with all traits of a group are sent to no target.
    quarantined: Vec<Vec<RequestTrait>>,
    /// Whether the list changes once routers had the time to answer it.
    awaits_answers: bool,
}

impl SuspectList {
    /// Returns whether the list changes once routers had the time to answer it, so that it is
    /// to be derived again.
    pub fn awaits_answers(&self) -> bool {
        self.awaits_answers
    }

    /// Returns the number of crashes of a trait; zero if it is not listed. One with a single
    /// crash is not listed.
    pub fn crash_count(&self, suspect: &RequestTrait) -> usize {
        self.counts
            .get(suspect)
            .map_or(0, |ends| usize::from(*ends))
    }

    /// Iterates over the listed traits.
    pub fn traits(&self) -> impl Iterator<Item = &RequestTrait> {
        self.counts.keys()
    }

    /// Iterates over the quarantined groups of traits. Requests with all traits of a group
    /// are sent to no target.
    pub fn quarantined(&self) -> impl Iterator<Item = &[RequestTrait]> {
        self.quarantined.iter().map(Vec::as_slice)
    }

    /// Returns the quarantined group whose traits a request has, if there is one.
    pub fn group_of(&self, traits: &RequestTraits) -> Option<&[RequestTrait]> {
        self.quarantined().find(|group| traits.contains_all(group))
    }

    /// Returns the number of listed traits.
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
