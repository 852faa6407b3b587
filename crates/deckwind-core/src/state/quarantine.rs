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
//!
//! This table only records the evidence. The list of suspects is derived from a copy of it, see
//! `suspect_list`.

use super::attribution::{Crash, RunKey, RunProgress, Suspect};
use super::incarnations::Incarnation;
use super::request_trait::RequestTrait;
use super::suspect_list::{EvidenceVersion, SuspectEvidence, SuspectList};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

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

impl CrashedRun {
    fn crash(&self, at_ms: u64) -> Crash {
        Crash::new(self.life.clone(), self.run, self.progress, at_ms)
    }
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
#[serde(from = "StoredQuarantine", into = "StoredQuarantine")]
pub struct Quarantine {
    /// Shared with the copies from which lists are derived.
    rows: BTreeMap<RequestTrait, Arc<SuspectRow>>,
    /// Rows by their number of crashes and the time of the last one. The first is evicted first.
    by_strength: BTreeSet<(usize, u64, RequestTrait)>,
    /// Rows by the time at which they expire.
    by_expiry: BTreeSet<(u64, RequestTrait)>,
    version: EvidenceVersion,
    /// Number of times that an operator lifted a quarantine.
    lifts: u64,
}

/// The table in snapshots, without its indexes.
#[derive(Serialize, Deserialize)]
struct StoredQuarantine {
    rows: BTreeMap<RequestTrait, Arc<SuspectRow>>,
    version: EvidenceVersion,
    lifts: u64,
}

impl From<Quarantine> for StoredQuarantine {
    fn from(table: Quarantine) -> Self {
        Self {
            rows: table.rows,
            version: table.version,
            lifts: table.lifts,
        }
    }
}

impl From<StoredQuarantine> for Quarantine {
    fn from(stored: StoredQuarantine) -> Self {
        let mut table = Self {
            version: stored.version,
            lifts: stored.lifts,
            ..Self::default()
        };
        for (suspect, row) in stored.rows {
            table.insert(suspect, row);
        }
        table
    }
}

/// A suspect, and the time of its last crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SuspectRow {
    pub(super) suspect: Suspect,
    /// By the leader's clock, milliseconds since the Unix epoch.
    pub(super) last_ms: u64,
}

