//! Result of one attempt at a target, by whether the target may have run the request.
//!
//! The statuses 429, 503, 408 and 421 guarantee that a request has not run and never will.
//! A target's own answer with one of them is only passed on for requests that may
//! run more than once, since only those can do without the guarantee.

use crate::state::RouteKind;

/// Outcome of sending a request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request was not sent: there was no connection, or it broke before the first byte.
    NotSent,
    /// The target states, with this status, that it did not run the request.
    NotRun(u16),
    /// The target's complete answer (for a stream: the head) with this status.
    Answered(u16),
    /// No answer in time, an incomplete one, or one for another request. The request may
    /// have run.
    Unanswered,
}

/// Consequence of the outcome for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target's answer is passed on unchanged.
    PassOn,
    /// The attempt has not run. Another target may be tried for any kind of request.
    NotRun,
    /// The attempt may have run. Another target may be tried if the kind of request allows
    /// it; otherwise the caller gets a router error without the guarantee (502 or 504).
    MayHaveRun,
}

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether an answer with this status guarantees that the request has not run.
pub fn guarantees_not_run(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Returns the consequence of one attempt.
pub fn attempt_result(kind: RouteKind, came: AttemptOutcome) -> AttemptResult {
    match came {
        AttemptOutcome::NotSent => AttemptResult::NotRun,
        // A "not run" marker on a success status is contradictory.
        AttemptOutcome::NotRun(status) if (200..300).contains(&status) => AttemptResult::MayHaveRun,
        AttemptOutcome::NotRun(_) => AttemptResult::NotRun,
        AttemptOutcome::Answered(status) if guarantees_not_run(status) && !kind.is_retryable() => {
            AttemptResult::MayHaveRun
        }
        AttemptOutcome::Answered(_) => AttemptResult::PassOn,
        AttemptOutcome::Unanswered => AttemptResult::MayHaveRun,
    }
}
