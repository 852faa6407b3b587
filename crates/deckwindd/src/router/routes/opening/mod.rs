//! Opens a stream at a target: chooses a path, tries it, and handles failures.
//!
//! Used for the first attempt and for each one that resumes after the last event.

mod attempt;

use super::delivery;
use super::job::Job;
use super::relay;
use super::reservation::Reservation;
use super::responses::{Failure, RouteBody};
use super::target_run::{TargetRun, format_parts};
use attempt::AttemptError;
use bytes::Bytes;
use deckwind_core::routes::{
    AttemptedTargets, CapacityDemand, ChoiceError, RequestClass, SendVerdict, TargetChoice,
    TargetFault, choose_path, choose_target,
};
use deckwind_net::body::MessageBody;
use deckwind_net::targets::TargetConnection;
use http::{HeaderMap, Response, StatusCode};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Number of targets that may refuse a request or be unreachable before it is refused.
const MAX_REFUSALS: u32 = 4;

/// Maximum time for which a new request waits for a retry that the leader may grant:
/// enough for a message, a log entry and an answer, and still short enough for the
/// request to be in time.
const RETRY_WAIT: Duration = Duration::from_millis(150);

/// Share of an answer's estimated tokens that a stream keeps on average over its
/// lifetime, in percent: it begins with none.
const MEAN_ANSWER_PERCENT: u64 = 50;

/// Share of a stream's prompt and average answer that counts as its load, in percent. If
/// they were counted in full, requests would be refused while engines still have free
/// capacity. The engine knows its exact load, and refuses what does not fit.
const COUNTED_LOAD_PERCENT: u64 = 83;

/// A stream that a target has begun.
pub struct OpenedStream {
    /// The load that the stream causes at its path or target.
    pub reservation: Reservation,
    /// The run of the request at the target.
    pub run: TargetRun,
    /// The connection that the stream is received on.
    pub connection: TargetConnection,
    /// Status and headers of the answer.
    pub head: http::response::Parts,
    /// The events.
    pub body: MessageBody,
}

/// The answer of a target to an opened request.
pub enum OpenOutcome {
    /// A stream.
    Stream(Box<OpenedStream>),
    /// A whole answer that is no stream, to be passed on.
    Whole(StatusCode, HeaderMap, Bytes),
}

/// Opens the streams of one request, and counts its attempts.
pub struct StreamOpener {
    /// The request.
    pub job: Job,
    /// Targets that may have run the request.
    pub attempted: AttemptedTargets,
    refused: u32,
    excluded: HashSet<SocketAddr>,
    /// Whether the next retry has already been taken from the budget.
    retry_spent: bool,
    /// The target that the request was last sent to.
    target: Option<SocketAddr>,
    /// Time at which a target was last chosen.
    chosen_at: Instant,
    /// Time between choosing the target and sending the request.
    send_delay: Duration,
}

/// Runs one request to its end.
pub async fn run(job: Job) -> Response<RouteBody> {
    let mut opener = StreamOpener {
        attempted: AttemptedTargets::new(job.route.attempts),
        job,
        refused: 0,
        excluded: HashSet::new(),
        retry_spent: false,
        target: None,
        chosen_at: Instant::now(),
        send_delay: Duration::ZERO,
    };
    let last_event = opener.job.head.last_event;
    match opener.open(last_event, false).await {
        Ok(OpenOutcome::Stream(opened)) => relay::start(opener, *opened),
        Ok(OpenOutcome::Whole(status, headers, body)) => {
            opener.log_end(status, "answered", None);
            let job = &opener.job;
            let in_progress = job.shared.begin_request();
            let deliveries = &job.shared.routes.deliveries;
            let body = delivery::whole(deliveries, &job.recipient(), Some(in_progress), body);
            let mut res = Response::new(body);
            *res.status_mut() = status;
            *res.headers_mut() = headers;
            res
        }
        Err(failure) => {
            opener.log_end(failure.status(), failure.code(), None);
            failure.response()
        }
    }
}

