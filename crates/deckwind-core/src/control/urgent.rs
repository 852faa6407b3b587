//! How long a router may act without the changes that it lacks.
//!
//! State leaves the leader at a bounded pace, so a router may have to wait for
//! it. Its lease goes on meanwhile, but not for longer than changes may take that
//! callers and targets rely on: releases, keys, targets that drain or are gone.

use crate::state::Revision;
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// How long a router may act without an urgent change: a key that is taken away
/// stops within 5 s everywhere, a release within 2 s where the pace allows. Else a
/// router on a slow link would act on an old release for as long as the copies of all
/// others take.
const MOST_BEHIND: Duration = Duration::from_secs(2);

/// Urgent changes of the last seconds.
#[derive(Clone, Debug)]
pub(super) struct UrgentChanges {
    /// Whoever lacks this has been behind for too long, or since before this
    /// leader's time.
    floor: Revision,
    recent: VecDeque<(Revision, Instant)>,
}

impl UrgentChanges {
    /// Of a leader that begins with the state of this revision.
    pub fn new(floor: Revision) -> Self {
        Self {
            floor,
            recent: VecDeque::new(),
        }
    }

    /// A change was written.
    pub fn note(&mut self, now: Instant, revision: Revision) {
        while let Some((old, at)) = self.recent.front().copied() {
            if now.since(at) < MOST_BEHIND {
                break;
            }
            self.floor = old;
            self.recent.pop_front();
        }
        self.recent.push_back((revision, now));
    }

    /// How much longer a router may act that has applied this; nothing if it lacks
    /// no urgent change.
    pub fn time_left(&self, now: Instant, applied: Revision) -> Option<Duration> {
        if applied < self.floor {
            return Some(Duration::ZERO);
        }
        let (_, since) = self.recent.iter().find(|(r, _)| applied < *r)?;
        Some(MOST_BEHIND.saturating_sub(now.since(*since)))
    }
}
