//! Rate limit on the state that a leader sends to routers.
//!
//! A large change goes to every router. Sent all at once, it would delay the leader's
//! heartbeats in the queue of its link, and followers that miss heartbeats start an
//! election. Leases are never rate limited: they are granted without the state, for a
//! bounded time.

use crate::time::Instant;
use std::time::Duration;

/// Burst size as a time at the limited rate. It bounds the queue that state may build up
/// on the link.
const BURST_DURATION: Duration = Duration::from_millis(50);

/// Token bucket of bytes that may be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct StateRateLimiter {
    bytes_per_s: f64,
    available: f64,
    updated_at: Instant,
}

impl StateRateLimiter {
    /// Creates a bucket that is full at `now`.
    pub fn new(bytes_per_s: f64, now: Instant) -> Self {
        Self {
            bytes_per_s,
            available: bytes_per_s * BURST_DURATION.as_secs_f64(),
            updated_at: now,
        }
    }

    /// Takes the bytes of one answer if any are available, and returns whether it did. An
    /// answer that is larger than a burst may overdraw the bucket, which then has to
    /// refill before the next answer.
    pub fn take(&mut self, now: Instant, bytes: usize) -> bool {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let capacity = self.bytes_per_s * BURST_DURATION.as_secs_f64();
        self.available = (self.available + passed * self.bytes_per_s).min(capacity);
        if self.available <= 0.0 {
            return false;
        }
        self.available -= bytes as f64;
        true
    }
}
