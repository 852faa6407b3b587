//! Log lines and metrics of the rate limits of targets, which the leader enforces over
//! all routers.

use deckwind_core::control::{ControlCore, LimitChange, LimitDecision, TargetLimiter};
use deckwind_core::time::Instant;
use std::time::Duration;

/// Minimum time between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of permits at the last update.
#[derive(Default)]
pub struct LimitMetrics {
    updated_at: Option<Instant>,
    permitted: u64,
    denied: u64,
}

impl LimitMetrics {
    /// Logs and counts the permits granted and denied since the last update.
    pub fn update(&mut self, now: Instant, core: &ControlCore) {
        if self
            .updated_at
            .is_some_and(|at| now.since(at) < UPDATE_INTERVAL)
        {
            return;
        }
        self.updated_at = Some(now);
        let limiter = core.target_limiter();
        metrics::gauge!("deckwind_control_limited_targets")
            .set(limiter.map_or(0, TargetLimiter::limited) as f64);
        let counts = limiter.map_or((0, 0), TargetLimiter::counts);
        let (permitted, denied) = counts;
        // The counts of a new leader start at 0.
        let increase = |now: u64, before: u64| if now < before { now } else { now - before };
        let permits = increase(permitted, self.permitted);
        let denials = increase(denied, self.denied);
        (self.permitted, self.denied) = counts;
        if permits + denials == 0 {
            return;
        }
        let count = |verdict: &'static str, increase: u64| {
            metrics::counter!("deckwind_control_permits_total", "verdict" => verdict)
                .increment(increase);
        };
        count("permitted", permits);
        count("denied", denials);
        log::info!(
            "event=permits permitted={permits} denied={denials} limited={}",
            limiter.map_or(0, TargetLimiter::limited)
        );
    }
}

/// Logs the start, change or end of a limit.
pub fn log_change(note: &LimitDecision) {
    let LimitDecision {
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
