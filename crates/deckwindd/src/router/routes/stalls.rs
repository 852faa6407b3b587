//! Finds the stage that a stalled stream waits for.
//!
//! A stalled stream may wait behind others, or for a stage that is gone. Its first
//! engine knows which. The engine is asked once for all streams that began there.

use super::Routes;
use deckwind_core::routes::TargetFault;
use deckwind_net::clock::Clock;
use deckwind_net::edge::{EngineDialect, EngineReport};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of a request for a report: a hundred round trips.
const REPORT_WITHIN: Duration = Duration::from_millis(300);

/// Time between two reports of one engine. Reports lag by some 200 ms, so the second or
/// third one shows the cause of the stall.
const ASK_EVERY: Duration = Duration::from_millis(150);

/// Time of the last request for a report, by engine.
pub struct StallWatch {
    dialect: Arc<dyn EngineDialect>,
    asked: Mutex<HashMap<SocketAddr, Instant>>,
}

impl StallWatch {
    /// Creates the record of requests, without any.
    pub fn new(dialect: Arc<dyn EngineDialect>) -> Self {
        Self {
            dialect,
            asked: Mutex::default(),
        }
    }

    /// Asks the first engine of a stalled stream for a report, unless it was asked
    /// recently, and marks the stages that it names as down.
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
            // The engine answered, so it is up; which stage it waits for stays unknown.
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
