//! Access to the VM's clocks; no other module reads them.
//!
//! A VM may be suspended for seconds. `CLOCK_MONOTONIC`, and with it every timer of the
//! runtime, stops during that time, so a lease measured by it would appear too young by
//! the length of the suspension. Leases and other safety deadlines therefore use the
//! time since boot (`CLOCK_BOOTTIME`), which includes suspensions, and timers for such
//! deadlines are rechecked every 250 ms.

use deckwind_core::time::Instant;
use nix::time::{ClockId, clock_gettime};
use std::pin::pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval at which a running timeout is compared with the clock. On a VM that was
/// suspended meanwhile, a timeout is detected at most this much too late. Most futures
/// complete sooner, so the checks cost nothing. The value is half of the time within
/// which the caller of an expired request must have its answer.
const TIMEOUT_RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Value of the core's time when a clock starts. It is above zero because zero means
/// "never".
const INITIAL_TIME: Duration = Duration::from_secs(1);

/// Source of the time that a [`Clock`] reads.
pub trait TimeSource: Send + Sync {
    /// Returns the time since the VM booted, including time for which it was suspended.
    fn boottime(&self) -> Duration;

    /// Returns the time since the VM booted, without time for which it was suspended.
    /// Timers use this clock.
    fn monotonic(&self) -> Duration;
}

/// Time source that reads the kernel's clocks.
#[derive(Clone, Copy, Debug, Default)]
pub struct KernelTime;

/// Reads a clock of the kernel. Panics if the clock is missing, because without it leases
/// would never expire.
fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    time.expect("Linux has had this clock since 2.6.39").into()
}

impl TimeSource for KernelTime {
    fn boottime(&self) -> Duration {
        read_clock(ClockId::CLOCK_BOOTTIME)
    }

    fn monotonic(&self) -> Duration {
        read_clock(ClockId::CLOCK_MONOTONIC)
    }
}

/// Clock for the core's time and for the wall clock time.
#[derive(Clone, Copy)]
pub struct Clock {
    source: &'static dyn TimeSource,
    origin: Duration,
}

impl Clock {
    /// Creates a clock that reads the kernel's time and starts now.
    pub fn start() -> Self {
        Self::with_time_source(&KernelTime)
    }

    /// Creates a clock that reads `source` and starts now.
    pub fn with_time_source(source: &'static dyn TimeSource) -> Self {
        Self {
            source,
            origin: source.boottime(),
        }
    }

    /// Returns the current time of the core.
    pub fn now(&self) -> Instant {
        let since = self.source.boottime().saturating_sub(self.origin);
        Instant::ZERO + INITIAL_TIME + since
    }

    /// Returns the total time for which the VM was suspended since it booted.
    pub fn suspended_time(&self) -> Duration {
        let monotonic = self.source.monotonic();
        self.source.boottime().saturating_sub(monotonic)
    }

    /// Returns the wall clock time in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |d| d.as_millis() as u64)
    }

    /// Returns the output of a future, or `None` if it takes longer than `within`. Time
    /// for which the VM is suspended counts.
    pub async fn timeout<F: Future>(&self, within: Duration, future: F) -> Option<F::Output> {
        let deadline = self.now() + within;
        let mut future = pin!(future);
        loop {
            let remaining = deadline.since(self.now());
            let output =
                tokio::time::timeout(remaining.min(TIMEOUT_RECHECK_INTERVAL), future.as_mut())
                    .await;
            if let Ok(output) = output {
                return Some(output);
            }
            if deadline <= self.now() {
                return None;
            }
        }
    }
}

impl std::fmt::Debug for Clock {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Clock").field(&self.now()).finish()
    }
}
