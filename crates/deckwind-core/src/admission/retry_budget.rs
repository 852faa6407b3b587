//! Retry policy and retry budget.

use crate::time::Instant;
use std::time::Duration;

/// Part of a retry that each success earns, in thousandths.
const SHARE_MILLI: u64 = 100;

/// One retry, in thousandths.
const RETRY_MILLI: u64 = 1_000;

/// Maximum number of saved retries, in thousandths.
const MAX_SAVED_MILLI: u64 = 50 * RETRY_MILLI;

/// Retry budget: a share of the successes and a small minimum rate, so that the failure of
/// half the targets does not double the load on the rest.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved_milli: u64,
    refilled: Instant,
}

impl RetryBudget {
    /// Creates a budget with one retry.
    pub fn new(now: Instant) -> Self {
        Self {
            saved_milli: RETRY_MILLI,
            refilled: now,
        }
    }

    /// Records the success of a first attempt.
    pub fn record_success(&mut self) {
        self.add(SHARE_MILLI);
    }

    fn add(&mut self, milli: u64) {
        self.saved_milli = (self.saved_milli + milli).min(MAX_SAVED_MILLI);
    }

    /// Uses one retry, if one is available. Each second since the last call earns one more,
    /// even without successes.
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

/// Rules for retrying a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of attempts, including the first.
    pub max_tries: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { max_tries: 3 }
    }
}

impl RetryPolicy {
    /// Whether another attempt is allowed after `tries` attempts. A request that may have
    /// run is only retried if it is repeatable, and never after its deadline.
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