impl StreamOpener {
    /// Opens a stream after `last_event`. With `is_retry` it is a retry from the first
    /// attempt on.
    pub async fn open(
        &mut self,
        last_event: Option<u64>,
        mut is_retry: bool,
    ) -> Result<OpenOutcome, Failure> {
        let mut may_have_run = is_retry;
        let is_new = !is_retry;
        loop {
            let final_failure = |failure: Failure| match may_have_run {
                true => Failure::NotSentAgain(failure.code().to_string()),
                false => failure,
            };
            match self.job.await_verdict().await {
                SendVerdict::Send | SendVerdict::Trial => {}
                SendVerdict::Undecided => return Err(final_failure(Failure::Undecided)),
                SendVerdict::Quarantined if may_have_run => {
                    return Err(Failure::Broken(Failure::Quarantined.code().to_string()));
                }
                SendVerdict::Quarantined => return Err(Failure::Quarantined),
            }
            let choice = self.choose_target().map_err(final_failure)?;
            self.chosen_at = Instant::now();
            if self.job.time_left().is_zero() {
                return Err(if may_have_run {
                    Failure::Late
                } else {
                    Failure::NoTime
                });
            }
            self.job.check_admitted().map_err(final_failure)?;
            let retry_spent = std::mem::take(&mut self.retry_spent);
            if is_retry && !retry_spent && !self.acquire_retry(is_new).await {
                return Err(final_failure(Failure::NoRepeat));
            }
            let error = match self.attempt(&choice, last_event).await {
                Ok(opening) => return Ok(opening),
                Err(AttemptError::Blocked) => {
                    // Nothing was sent, so the retry that was spent on it is still
                    // available.
                    self.retry_spent = is_retry;
                    continue;
                }
                Err(error) => error,
            };
            is_retry = !matches!(error, AttemptError::Unreachable(_)) || is_retry;
            may_have_run |= !matches!(
                error,
                AttemptError::Unreachable(_) | AttemptError::NotRun(_)
            );
            let handled = self.handle_failure(choice.address, error);
            // Refusals after an attempt that may have run don't guarantee that the
            // request has not run.
            handled.map_err(|failure| match failure {
                Failure::Refused if may_have_run => {
                    Failure::NotSentAgain(failure.code().to_string())
                }
                other => other,
            })?;
        }
    }

    fn spend_retry(&self) -> bool {
        let now = self.job.shared.clock.now();
        let (pool, id) = (&self.job.pool.name, &self.job.head.id);
        let routes = &self.job.shared.routes;
        routes.spend_retry(now, pool, self.claim(), id)
    }

    /// Whether a retry is available now or, for a new request, is granted soon: the
    /// leader is informed that the budget runs short. A request that has begun does not
    /// wait here, because its first target may still continue.
    async fn acquire_retry(&self, is_new: bool) -> bool {
        let deadline = Instant::now() + RETRY_WAIT.min(self.job.time_left());
        loop {
            let granted = self.job.shared.routes.retries_granted();
            if self.spend_retry() {
                return true;
            }
            let routes = &self.job.shared.routes;
            let may_be_granted = routes.retry_may_be_granted(&self.job.pool.name, self.claim());
            if !(is_new && may_be_granted)
                || tokio::time::timeout_at(deadline, granted).await.is_err()
            {
                return false;
            }
        }
    }

    /// Handles a failed attempt. Returns an error if the request must not be tried
    /// again.
    fn handle_failure(&mut self, address: SocketAddr, error: AttemptError) -> Result<(), Failure> {
        let resumable = self.job.route.kind.is_retryable();
        match error {
            AttemptError::Blocked => {}
            AttemptError::Unreachable(why) => {
                self.mark_failed(address, TargetFault::Down, &why);
                self.refused += 1;
            }
            AttemptError::NotRun(at_fault) => {
                self.record_refusal(at_fault.unwrap_or(address));
                self.refused += 1;
            }
            AttemptError::Stalled => {
                if !(resumable && self.tries_left()) {
                    return Err(Failure::Late);
                }
            }
            AttemptError::Broken(why) => {
                self.mark_failed(address, TargetFault::Answer, &why);
                if !(resumable && self.tries_left()) {
                    return Err(Failure::Broken(why));
                }
            }
            AttemptError::NoGuarantee(status) => {
                self.exclude(address);
                if !(resumable && self.tries_left()) {
                    return Err(Failure::without_guarantee(status));
                }
            }
        }
        match self.refused > MAX_REFUSALS {
            true => Err(Failure::Refused),
            false => Ok(()),
        }
    }

    /// Excludes a target that broke this request off.
    pub fn exclude(&mut self, address: SocketAddr) {
        self.excluded.insert(address);
    }

    /// Whether the request may be sent to another target.
    pub fn tries_left(&self) -> bool {
        self.attempted.may_send(&self.job.shared.routes.instances())
    }

    /// Logs a request that goes to more targets than its route allows, because others
    /// have ended.
    fn log_extra_attempt(&self) {
        let attempts = self.job.route.attempts;
        if self.attempted.count() <= attempts {
            return;
        }
        metrics::counter!("deckwind_route_tries_beyond_total").increment(1);
        log::info!(
            "event=try_beyond request={} target={:?} tries={} attempts={attempts} ended={} revision={}",
            self.job.head.id,
            self.target,
            self.attempted.count(),
            self.attempted.ended(&self.job.shared.routes.instances()),
            self.job.shared.revision()
        );
    }

