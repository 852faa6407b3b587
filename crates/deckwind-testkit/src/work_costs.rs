//! Cost of a control replica's work in virtual time.
//!
//! A replica on a small share of a core stands still while it works: it reads no message and
//! sends none. The simulation charges each counted unit of work with a time, so that such a
//! standstill can be shown and repeats with its seed.

use deckwind_core::control::{Stopwatch, WorkUnit};
use deckwind_core::time::Instant;
use deckwindd::control::{Effect, EffectSink};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time that each unit of work takes, nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct WorkCosts {
    /// An event of the replicated log.
    pub log_event: u64,
    /// An input of a router, a target or an operator.
    pub input: u64,
    /// A committed entry, applied and answered.
    pub entry: u64,
    /// A row of the evidence on crashes that is scanned.
    pub suspect_row: u64,
    /// An answer to a renewal.
    pub renewal: u64,
    /// A byte of a packed delta.
    pub packed_byte: u64,
}

impl WorkCosts {
    /// Costs on 0.3 of a core. A renewal takes 94 us of a whole core, handled and answered
    /// (`reply_schedule`); the others are in proportion to it.
    pub const SMALL_VM: WorkCosts = WorkCosts {
        log_event: 50_000,
        input: 100_000,
        entry: 150_000,
        suspect_row: 6_000,
        renewal: 200_000,
        packed_byte: 400,
    };

    fn of(&self, unit: WorkUnit) -> u64 {
        match unit {
            WorkUnit::LogEvent => self.log_event,
            WorkUnit::Input => self.input,
            WorkUnit::Entry => self.entry,
            WorkUnit::SuspectRow => self.suspect_row,
            WorkUnit::Renewal => self.renewal,
            WorkUnit::PackedByte => self.packed_byte,
        }
    }
}

/// Time that a replica has worked so far; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkedTime(Arc<AtomicU64>);

impl WorkedTime {
    /// Returns the time worked so far.
    pub fn get(&self) -> Duration {
        Duration::from_nanos(self.0.load(Ordering::Relaxed))
    }
}

/// Effects of a replica, each with the time at which it leaves.
pub(crate) struct TimedOutbox {
    /// Time at which the replica's turn began.
    pub turn_began: Instant,
    /// Time worked before the turn.
    pub worked_before: Duration,
    pub worked: WorkedTime,
    pub effects: VecDeque<(Instant, Effect)>,
}

impl TimedOutbox {
    /// Returns the time that the replica's work has taken it to.
    pub fn time(&self) -> Instant {
        self.turn_began + (self.worked.get() - self.worked_before)
    }
}

impl EffectSink for TimedOutbox {
    fn perform(&mut self, effect: Effect) {
        self.effects.push_back((self.time(), effect));
    }
}

/// Stopwatch that goes on by the costs of the work done, and stands still otherwise.
pub(crate) struct CostStopwatch {
    pub costs: WorkCosts,
    pub worked: WorkedTime,
}

impl Stopwatch for CostStopwatch {
    fn reading(&self) -> Duration {
        self.worked.get()
    }

    fn charge(&mut self, unit: WorkUnit, count: u64) {
        let took = self.costs.of(unit) * count;
        self.worked.0.fetch_add(took, Ordering::Relaxed);
    }
}
