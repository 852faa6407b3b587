//! Watches streams, finds those that stall together, and wakes those that should leave
//! an engine.
//!
//! Which streams stall, and which engines to probe, is decided in
//! `deckwind_core::routes::silence`. This module measures the time, sends the probes,
//! and wakes the streams.

use super::hold::Hold;
use crate::router::shared::RouterShared;
use deckwind_core::routes::silence::{Answer, Found, SUSPECTED_FOR, SilenceWatch, StreamKey};
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
const ANSWER_WITHIN: Duration = Duration::from_millis(40);

/// Timeout of a report to the leader about engines that may be slow.
const TELL_WITHIN: Duration = Duration::from_millis(400);

/// Minimum time between two checks: at some 20 us each they use a few thousandths of a
/// core at most.
const LOOK_GAP: Duration = Duration::from_millis(5);

/// Time between two checks while no stream is watched.
const IDLE: Duration = Duration::from_secs(1);

/// The streams of this router that are watched for stalls.
#[derive(Default)]
pub struct Silences {
    inner: Mutex<Inner>,
    /// Notified when a check is due sooner than planned.
    sooner: Notify,
    /// Engines that may be slow and have not been reported to the leader yet.
    slow: Mutex<Vec<SocketAddr>>,
    to_tell: Notify,
}

#[derive(Default)]
struct Inner {
    watch: SilenceWatch,
    streams: HashMap<StreamKey, Entry>,
}

/// What is needed to wake a stream, and to probe its path.
#[derive(Clone)]
struct Entry {
    woken: Arc<Notify>,
    request: String,
    stages: Vec<Stage>,
}

impl Silences {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// Watches a stream until the returned value is dropped. Returns `None` if the
    /// stream has no path.
    pub fn watch(
        shared: &Arc<RouterShared>,
        request: &str,
        hold: &Hold,
        pause: Duration,
    ) -> Option<Watched> {
        let centre = hold.centre()?;
        let silences = &shared.routes.silences;
        let woken = Arc::new(Notify::new());
        let now = shared.clock.now();
        let mut inner = silences.inner();
        let key = inner.watch.begin(now, centre, hold.addresses(), pause);
        let entry = Entry {
            woken: woken.clone(),
            request: request.to_string(),
            stages: hold.stages().to_vec(),
        };
        inner.streams.insert(key, entry);
        let first = inner.watch.streams() == 1;
        drop(inner);
        if first {
            silences.sooner.notify_one();
        }
        Some(Watched {
            shared: shared.clone(),
            key,
            woken,
        })
    }

    /// Records engines that the leader reports as failing at some router.
    pub fn told(&self, now: Instant, failing: &[SocketAddr]) {
        if failing.is_empty() {
            return;
        }
        let mut inner = self.inner();
        inner.watch.told(now, failing);
        drop(inner);
        self.sooner.notify_one();
    }

    /// Queues engines that may be slow for the report to the leader: a stream pauses
    /// though all stages of its path are there.
    fn pauses(&self, now: Instant, key: StreamKey) {
        let perhaps = self.inner().watch.perhaps_slow(now, key);
        let mut slow = self.slow.lock().expect("no holder panics");
        slow.extend(perhaps);
        self.to_tell.notify_one();
    }

    /// Waits for engines that may be slow.
    async fn slow(&self) -> Vec<SocketAddr> {
        loop {
            self.to_tell.notified().await;
            let mut slow = self.slow.lock().expect("no holder panics");
            if !slow.is_empty() {
                return std::mem::take(&mut slow);
            }
        }
    }

    fn look(&self, now: Instant, due: Instant) -> Found {
        let mut inner = self.inner();
        let found = inner.watch.look(now, due);
        let to_move = found.to_move.iter();
        for entry in to_move.filter_map(|key| inner.streams.get(key)) {
            entry.woken.notify_one();
        }
        found
    }

    /// Records what a first engine said about a stream's path, probed or on its own.
    /// Returns the engine that is suspected because of it.
    fn answered(&self, now: Instant, key: StreamKey, answer: Answer) -> Option<SocketAddr> {
        let suspect = self.inner().watch.answered(now, key, answer);
        self.sooner.notify_one();
        suspect
    }
}

/// A watched stream. Dropping it ends the watch.
pub struct Watched {
    shared: Arc<RouterShared>,
    key: StreamKey,
    woken: Arc<Notify>,
}

