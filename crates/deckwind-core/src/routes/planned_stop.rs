//! Planned stop of a router: which requests are still admitted, which are still sent to
//! targets, and until when answers are awaited.
//!
//! ```text
//! begun             readiness checks        last requests        answers           process
//!   │                  have failed             admitted             end             is killed
//!   ├─── all requests ─────┼─ those that can end ──┼──── none ─────────┼──── margin ────┤
//! ```
//!
//! A request can end if its deadline, which its route's timeout limits, is not after the end of
//! the answers. One that can't is refused unsent, so that another router serves it. A request
//! that may have run already gains nothing from that: it is sent again for as long as answers
//! are awaited.

use crate::state::RouteKind;
use crate::time::Instant;
use std::time::Duration;

/// Maximum time for which all requests are admitted. Load balancers check readiness every
/// second, and remove a router after two failed checks.
const MAX_ADMIT_ALL: Duration = Duration::from_millis(2_800);

/// Maximum time for which requests are admitted at all.
const MAX_ADMIT: Duration = Duration::from_millis(4_500);

/// Maximum time between the end of the answers and the end of the process, for the work that
/// follows the last answer.
const MAX_MARGIN: Duration = Duration::from_millis(600);

/// Minimum number of margins in the time until the process is killed.
const MARGINS_PER_STOP: u32 = 4;

/// Maximum share of the time for answers in which all requests are admitted, in percent.
const ADMIT_ALL_PERCENT: u32 = 40;

/// Maximum share of the time for answers in which requests are admitted at all, in percent.
const ADMIT_PERCENT: u32 = 65;

/// The times of one planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    admits_all_until: Instant,
    admits_until: Instant,
    answers_until: Instant,
}

/// A request, as far as a planned stop is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoppingRequest {
    /// Kind of the request's route.
    pub kind: RouteKind,
    /// Time at which the request ends at the latest: the deadline of its caller, or the timeout
    /// of its route if that is earlier.
    pub deadline: Instant,
    /// Whether a target may have run the request already.
    pub may_have_run: bool,
}

impl PlannedStop {
    /// Creates the times of a stop that begins now, and in which requests in progress may take
    /// `max_drain`. The process is killed after `killed_after`, if that is set.
    pub fn new(now: Instant, max_drain: Duration, killed_after: Option<Duration>) -> Self {
        let until_killed = killed_after.map(|d| d - MAX_MARGIN.min(d / MARGINS_PER_STOP));
        let answers_for = until_killed.unwrap_or(max_drain).min(max_drain);
        let share = |percent: u32| answers_for / 100 * percent;
        Self {
            admits_all_until: now + MAX_ADMIT_ALL.min(share(ADMIT_ALL_PERCENT)),
            admits_until: now + MAX_ADMIT.min(share(ADMIT_PERCENT)),
            answers_until: now + answers_for,
        }
    }

    /// Returns the time from which no new request is admitted.
    pub fn admits_until(&self) -> Instant {
        self.admits_until
    }

    /// Returns the time at which requests without an answer end.
    pub fn answers_until(&self) -> Instant {
        self.answers_until
    }

    /// Whether connections of callers are closed after their next answer: load balancers have
    /// had time to remove this router.
    pub fn closes_connections(&self, now: Instant) -> bool {
        now >= self.admits_all_until
    }

    /// Whether a request that has just been read is admitted. A stream lasts as long as its
    /// caller reads it, so none is admitted once load balancers have removed the router.
    pub fn admits(&self, now: Instant, req: &StoppingRequest) -> bool {
        let is_late_stream = req.kind.is_stream() && self.closes_connections(now);
        now < self.admits_until && !is_late_stream && self.may_send(now, req)
    }

    /// Whether an admitted request may be sent to a target.
    pub fn may_send(&self, now: Instant, req: &StoppingRequest) -> bool {
        if now < self.admits_all_until {
            return true;
        }
        match req.may_have_run {
            true => now < self.answers_until,
            false => req.deadline <= self.answers_until,
        }
    }
}
