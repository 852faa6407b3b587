//! Health from progress, not from liveness alone.
//!
//! ```text
//!           failure, stall, ever slower          progress
//!  weight 1 ─────────► 1/2 ─► 1/4 ─► 1/8 ─► suspended ──(trial after back-off)──► 1/8 ─► … ─► 1
//! ```
//!
//! A target that answers probes but completes nothing keeps its work in
//! flight and makes no progress: that is what is looked at here. What the
//! weight does is left to the policy: it divides the speed.

use crate::time::Instant;
use std::time::Duration;

/// What a target may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// New work by its weight.
    Usable,
    /// One trial may go there now.
    Trial,
    /// Nothing.
    Suspended,
}

/// Steps from full weight down to none.
const STEPS: u32 = 4;

/// With work in flight and nothing done for this long, a target has stalled.
const STALL: Duration = Duration::from_millis(500);

/// First wait before a suspended target is tried again; doubles each time.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);

/// Longest such wait.
const LAST_BACKOFF: Duration = Duration::from_secs(16);

/// A step that takes this many times what was expected is a slow one.
const SLOW_FACTOR: f64 = 4.0;

/// Slow steps in a row that cost one step of weight.
const SLOW_RUN: u32 = 8;

/// Good steps in a row that earn one step of weight back.
const GOOD_RUN: u32 = 8;

/// Health of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    lost: u32,
    in_flight: u32,
    last_progress: Instant,
    slow_run: u32,
    good_run: u32,
    suspended_until: Instant,
    backoffs: u32,
    trial_out: bool,
}

impl Health {
    /// Share of its speed that it is trusted with: 1, 1/2, 1/4, 1/8.
    pub fn weight(&self, now: Instant) -> f64 {
        let stalled = u32::from(self.stalled(now));
        0.5f64.powi((self.lost + stalled * STEPS).min(STEPS - 1) as i32)
    }

    /// What it may get now.
    pub fn state(&self, now: Instant) -> HealthState {
        if self.lost < STEPS && !self.stalled(now) {
            return HealthState::Usable;
        }
        if self.lost >= STEPS && now >= self.suspended_until && !self.trial_out {
            return HealthState::Trial;
        }
        HealthState::Suspended
    }

    fn stalled(&self, now: Instant) -> bool {
        self.in_flight > 0 && now.since(self.last_progress) > STALL
    }

    /// Work was given to it.
    pub fn dispatched(&mut self, now: Instant) {
        if self.lost >= STEPS {
            self.trial_out = true;
        }
        if self.in_flight == 0 {
            self.last_progress = now;
        }
        self.in_flight += 1;
    }

    /// Work left it, done or not.
    pub fn finished(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.last_progress = now;
        }
    }

    /// A step ended that took `took_us` where `expected_us` was expected.
    pub fn progressed(&mut self, now: Instant, took_us: f64, expected_us: f64) {
        self.last_progress = now;
        self.trial_out = false;
        if took_us > expected_us * SLOW_FACTOR {
            self.slow(now);
        } else {
            self.good();
        }
    }

    fn slow(&mut self, now: Instant) {
        self.good_run = 0;
        self.slow_run += 1;
        if self.slow_run >= SLOW_RUN {
            self.slow_run = 0;
            self.lose(now, 1);
        }
    }

    fn good(&mut self) {
        self.slow_run = 0;
        self.good_run += 1;
        let earned = self.lost >= STEPS || self.good_run >= GOOD_RUN;
        if earned && self.lost > 0 {
            self.good_run = 0;
            self.lost -= 1;
        }
        if self.lost == 0 {
            self.backoffs = 0;
        }
    }

    /// It failed: a broken connection, or no answer in time.
    pub fn failed(&mut self, now: Instant) {
        self.trial_out = false;
        self.good_run = 0;
        self.lose(now, STEPS);
    }

    fn lose(&mut self, now: Instant, steps: u32) {
        self.lost = (self.lost + steps).min(STEPS);
        if self.lost == STEPS {
            let wait = FIRST_BACKOFF * 2u32.pow(self.backoffs.min(5));
            self.backoffs += 1;
            self.suspended_until = now + wait.min(LAST_BACKOFF);
        }
    }
}
