//! Contents under which targets have ended, and those that are no longer sent.
//!
//! ```text
//!  a target ended under it ─► row: the lives that ended ──3 lives──► quarantined
//!                              ▲  │                                     │
//!                              │  └── served well somewhere: gone ◄─────┤
//!                              └──── 10 min, or an hour: gone ◄─────────┘
//! ```
//!
//! One end says little: whatever else ran there ended with the target, and targets
//! end by themselves. A content that was there each time, and was never served well,
//! is sent to nobody until an hour has passed since the last end.
//!
//! Where several were there, one may explain the ends of the others: streams move
//! together from a target that ended to the next. A content all of whose ends are those
//! of contents against which more speaks is not condemned.

use super::content::ContentDigest;
use super::lives::Life;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Lives that end under a content before it is quarantined: what operators allow a
/// request to end. Streams that move together from a target that ended may meet the
/// next end together, so two are chance where such requests come in storms.
pub const ENDS_TO_QUARANTINE: usize = 3;

/// Ends that are kept of one content: those of the tries that were under way when it was
/// quarantined tell it from what was there beside it.
pub const MOST_ENDS: usize = 16;

/// How long an end counts that is followed by no other: callers who ask again do so
/// within minutes. Milliseconds.
const ENDS_COUNT_FOR_MS: u64 = 10 * 60 * 1_000;

/// How long a content is quarantined after its last end. A request that always ends
/// its target so ends three an hour at most; one that was quarantined by chance is
/// served again after it. Milliseconds.
pub const QUARANTINED_FOR_MS: u64 = 60 * 60 * 1_000;

/// Contents remembered, 150 bytes each: the ends of a data centre of 500 targets,
/// with eight contents each.
const MAX_ROWS: usize = 4_096;

/// Contents that routers are told of, 17 bytes each.
const MAX_LISTED: usize = 1_024;

/// What a router has seen of a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectChange {
    /// This life ended while it had just begun to run it, or was about to.
    Ended {
        /// The content.
        content: ContentDigest,
        /// The life.
        life: Life,
        /// Whether an event of it had come from there.
        begun: bool,
    },
    /// A target has run it and is there.
    Served(ContentDigest),
    /// An operator has it served again.
    Lift(ContentDigest),
}

/// Lives that ended under a content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    ended: Vec<Life>,
    /// At how many of them an event of it had come.
    begun: u32,
    /// When the last one did, by the leader's clock.
    last_ms: u64,
}

impl Suspect {
    /// How much speaks against it beside others that were there. A content ends its
    /// targets as they begin to run it: one of which no event ever came is at fault before
    /// all others, then the one with more ends, then the one with fewer runs begun.
    fn weight(&self) -> (bool, usize, Reverse<u32>) {
        (self.begun == 0, self.ended.len(), Reverse(self.begun))
    }

    /// Whether it has enough ends to be quarantined.
    fn is_full(&self) -> bool {
        self.ended.len() >= ENDS_TO_QUARANTINE
    }

    fn is_over(&self, now_ms: u64) -> bool {
        let lasts = match self.is_full() {
            true => QUARANTINED_FOR_MS,
            false => ENDS_COUNT_FOR_MS,
        };
        now_ms.saturating_sub(self.last_ms) >= lasts
    }
}

/// All contents under which targets have ended. On control replicas only; routers
/// have the [`SuspectList`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine(BTreeMap<ContentDigest, Suspect>);

impl Quarantine {
    /// Applies what routers saw, as of `now_ms` by the leader's clock.
    pub(super) fn apply(&mut self, changes: Vec<SuspectChange>, now_ms: u64) {
        self.0.retain(|_, suspect| !suspect.is_over(now_ms));
        for change in changes {
            match change {
                SuspectChange::Ended {
                    content,
                    life,
                    begun,
                } => self.ended(content, life, begun, now_ms),
                SuspectChange::Served(content) | SuspectChange::Lift(content) => {
                    self.0.remove(&content);
                }
            }
        }
    }

