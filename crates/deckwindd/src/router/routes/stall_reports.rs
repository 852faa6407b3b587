//! Finds the stage that a stalled stream waits for.
//!
//! A stalled stream may wait behind others, or for a stage that is gone. Its first
//! engine knows which. The engine is asked once for all streams that began there.

use super::Routes;
use deckwind_core::routes::TargetFault;
use deckwind_net::clock::Clock;
use deckwind_net::edge::{EngineDialect, EngineReport};
use deckwind_net::targets::TargetError;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of a request for a report: a hundred round trips.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two reports of one engine. Reports lag by some 200 ms, so the second or
/// third one shows the cause of the stall.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time of the last request for a report, by engine.
pub struct StallReports {
    dialect: Arc<dyn EngineDialect>,
    requested: Mutex<HashMap<SocketAddr, Instant>>,
}

impl StallReports {
    /// Creates the record of requests, without any.
    pub fn new(dialect: Arc<dyn EngineDialect>) -> Self {
        Self {
            dialect,
            requested: Mutex::default(),
        }
    }

    /// Asks the first engine of a stalled stream for a report, unless it was asked
    /// recently, and marks the stages that it names as down.
    pub async fn request_report(&self, routes: &Routes, clock: Clock, first: SocketAddr) {
        if !self.is_due(first) {
            return;
        }
        let call = self.dialect.report();
        let called = routes.call_target(first, &call, REPORT_TIMEOUT).await;
        let body = match called {
            Ok(reply) => reply.body,
            Err(TargetError::Late(_)) if routes.connections.check_path(first).await => {
                log::info!("event=report_cut_off target={first}");
                return;
            }
            Err(e) => {
                let why = format!("report request failed: {e}");
                routes.target_failed(clock.now(), first, TargetFault::Down, &why);
                return;
            }
        };
        match self.dialect.read_report(&body) {
            Ok(report) => mark_stalled_down(routes, clock, first, &report),
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
        let mut requested = self.requested.lock().expect("no holder panics");
        let now = Instant::now();
        let before = requested.get(&first);
        if before.is_some_and(|at| now.duration_since(*at) < REPORT_INTERVAL) {
            return false;
        }
        requested.insert(first, now);
        true
    }
}

fn mark_stalled_down(routes: &Routes, clock: Clock, first: SocketAddr, report: &EngineReport) {
    let mut stages: Vec<SocketAddr> = report.stalled.iter().map(|(_, a)| *a).collect();
    stages.sort_unstable();
    stages.dedup();
    for stage in stages {
        let why = format!("stalled, says {first}");
        routes.target_failed(clock.now(), stage, TargetFault::Down, &why);
    }
}
