//! Trials of quarantined contents. A trial is one run that shows whether a content is at fault.
//!
//! ```text
//!  quarantined ── delay ──► a router that is asked for it may request a trial
//!       ▲                        │ the leader proposes it; the log grants it to one router
//!       │                        ▼
//!       ├── target crashed ── one run at that router ── served ──► quarantine ends
//!       └── nothing known, or the router is gone: next trial after a longer delay
//! ```
//!
//! A grant counts whatever becomes of it, so the number of runs of a quarantined content is
//! bounded also where routers, leaders or messages are lost. A router may use a trial for a
//! while from its request on, which is shorter than the delay: there is one at a time.

use super::claims::RouterProcess;
use super::request_trait::RequestTrait;
use crate::time::Instant;
use serde::{Deserialize, Serialize};

/// Maximum number of trials of a content in one quarantine: as many requests as may reach
/// targets once it is known that they crash on them.
pub const MAX_TRIALS: u8 = 3;

/// Delay of the first trial after the last crash, milliseconds, if the content was served
/// before its crashes: it has shown that targets survive it, so chance is likely.
const SERVED_TRIAL_DELAY_MS: u64 = 2_000;

/// The same if no router knows that it was ever served, milliseconds: chance is less likely,
/// and callers that repeat a poison request go on for a while.
const UNSERVED_TRIAL_DELAY_MS: u64 = 60_000;

/// Factor by which the delay grows with each trial.
const DELAY_GROWTH: u64 = 4;

/// Permission of one router to run a quarantined content once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// The router process.
    pub router: RouterProcess,
    /// When the router requested it.
    pub requested: Instant,
    /// When it was granted, by the leader's clock, milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// Request of a router for a trial of a quarantined content that it is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// The content.
    pub content: RequestTrait,
    /// The router process.
    pub router: RouterProcess,
    /// The current time by the router's clock, from which on it may use the trial for a while.
    pub requested: Instant,
    /// Whether the router has served the content.
    pub was_served: bool,
}

/// Trials of one content since it was quarantined.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Trials {
    granted: u8,
    last: Option<Trial>,
}

impl Trials {
    /// Returns the last trial.
    pub fn last(&self) -> Option<&Trial> {
        self.last.as_ref()
    }

    /// Returns whether a trial is due. `crashed_ms` is the time of the last crash.
    pub fn is_due(&self, crashed_ms: u64, was_served: bool, now_ms: u64) -> bool {
        let first = match was_served {
            true => SERVED_TRIAL_DELAY_MS,
            false => UNSERVED_TRIAL_DELAY_MS,
        };
        let delay = first * DELAY_GROWTH.pow(u32::from(self.granted));
        let since = self.last.as_ref().map_or(0, |t| t.at_ms).max(crashed_ms);
        self.granted < MAX_TRIALS && now_ms.saturating_sub(since) >= delay
    }

    /// Grants a trial.
    pub fn grant(&mut self, request: TrialRequest, at_ms: u64) {
        self.granted += 1;
        self.last = Some(Trial {
            router: request.router,
            requested: request.requested,
            at_ms,
        });
    }
}
