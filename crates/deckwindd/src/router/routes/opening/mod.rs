//! Opens a stream at a target: chooses a path, tries it, and handles failures.
//!
//! Used for the first attempt and for each one that resumes after the last event.

mod attempt;

use super::delivery;
use super::hold::Hold;
use super::relay;
use super::route_answers::{Failure, RouteBody};
use super::route_callers::Job;
use super::run::TargetRun;
use attempt::Ended;
use bytes::Bytes;
use deckwind_core::routes::{
    Choice, Claim, NoChoice, Room, TargetFault, Tries, choose_path, choose_plain,
};
use deckwind_net::targets::TargetConnection;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Number of targets that may refuse a request or be unreachable before it is refused.
const MAX_REFUSED: u32 = 4;

/// Maximum time for which a new request waits for a retry that the leader may grant:
/// enough for a message, a log entry and an answer, and still short enough for the
/// request to be in time.
const REPEAT_WAIT: Duration = Duration::from_millis(150);

/// Share of an answer's estimated tokens that a stream keeps on average over its
/// lifetime, in percent: it begins with none.
const ANSWER_KEPT_PERCENT: u64 = 50;

/// Share of its prompt and average answer that a stream is counted with, in percent. If
/// they were counted in full, requests would be refused while engines still have free
/// capacity. The engine knows its exact load, and refuses what does not fit.
const COUNTED_PERCENT: u64 = 83;

/// A stream that a target has begun.
pub struct Opened {
    /// The load at its path or target.
    pub hold: Hold,
    /// Its run at the target.
    pub run: TargetRun,
    /// The connection that it is received on.
    pub connection: TargetConnection,
    /// Status and headers of the answer.
    pub head: http::response::Parts,
    /// The events.
    pub body: Incoming,
}

/// The answer of a target to an opened request.
pub enum Opening {
    /// A stream.
    Stream(Box<Opened>),
    /// A whole answer that is no stream, to be passed on.
    Whole(StatusCode, HeaderMap, Bytes),
}

/// Opens the streams of one request, and counts its attempts.
pub struct Opener {
    /// The request.
    pub job: Job,
    /// Targets that may have run the request.
    pub tries: Tries,
    refused: u32,
    avoid: HashSet<SocketAddr>,
    /// Whether the next retry has already been taken from the budget.
    paid: bool,
    /// The target that the request was last sent to.
    target: Option<SocketAddr>,
    /// Time at which a target was last chosen.
    chosen: Instant,
    /// Time between choosing the target and sending the request.
    sent_after: Duration,
}

/// Runs one request to its end.
pub async fn run(job: Job) -> Response<RouteBody> {
    let mut opener = Opener {
        tries: Tries::new(job.route.attempts),
        job,
        refused: 0,
        avoid: HashSet::new(),
        paid: false,
        target: None,
        chosen: Instant::now(),
        sent_after: Duration::ZERO,
    };
    let last_event = opener.job.head.last_event;
    match opener.open(last_event, false).await {
        Ok(Opening::Stream(opened)) => relay::start(opener, *opened),
        Ok(Opening::Whole(status, headers, body)) => {
            opener.note(status, "answered", None);
            let job = &opener.job;
            let in_progress = job.shared.begin();
            let deliveries = &job.shared.routes.deliveries;
            let body = delivery::whole(deliveries, &job.recipient(), Some(in_progress), body);
            let mut res = Response::new(body);
            *res.status_mut() = status;
            *res.headers_mut() = headers;
            res
        }
        Err(failure) => {
            opener.note(failure.status(), failure.code(), None);
            failure.response()
        }
    }
}

