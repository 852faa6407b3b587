//! Moves a stream away from engines that fail or leave: over another path with the same
//! first target, or to another target.

use super::super::opening::OpenedStream;
use super::super::reservation::Reservation;
use super::super::stall_detection::{StreamWatch, WatchedStreams};
use super::Relay;
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two checks whether a target on the path is about to leave, and between
/// two attempts to avoid it: a chain is repaired within a second.
pub(super) const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of an order to change the path: a hundred round trips. If the first engine
/// takes longer, it is dead, too.
const PATH_CHANGE_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of other paths that are tried, where an engine on them refuses, before
/// another target is tried.
const MAX_PATHS_TRIED: usize = 5;

/// Way in which a stalled stream continues.
enum Reroute {
    /// Over another path.
    Path(Reservation),
    /// At another target.
    Target(Box<OpenedStream>),
    /// The stream does not continue for now.
    None,
}

/// Replaces the path of a stream, also for the stall detection.
fn switch_path(other: Reservation, watch: Option<&StreamWatch>) -> Reservation {
    if let Some(watch) = watch {
        watch.replace_path(&other);
    }
    other
}

/// Waits until the stream should leave an engine; forever if it is not watched.
pub(super) async fn should_move(watch: Option<&StreamWatch>) {
    match watch {
        Some(watch) => watch.should_move().await,
        None => std::future::pending().await,
    }
}

/// Records the time from the last event to a step of the recovery from a pause.
fn record_pause_step(step: &'static str, since: Duration) {
    metrics::histogram!("deckwind_route_pause_seconds", "step" => step).record(since.as_secs_f64());
}

impl Relay {
    /// Moves the stream to another path if a target on its path is about to leave,
    /// before the stream stalls.
    pub(super) async fn reroute_leaving(
        &mut self,
        reservation: &mut Reservation,
        watch: Option<&StreamWatch>,
    ) {
        if Instant::now() < self.next_path_check {
            return;
        }
        self.next_path_check = Instant::now() + PATH_CHECK_INTERVAL;
        let instances = self.opener.job.shared.routes.instances();
        if !reservation.has_leaving_target(&instances) {
            return;
        }
        let last_event_at = Instant::now();
        if let Some(other) = self.change_path(reservation, last_event_at, watch).await {
            *reservation = switch_path(other, watch);
        }
    }

    /// Moves a stalled stream away from the targets that fail. Returns the stream if it
    /// was resumed at another target.
    pub(super) async fn reroute_failing(
        &mut self,
        reservation: &mut Reservation,
        last_event_at: Instant,
        watch: Option<&StreamWatch>,
    ) -> Option<Box<OpenedStream>> {
        match self.reroute(reservation, last_event_at, watch).await {
            Reroute::Path(other) => {
                *reservation = switch_path(other, watch);
                self.awaits_new_path = true;
                None
            }
            Reroute::Target(next) => Some(next),
            Reroute::None => None,
        }
    }

    /// Moves a stalled stream away from the targets that fail: over another path with
    /// the same first target, which costs no retry, or else to another target.
    async fn reroute(
        &mut self,
        reservation: &Reservation,
        last_event_at: Instant,
        watch: Option<&StreamWatch>,
    ) -> Reroute {
        let is_first_unreliable = reservation.is_first_unreliable();
        record_pause_step("decided", last_event_at.elapsed());
        if !is_first_unreliable
            && let Some(other) = self.change_path(reservation, last_event_at, watch).await
        {
            record_pause_step("changed", last_event_at.elapsed());
            return Reroute::Path(other);
        }
        match self.resume_stalled().await {
            Some(next) => Reroute::Target(next),
            None => Reroute::None,
        }
    }

    /// Moves the stream to another path with the same first target. An engine that
    /// refuses is excluded from the next attempt.
    async fn change_path(
        &self,
        reservation: &Reservation,
        last_event_at: Instant,
        watch: Option<&StreamWatch>,
    ) -> Option<Reservation> {
        let job = &self.opener.job;
        let dialect = &job.shared.cx.dialects.engines;
        let routes = &job.shared.routes;
        let mut avoid = HashSet::new();
        for _ in 0..MAX_PATHS_TRIED {
            let path = reservation.other_path(job, &avoid)?;
            // Counted before it is requested, because other requests choose by this
            // load meanwhile.
            let other = reservation.on_path(job, &path);
            let call = dialect.change_path(&job.head.id, &path.stages);
            let called = routes
                .call_target(reservation.first(), &call, PATH_CHANGE_TIMEOUT)
                .await;
            let (status, refused_by) = match &called {
                Ok(reply) => (
                    reply.status.as_u16(),
                    dialect.refusing_engine(reply.status, &reply.body),
                ),
                Err(_) => (0, None),
            };
            log::info!(
                "event=path_changed request={} silent_ms={} first={} stages={} replaced={} status={status} refused_by={refused_by:?}",
                job.head.id,
                last_event_at.elapsed().as_millis(),
                reservation.first(),
                path.stages.len(),
                reservation.count_replaced(&path),
            );
            metrics::counter!("deckwind_route_paths_changed_total", "status" => status.to_string())
                .increment(1);
            if called.is_ok_and(|reply| reply.status.is_success()) {
                return Some(other);
            }
            let refused_by = refused_by?;
            // A stage that was already on the path needs no further capacity, so its
            // refusal means that it is gone.
            match watch.filter(|_| reservation.addresses().contains(&refused_by)) {
                Some(watch) => watch.record_stage_gone(refused_by),
                None => {
                    let now = job.shared.clock.now();
                    job.shared
                        .routes
                        .target_records()
                        .record_refusal(now, refused_by);
                }
            }
            avoid.insert(refused_by);
        }
        None
    }

    /// Records the first event after a change of the path; `pause` is the time since
    /// the event before it.
    pub(super) fn log_resumed(&mut self, pause: Duration) {
        if !std::mem::take(&mut self.awaits_new_path) {
            return;
        }
        record_pause_step("next_event", pause);
        log::info!(
            "event=stream_goes_on request={} pause_ms={}",
            self.opener.job.head.id,
            pause.as_millis()
        );
    }

    /// Watches the stream for stalls if its route states how long a pause may be.
    pub(super) fn watch(&self, reservation: &Reservation) -> Option<StreamWatch> {
        let job = &self.opener.job;
        let pause = Duration::from_millis(job.route.pause_ms?);
        WatchedStreams::watch(&job.shared, &job.head.id, reservation, pause)
    }
}
