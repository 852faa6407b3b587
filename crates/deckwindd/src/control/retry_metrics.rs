//! Log lines and metrics of the retries that a leader grants to routers.

use deckwind_core::control::{ControlCore, RetryCounts};
use deckwind_core::time::Instant;
use std::time::Duration;

/// Minimum time between two updates, which limits the log to one line per second and
/// pool.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of each pool as last logged.
#[derive(Default)]
pub struct RetryMetrics {
    at: Option<Instant>,
    last: Vec<RetryCounts>,
}

impl RetryMetrics {
    /// Logs the pools whose counts have changed and updates their metrics.
    pub fn update(&mut self, now: Instant, core: &ControlCore) {
        if self.at.is_some_and(|at| now.since(at) < UPDATE_INTERVAL) {
            return;
        }
        self.at = Some(now);
        let counts = core.retry_counts();
        for pool_counts in counts.iter().filter(|c| !self.last.contains(c)) {
            report(pool_counts);
        }
        self.last = counts;
    }
}

fn report(counts: &RetryCounts) {
    let RetryCounts {
        pool,
        most,
        counts,
        unused,
        wanted,
        routers,
    } = counts;
    log::info!(
        "event=repeats pool={pool} most={most} counts={counts} unused={unused} wanted={wanted} routers={routers}"
    );
    let gauge = |state: &'static str, value: u64| {
        let pool = pool.to_string();
        metrics::gauge!("deckwind_control_repeats", "pool" => pool, "state" => state)
            .set(value as f64);
    };
    gauge("most", *most);
    gauge("counts", *counts);
    gauge("unused", *unused);
    gauge("wanted", *wanted);
}