impl Opener {
    /// Opens a stream after `last_event`. With `again` it is a retry from the first
    /// attempt on.
    pub async fn open(
        &mut self,
        last_event: Option<u64>,
        mut again: bool,
    ) -> Result<Opening, Failure> {
        let mut ran = again;
        let begins = !again;
        loop {
            if !self.job.may_be_sent() {
                return Err(match ran {
                    true => Failure::Broken(Failure::Quarantined.code().to_string()),
                    false => Failure::Quarantined,
                });
            }
            let give_up = |failure: Failure| match ran {
                true => Failure::NotSentAgain(failure.code().to_string()),
                false => failure,
            };
            let choice = self.choose().map_err(give_up)?;
            self.chosen = Instant::now();
            if self.job.left().is_zero() {
                return Err(if ran { Failure::Late } else { Failure::NoTime });
            }
            if !self.job.has_lease() {
                return Err(give_up(Failure::NoLease));
            }
            let paid = std::mem::take(&mut self.paid);
            if again && !paid && !self.repeat_comes(begins).await {
                return Err(give_up(Failure::NoRepeat));
            }
            let ended = match self.attempt(&choice, last_event).await {
                Ok(opening) => return Ok(opening),
                Err(Ended::TurnedAway) => {
                    // Nothing was sent, so the retry that was spent on it is still
                    // available.
                    self.paid = again;
                    continue;
                }
                Err(ended) => ended,
            };
            again = !matches!(ended, Ended::Unreachable(_)) || again;
            ran |= !matches!(ended, Ended::Unreachable(_) | Ended::NotRun(_));
            let judged = self.judge(choice.address, ended);
            // Refusals after an attempt that may have run don't guarantee that the
            // request has not run.
            judged.map_err(|failure| match failure {
                Failure::Refused if ran => Failure::NotSentAgain(failure.code().to_string()),
                other => other,
            })?;
        }
    }

    fn may_repeat(&self) -> bool {
        let now = self.job.shared.clock.now();
        let (pool, id) = (&self.job.pool.name, &self.job.head.id);
        let routes = &self.job.shared.routes;
        routes.may_repeat(now, pool, self.claim(), id)
    }

    /// Whether a retry is available now or, for a new request, is granted soon: the
    /// leader is informed that the budget runs short. A request that has begun does not
    /// wait here, because its first target may still continue.
    async fn repeat_comes(&self, begins: bool) -> bool {
        let until = Instant::now() + REPEAT_WAIT.min(self.job.left());
        loop {
            let came = self.job.shared.routes.repeats_came();
            if self.may_repeat() {
                return true;
            }
            let routes = &self.job.shared.routes;
            let may_come = routes.repeat_may_come(&self.job.pool.name, self.claim());
            if !(begins && may_come) || tokio::time::timeout_at(until, came).await.is_err() {
                return false;
            }
        }
    }

    /// Handles a failed attempt. Returns an error if the request must not be tried
    /// again.
    fn judge(&mut self, address: SocketAddr, ended: Ended) -> Result<(), Failure> {
        let resumable = self.job.route.kind.may_repeat();
        match ended {
            Ended::TurnedAway => {}
            Ended::Unreachable(why) => {
                self.avoid_target(address, TargetFault::Down, &why);
                self.refused += 1;
            }
            Ended::NotRun(at_fault) => {
                self.had_no_room(at_fault.unwrap_or(address));
                self.refused += 1;
            }
            Ended::Stalled => {
                if !(resumable && self.tries_left()) {
                    return Err(Failure::Late);
                }
            }
            Ended::Broken(why) => {
                self.avoid_target(address, TargetFault::Answer, &why);
                if !(resumable && self.tries_left()) {
                    return Err(Failure::Broken(why));
                }
            }
            Ended::Unpromised(status) => {
                self.avoid(address);
                if !(resumable && self.tries_left()) {
                    return Err(Failure::unpromised(status));
                }
            }
        }
        match self.refused > MAX_REFUSED {
            true => Err(Failure::Refused),
            false => Ok(()),
        }
    }

    /// Excludes a target that broke this request off.
    pub fn avoid(&mut self, address: SocketAddr) {
        self.avoid.insert(address);
    }

    /// Whether the request may be sent to another target.
    pub fn tries_left(&self) -> bool {
        self.tries.left(&self.job.shared.routes.instances())
    }

    /// Logs a request that goes to more targets than its route allows, because others
    /// have ended.
    fn note_ended(&self) {
        let attempts = self.job.route.attempts;
        if self.tries.count() <= attempts {
            return;
        }
        metrics::counter!("deckwind_route_tries_beyond_total").increment(1);
        log::info!(
            "event=try_beyond request={} target={:?} tries={} attempts={attempts} ended={} revision={}",
            self.job.head.id,
            self.target,
            self.tries.count(),
            self.tries.ended(&self.job.shared.routes.instances()),
            self.job.shared.revision()
        );
    }

