//! How fast a leader hands out state.
//!
//! A large change goes to every router. All of it at once would stand in the
//! queue of the leader's link before its heartbeats, and followers that miss
//! those hold an election. Leases are never paced: they go without the state, for
//! a bounded time.

use crate::time::Instant;
use std::time::Duration;

/// What may go out at once, as a time of the pace: the queue that state may
/// make on the link.
const BURST: Duration = Duration::from_millis(50);

/// Bytes that may still go out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    bytes_per_s: f64,
    left: f64,
    at: Instant,
}

impl Pace {
    /// Nothing has gone out yet.
    pub fn new(bytes_per_s: f64, now: Instant) -> Self {
        Self {
            bytes_per_s,
            left: bytes_per_s * BURST.as_secs_f64(),
            at: now,
        }
    }

    /// Takes what one answer needs, if anything is left. An answer larger than
    /// a burst goes out alone.
    pub fn take(&mut self, now: Instant, bytes: usize) -> bool {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        let most = self.bytes_per_s * BURST.as_secs_f64();
        self.left = (self.left + passed * self.bytes_per_s).min(most);
        if self.left <= 0.0 {
            return false;
        }
        self.left -= bytes as f64;
        true
    }
}
