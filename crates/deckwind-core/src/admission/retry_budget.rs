//! Retries: of what may be repeated, within a budget.

use crate::time::Instant;
use std::time::Duration;

/// Part of the successes that may be spent on retries, in thousandths.
const SHARE_MILLI: u64 = 100;

/// One retry, in thousandths.
const RETRY_MILLI: u64 = 1_000;

/// Most retries saved up, in thousandths.
const MAX_SAVED_MILLI: u64 = 50 * RETRY_MILLI;

/// A budget of retries: a share of the successes, and a small floor, so that
/// half of the targets failing does not double the load on the rest.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved_milli: u64,
    refilled: Instant,
}

impl RetryBudget {
    /// A budget with one retry in hand.
    pub fn new(now: Instant) -> Self {
        Self {
            saved_milli: RETRY_MILLI,
            refilled: now,
        }
    }

    /// A first try succeeded.
    pub fn succeeded(&mut self) {
        self.add(SHARE_MILLI);
    }

    fn add(&mut self, milli: u64) {
        self.saved_milli = (self.saved_milli + milli).min(MAX_SAVED_MILLI);
    }

    /// Spends one retry, if there is one. A second without any success earns
    /// one too.
    pub fn spend(&mut self, now: Instant) -> bool {
        let idle = now.since(self.refilled).as_millis() as u64;
        self.refilled = now;
        self.add(idle);
        if self.saved_milli < RETRY_MILLI {
            return false;
        }
        self.saved_milli -= RETRY_MILLI;
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