    /// Records that a target refused the request without running it.
    fn had_no_room(&mut self, address: SocketAddr) {
        self.avoid.insert(address);
        let shared = &self.job.shared;
        let now = shared.clock.now();
        shared.routes.had_no_room(now, address);
        let held = shared.routes.book().held(address);
        log::info!(
            "event=target_refused target={address} request={} sent_after_ms={} layer_tokens={} begun={}",
            self.job.head.id,
            self.sent_after.as_millis(),
            held.layer_tokens,
            held.begun
        );
    }

    fn avoid_target(&mut self, address: SocketAddr, fault: TargetFault, why: &str) {
        self.avoid.insert(address);
        let shared = &self.job.shared;
        let why = format!("{why} for {}", self.job.head.id);
        shared
            .routes
            .target_failed(shared.clock.now(), address, fault, &why);
    }

    /// Returns the tokens that the stream is counted with at each engine on its path.
    fn tokens(&self) -> u64 {
        let g = self.job.head.generation.unwrap_or_default();
        let usual = self.job.pool.engine.as_ref().map(|e| e.usual_answer);
        let answer = g.likely.or(usual).unwrap_or(g.most).min(g.most.max(1));
        let kept = g.prompt + answer * ANSWER_KEPT_PERCENT / 100;
        kept * COUNTED_PERCENT / 100
    }

    fn claim(&self) -> Claim {
        match (self.tries.count(), self.job.late) {
            (0, true) => Claim::Late,
            (0, false) => Claim::New,
            _ => Claim::Begun,
        }
    }

    fn choose(&self) -> Result<Choice, Failure> {
        let shared = &self.job.shared;
        let instances = shared.routes.instances();
        let instances = instances.of_pool(&self.job.pool.name);
        let book = shared.routes.book();
        let own = &shared.cx.settings.data_centre;
        let now = shared.clock.now();
        let choice = match self.job.pool.engine.as_ref().filter(|e| e.layers > 0) {
            Some(model) => {
                let tokens = self.tokens();
                let room = Room {
                    tokens,
                    claim: self.claim(),
                    draw: rand::random(),
                };
                choose_path(model, instances, &book, own, room, &self.avoid, now)
            }
            None => {
                let at = rand::random();
                choose_plain(instances, &book, own, &self.avoid, at, now)
            }
        };
        drop(book);
        choice.map_err(|none| {
            self.note_none(&none);
            none.into()
        })
    }

    /// Logs which engine limited the choice if all were full.
    fn note_none(&self, none: &NoChoice) {
        let shared = &self.job.shared;
        if let NoChoice::Full(fullest) = none {
            let held = shared.routes.book().held(fullest.address);
            log::info!(
                "event=no_room request={} claim={:?} wanted={} fullest={} used={:.2} layer_tokens={} begun={} revision={} told_ms_ago={}",
                self.job.head.id,
                self.claim(),
                self.tokens(),
                fullest.address,
                fullest.used,
                held.layer_tokens,
                held.begun,
                shared.revision(),
                shared.routes.told_age(shared.clock.now()).as_millis()
            );
        }
    }

    /// Whether a stalled stream may be resumed at another target.
    pub fn can_move(&self) -> bool {
        let resumable = self.job.route.kind.may_repeat();
        resumable && self.tries_left() && self.job.may_be_sent() && self.choose().is_ok()
    }

    /// Logs the end of the request.
    pub fn note(&self, status: StatusCode, code: &str, stream: Option<&relay::Progress>) {
        let job = &self.job;
        let took = job.shared.clock.now().since(job.arrived);
        let first = stream.and_then(|s| s.first_after);
        if let Some(first) = first {
            metrics::histogram!("deckwind_route_first_event_seconds").record(first.as_secs_f64());
        }
        let target = self.target.map_or("-".to_string(), |a| a.to_string());
        let ms = |d: Option<Duration>| d.map_or(-1, |d| d.as_millis() as i64);
        log::info!(
            "event=stream_ended request={} content={} route={} pool={} target={target} at={} tries={} refused={} tokens={} events={} longest_pause_ms={} first_ms={} revision={} status={} code={code} took_ms={}",
            job.head.id,
            job.content,
            job.route.name,
            job.pool.name,
            stream.map_or("-", |s| s.data_centre.as_str()),
            self.tries.count(),
            self.refused,
            self.tokens(),
            stream.map_or(0, |s| s.events),
            ms(stream.map(|s| s.longest_pause)),
            ms(first),
            job.shared.revision(),
            status.as_u16(),
            took.as_millis()
        );
    }
}
