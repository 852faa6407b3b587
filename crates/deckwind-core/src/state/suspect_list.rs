//! List of suspects that routers get, derived from the evidence of the `quarantine` table.
//!
//! ```text
//!  table ──copy──► derive, beside the replica's thread ──► command of the leader ──► in force
//!    ▲                                                        │
//!    └── reports of crashes, lifts ── a lift since the copy: the command is ignored ──┘
//! ```
//!
//! Deriving costs the whole table, so it is done once for all reports of some time and by the
//! leader only. The other replicas store its result.

use super::attribution::Suspect;
use super::culprits::culprits;
use super::quarantine::{QUARANTINE_THRESHOLD, SuspectRow};
use super::request_trait::{RequestTrait, RequestTraits};
use super::waves::RecentCrashes;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of traits in the list sent to routers, 18 bytes each.
const MAX_LISTED: usize = 1_024;

/// Number of crashes listed of a trait that others explain, or of which it is an unlikely cause.
/// Routers that have served it say so; they don't hold requests with it back.
const EXPLAINED_COUNT: usize = 1;

/// Version of the evidence on crashes. Replicas that have applied the same commands have the
/// same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EvidenceVersion(u64);

impl EvidenceVersion {
    pub(super) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A copy of the evidence on crashes, cheap to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectEvidence {
    pub(super) version: EvidenceVersion,
    pub(super) lifts: u64,
    /// Time of the copy by the leader's clock, milliseconds since the Unix epoch.
    pub(super) now_ms: u64,
    pub(super) rows: Vec<(RequestTrait, Arc<SuspectRow>)>,
}

/// A list of suspects and the evidence that it was derived from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DerivedSuspects {
    /// Version of the evidence.
    pub version: EvidenceVersion,
    /// Number of lifts by operators in the evidence. After a further one the list is void, as it
    /// may contain what was lifted.
    pub lifts: u64,
    /// The list.
    pub list: SuspectList,
}

impl SuspectEvidence {
    /// Returns the number of traits.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no traits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Derives the list for routers: traits that are quarantined, or would be after one more
    /// crash or without an answer to this list. If there are too many, those with the most
    /// crashes are listed, and of these the most recent ones.
    pub fn derive(&self) -> DerivedSuspects {
        DerivedSuspects {
            version: self.version,
            lifts: self.lifts,
            list: self.list(),
        }
    }

    /// Returns the groups of traits to quarantine, and those that await an answer before.
    fn culprits(&self) -> (Vec<Vec<RequestTrait>>, Vec<Vec<RequestTrait>>) {
        let groups = culprits(self.rows.iter().map(|(t, row)| (*t, &row.suspect)));
        if groups.is_empty() {
            return (groups, Vec::new());
        }
        let suspects = self.rows.iter().map(|(_, row)| &row.suspect);
        let recent = RecentCrashes::new(suspects, self.now_ms);
        groups.into_iter().partition(|group| {
            let strongest = group.first().and_then(|t| self.suspect(t));
            !strongest.is_some_and(|suspect| recent.awaits_answer(suspect))
        })
    }

    fn suspect(&self, suspect: &RequestTrait) -> Option<&Suspect> {
        let at = self.rows.binary_search_by_key(suspect, |(t, _)| *t);
        at.ok().map(|at| &self.rows[at].1.suspect)
    }

    fn list(&self) -> SuspectList {
        let min_ends = QUARANTINE_THRESHOLD - 1;
        let (groups, waiting) = self.culprits();
        let awaits_answers = !waiting.is_empty();
        let culprits: BTreeSet<RequestTrait> = groups.iter().flatten().copied().collect();
        let waiting: BTreeSet<RequestTrait> = waiting.into_iter().flatten().collect();
        let is_listed =
            |(_, row): &&(RequestTrait, Arc<SuspectRow>)| row.suspect.crashes().len() >= min_ends;
        let mut listed: Vec<_> = self.rows.iter().filter(is_listed).collect();
        if listed.len() > MAX_LISTED {
            let rank = |t: &RequestTrait, row: &SuspectRow| {
                let ends = row.suspect.crashes().len();
                let is_explained = ends >= QUARANTINE_THRESHOLD && !waiting.contains(t);
                (culprits.contains(t), !is_explained, ends, row.last_ms)
            };
            listed.sort_by_cached_key(|(t, row)| Reverse(rank(t, row)));
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

    /// Returns the list without these traits, and without the groups of which one of them is.
    pub(super) fn without(&self, traits: &BTreeSet<RequestTrait>) -> Self {
        let mut list = self.clone();
        list.counts.retain(|t, _| !traits.contains(t));
        list.quarantined
            .retain(|group| !group.iter().any(|t| traits.contains(t)));
        list
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
