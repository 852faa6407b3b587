//! A VM's clock that tests can advance as a suspension of the VM would.

use deckwind_net::clock::{Clock, KernelTime, TimeSource};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time source that adds simulated suspensions to the kernel's time: the time since boot
/// advances by them, while timers don't.
#[derive(Debug, Default)]
pub struct VmTime {
    suspended_ms: AtomicU64,
}

impl VmTime {
    /// Creates the time of a VM that was never suspended. It is leaked, since a process
    /// has only few.
    pub fn new() -> &'static Self {
        Box::leak(Box::default())
    }

    /// Returns a clock that uses this time source.
    pub fn clock(&'static self) -> Clock {
        Clock::with_time_source(self)
    }

    /// Simulates a suspension of the VM that has just ended after this time.
    pub fn add_suspension(&self, time: Duration) {
        let ms = time.as_millis() as u64;
        self.suspended_ms.fetch_add(ms, Ordering::SeqCst);
    }
}

impl TimeSource for VmTime {
    fn boottime(&self) -> Duration {
        let suspended = self.suspended_ms.load(Ordering::SeqCst);
        KernelTime.boottime() + Duration::from_millis(suspended)
    }

    fn monotonic(&self) -> Duration {
        KernelTime.monotonic()
    }
}
