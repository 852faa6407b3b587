//! Crashes that a router observed itself and whose meaning is not agreed yet.

use crate::state::{Crash, Incarnation, Suspect};
use crate::time::Instant;
use std::time::Duration;

/// Time until the list of suspects has come after the leader agreed on a crash. From then on
/// it says what the crash means.
const LIST_DELAY: Duration = Duration::from_secs(1);

/// Crashes that this router observed while requests with one trait had just begun.
#[derive(Clone, Debug)]
pub(super) struct OwnCrashes {
    pub suspect: Suspect,
    /// Number of crashes known when the last one was recorded, including those seen by
    /// other routers.
    pub known_crashes: usize,
    pub last_crash: Instant,
    /// Incarnation whose crash was recorded last, and the time at which that was agreed.
    pub last_life: Incarnation,
    pub agreed_at: Option<Instant>,
}

impl OwnCrashes {
    /// Creates the record before the crash of `life`, its first one.
    pub fn new(now: Instant, life: &Incarnation) -> Self {
        Self {
            suspect: Suspect::default(),
            known_crashes: 0,
            last_crash: now,
            last_life: life.clone(),
            agreed_at: None,
        }
    }

    /// Records a crash of `life`. `known` is the number of crashes known before, including
    /// those seen by other routers. The new one counts on top of them, as the agreed ones
    /// can't include it yet: from the third crash on, the router that saw it sends the
    /// request to no target.
    pub fn record(&mut self, now: Instant, life: &Incarnation, crash: Crash, known: usize) {
        self.last_crash = now;
        if self.suspect.record(crash) {
            self.known_crashes = self.known_crashes.max(known) + 1;
            self.last_life = life.clone();
            self.agreed_at = None;
        }
    }

    /// Returns whether the agreed list says what the crashes mean.
    pub fn is_agreed(&self, now: Instant) -> bool {
        self.agreed_at.is_some_and(|at| now.since(at) >= LIST_DELAY)
    }
}
