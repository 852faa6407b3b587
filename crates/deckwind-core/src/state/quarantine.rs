//! Quarantine of poison requests: request contents that crash targets.
//!
//! ```text
//!  a target crashed ─► row: the crashed incarnations ──3 crashes──► quarantined
//!                        │                                              │
//!                        ├── served successfully or lifted: removed ◄───┤
//!                        └── expired: after 10 min; after 1 h ◄─────────┘
//! ```
//!
//! A single crash is weak evidence: every request in progress on the target ends with
//! it, and targets also crash for other reasons. A request content that was present at
//! three crashes, and was not served successfully in between, is not sent to any target
//! until an hour has passed since its last crash.
//!
//! If several request contents were present, one of them may explain the crashes of the
//! others, because streams move together from a crashed target to the next. A request
//! content is not quarantined if each of its crashes is also one of a quarantined request
//! content with stronger evidence.

use super::content::ContentDigest;
use super::incarnations::Incarnation;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Number of crashed incarnations after which a request content is quarantined: the
/// number of targets that operators allow a request to crash. Streams that move together
/// from a crashed target may also meet the next crash together, so two crashes can be a
/// coincidence during bursts of such requests.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Maximum number of crashes recorded per request content. Those of attempts that were
/// in progress when it was quarantined distinguish it from request contents that were
/// merely present.
pub const MAX_ENDS: usize = 16;

/// Time until a request content below the quarantine threshold expires after its last
/// crash, milliseconds. Callers that retry do so within minutes.
const SUSPECT_TTL_MS: u64 = 10 * 60 * 1_000;

/// Duration of a quarantine after the last crash, milliseconds. It limits a request that
/// always crashes its target to three crashes an hour; a request that was quarantined by
/// coincidence is served again afterwards.
pub const QUARANTINE_DURATION_MS: u64 = 60 * 60 * 1_000;

/// Maximum number of request contents in the table, 150 bytes each. Sufficient for the
/// crash of a data centre of 500 targets with eight request contents each.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of request contents in the list sent to routers, 17 bytes each.
const MAX_LISTED: usize = 1_024;

/// An observation of a request content by a router, or a decision of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectChange {
    /// An incarnation ended just before or just after it began to run the request.
    Ended {
        /// Digest of the request content.
        content: ContentDigest,
        /// The incarnation that ended.
        life: Incarnation,
        /// Whether the router had received an event of the request from the incarnation.
        begun: bool,
    },
    /// A target ran the request and is still available.
    Served(ContentDigest),
    /// An operator lifted the quarantine.
    Lift(ContentDigest),
}

/// Crashes of targets that ran a request content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    ended: Vec<Incarnation>,
    /// Number of these incarnations from which an event of the request had arrived.
    begun: u32,
    /// Time of the last crash by the leader's clock, milliseconds since the Unix epoch.
    last_ms: u64,
}

impl Suspect {
    /// Returns the strength of the evidence against the request content, for comparison
    /// with others that were present. A poison request crashes its targets as they begin
    /// to run it: request contents of which no event ever arrived rank first, then those
    /// with more crashes, then those with fewer runs that had produced an event.
    fn evidence(&self) -> (bool, usize, Reverse<u32>) {
        (self.begun == 0, self.ended.len(), Reverse(self.begun))
    }

    /// Returns whether the number of crashes reaches the quarantine threshold.
    fn reaches_threshold(&self) -> bool {
        self.ended.len() >= QUARANTINE_THRESHOLD
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        let ttl_ms = match self.reaches_threshold() {
            true => QUARANTINE_DURATION_MS,
            false => SUSPECT_TTL_MS,
        };
        now_ms.saturating_sub(self.last_ms) >= ttl_ms
    }
}

/// All request contents that crashed targets. Kept on control replicas only; routers
/// get the [`SuspectList`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine(BTreeMap<ContentDigest, Suspect>);

impl Quarantine {
    /// Applies changes as of `now_ms` by the leader's clock, after removing expired
    /// rows.
    pub(super) fn apply(&mut self, changes: Vec<SuspectChange>, now_ms: u64) {
        self.0.retain(|_, suspect| !suspect.is_expired(now_ms));
        for change in changes {
            match change {
                SuspectChange::Ended {
                    content,
                    life,
                    begun,
                } => self.record_crash(content, life, begun, now_ms),
                SuspectChange::Served(content) | SuspectChange::Lift(content) => {
                    self.0.remove(&content);
                }
            }
        }
    }

