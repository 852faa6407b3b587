//! Finds the stage that a silent stream waits for.
//!
//! A stream that has been silent for a while may wait behind others, or for a
//! stage that is gone. Its first engine knows which; it is asked once for all
//! the streams that began there.

use super::Routes;
use deckwind_core::routes::TargetFault;
use deckwind_net::clock::Clock;
use deckwind_net::edge::{EngineDialect, EngineReport};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for a report: a hundred round trips.
const REPORT_WITHIN: Duration = Duration::from_millis(300);

/// Between two reports of one engine: its reports lag by some 200 ms, so the
/// second or third one tells of what made the router ask.
const ASK_EVERY: Duration = Duration::from_millis(150);

/// When each engine was last asked.
pub struct StallWatch {
    dialect: Arc<dyn EngineDialect>,
    asked: Mutex<HashMap<SocketAddr, Instant>>,
}

impl StallWatch {
    /// Nobody has been asked.
    pub fn new(dialect: Arc<dyn EngineDialect>) -> Self {
        Self {
            dialect,
            asked: Mutex::default(),
        }
    }

    /// Asks the first engine of a silent stream, unless it was asked lately, and
    /// has the targets that are gone avoided.
    pub async fn look(&self, routes: &Routes, clock: Clock, first: SocketAddr) {
        if !self.is_due(first) {
            return;
        }
        let call = self.dialect.report();
        let called = routes.call_target(first, &call, REPORT_WITHIN).await;
        let body = match called {
            Ok(reply) => reply.body,
            Err(e) => {
                let why = format!("no report: {e}");
                routes.target_failed(clock.now(), first, TargetFault::Down, &why);
                return;
            }
        };
        match self.dialect.read_report(&body) {
            Ok(report) => note_stalled(routes, clock, first, &report),
            // It answered, so it is there; what it waits for isn't told.
            Err(e) => {
                metrics::counter!("deckwind_route_reports_unreadable_total").increment(1);
                log::info!(
                    "event=report_unreadable target={first} error={:?}",
                    e.to_string()
                );
            }
        }
    }

    fn is_due(&self, first: SocketAddr) -> bool {
        let mut asked = self.asked.lock().expect("no holder panics");
        let now = Instant::now();
        let before = asked.get(&first);
        if before.is_some_and(|at| now.duration_since(*at) < ASK_EVERY) {
            return false;
        }
        asked.insert(first, now);
        true
    }
}

fn note_stalled(routes: &Routes, clock: Clock, first: SocketAddr, report: &EngineReport) {
    let mut stages: Vec<SocketAddr> = report.stalled.iter().map(|(_, a)| *a).collect();
    stages.sort_unstable();
    stages.dedup();
    for stage in stages {
        let why = format!("stalled, says {first}");
        routes.target_failed(clock.now(), stage, TargetFault::Down, &why);
    }
}
