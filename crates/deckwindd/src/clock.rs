//! The one place that reads the VM's clocks.

use deckwind_core::time::Instant;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The monotonic clock, as the core counts it, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

/// The core's time at the start: above zero, which stands for "never".
const START: Duration = Duration::from_secs(1);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// Now.
    pub fn now(&self) -> Instant {
        Instant::ZERO + START + self.origin.elapsed()
    }

    /// Milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |d| d.as_millis() as u64)
    }
}