    fn record_crash(
        &mut self,
        content: ContentDigest,
        incarnation: Incarnation,
        begun: bool,
        now_ms: u64,
    ) {
        if !self.0.contains_key(&content) {
            self.evict_if_full();
        }
        let suspect = self.0.entry(content).or_insert_with(|| Suspect {
            ended: Vec::new(),
            begun: 0,
            last_ms: now_ms,
        });
        if suspect.ended.contains(&incarnation) || suspect.ended.len() >= MAX_ENDS {
            return;
        }
        suspect.ended.push(incarnation);
        suspect.begun += u32::from(begun);
        suspect.last_ms = now_ms;
    }

    /// If the table is full, removes the request content with the fewest crashes; of
    /// several, the one whose last crash is the oldest.
    fn evict_if_full(&mut self) {
        if self.0.len() < MAX_SUSPECTS {
            return;
        }
        let weakest = self
            .0
            .iter()
            .min_by_key(|(_, s)| (s.ended.len(), s.last_ms));
        if let Some(content) = weakest.map(|(content, _)| *content) {
            self.0.remove(&content);
        }
    }

    /// Returns whether any row has expired. Expired rows are removed by the next
    /// [`SuspectChange`] command.
    pub fn has_expired(&self, now_ms: u64) -> bool {
        self.0.values().any(|suspect| suspect.is_expired(now_ms))
    }

    /// Iterates over the quarantined request contents, each with the incarnations that
    /// crashed and the remaining time of the quarantine, milliseconds.
    pub fn quarantined(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (ContentDigest, &[Incarnation], u64)> {
        let culprits = self.culprits();
        let is_quarantined =
            move |c: &ContentDigest, s: &Suspect| culprits.contains(c) && !s.is_expired(now_ms);
        let quarantined = self.0.iter().filter(move |(c, s)| is_quarantined(c, s));
        quarantined.map(move |(content, s)| {
            let until = s.last_ms + QUARANTINE_DURATION_MS;
            (*content, s.ended.as_slice(), until.saturating_sub(now_ms))
        })
    }

    /// Returns the request contents that reach the quarantine threshold, without those
    /// whose crashes are all explained by others with stronger evidence.
    fn culprits(&self) -> BTreeSet<ContentDigest> {
        let candidates = self.0.iter().filter(|(_, s)| s.reaches_threshold());
        let mut candidates: Vec<(&ContentDigest, &Suspect)> = candidates.collect();
        candidates.sort_by_key(|(_, s)| Reverse(s.evidence()));
        let mut culprits: Vec<(&ContentDigest, &Suspect)> = Vec::new();
        for (content, suspect) in candidates {
            let is_explained = |incarnation: &Incarnation| {
                let mut stronger = culprits
                    .iter()
                    .filter(|(_, s)| s.evidence() > suspect.evidence());
                stronger.any(|(_, other)| other.ended.contains(incarnation))
            };
            if !suspect.ended.iter().all(is_explained) {
                culprits.push((content, suspect));
            }
        }
        culprits.into_iter().map(|(content, _)| *content).collect()
    }

    /// Returns the list for routers: request contents that are quarantined, or would be
    /// after one more crash. If there are too many, those with the most crashes are
    /// listed, and of these the most recent ones.
    pub(super) fn suspect_list(&self) -> SuspectList {
        let min_ends = QUARANTINE_THRESHOLD - 1;
        let culprits = self.culprits();
        let is_listed =
            |c: &ContentDigest, s: &Suspect| !s.reaches_threshold() || culprits.contains(c);
        let suspects = self
            .0
            .iter()
            .filter(|(c, s)| s.ended.len() >= min_ends && is_listed(c, s));
        let mut suspects: Vec<_> = suspects.collect();
        if suspects.len() > MAX_LISTED {
            suspects.sort_by_key(|(_, s)| Reverse((s.ended.len(), s.last_ms)));
            suspects.truncate(MAX_LISTED);
        }
        let listed = suspects
            .iter()
            .map(|(content, s)| (**content, s.ended.len() as u8));
        SuspectList(listed.collect())
    }
}

/// Request contents that are quarantined, or would be after one more crash, with the
/// number of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectList(BTreeMap<ContentDigest, u8>);

impl SuspectList {
    /// Returns the number of crashes of a request content; zero if it is not listed. One
    /// with a single crash is not listed.
    pub fn crash_count(&self, content: &ContentDigest) -> usize {
        self.0.get(content).map_or(0, |ends| usize::from(*ends))
    }

    /// Iterates over the listed request contents.
    pub fn contents(&self) -> impl Iterator<Item = &ContentDigest> {
        self.0.keys()
    }

    /// Iterates over the quarantined request contents, which are not sent to any target.
    pub fn quarantined(&self) -> impl Iterator<Item = &ContentDigest> {
        let reaches_threshold = |ends: &u8| usize::from(*ends) >= QUARANTINE_THRESHOLD;
        self.0
            .iter()
            .filter(move |(_, ends)| reaches_threshold(ends))
            .map(|(c, _)| c)
    }

    /// Returns the number of listed request contents.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