impl SuspectRow {
    fn expires_at_ms(&self) -> u64 {
        let ttl_ms = match self.suspect.reaches_threshold() {
            true => QUARANTINE_DURATION_MS,
            false => SUSPECT_TTL_MS,
        };
        self.last_ms.saturating_add(ttl_ms)
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
    /// Applies changes as of `now_ms` by the leader's clock, after removing expired rows. Returns
    /// the traits whose quarantine was lifted. Costs the changes, not the table, but for lifts.
    pub(super) fn apply(
        &mut self,
        changes: Vec<SuspectChange>,
        now_ms: u64,
    ) -> BTreeSet<RequestTrait> {
        self.remove_expired(now_ms);
        let mut lifted = BTreeSet::new();
        for change in changes {
            if self.contains(&change) {
                continue;
            }
            self.version = self.version.next();
            match change {
                SuspectChange::Ended(run) => self.record_crash(run, now_ms),
                SuspectChange::Served(suspect) => self.clear(suspect),
                SuspectChange::Lift(suspect) => lifted.extend(self.lift(suspect)),
            }
        }
        lifted
    }

    /// Returns whether a change is known already, and would change nothing.
    pub fn contains(&self, change: &SuspectChange) -> bool {
        match change {
            SuspectChange::Ended(run) => self.contains_crash(run),
            SuspectChange::Served(suspect) => {
                let row = self.rows.get(suspect);
                row.is_none_or(|row| row.suspect.is_cleared())
            }
            SuspectChange::Lift(_) => false,
        }
    }

    fn contains_crash(&self, run: &CrashedRun) -> bool {
        let crash = run.crash(0);
        let is_cleared = |t: &RequestTrait| {
            let row = self.rows.get(t);
            row.is_some_and(|row| row.suspect.is_cleared())
        };
        let has_crash = |t: &RequestTrait| {
            let row = self.rows.get(t);
            row.is_some_and(|row| row.suspect.contains(&crash))
        };
        run.served.iter().all(is_cleared) && run.traits.iter().all(has_crash)
    }

    /// Changes the row of a trait, which is created if there is none.
    fn update(&mut self, suspect: RequestTrait, now_ms: u64, change: impl FnOnce(&mut SuspectRow)) {
        let mut row = self.remove(&suspect).unwrap_or_else(|| {
            self.evict_if_full();
            Arc::new(SuspectRow {
                suspect: Suspect::default(),
                last_ms: now_ms,
            })
        });
        change(Arc::make_mut(&mut row));
        self.insert(suspect, row);
    }

    fn insert(&mut self, suspect: RequestTrait, row: Arc<SuspectRow>) {
        let crashes = row.suspect.crashes().len();
        self.by_strength.insert((crashes, row.last_ms, suspect));
        self.by_expiry.insert((row.expires_at_ms(), suspect));
        self.rows.insert(suspect, row);
    }

    fn remove(&mut self, suspect: &RequestTrait) -> Option<Arc<SuspectRow>> {
        let row = self.rows.remove(suspect)?;
        let crashes = row.suspect.crashes().len();
        self.by_strength.remove(&(crashes, row.last_ms, *suspect));
        self.by_expiry.remove(&(row.expires_at_ms(), *suspect));
        Some(row)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some((expires_at_ms, suspect)) = self.by_expiry.first().copied() {
            if expires_at_ms > now_ms {
                break;
            }
            self.remove(&suspect);
            self.version = self.version.next();
        }
    }

    /// Forgets the crashes of a trait.
    fn clear(&mut self, suspect: RequestTrait) {
        if let Some(mut row) = self.remove(&suspect) {
            Arc::make_mut(&mut row).suspect.clear();
            self.insert(suspect, row);
        }
    }

    fn record_crash(&mut self, run: CrashedRun, now_ms: u64) {
        let crash = run.crash(now_ms);
        for served in run.served {
            self.update(served, now_ms, |row| row.suspect.clear());
        }
        for suspect in run.traits {
            self.update(suspect, now_ms, |row| {
                if row.suspect.record(crash.clone()) {
                    row.last_ms = now_ms;
                }
            });
        }
    }

    /// Forgets the crashes of a trait, and of all others that have no further ones: they
    /// would be quarantined in its place. Returns these traits.
    fn lift(&mut self, lifted: RequestTrait) -> Vec<RequestTrait> {
        self.lifts += 1;
        let mut removed = vec![lifted];
        if let Some(lifted) = self.remove(&lifted) {
            let rows = self.rows.iter();
            let within = rows.filter(|(_, row)| row.suspect.has_crashes_within(&lifted.suspect));
            removed.extend(within.map(|(suspect, _)| *suspect));
        }
        for suspect in &removed {
            self.remove(suspect);
        }
        removed
    }

    /// If the table is full, removes the trait with the fewest crashes; of several, the one
    /// whose last crash is the oldest.
    fn evict_if_full(&mut self) {
        if self.rows.len() < MAX_SUSPECTS {
            return;
        }
        if let Some((_, _, weakest)) = self.by_strength.first().copied() {
            self.remove(&weakest);
        }
    }

    /// Returns whether any row has expired. Expired rows are removed by the next
    /// [`SuspectChange`] command.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        let first = self.by_expiry.first();
        first.is_some_and(|(expires_at_ms, _)| *expires_at_ms <= now_ms)
    }

    /// Returns the number of traits at crashes.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no traits at crashes.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the version of the evidence, which each change of it increases.
    pub fn version(&self) -> EvidenceVersion {
        self.version
    }

    /// Returns the number of times that an operator lifted a quarantine.
    pub(super) fn lifts(&self) -> u64 {
        self.lifts
    }

    /// Returns a copy from which the list of suspects can be derived as of `now_ms` by the leader's
    /// clock. The rows are shared.
    pub fn evidence(&self, now_ms: u64) -> SuspectEvidence {
        let rows = self.rows.iter();
        SuspectEvidence {
            version: self.version,
            lifts: self.lifts,
            now_ms,
            rows: rows.map(|(t, row)| (*t, row.clone())).collect(),
        }
    }

    /// Returns the quarantined traits of the list in force, by groups.
    pub fn quarantined(&self, list: &SuspectList, now_ms: u64) -> Vec<QuarantinedGroup<'_>> {
        let group = move |traits: &[RequestTrait]| {
            let row = self.rows.get(traits.first()?)?;
            let crashes = row.suspect.crashes().iter();
            (row.expires_at_ms() > now_ms).then(|| QuarantinedGroup {
                traits: traits.to_vec(),
                ended: crashes.map(Crash::life).collect(),
                left_ms: (row.last_ms + QUARANTINE_DURATION_MS).saturating_sub(now_ms),
            })
        };
        list.quarantined().filter_map(group).collect()
    }
}
