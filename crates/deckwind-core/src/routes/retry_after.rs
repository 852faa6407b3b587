//! Retry-after times for callers whose request has not run.
//!
//! The time is short where the reason concerns only this router and the answer can still be
//! on time, and longer where all callers wait for the same condition. It is random within
//! bounds so that callers refused together don't return together.

use crate::state::QUARANTINE_DURATION_MS;
use std::time::Duration;

/// Time in milliseconds over which callers that wait for the end of a rest period are
/// spread, the same as for other unavailable targets.
const REST_SPREAD_MS: f64 = 500.0;

/// The reason why a request was refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The router has no lease.
    NoLease,
    /// The router is stopping or partitioned. Other routers can serve the request.
    OtherRouter,
    /// The router has no retry budget left. Other routers have budgets of their own.
    NoRepeat,
    /// One target refused the request. Other targets are ready.
    NotTaken,
    /// No target is available, or several have refused.
    NoTarget,
    /// All targets are full.
    Full,
    /// All targets are in a rest period. Holds the time until the first one ends.
    Resting(Duration),
    /// The request content is quarantined because targets have crashed while running it.
    Quarantined,
}

impl RefusalReason {
    /// Returns the minimum and maximum time until the caller may retry, in milliseconds.
    fn bounds_ms(self) -> (f64, f64) {
        match self {
            RefusalReason::NoLease => (300.0, 900.0),
            RefusalReason::OtherRouter => (10.0, 60.0),
            // The first attempt through another router costs no retry there, and a stream
            // that begins at once can still be on time.
            RefusalReason::NoRepeat => (20.0, 120.0),
            // An attempt at another target can still be on time.
            RefusalReason::NotTaken => (10.0, 60.0),
            RefusalReason::NoTarget => (200.0, 700.0),
            RefusalReason::Full => (400.0, 2_000.0),
            // Callers that return together would be refused together.
            RefusalReason::Resting(remaining) => {
                let remaining = remaining.as_secs_f64() * 1e3;
                (remaining, remaining + REST_SPREAD_MS)
            }
            // No router serves the request content sooner, see `state::quarantine`.
            RefusalReason::Quarantined => (
                QUARANTINE_DURATION_MS as f64,
                QUARANTINE_DURATION_MS as f64 * 1.1,
            ),
        }
    }

    /// Returns the time after which the caller should retry. `draw` is a random number in
    /// 0..1.
    pub fn retry_after_time(self, draw: f64) -> Duration {
        let (min, max) = self.bounds_ms();
        Duration::from_secs_f64((min + (max - min) * draw) / 1e3)
    }
}
