//! Planned stop of the router, as the tasks that serve requests see it.

use super::responses::Failure;
use deckwind_core::routes::{PlannedStop, StoppingRequest};
use deckwind_core::state::RouteKind;
use deckwind_core::time::Instant;
use deckwind_net::clock::Clock;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use tokio::sync::watch;

/// The planned stop of the router, if it has begun.
pub struct StopState {
    clock: Clock,
    planned: OnceLock<PlannedStop>,
    answers_ended: watch::Sender<bool>,
    /// Requests that ended because answers are no longer awaited.
    interrupted: AtomicU32,
}

/// Whether a target may have run a request. Clones share the value.
#[derive(Clone, Default)]
pub struct MayHaveRun(Arc<AtomicBool>);

impl MayHaveRun {
    /// Records that the request is sent to a target now.
    pub fn record_sent(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Records that no target has run the request so far, whatever was sent.
    pub fn record_not_run(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    /// Returns the value.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl StopState {
    /// Creates the state of a router that does not stop.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            planned: OnceLock::new(),
            answers_ended: watch::Sender::new(false),
            interrupted: AtomicU32::new(0),
        }
    }

    /// Begins the stop: the router is no longer ready, but still serves requests.
    pub fn begin(&self, stop: PlannedStop) {
        let _ = self.planned.set(stop);
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.planned.get().is_some()
    }

    /// Whether connections of callers are closed after their next answer.
    pub fn closes_connections(&self) -> bool {
        let stop = self.planned.get();
        stop.is_some_and(|s| s.closes_connections(self.clock.now()))
    }

    /// Checks that a request that has just been read is admitted.
    ///
    /// # Errors
    /// If the router stops too soon for it.
    pub fn check_admitted(
        &self,
        id: &str,
        kind: RouteKind,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let req = StoppingRequest {
            kind,
            deadline,
            may_have_run: false,
        };
        self.check(id, &req, PlannedStop::admits)
    }

    /// Checks that an admitted request may be sent to a target now.
    ///
    /// # Errors
    /// If the router stops too soon for it.
    pub fn check_sendable(&self, id: &str, req: &StoppingRequest) -> Result<(), Failure> {
        self.check(id, req, PlannedStop::may_send)
    }

    /// Whether an admitted request may be sent to a target now.
    pub fn may_send(&self, req: &StoppingRequest) -> bool {
        let stop = self.planned.get();
        stop.is_none_or(|s| s.may_send(self.clock.now(), req))
    }

    fn check(
        &self,
        id: &str,
        req: &StoppingRequest,
        allows: fn(&PlannedStop, Instant, &StoppingRequest) -> bool,
    ) -> Result<(), Failure> {
        let now = self.clock.now();
        match self.planned.get() {
            Some(stop) if !allows(stop, now, req) => {
                log_refused(id, now, stop, req);
                Err(Failure::Stopping)
            }
            _ => Ok(()),
        }
    }

    /// Ends all requests that have no answer yet.
    pub fn end_answers(&self) {
        self.answers_ended.send_replace(true);
    }

    /// Waits until answers are no longer awaited.
    pub async fn answers_ended(&self) {
        let mut ended = self.answers_ended.subscribe();
        if ended.wait_for(|ended| *ended).await.is_err() {
            std::future::pending().await
        }
    }

    /// Records a request that ends without the answer of a target, and returns what its caller
    /// is told.
    pub fn interrupt(&self, id: &str, may_have_run: bool) -> Failure {
        self.interrupted.fetch_add(1, Ordering::Relaxed);
        let labels = [("may_have_run", may_have_run.to_string())];
        metrics::counter!("deckwind_route_interrupted_by_stop_total", &labels).increment(1);
        log::warn!("event=interrupted_by_stop request={id} may_have_run={may_have_run}");
        match may_have_run {
            true => Failure::Interrupted,
            false => Failure::Stopping,
        }
    }

    /// Returns the number of requests that were interrupted.
    pub fn interrupted(&self) -> u32 {
        self.interrupted.load(Ordering::Relaxed)
    }
}

fn log_refused(id: &str, now: Instant, stop: &PlannedStop, req: &StoppingRequest) {
    log::info!(
        "event=refused_by_stop request={id} kind={:?} may_have_run={} needs_ms={} left_ms={}",
        req.kind,
        req.may_have_run,
        req.deadline.since(now).as_millis(),
        stop.answers_until().since(now).as_millis()
    );
}
