//! Rate limit on the log lines for refused announcements. The caller counts every
//! refusal in the metrics.

use deckwind_core::control::AnnouncementFault;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Minimum time between two log lines of one kind. The second line gives the number of
/// refusals in between.
pub const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

struct LastLine {
    at: Instant,
    left_out: u64,
}

/// Last log line of each kind of fault.
#[derive(Default)]
pub struct RefusalLog(Mutex<BTreeMap<AnnouncementFault, LastLine>>);

impl RefusalLog {
    /// Records a refused announcement. Returns the number of refusals left out since the
    /// last line if a line is due now, else `None`.
    pub fn record(&self, now: Instant, fault: AnnouncementFault) -> Option<u64> {
        let mut last_lines = self.0.lock().expect("no holder panics");
        let Some(last) = last_lines.get_mut(&fault) else {
            let first = LastLine {
                at: now,
                left_out: 0,
            };
            last_lines.insert(fault, first);
            return Some(0);
        };
        if now.duration_since(last.at) < REFUSAL_LOG_INTERVAL {
            last.left_out += 1;
            return None;
        }
        last.at = now;
        Some(std::mem::take(&mut last.left_out))
    }
}