impl Watched {
    /// Records an event of the stream.
    pub fn event(&self) {
        let routes = &self.shared.routes;
        let now = self.shared.clock.now();
        let cleared = routes.silences.inner().watch.event(now, self.key);
        for engine in cleared {
            routes.book().cleared(engine);
            metrics::counter!("deckwind_route_suspicions_total", "outcome" => "cleared")
                .increment(1);
            log::info!("event=suspicion_cleared target={engine}");
        }
    }

    /// Records that the stream continues over another path.
    pub fn path_is(&self, hold: &Hold) {
        let now = self.shared.clock.now();
        let mut inner = self.shared.routes.silences.inner();
        inner.watch.path_is(now, self.key, hold.addresses());
        if let Some(entry) = inner.streams.get_mut(&self.key) {
            entry.stages = hold.stages().to_vec();
        }
    }

    /// Records that the stream's first engine reports a stage of the path as gone.
    pub fn stage_gone(&self, stage: SocketAddr) {
        note(&self.shared, self.key, Answer::Gone(stage), "path refused");
    }

    /// Waits until the stream should leave an engine on its path.
    pub async fn woken(&self) {
        self.woken.notified().await;
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let mut inner = self.shared.routes.silences.inner();
        inner.watch.end(self.key);
        inner.streams.remove(&self.key);
    }
}

/// Checks for stalled streams in an endless loop.
pub async fn watch_streams(shared: Arc<RouterShared>) {
    let silences = &shared.routes.silences;
    let mut last = shared.clock.now();
    loop {
        let at = silences.inner().watch.look_at();
        let now = shared.clock.now();
        let at = at.unwrap_or(now + IDLE).max(last + LOOK_GAP);
        tokio::select! {
            () = tokio::time::sleep(at.since(now)) => {}
            () = silences.sooner.notified() => {}
        }
        // Lets the streams read events that have already arrived before stalled ones
        // are searched for.
        tokio::task::yield_now().await;
        last = shared.clock.now();
        let found = silences.look(last, at);
        for key in found.to_ask {
            tokio::spawn(ask(shared.clone(), key));
        }
    }
}

/// Probes a stream's path by ordering its first engine to keep it as it is: the engine
/// refuses if a stage is gone.
async fn ask(shared: Arc<RouterShared>, key: StreamKey) {
    let entry = shared.routes.silences.inner().streams.get(&key).cloned();
    let Some(entry) = entry else {
        return;
    };
    let dialect = &shared.cx.dialects.engines;
    let call = dialect.change_path(&entry.request, &entry.stages);
    let first = entry.stages[0].address;
    let called = shared.routes.call_target(first, &call, ANSWER_WITHIN).await;
    let answer = match &called {
        Ok(reply) if reply.status == StatusCode::CONFLICT => dialect
            .path_refused_by(reply.status, &reply.body)
            .map_or(Answer::Unknown, Answer::Gone),
        Ok(_) => Answer::AllThere,
        Err(_) => Answer::Unknown,
    };
    log::info!(
        "event=path_asked request={} first={first} status={} answer={answer:?}",
        entry.request,
        called.map_or(0, |reply| reply.status.as_u16())
    );
    note(&shared, key, answer, "asked");
}

/// Reports engines that may be slow to the leader in an endless loop.
pub async fn tell_slow(shared: Arc<RouterShared>) {
    loop {
        let engines = shared.routes.silences.slow().await;
        let request = ControlRequest::PerhapsSlow(engines);
        if let Err(e) = shared.control.ask(&request, TELL_WITHIN).await {
            log::debug!("event=pauses_not_told error={:?}", e.to_string());
        }
    }
}

/// Handles the result of a probe. An engine that is suspected because of it is avoided
/// and reported to the leader.
fn note(shared: &RouterShared, key: StreamKey, answer: Answer, why: &str) {
    let now = shared.clock.now();
    let routes = &shared.routes;
    if answer == Answer::AllThere {
        routes.silences.pauses(now, key);
    }
    let outcome = match answer {
        Answer::Gone(_) => "confirmed",
        Answer::AllThere => "wrong",
        Answer::Unknown => "unanswered",
    };
    metrics::counter!("deckwind_route_suspicions_total", "outcome" => outcome).increment(1);
    let Some(engine) = routes.silences.answered(now, key, answer) else {
        return;
    };
    routes.book().suspect(now + SUSPECTED_FOR, engine);
    routes.tell_failing(engine);
    log::warn!(
        "event=target_suspected target={engine} answer={outcome} why={why:?} for_ms={}",
        SUSPECTED_FOR.as_millis()
    );
}
