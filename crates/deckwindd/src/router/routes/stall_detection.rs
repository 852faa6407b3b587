//! Watches streams, finds those that stall together, and wakes those that should leave
//! an engine.
//!
//! Which streams stall, and which engines to probe, is decided in
//! `deckwind_core::routes::stall_detection`. This module measures the time, sends the probes,
//! and wakes the streams.

use super::reservation::Reservation;
use crate::router::shared::RouterShared;
use deckwind_core::routes::stall_detection::{
    ProbeResult, SUSPICION_TIMEOUT, StallCheck, StallDetector, StreamKey,
};
use deckwind_core::routing::paths::Stage;
use deckwind_core::time::Instant;
use deckwind_wire::ControlRequest;
use http::StatusCode;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Timeout of a probe of a stream's path at its first engine: some forty round trips.
/// Without an answer the conclusions from the streams themselves hold.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);

/// Timeout of a report to the leader about engines that may be slow.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum time between two checks: at some 20 us each they use a few thousandths of a
/// core at most.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two checks while no stream is watched.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The streams of this router that are watched for stalls.
#[derive(Default)]
pub struct WatchedStreams {
    inner: Mutex<Inner>,
    /// Notified when a check is due sooner than planned.
    check_due: Notify,
    /// Engines that may be slow and have not been reported to the leader yet.
    slow: Mutex<Vec<SocketAddr>>,
    slow_changed: Notify,
}

#[derive(Default)]
struct Inner {
    detector: StallDetector,
    streams: HashMap<StreamKey, Entry>,
}

/// State needed to wake a stream, and to probe its path.
#[derive(Clone)]
struct Entry {
    wake: Arc<Notify>,
    request: String,
    stages: Vec<Stage>,
}

impl WatchedStreams {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// Watches a stream until the returned value is dropped. Returns `None` if the
    /// stream has no path.
    pub fn watch(
        shared: &Arc<RouterShared>,
        request: &str,
        reservation: &Reservation,
        pause: Duration,
    ) -> Option<StreamWatch> {
        let data_centre = reservation.path_data_centre()?;
        let watched_streams = &shared.routes.watched_streams;
        let wake = Arc::new(Notify::new());
        let now = shared.clock.now();
        let mut inner = watched_streams.inner();
        let key = inner
            .detector
            .watch(now, data_centre, reservation.addresses(), pause);
        let entry = Entry {
            wake: wake.clone(),
            request: request.to_string(),
            stages: reservation.stages().to_vec(),
        };
        inner.streams.insert(key, entry);
        let first = inner.detector.streams() == 1;
        drop(inner);
        if first {
            watched_streams.check_due.notify_one();
        }
        Some(StreamWatch {
            shared: shared.clone(),
            key,
            wake,
        })
    }

    /// Records engines that the leader reports as failing at some router.
    pub fn record_failing(&self, now: Instant, failing: &[SocketAddr]) {
        if failing.is_empty() {
            return;
        }
        let mut inner = self.inner();
        inner.detector.suspect_reported(now, failing);
        drop(inner);
        self.check_due.notify_one();
    }

    /// Queues engines that may be slow for the report to the leader: a stream pauses
    /// though all stages of its path are there.
    fn record_slow(&self, now: Instant, key: StreamKey) {
        let candidates = self.inner().detector.slow_candidates(now, key);
        let mut slow = self.slow.lock().expect("no holder panics");
        slow.extend(candidates);
        self.slow_changed.notify_one();
    }

    /// Waits for engines that may be slow.
    async fn next_slow(&self) -> Vec<SocketAddr> {
        loop {
            self.slow_changed.notified().await;
            let mut slow = self.slow.lock().expect("no holder panics");
            if !slow.is_empty() {
                return std::mem::take(&mut slow);
            }
        }
    }

    fn check(&self, now: Instant, due: Instant) -> StallCheck {
        let mut inner = self.inner();
        let found = inner.detector.check(now, due);
        let to_move = found.to_move.iter();
        for entry in to_move.filter_map(|key| inner.streams.get(key)) {
            entry.wake.notify_one();
        }
        found
    }

    /// Records what a first engine said about a stream's path, probed or on its own.
    /// Returns the engine that is suspected because of it.
    fn record_probe(
        &self,
        now: Instant,
        key: StreamKey,
        answer: ProbeResult,
    ) -> Option<SocketAddr> {
        let suspect = self.inner().detector.record_probe(now, key, answer);
        self.check_due.notify_one();
        suspect
    }
}

/// A watched stream. Dropping it ends the watch.
pub struct StreamWatch {
    shared: Arc<RouterShared>,
    key: StreamKey,
    wake: Arc<Notify>,
}

