//! What a caller may be told of its request: who ran it decides.
//!
//! 429, 503, 408 and 421 promise that a request has not run and never will. Only
//! a request that may be repeated can do without the promise, so only there a
//! target's own such answer is passed on.

use crate::state::RouteKind;

/// What came back from a target, or did not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Nothing was sent: no connection, or it broke before the first byte.
    NotSent,
    /// The target says that it did not run it, with this status.
    NotRun(u16),
    /// A whole answer of its own (of a stream: the head) with this status.
    Own(u16),
    /// No answer in time, half an answer, or another's: it may have run.
    Nothing,
}

/// What follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The target's answer, unchanged.
    PassOn,
    /// This try has not run: another target may be tried, whatever the kind.
    NotRun,
    /// It may have run: another target may be tried where the kind allows; else
    /// our own failure, which promises nothing (502, 504).
    MayHaveRun,
}

/// Statuses that promise "has not run and never will".
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Whether an answer with this status promises that the request has not run.
pub fn is_promise(status: u16) -> bool {
    PROMISES.contains(&status)
}

/// What one try comes to.
pub fn told(kind: RouteKind, came: Came) -> Told {
    match came {
        Came::NotSent => Told::NotRun,
        // "Not run" beside a success contradicts itself.
        Came::NotRun(status) if (200..300).contains(&status) => Told::MayHaveRun,
        Came::NotRun(_) => Told::NotRun,
        Came::Own(status) if is_promise(status) && !kind.may_repeat() => Told::MayHaveRun,
        Came::Own(_) => Told::PassOn,
        Came::Nothing => Told::MayHaveRun,
    }
}
