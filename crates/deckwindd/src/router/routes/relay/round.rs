//! Moves a stream away from engines that fail or leave: over another path with the same
//! first target, or to another target.

use super::super::hold::Hold;
use super::super::opening::Opened;
use super::super::silence::{Silences, Watched};
use super::Relay;
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two checks whether a target on the path is about to leave, and between
/// two attempts to avoid it: a chain is repaired within a second.
pub(super) const PATH_LOOK: Duration = Duration::from_millis(250);

/// Timeout of an order to change the path: a hundred round trips. If the first engine
/// takes longer, it is dead, too.
const PATH_WITHIN: Duration = Duration::from_millis(100);

/// Number of other paths that are tried, where an engine on them refuses, before
/// another target is tried.
const PATHS_TRIED: usize = 5;

/// How a stalled stream continues.
enum Round {
    /// Over another path.
    Path(Hold),
    /// At another target.
    Target(Box<Opened>),
    /// Not at all for now.
    None,
}

/// Replaces the path of a stream, also for the stall detection.
fn take_over(other: Hold, watched: Option<&Watched>) -> Hold {
    if let Some(watched) = watched {
        watched.path_is(&other);
    }
    other
}

/// Waits until the stream should leave an engine; forever if it is not watched.
pub(super) async fn woken(watched: Option<&Watched>) {
    match watched {
        Some(watched) => watched.woken().await,
        None => std::future::pending().await,
    }
}

/// Records the time from the last event to a step of the recovery from a pause.
fn record_step(step: &'static str, since: Duration) {
    metrics::histogram!("deckwind_route_pause_seconds", "step" => step).record(since.as_secs_f64());
}

impl Relay {
    /// Moves the stream to another path if a target on its path is about to leave,
    /// before the stream stalls.
    pub(super) async fn leave_draining(&mut self, hold: &mut Hold, watched: Option<&Watched>) {
        if Instant::now() < self.look_at_path {
            return;
        }
        self.look_at_path = Instant::now() + PATH_LOOK;
        let instances = self.opener.job.shared.routes.instances();
        if !hold.is_leaving(&instances) {
            return;
        }
        let heard = Instant::now();
        if let Some(other) = self.change_path(hold, heard, watched).await {
            *hold = take_over(other, watched);
        }
    }

    /// Moves a stalled stream away from the targets that fail. Returns the stream if it
    /// was resumed at another target.
    pub(super) async fn leave_failing(
        &mut self,
        hold: &mut Hold,
        heard: Instant,
        watched: Option<&Watched>,
    ) -> Option<Box<Opened>> {
        match self.go_round(hold, heard, watched).await {
            Round::Path(other) => {
                *hold = take_over(other, watched);
                self.path_is_new = true;
                None
            }
            Round::Target(next) => Some(next),
            Round::None => None,
        }
    }

    /// Moves a stalled stream away from the targets that fail: over another path with
    /// the same first target, which costs no retry, or else to another target.
    async fn go_round(&mut self, hold: &Hold, heard: Instant, watched: Option<&Watched>) -> Round {
        let first = hold.first_is_doubted();
        record_step("decided", heard.elapsed());
        if !first && let Some(other) = self.change_path(hold, heard, watched).await {
            record_step("changed", heard.elapsed());
            return Round::Path(other);
        }
        match self.move_on().await {
            Some(next) => Round::Target(next),
            None => Round::None,
        }
    }

    /// Moves the stream to another path with the same first target. An engine that
    /// refuses is excluded from the next attempt.
    async fn change_path(
        &self,
        hold: &Hold,
        heard: Instant,
        watched: Option<&Watched>,
    ) -> Option<Hold> {
        let job = &self.opener.job;
        let dialect = &job.shared.cx.dialects.engines;
        let routes = &job.shared.routes;
        let mut avoid = HashSet::new();
        for _ in 0..PATHS_TRIED {
            let path = hold.other_path(job, &avoid)?;
            // Counted before it is requested, because other requests choose by this
            // load meanwhile.
            let other = hold.on_path(job, &path);
            let call = dialect.change_path(&job.head.id, &path.stages);
            let called = routes.call_target(hold.first(), &call, PATH_WITHIN).await;
            let (status, refused_by) = match &called {
                Ok(reply) => (
                    reply.status.as_u16(),
                    dialect.path_refused_by(reply.status, &reply.body),
                ),
                Err(_) => (0, None),
            };
            log::info!(
                "event=path_changed request={} silent_ms={} first={} stages={} replaced={} status={status} refused_by={refused_by:?}",
                job.head.id,
                heard.elapsed().as_millis(),
                hold.first(),
                path.stages.len(),
                hold.replaced_by(&path),
            );
            metrics::counter!("deckwind_route_paths_changed_total", "status" => status.to_string())
                .increment(1);
            if called.is_ok_and(|reply| reply.status.is_success()) {
                return Some(other);
            }
            let refused_by = refused_by?;
            // A stage that was already on the path needs no further capacity, so its
            // refusal means that it is gone.
            match watched.filter(|_| hold.addresses().contains(&refused_by)) {
                Some(watched) => watched.stage_gone(refused_by),
                None => {
                    let now = job.shared.clock.now();
                    job.shared.routes.book().had_no_room(now, refused_by);
                }
            }
            avoid.insert(refused_by);
        }
        None
    }

    /// Records the first event after a change of the path; `pause` is the time since
    /// the event before it.
    pub(super) fn note_gone_on(&mut self, pause: Duration) {
        if !std::mem::take(&mut self.path_is_new) {
            return;
        }
        record_step("next_event", pause);
        log::info!(
            "event=stream_goes_on request={} pause_ms={}",
            self.opener.job.head.id,
            pause.as_millis()
        );
    }

    /// Watches the stream for stalls if its route states how long a pause may be.
    pub(super) fn watch(&self, hold: &Hold) -> Option<Watched> {
        let job = &self.opener.job;
        let pause = Duration::from_millis(job.route.pause_ms?);
        Silences::watch(&job.shared, &job.head.id, hold, pause)
    }
}
