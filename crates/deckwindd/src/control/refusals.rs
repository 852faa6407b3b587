//! Announcements that aren't taken: each is counted, a few are logged.

use deckwind_core::control::AnnouncementFault;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Between two lines of one kind: what comes in between is counted in the next.
pub const LOG_EVERY: Duration = Duration::from_secs(1);

struct Logged {
    at: Instant,
    left_out: u64,
}

/// What was logged of each kind of fault.
#[derive(Default)]
pub struct Refusals(Mutex<BTreeMap<AnnouncementFault, Logged>>);

impl Refusals {
    /// An announcement wasn't taken. If it is time for a line, how many were left
    /// out since the last one.
    pub fn note(&self, now: Instant, fault: AnnouncementFault) -> Option<u64> {
        let mut all = self.0.lock().expect("no holder panics");
        let Some(logged) = all.get_mut(&fault) else {
            let first = Logged {
                at: now,
                left_out: 0,
            };
            all.insert(fault, first);
            return Some(0);
        };
        if now.duration_since(logged.at) < LOG_EVERY {
            logged.left_out += 1;
            return None;
        }
        logged.at = now;
        Some(std::mem::take(&mut logged.left_out))
    }
}
