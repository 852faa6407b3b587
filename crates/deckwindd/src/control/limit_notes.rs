//! Lines and metrics of the limits that a leader keeps for all routers.

use deckwind_core::control::{ControlCore, LimitChange, LimitDesk, LimitNote};
use deckwind_core::time::Instant;
use std::time::Duration;

/// Shortest time between two looks.
const EVERY: Duration = Duration::from_secs(1);

/// What was last noted.
#[derive(Default)]
pub struct LimitNotes {
    at: Option<Instant>,
    permitted: u64,
    denied: u64,
}

impl LimitNotes {
    /// Notes what was permitted and denied since the last look.
    pub fn look(&mut self, now: Instant, core: &ControlCore) {
        if self.at.is_some_and(|at| now.since(at) < EVERY) {
            return;
        }
        self.at = Some(now);
        let desk = core.limit_desk();
        metrics::gauge!("deckwind_control_limited_targets")
            .set(desk.map_or(0, LimitDesk::limited) as f64);
        let counts = desk.map_or((0, 0), LimitDesk::counts);
        let (permitted, denied) = counts;
        // A new leader counts from nothing.
        let more = |now: u64, before: u64| if now < before { now } else { now - before };
        let permits = more(permitted, self.permitted);
        let denials = more(denied, self.denied);
        (self.permitted, self.denied) = counts;
        if permits + denials == 0 {
            return;
        }
        let count = |verdict: &'static str, more: u64| {
            metrics::counter!("deckwind_control_permits_total", "verdict" => verdict)
                .increment(more);
        };
        count("permitted", permits);
        count("denied", denials);
        log::info!(
            "event=permits permitted={permits} denied={denials} limited={}",
            desk.map_or(0, LimitDesk::limited)
        );
    }
}

/// A line for each limit that begins, changes or ends.
pub fn note(note: &LimitNote) {
    let LimitNote {
        target,
        change,
        by,
        ago,
    } = note;
    let (event, per_s) = match change {
        LimitChange::Begins(rate) => ("limit_begins", rate.to_string()),
        LimitChange::Becomes(rate) => ("limit_changes", rate.to_string()),
        LimitChange::Ends => ("limit_ends", "-".to_string()),
    };
    log::info!(
        "event={event} {target} per_s={per_s} heard_by={by} ms_ago={}",
        ago.as_millis()
    );
}
