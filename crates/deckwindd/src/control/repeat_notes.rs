//! Lines and metrics of the repeats that a leader gives out.

use deckwind_core::control::{ControlCore, RepeatCounts};
use deckwind_core::time::Instant;
use std::time::Duration;

/// Shortest time between two looks: a line a second for each pool at most.
const EVERY: Duration = Duration::from_secs(1);

/// What was last noted.
#[derive(Default)]
pub struct RepeatNotes {
    at: Option<Instant>,
    last: Vec<RepeatCounts>,
}

impl RepeatNotes {
    /// Notes what has changed.
    pub fn look(&mut self, now: Instant, core: &ControlCore) {
        if self.at.is_some_and(|at| now.since(at) < EVERY) {
            return;
        }
        self.at = Some(now);
        let counts = core.repeat_counts();
        for one in counts.iter().filter(|c| !self.last.contains(c)) {
            note(one);
        }
        self.last = counts;
    }
}

fn note(counts: &RepeatCounts) {
    let RepeatCounts {
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
