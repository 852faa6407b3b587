//! Decides which new connections of callers a router reads.
//!
//! A balancer may hand most new connections to one router. What a router has read it must
//! serve in time, so one that is overloaded closes a part of the new connections before it
//! reads them: their callers try again at once, at other routers.
//!
//! ```text
//!  tasks run late, twice in a row ──► a smaller share of new connections is read
//!  tasks run in time ───────────────► a larger one, up to all
//!  too many connections are open ───► none is read
//! ```
//!
//! The share is never zero, since a router that reads nothing can't tell when the overload is
//! over.

use std::time::Duration;

/// Time between two measurements of how late tasks run.
pub const LAG_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of tasks from which on a router is overloaded. Each event of a stream is delayed by
/// as much, and a request several times.
const MAX_LAG: Duration = Duration::from_millis(60);

/// Factor by which the share falls with each measurement under overload, and summand by which
/// it rises with each other: from all to a tenth takes nine measurements.
const DECREASE: f64 = 0.77;
const INCREASE: f64 = 0.03;

/// Minimum share of the new connections that is read.
const MIN_SHARE: f64 = 0.05;

/// Percentage of the process's file descriptors that connections of callers may use. Each of
/// their requests may need a connection to a target; the rest is for all else.
const CALLERS_PERCENT: usize = 45;

/// Whether a new connection is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateDecision {
    /// It is read.
    Read,
    /// It is closed unread, because tasks run late.
    CloseOverloaded,
    /// It is closed unread, because too many connections are open.
    CloseFull,
}

/// State of the decision at one router.
#[derive(Clone, Debug)]
pub struct ConnectionGate {
    /// Maximum number of open connections of callers.
    max_open: usize,
    /// Share of the new connections that is read.
    share: f64,
    /// Part of a connection that may be read beyond those that were.
    credit: f64,
    was_late: bool,
}

impl ConnectionGate {
    /// Creates the gate of a process that may open this number of file descriptors.
    pub fn new(file_descriptors: usize) -> Self {
        Self {
            max_open: (file_descriptors * CALLERS_PERCENT / 100).max(1),
            share: 1.0,
            credit: 0.0,
            was_late: false,
        }
    }

    /// Records how late a task ran. A single late one does not count: the VM may have been
    /// suspended.
    pub fn record_lag(&mut self, lag: Duration) {
        let is_late = lag >= MAX_LAG;
        self.share = match (is_late, self.was_late) {
            (true, true) => (self.share * DECREASE).max(MIN_SHARE),
            (true, false) => self.share,
            (false, _) => (self.share + INCREASE).min(1.0),
        };
        self.was_late = is_late;
    }

    /// Decides about a new connection, with this number of others open.
    pub fn decide(&mut self, open: usize) -> GateDecision {
        if open >= self.max_open {
            return GateDecision::CloseFull;
        }
        self.credit = (self.credit + self.share).min(1.0);
        if self.credit < 1.0 {
            return GateDecision::CloseOverloaded;
        }
        self.credit -= 1.0;
        GateDecision::Read
    }

    /// Whether connections should be closed after their next answer, so that their callers
    /// spread over other routers.
    pub fn closes_after_answer(&self, open: usize) -> bool {
        self.share < 1.0 || open > self.max_open / 2
    }

    /// Returns the share of the new connections that is read.
    pub fn share(&self) -> f64 {
        self.share
    }
}
