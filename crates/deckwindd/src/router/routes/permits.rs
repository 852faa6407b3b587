//! Obtains permits for requests to targets that have named a limit. The leader is asked
//! in one message for all requests that wait at the same time.

use super::Routes;
use crate::router::shared::RouterShared;
use deckwind_core::control::{LeaderTime, LimitKey, PermitRequest, PermitVerdict};
use deckwind_core::routes::Permit;
use deckwind_core::time::Instant;
use deckwind_wire::{ControlReply, ControlRequest};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Time over which waiting requests are collected into one message to the leader: short
/// compared to the time that a request may take.
const BATCH_WINDOW: Duration = Duration::from_millis(2);

/// Timeout of a message to the leader; without an answer requests go to other targets.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which a target is avoided if the leader gave no permit for it, or fewer
/// than were wanted.
const DENIED_BACKOFF: Duration = Duration::from_millis(100);

/// Time for which a target is avoided if no leader answered, so that few requests wait
/// without result while a leader is elected.
const NO_ANSWER_BACKOFF: Duration = Duration::from_millis(500);

/// Outcome for one waiting request.
#[derive(Clone, Copy, Debug)]
enum Verdict {
    /// The target no longer has a limit.
    NotNeeded,
    Permitted(Permit),
    Denied,
}

type Waiter = oneshot::Sender<Verdict>;

/// Error if no permit is available now. Another target may serve the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoPermit;

/// Times of one exchange with the leader: when it was asked, when its answer was
/// received, and when it answered by its own clock.
struct ExchangeTimes {
    asked: Instant,
    now: Instant,
    at: LeaderTime,
}

/// Requests that wait for permits.
#[derive(Default)]
pub struct PermitQueue {
    waiting: Mutex<BTreeMap<LimitKey, Vec<Waiter>>>,
    wanted: Notify,
}

impl PermitQueue {
    fn enqueue(&self, target: &LimitKey) -> oneshot::Receiver<Verdict> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.lock().expect("no holder panics");
        waiting.entry(target.clone()).or_default().push(tx);
        drop(waiting);
        self.wanted.notify_one();
        rx
    }

    fn take_all(&self) -> BTreeMap<LimitKey, Vec<Waiter>> {
        std::mem::take(&mut *self.waiting.lock().expect("no holder panics"))
    }
}

impl Routes {
    /// Waits for what a request needs to be sent to a target: `None` where the target
    /// has no limit, or a permit, returned once it may be used.
    ///
    /// # Errors
    /// If no permit is available.
    pub async fn acquire_permit(
        &self,
        request: &str,
        target: &LimitKey,
    ) -> Result<Option<Permit>, NoPermit> {
        if !self.target_records().limits.is_limited(target) {
            return Ok(None);
        }
        let verdict = self
            .permits
            .enqueue(target)
            .await
            .unwrap_or(Verdict::Denied);
        let outcome = match verdict {
            Verdict::NotNeeded => return Ok(None),
            Verdict::Permitted(_) => "permitted",
            Verdict::Denied => "denied",
        };
        metrics::counter!("deckwind_route_permits_total", "verdict" => outcome).increment(1);
        let Verdict::Permitted(permit) = verdict else {
            log::info!("event=no_permit request={request} {target}");
            return Err(NoPermit);
        };
        let wait = permit.from.since(self.clock.now());
        tokio::time::sleep(wait).await;
        Ok(Some(permit))
    }

    /// Passes the leader's verdict for one target on to the requests that wait for it.
    fn apply_verdict(
        &self,
        times: &ExchangeTimes,
        target: &LimitKey,
        waiters: Vec<Waiter>,
        verdict: &PermitVerdict,
    ) {
        let ExchangeTimes { asked, now, at } = *times;
        let mut waiters = waiters.into_iter();
        match verdict {
            PermitVerdict::Unlimited => {
                if self.target_records().limits.remove_ended(asked, target) {
                    log::info!("event=limit_over {target}");
                }
                waiters.for_each(|w| send_verdict(w, Verdict::NotNeeded));
            }
            PermitVerdict::Permitted(waits) => {
                for (wait, waiter) in waits.iter().zip(&mut waiters) {
                    let permit = Permit::new(asked, now, *wait, at);
                    send_verdict(waiter, Verdict::Permitted(permit));
                }
                self.deny(now, target, waiters, DENIED_BACKOFF);
            }
            PermitVerdict::Denied(wait) => self.deny(now, target, waiters, *wait),
        }
    }

    fn deny(
        &self,
        now: Instant,
        target: &LimitKey,
        waiters: impl ExactSizeIterator<Item = Waiter>,
        wait: Duration,
    ) {
        if waiters.len() > 0 {
            self.target_records()
                .limits
                .record_denial(now, target, wait.max(DENIED_BACKOFF));
        }
        waiters.for_each(|w| send_verdict(w, Verdict::Denied));
    }
}

/// Sends a verdict to a waiting request. If its caller has left, the permit is lost.
fn send_verdict(waiter: Waiter, verdict: Verdict) {
    if waiter.send(verdict).is_err() {
        metrics::counter!("deckwind_route_permits_unused_total").increment(1);
    }
}

/// Requests permits from the leader in an endless loop, as requests need them.
pub async fn request_permits(shared: Arc<RouterShared>) {
    let routes = &shared.routes;
    loop {
        routes.permits.wanted.notified().await;
        tokio::time::sleep(BATCH_WINDOW).await;
        let waiting = routes.permits.take_all();
        if !waiting.is_empty() {
            send_permit_request(&shared, waiting).await;
        }
    }
}

async fn send_permit_request(shared: &RouterShared, waiting: BTreeMap<LimitKey, Vec<Waiter>>) {
    let routes = &shared.routes;
    let asked = shared.clock.now();
    let mut requests = Vec::new();
    let mut requesters = Vec::new();
    for (target, waiters) in waiting {
        let heard = routes
            .target_records()
            .limits
            .limit_report_for(asked, &target);
        let Some(heard) = heard else {
            waiters
                .into_iter()
                .for_each(|w| send_verdict(w, Verdict::NotNeeded));
            continue;
        };
        let wants = waiters.len() as u32;
        requests.push(PermitRequest { heard, wants });
        requesters.push((target, waiters));
    }
    let request = ControlRequest::Permits(shared.holder(), requests);
    let reply = shared.control.ask(&request, REQUEST_TIMEOUT).await;
    let now = shared.clock.now();
    match reply {
        Ok(ControlReply::Permits(answer)) if answer.verdicts.len() == requesters.len() => {
            let at = answer.at;
            let times = ExchangeTimes { asked, now, at };
            for ((target, waiters), verdict) in requesters.into_iter().zip(&answer.verdicts) {
                routes.apply_verdict(&times, &target, waiters, verdict);
            }
        }
        other => {
            let error = other.err().map(|e| e.to_string());
            log::warn!("event=permits_not_answered error={error:?}");
            for (target, waiters) in requesters {
                routes.deny(now, &target, waiters.into_iter(), NO_ANSWER_BACKOFF);
            }
        }
    }
}
