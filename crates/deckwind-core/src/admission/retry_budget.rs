//! Retries: of what may be repeated, within a budget.

use crate::time::Instant;
use std::time::Duration;

/// Part of the successes that may be spent on retries.
const SHARE: f64 = 0.1;

/// Retries a second that are allowed without any success.
const FLOOR_PER_S: f64 = 1.0;

/// Most retries saved up.
const MAX_SAVED: f64 = 50.0;

/// A budget of retries: a share of the successes, and a small floor, so that
/// half of the targets failing does not double the load on the rest.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
    refilled: Instant,
}

impl RetryBudget {
    /// A budget with one retry in hand.
    pub fn new(now: Instant) -> Self {
        Self {
            saved: 1.0,
            refilled: now,
        }
    }

    /// A first try succeeded.
    pub fn succeeded(&mut self) {
        self.saved = (self.saved + SHARE).min(MAX_SAVED);
    }

    /// Spends one retry, if there is one.
    pub fn spend(&mut self, now: Instant) -> bool {
        let earned = now.since(self.refilled).as_secs_f64() * FLOOR_PER_S;
        self.refilled = now;
        self.saved = (self.saved + earned).min(MAX_SAVED);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Whether and how a failed try is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most tries, the first among them.
    pub max_tries: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { max_tries: 3 }
    }
}

impl RetryPolicy {
    /// Whether another try is allowed after `tries` tries. What may have run
    /// is only repeated if the request is repeatable, and never after its
    /// deadline.
    pub fn allows(
        &self,
        tries: u32,
        repeatable: bool,
        certainly_not_run: bool,
        time_left: Duration,
    ) -> bool {
        let safe = repeatable || certainly_not_run;
        safe && tries < self.max_tries && !time_left.is_zero()
    }
}