    /// Records that a target refused the request without running it.
    fn record_refusal(&mut self, address: SocketAddr) {
        self.excluded.insert(address);
        let shared = &self.job.shared;
        let now = shared.clock.now();
        shared.routes.record_refusal(now, address);
        let held = shared.routes.target_records().load(address);
        log::info!(
            "event=target_refused target={address} request={} sent_after_ms={} layer_tokens={} begun={}",
            self.job.head.id,
            self.send_delay.as_millis(),
            held.layer_tokens,
            held.begun
        );
    }

    fn mark_failed(&mut self, address: SocketAddr, fault: TargetFault, why: &str) {
        self.excluded.insert(address);
        let shared = &self.job.shared;
        let why = format!("{why} (request {})", self.job.head.id);
        shared
            .routes
            .target_failed(shared.clock.now(), address, fault, &why);
    }

    /// Returns the tokens that the stream is counted with at each engine on its path.
    fn counted_tokens(&self) -> u64 {
        let g = self.job.head.generation.unwrap_or_default();
        let usual = self.job.pool.engine.as_ref().map(|e| e.usual_answer);
        let answer = g
            .estimated_answer_tokens
            .or(usual)
            .unwrap_or(g.max_answer_tokens)
            .min(g.max_answer_tokens.max(1));
        let kept = g.prompt + answer * MEAN_ANSWER_PERCENT / 100;
        kept * COUNTED_LOAD_PERCENT / 100
    }

    fn claim(&self) -> RequestClass {
        match (self.attempted.count(), self.job.is_late) {
            (0, true) => RequestClass::Late,
            (0, false) => RequestClass::New,
            _ => RequestClass::Begun,
        }
    }

    fn choose_target(&self) -> Result<TargetChoice, Failure> {
        let shared = &self.job.shared;
        let instances = shared.routes.instances();
        let instances = instances.of_pool(&self.job.pool.name);
        let records = shared.routes.target_records();
        let own = &shared.cx.settings.data_centre;
        let now = shared.clock.now();
        let choice = match self.job.pool.engine.as_ref().filter(|e| e.layers > 0) {
            Some(model) => {
                let tokens = self.counted_tokens();
                let demand = CapacityDemand {
                    tokens,
                    claim: self.claim(),
                    draw: rand::random(),
                };
                choose_path(model, instances, &records, own, demand, &self.excluded, now)
            }
            None => {
                let at = rand::random();
                choose_target(instances, &records, own, &self.excluded, at, now)
            }
        };
        drop(records);
        choice.map_err(|error| {
            self.log_no_choice(&error);
            error.into()
        })
    }

    /// Logs which engine limited the choice if all were full.
    fn log_no_choice(&self, error: &ChoiceError) {
        let shared = &self.job.shared;
        if let ChoiceError::Full(fullest) = error {
            let held = shared.routes.target_records().load(fullest.address);
            log::info!(
                "event=no_room request={} claim={:?} wanted={} fullest={} used={:.2} layer_tokens={} begun={} revision={} told_ms_ago={}",
                self.job.head.id,
                self.claim(),
                self.counted_tokens(),
                fullest.address,
                fullest.used,
                held.layer_tokens,
                held.begun,
                shared.revision(),
                shared.routes.grant_age(shared.clock.now()).as_millis()
            );
        }
    }

    /// Whether a stalled stream may be resumed at another target.
    pub fn can_move(&self) -> bool {
        let resumable = self.job.route.kind.is_retryable();
        resumable && self.tries_left() && self.job.may_be_sent() && self.choose_target().is_ok()
    }

    /// Logs the end of the request.
    pub fn log_end(&self, status: StatusCode, code: &str, stream: Option<&relay::Progress>) {
        let job = &self.job;
        let took = job.shared.clock.now().since(job.arrived);
        let first = stream.and_then(|s| s.first_after);
        if let Some(first) = first {
            metrics::histogram!("deckwind_route_first_event_seconds").record(first.as_secs_f64());
        }
        let target = self.target.map_or("-".to_string(), |a| a.to_string());
        let ms = |d: Option<Duration>| d.map_or(-1, |d| d.as_millis() as i64);
        log::info!(
            "event=stream_ended request={} content={} parts={} route={} pool={} target={target} at={} tries={} refused={} tokens={} events={} longest_pause_ms={} first_ms={} framing={} open_bytes={} revision={} status={} code={code} took_ms={}",
            job.head.id,
            job.traits.content(),
            format_parts(&job.traits),
            job.route.name,
            job.pool.name,
            stream.map_or("-", |s| s.data_centre.as_str()),
            self.attempted.count(),
            self.refused,
            self.counted_tokens(),
            stream.map_or(0, |s| s.events),
            ms(stream.map(|s| s.longest_pause)),
            ms(first),
            stream.map_or("-", |s| s.framing.code()),
            stream.map_or(0, |s| s.open_bytes),
            job.shared.revision(),
            status.as_u16(),
            took.as_millis()
        );
    }
}