impl StreamWatch {
    /// Records an event of the stream.
    pub fn record_event(&self) {
        let routes = &self.shared.routes;
        let now = self.shared.clock.now();
        let cleared = routes
            .watched_streams
            .inner()
            .detector
            .record_event(now, self.key);
        for engine in cleared {
            routes.target_records().clear_suspicion(engine);
            metrics::counter!("deckwind_route_suspicions_total", "outcome" => "cleared")
                .increment(1);
            log::info!("event=suspicion_cleared target={engine}");
        }
    }

    /// Records that the stream continues over another path.
    pub fn replace_path(&self, reservation: &Reservation) {
        let now = self.shared.clock.now();
        let mut inner = self.shared.routes.watched_streams.inner();
        inner
            .detector
            .replace_path(now, self.key, reservation.addresses());
        if let Some(entry) = inner.streams.get_mut(&self.key) {
            entry.stages = reservation.stages().to_vec();
        }
    }

    /// Records that the stream's first engine reports a stage of the path as gone.
    pub fn record_stage_gone(&self, stage: SocketAddr) {
        handle_probe(
            &self.shared,
            self.key,
            ProbeResult::Gone(stage),
            "path refused",
        );
    }

    /// Waits until the stream should leave an engine on its path.
    pub async fn should_move(&self) {
        self.wake.notified().await;
    }
}

impl Drop for StreamWatch {
    fn drop(&mut self) {
        let mut inner = self.shared.routes.watched_streams.inner();
        inner.detector.unwatch(self.key);
        inner.streams.remove(&self.key);
    }
}

/// Checks for stalled streams in an endless loop.
pub async fn watch_streams(shared: Arc<RouterShared>) {
    let watched_streams = &shared.routes.watched_streams;
    let mut last = shared.clock.now();
    loop {
        let at = watched_streams.inner().detector.next_check_at();
        let now = shared.clock.now();
        let at = at
            .unwrap_or(now + IDLE_CHECK_INTERVAL)
            .max(last + MIN_CHECK_INTERVAL);
        tokio::select! {
            () = tokio::time::sleep(at.since(now)) => {}
            () = watched_streams.check_due.notified() => {}
        }
        // Lets the streams read events that have already arrived before stalled ones
        // are searched for.
        tokio::task::yield_now().await;
        last = shared.clock.now();
        let found = watched_streams.check(last, at);
        for key in found.to_probe {
            tokio::spawn(probe(shared.clone(), key));
        }
    }
}

/// Probes a stream's path by ordering its first engine to keep it as it is: the engine
/// refuses if a stage is gone.
async fn probe(shared: Arc<RouterShared>, key: StreamKey) {
    let entry = shared
        .routes
        .watched_streams
        .inner()
        .streams
        .get(&key)
        .cloned();
    let Some(entry) = entry else {
        return;
    };
    let dialect = &shared.cx.dialects.engines;
    let call = dialect.change_path(&entry.request, &entry.stages);
    let first = entry.stages[0].address;
    let called = shared.routes.call_target(first, &call, PROBE_TIMEOUT).await;
    let answer = match &called {
        Ok(reply) if reply.status == StatusCode::CONFLICT => dialect
            .refusing_engine(reply.status, &reply.body)
            .map_or(ProbeResult::Unknown, ProbeResult::Gone),
        Ok(_) => ProbeResult::AllThere,
        Err(_) => ProbeResult::Unknown,
    };
    log::info!(
        "event=path_asked request={} first={first} status={} answer={answer:?}",
        entry.request,
        called.map_or(0, |reply| reply.status.as_u16())
    );
    handle_probe(&shared, key, answer, "asked");
}

/// Reports engines that may be slow to the leader in an endless loop.
pub async fn report_slow_engines(shared: Arc<RouterShared>) {
    loop {
        let engines = shared.routes.watched_streams.next_slow().await;
        let request = ControlRequest::PerhapsSlow(engines);
        if let Err(e) = shared.control.ask(&request, REPORT_TIMEOUT).await {
            log::debug!("event=pauses_not_told error={:?}", e.to_string());
        }
    }
}

/// Handles the result of a probe. An engine that is suspected because of it is avoided
/// and reported to the leader.
fn handle_probe(shared: &RouterShared, key: StreamKey, answer: ProbeResult, why: &str) {
    let now = shared.clock.now();
    let routes = &shared.routes;
    if answer == ProbeResult::AllThere {
        routes.watched_streams.record_slow(now, key);
    }
    let outcome = match answer {
        ProbeResult::Gone(_) => "confirmed",
        ProbeResult::AllThere => "wrong",
        ProbeResult::Unknown => "unanswered",
    };
    metrics::counter!("deckwind_route_suspicions_total", "outcome" => outcome).increment(1);
    let Some(engine) = routes.watched_streams.record_probe(now, key, answer) else {
        return;
    };
    routes
        .target_records()
        .mark_suspected(now + SUSPICION_TIMEOUT, engine);
    routes.report_down(engine);
    log::warn!(
        "event=target_suspected target={engine} answer={outcome} why={why:?} for_ms={}",
        SUSPICION_TIMEOUT.as_millis()
    );
}
