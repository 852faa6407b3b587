//! What targets say at any replica, gathered for the leader.
//!
//! Every target announces itself once in its period, and almost always says what
//! is agreed already. So every replica takes announcements, compares them with the
//! state applied here, and tells the leader now and then whom it has heard:
//!
//! ```text
//!  targets ─► any replica ──► HeardTargets, one message for many ──► leader ─► one entry
//! ```
//!
//! Nothing is promised to a target that is ready, so it is answered at once; a
//! lost message costs one of its periods. Targets that drain or leave are told
//! only once that is in force, and for those the leader alone answers.

use crate::state::{Instance, Instances, Life, Standing};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Between two tellings when something is to be changed: what comes within four
/// syncs (5 ms each) goes into one entry. 3,000 targets that start within 1.2 s
/// took the leader 1,309 ms of a core a second with an entry each.
const TELL_CHANGES_EVERY: Duration = Duration::from_millis(20);

/// Tellings of targets that have said nothing new, in one period of theirs: so that
/// silence is known hardly later.
const TELL_SAME_IN_PERIOD: u32 = 6;

/// Targets remembered between two tellings; more than announce themselves in
/// that time at any size foreseen (13,000 in 1.2 s).
const MOST: usize = 16_384;

/// Targets that a replica has heard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardTargets {
    /// Lives that said what is agreed, each with the number of its announcement.
    pub same: Vec<(Life, u64)>,
    /// Announcements that say something else, in the order in which they came.
    pub changed: Vec<Instance>,
}

/// How an announcement compares with what is agreed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum News {
    /// Older than what is agreed, or of a life that is over.
    Old,
    /// It says what is agreed.
    Same,
    /// It says something else. Of a life that may be over, too: the leader knows
    /// who is silent.
    Changed,
}

/// Compares an announcement with what is agreed.
pub(super) fn news_of(instance: &Instance, agreed: &Instances) -> News {
    match agreed.standing(&instance.life()) {
        Standing::Ended => return News::Old,
        Standing::Newer | Standing::Doubtful => return News::Changed,
        Standing::Known => {}
    }
    let Some(known) = agreed.get(&instance.id) else {
        return News::Changed;
    };
    if known.announced > instance.announced {
        return News::Old;
    }
    let same = Instance {
        announced: instance.announced,
        ..known.clone()
    };
    match same == *instance {
        true => News::Same,
        false => News::Changed,
    }
}

/// What a replica has heard since it last told the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct HeardBuffer {
    same: BTreeMap<Life, u64>,
    /// In the order in which they came: of two lives at one address the later
    /// counts.
    changed: Vec<Instance>,
    told: Option<Instant>,
}

impl HeardBuffer {
    /// Notes an announcement.
    pub fn note(&mut self, instance: Instance, news: News) {
        if self.same.len() + self.changed.len() >= MOST {
            return;
        }
        match news {
            News::Old => {}
            News::Same => {
                self.same.insert(instance.life(), instance.announced);
            }
            News::Changed => self.changed.push(instance),
        }
    }

    /// What is to be told now, if it is time; `period` is that of the targets.
    pub fn take_if_due(&mut self, now: Instant, period: Duration) -> Option<HeardTargets> {
        let every = match self.changed.is_empty() {
            true => period / TELL_SAME_IN_PERIOD,
            false => TELL_CHANGES_EVERY,
        };
        if self.told.is_some_and(|at| now.since(at) < every) {
            return None;
        }
        self.take(now)
    }

    /// What is to be told, if there is any.
    pub fn take(&mut self, now: Instant) -> Option<HeardTargets> {
        let heard = HeardTargets {
            same: std::mem::take(&mut self.same).into_iter().collect(),
            changed: std::mem::take(&mut self.changed),
        };
        if heard.same.is_empty() && heard.changed.is_empty() {
            return None;
        }
        self.told = Some(now);
        Some(heard)
    }
}

/// When each life was last heard by any replica, and when its silence is to be
/// looked at next. Announcements are numbered within a life.
#[derive(Clone, Debug, Default)]
pub(super) struct HeardTable {
    last: BTreeMap<Life, (Instant, u64)>,
    watched: BTreeMap<Life, Instant>,
    checks: BTreeSet<(Instant, Life)>,
}

impl HeardTable {
    /// A life was heard. False if the announcement was held back on its way, and
    /// has a lower number than one that came: it keeps nobody alive.
    pub fn heard(&mut self, now: Instant, life: &Life, number: u64) -> bool {
        match self.last.get_mut(life) {
            Some((_, known)) if number < *known => return false,
            Some(last) => *last = (now, number),
            None => {
                self.last.insert(life.clone(), (now, number));
            }
        }
        true
    }

    /// When it was heard last.
    pub fn last(&self, life: &Life) -> Option<Instant> {
        self.last.get(life).map(|(at, _)| *at)
    }

    /// Has a life's silence looked at then, unless it is to be looked at anyway.
    pub fn watch(&mut self, life: Life, at: Instant) {
        if !self.watched.contains_key(&life) {
            self.watched.insert(life.clone(), at);
            self.checks.insert((at, life));
        }
    }

    /// A life whose silence is to be looked at now; it is no longer watched.
    pub fn take_due(&mut self, now: Instant) -> Option<Life> {
        let due = self.checks.first().is_some_and(|(at, _)| *at <= now);
        let (_, life) = due.then(|| self.checks.pop_first()).flatten()?;
        self.watched.remove(&life);
        Some(life)
    }

    /// Forgets a life that is over.
    pub fn forget(&mut self, life: &Life) {
        self.last.remove(life);
    }
}
