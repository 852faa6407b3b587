//! Target health, derived from progress as well as from liveness.
//!
//! ```text
//!           failure, stall, slow steps           progress
//!  weight 1 ─────────► 1/2 ─► 1/4 ─► 1/8 ─► suspended ──(trial after backoff)──► 1/8 ─► … ─► 1
//! ```
//!
//! A target can answer health checks and still complete nothing. Such a target keeps
//! its work in flight without progress, which is detected here. The effect of the
//! weight is left to the policy, which divides the target's speed by it.

use crate::time::Instant;
use std::time::Duration;

/// The amount of work that a target may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// New work, in proportion to the weight.
    Usable,
    /// A single trial request now.
    Trial,
    /// No work.
    Suspended,
}

/// The number of penalties that takes a target from full weight to suspension.
const MAX_PENALTY: u32 = 4;

/// Time without progress after which a target with work in flight has stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Backoff before the first trial of a suspended target; doubles with each suspension.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// Factor by which a step must exceed its expected time to count as slow.
const SLOW_FACTOR: f64 = 4.0;

/// Consecutive slow steps that cost one penalty.
const SLOW_STEPS_PER_PENALTY: u32 = 8;

/// Consecutive good steps that remove one penalty.
const GOOD_STEPS_PER_RECOVERY: u32 = 8;

/// The health of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    penalty: u32,
    in_flight: u32,
    last_progress: Instant,
    consecutive_slow: u32,
    consecutive_good: u32,
    suspended_until: Instant,
    backoffs: u32,
    trial_in_flight: bool,
}

impl Health {
    /// Returns the share of the target's speed to plan with: 1, 1/2, 1/4 or 1/8.
    pub fn weight(&self, now: Instant) -> f64 {
        let stalled = u32::from(self.is_stalled(now));
        0.5f64.powi((self.penalty + stalled * MAX_PENALTY).min(MAX_PENALTY - 1) as i32)
    }

    /// Returns the amount of work that the target may be given at `now`.
    pub fn state(&self, now: Instant) -> HealthState {
        if self.penalty < MAX_PENALTY && !self.is_stalled(now) {
            return HealthState::Usable;
        }
        if self.penalty >= MAX_PENALTY && now >= self.suspended_until && !self.trial_in_flight {
            return HealthState::Trial;
        }
        HealthState::Suspended
    }

    fn is_stalled(&self, now: Instant) -> bool {
        self.in_flight > 0 && now.since(self.last_progress) > STALL_TIMEOUT
    }

    /// Records that work was sent to the target.
    pub fn record_dispatch(&mut self, now: Instant) {
        if self.penalty >= MAX_PENALTY {
            self.trial_in_flight = true;
        }
        if self.in_flight == 0 {
            self.last_progress = now;
        }
        self.in_flight += 1;
    }

    /// Records that work at the target ended, whether or not it was completed.
    pub fn record_finish(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.last_progress = now;
        }
    }

    /// Records a step that took `took_us`, where `expected_us` was expected.
    pub fn record_step_time(&mut self, now: Instant, took_us: f64, expected_us: f64) {
        self.last_progress = now;
        self.trial_in_flight = false;
        if took_us > expected_us * SLOW_FACTOR {
            self.record_slow_step(now);
        } else {
            self.record_good_step();
        }
    }

    fn record_slow_step(&mut self, now: Instant) {
        self.consecutive_good = 0;
        self.consecutive_slow += 1;
        if self.consecutive_slow >= SLOW_STEPS_PER_PENALTY {
            self.consecutive_slow = 0;
            self.add_penalty(now, 1);
        }
    }

    fn record_good_step(&mut self) {
        self.consecutive_slow = 0;
        self.consecutive_good += 1;
        let recovers =
            self.penalty >= MAX_PENALTY || self.consecutive_good >= GOOD_STEPS_PER_RECOVERY;
        if recovers && self.penalty > 0 {
            self.consecutive_good = 0;
            self.penalty -= 1;
        }
        if self.penalty == 0 {
            self.backoffs = 0;
        }
    }

    /// Records a failure: a broken connection or a missed deadline.
    pub fn record_failure(&mut self, now: Instant) {
        self.trial_in_flight = false;
        self.consecutive_good = 0;
        self.add_penalty(now, MAX_PENALTY);
    }

    fn add_penalty(&mut self, now: Instant, amount: u32) {
        self.penalty = (self.penalty + amount).min(MAX_PENALTY);
        if self.penalty == MAX_PENALTY {
            let backoff = INITIAL_BACKOFF * 2u32.pow(self.backoffs.min(5));
            self.backoffs += 1;
            self.suspended_until = now + backoff.min(MAX_BACKOFF);
        }
    }
}
