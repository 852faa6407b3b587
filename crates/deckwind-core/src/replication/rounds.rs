//! Rounds in which a learner catches up (Ongaro, dissertation, 2014, section 4.2.1). Each
//! round brings it the entries that the log had when the round began. Under a steady load it
//! never has all entries of the moment; it has caught up once a round is short.

use super::ids::Index;
use crate::time::Instant;
use std::time::Duration;

/// Rounds of one learner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Rounds {
    began: Instant,
    /// Last entry of the current round; none before the first round.
    through: Option<Index>,
    /// Duration of the last round that has ended.
    last: Option<Duration>,
}

impl Rounds {
    pub fn starting_at(now: Instant) -> Self {
        Self {
            began: now,
            through: None,
            last: None,
        }
    }

    /// Ends the current round if the learner has synced up to its last entry, and begins the
    /// next one, which ends with the entry `last`.
    pub fn advance(&mut self, now: Instant, synced: Index, last: Index) {
        let Some(through) = self.through else {
            self.through = Some(last);
            return;
        };
        if synced >= through {
            self.last = Some(now.since(self.began));
            self.began = now;
            self.through = Some(last);
        }
    }

    /// Returns whether the last round took at most `limit`, and the current one has not
    /// taken longer yet.
    pub fn are_short(&self, now: Instant, limit: Duration) -> bool {
        let last = self.last.is_some_and(|took| took <= limit);
        last && now.since(self.began) <= limit
    }
}
