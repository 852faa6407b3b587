//! Pauses between attempts of a request that finds no leader.
//!
//! All routers notice a lost leader at the same time. Pauses that grow keep their requests from
//! filling the replicas' queues meanwhile, and pauses of random length spread those that come
//! when a leader is back.

use crate::routing::seeded_rng::SeededRng;
use std::time::Duration;

/// Lengths of the pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffLimits {
    /// Longest first pause.
    pub first: Duration,
    /// Factor by which the next pause may be longer.
    pub factor: u32,
    /// Longest pause.
    pub max: Duration,
}

/// The pauses of one request, or of one loop of requests.
pub struct Backoff {
    limits: BackoffLimits,
    longest_next: Duration,
    rng: SeededRng,
}

impl Backoff {
    /// Creates the pauses before the first failure. Different seeds give different pauses.
    pub fn new(limits: BackoffLimits, seed: u64) -> Self {
        Self {
            limits,
            longest_next: limits.first.min(limits.max),
            rng: SeededRng::new(seed, 0),
        }
    }

    /// Returns the pause after a failure: between half of the longest one that is allowed now
    /// and all of it.
    pub fn next_pause(&mut self) -> Duration {
        let longest = self.longest_next;
        self.longest_next = (longest * self.limits.factor).min(self.limits.max);
        let half = longest / 2;
        let micros = (longest - half).as_micros() as u64 + 1;
        half + Duration::from_micros(self.rng.next_u64() % micros)
    }

    /// Records a success: the next pause is a first one.
    pub fn reset(&mut self) {
        self.longest_next = self.limits.first.min(self.limits.max);
    }
}