    fn ended(&mut self, content: ContentDigest, life: Life, begun: bool, now_ms: u64) {
        if !self.0.contains_key(&content) {
            self.make_room();
        }
        let suspect = self.0.entry(content).or_insert_with(|| Suspect {
            ended: Vec::new(),
            begun: 0,
            last_ms: now_ms,
        });
        if suspect.ended.contains(&life) || suspect.ended.len() >= MOST_ENDS {
            return;
        }
        suspect.ended.push(life);
        suspect.begun += u32::from(begun);
        suspect.last_ms = now_ms;
    }

    /// Of those with the fewest ends the oldest goes.
    fn make_room(&mut self) {
        if self.0.len() < MAX_ROWS {
            return;
        }
        let least = self
            .0
            .iter()
            .min_by_key(|(_, s)| (s.ended.len(), s.last_ms));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.0.remove(&content);
        }
    }

    /// Whether something is there only because nobody has looked since.
    pub fn has_outdated(&self, now_ms: u64) -> bool {
        self.0.values().any(|suspect| suspect.is_over(now_ms))
    }

    /// What is quarantined: the lives that ended under each content, and how long it
    /// stays so, milliseconds.
    pub fn quarantined(&self, now_ms: u64) -> impl Iterator<Item = (ContentDigest, &[Life], u64)> {
        let condemned = self.condemned();
        let stands =
            move |c: &ContentDigest, s: &Suspect| condemned.contains(c) && !s.is_over(now_ms);
        let stand = self.0.iter().filter(move |(c, s)| stands(c, s));
        stand.map(move |(content, s)| {
            let until = s.last_ms + QUARANTINED_FOR_MS;
            (*content, s.ended.as_slice(), until.saturating_sub(now_ms))
        })
    }

    /// Contents with enough ends, but for those whose ends others explain.
    fn condemned(&self) -> BTreeSet<ContentDigest> {
        let full = self.0.iter().filter(|(_, s)| s.is_full());
        let mut full: Vec<(&ContentDigest, &Suspect)> = full.collect();
        full.sort_by_key(|(_, s)| Reverse(s.weight()));
        let mut condemned: Vec<(&ContentDigest, &Suspect)> = Vec::new();
        for (content, suspect) in full {
            let explains = |life: &Life| {
                let mut others = condemned
                    .iter()
                    .filter(|(_, s)| s.weight() > suspect.weight());
                others.any(|(_, other)| other.ended.contains(life))
            };
            if !suspect.ended.iter().all(explains) {
                condemned.push((content, suspect));
            }
        }
        condemned.into_iter().map(|(content, _)| *content).collect()
    }

    /// What routers are to know: whoever may be quarantined by its next end. Where
    /// there are too many, those with the most and latest ends.
    pub(super) fn list(&self) -> SuspectList {
        let near = ENDS_TO_QUARANTINE - 1;
        let condemned = self.condemned();
        let counts = |c: &ContentDigest, s: &Suspect| !s.is_full() || condemned.contains(c);
        let near = self
            .0
            .iter()
            .filter(|(c, s)| s.ended.len() >= near && counts(c, s));
        let mut near: Vec<_> = near.collect();
        if near.len() > MAX_LISTED {
            near.sort_by_key(|(_, s)| Reverse((s.ended.len(), s.last_ms)));
            near.truncate(MAX_LISTED);
        }
        let listed = near
            .iter()
            .map(|(content, s)| (**content, s.ended.len() as u8));
        SuspectList(listed.collect())
    }
}

/// Contents that are quarantined, or would be with one more end, and the ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectList(BTreeMap<ContentDigest, u8>);

impl SuspectList {
    /// Targets that are known to have ended under a content; one alone isn't told.
    pub fn ends(&self, content: &ContentDigest) -> usize {
        self.0.get(content).map_or(0, |ends| usize::from(*ends))
    }

    /// Contents in it.
    pub fn contents(&self) -> impl Iterator<Item = &ContentDigest> {
        self.0.keys()
    }

    /// Contents that are sent to nobody.
    pub fn quarantined(&self) -> impl Iterator<Item = &ContentDigest> {
        let full = |ends: &u8| usize::from(*ends) >= ENDS_TO_QUARANTINE;
        self.0
            .iter()
            .filter(move |(_, ends)| full(ends))
            .map(|(c, _)| c)
    }

    /// How many contents are in it.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
