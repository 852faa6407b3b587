//! Bound on how long a router may act without the changes it lacks.
//!
//! The leader sends state at a limited rate, so a router may have to wait for it. Its
//! lease is renewed in the meantime, but not beyond the time in which changes that
//! callers and targets rely on must take effect: releases, keys, and targets that drain
//! or are gone.

use crate::state::Revision;
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a router may act without an urgent change. A revoked key must stop
/// working everywhere within 5 s, and a release must take effect within 2 s where the
/// rate limit allows. Without this bound, a router on a slow link would act on an old
/// release until the copies of all other routers have been sent.
const MAX_STALENESS: Duration = Duration::from_secs(2);

/// Urgent changes of the last [`MAX_STALENESS`].
#[derive(Clone, Debug)]
pub(super) struct UrgentChanges {
    /// Routers that lack this revision have been behind for too long, or since before
    /// this leader's term, also if the entry was applied only during the term.
    floor: Revision,
    recent: VecDeque<(Revision, Instant)>,
}

impl UrgentChanges {
    /// Creates the list for a leader that starts with the state at revision `floor`.
    pub fn new(floor: Revision) -> Self {
        Self {
            floor,
            recent: VecDeque::new(),
        }
    }

    /// Records that the changes up to `revision` were accepted in an earlier term: this leader
    /// doesn't know how long ago.
    pub fn record_inherited(&mut self, revision: Revision) {
        self.floor = self.floor.max(revision);
    }

    /// Records an urgent change that was committed now.
    pub fn record(&mut self, now: Instant, revision: Revision) {
        while let Some((old, at)) = self.recent.front().copied() {
            if now.since(at) < MAX_STALENESS {
                break;
            }
            self.floor = self.floor.max(old);
            self.recent.pop_front();
        }
        self.recent.push_back((revision, now));
    }

    /// Returns how much longer a router that has applied revision `applied` may act;
    /// `None` if it lacks no urgent change.
    pub fn time_left(&self, now: Instant, applied: Revision) -> Option<Duration> {
        if applied < self.floor {
            return Some(Duration::ZERO);
        }
        let (_, since) = self.recent.iter().find(|(r, _)| applied < *r)?;
        Some(MAX_STALENESS.saturating_sub(now.since(*since)))
    }
}
