//! Watches streams for the ones that fall silent together, and wakes those that
//! should leave an engine.
//!
//! Who is silent, and what to ask, is decided in `deckwind_core::routes::silence`;
//! this keeps the time, asks, and wakes the streams.

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

/// Longest wait for what a first engine says of a stream's path: some forty round
/// trips. Beyond that what the streams show holds.
const ANSWER_WITHIN: Duration = Duration::from_millis(40);

/// Longest try to tell the leader of engines that may be slow.
const TELL_WITHIN: Duration = Duration::from_millis(400);

/// Shortest time between two looks: a thousandth of a core at some 20 us each.
const LOOK_GAP: Duration = Duration::from_millis(5);

/// Between two looks while no stream is watched.
const IDLE: Duration = Duration::from_secs(1);

/// The streams of this router that are watched.
#[derive(Default)]
pub struct Silences {
    inner: Mutex<Inner>,
    /// Something to look at sooner than planned.
    sooner: Notify,
    /// Engines that may be slow, and of which the leader has not been told.
    slow: Mutex<Vec<SocketAddr>>,
    to_tell: Notify,
}

#[derive(Default)]
struct Inner {
    watch: SilenceWatch,
    streams: HashMap<StreamKey, Entry>,
}

/// What is needed to wake a stream, and to ask about it.
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

    /// Watches a stream for as long as the answer lives. Nothing if it has no path.
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

    /// The leader names engines that failed some router.
    pub fn told(&self, now: Instant, failing: &[SocketAddr]) {
        if failing.is_empty() {
            return;
        }
        let mut inner = self.inner();
        inner.watch.told(now, failing);
        drop(inner);
        self.sooner.notify_one();
    }

    /// A stream pauses though all of its stages are there.
    fn pauses(&self, now: Instant, key: StreamKey) {
        let perhaps = self.inner().watch.perhaps_slow(now, key);
        let mut slow = self.slow.lock().expect("no holder panics");
        slow.extend(perhaps);
        self.to_tell.notify_one();
    }

    /// Waits until there are engines that may be slow.
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

    /// A first engine has said, unasked or asked, what became of a stream's path.
    fn answered(&self, now: Instant, key: StreamKey, answer: Answer) -> Option<SocketAddr> {
        let suspect = self.inner().watch.answered(now, key, answer);
        self.sooner.notify_one();
        suspect
    }
}

/// A stream that is watched.
pub struct Watched {
    shared: Arc<RouterShared>,
    key: StreamKey,
    woken: Arc<Notify>,
}

impl Watched {
    /// An event of it came.
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

    /// It goes on over another path.
    pub fn path_is(&self, hold: &Hold) {
        let now = self.shared.clock.now();
        let mut inner = self.shared.routes.silences.inner();
        inner.watch.path_is(now, self.key, hold.addresses());
        if let Some(entry) = inner.streams.get_mut(&self.key) {
            entry.stages = hold.stages().to_vec();
        }
    }

    /// Its first engine says that a stage of its path is gone.
    pub fn stage_gone(&self, stage: SocketAddr) {
        note(&self.shared, self.key, Answer::Gone(stage), "path refused");
    }

    /// Waits until it should leave an engine on its path.
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

/// Looks who is silent, for ever.
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
        // What has come is read before who has not spoken is looked for.
        tokio::task::yield_now().await;
        last = shared.clock.now();
        let found = silences.look(last, at);
        for key in found.to_ask {
            tokio::spawn(ask(shared.clone(), key));
        }
    }
}

/// Orders a stream's first engine to keep the path as it is: it refuses if a stage
/// of it is gone.
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

/// Tells the leader of engines that may be slow, for ever.
pub async fn tell_slow(shared: Arc<RouterShared>) {
    loop {
        let engines = shared.routes.silences.slow().await;
        let request = ControlRequest::PerhapsSlow(engines);
        if let Err(e) = shared.control.ask(&request, TELL_WITHIN).await {
            log::debug!("event=pauses_not_told error={:?}", e.to_string());
        }
    }
}

/// Takes an answer; has an engine that is suspected by it avoided, and tells of it.
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
