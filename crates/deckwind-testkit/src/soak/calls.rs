//! Requests of callers and operators, and checks of their answers.

use super::environment::Target;
use super::notices::{FaultSpans, id_for_router, router_of};
use crate::answer_check::{
    AnswerEnd, AnswerError, AnswerState, ReceivedBody, check_body, check_framing, read_body,
};
use bytes::Bytes;
use deckwind_fakes::{
    CutAnswer, ENDS_ITS_TARGET, FakeCall, USUAL_TOKENS, prompt_parts, release_document,
    whole_stream,
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// API key of the callers.
pub const KEY: &str = "a-key";

/// Kind of requests that must run at most once; their ids begin with it.
pub const ONCE: &str = "once";

/// Kind of requests with large answers that the caller reads slowly; their ids begin with
/// it.
pub const FLOOD: &str = "flood";

/// Kind of requests that crash each target that runs them (poison requests); their ids
/// begin with it, and all have the same content.
pub const POISON: &str = "ends";

/// Kind of requests for streams that share one part of their prompts and nothing else, and
/// crash each target that runs them; their ids begin with it.
pub const POISON_PART: &str = "part";

/// Kind of requests for streams that can't be resumed; their ids begin with it.
pub const TELL: &str = "tell";

/// Number of events in a [`FLOOD`] answer and bytes of each: more than socket buffers
/// hold at the pace at which the caller reads.
const FLOOD_SIZE: (u64, usize) = (300, 8_000);

/// Pause after each piece that a slow caller reads.
const READ_PAUSE: Duration = Duration::from_millis(2);

type Http = Client<HttpConnector, Full<Bytes>>;

/// A request whose new connection ended without an answer.
pub struct ClosedUnread {
    id: String,
    router: usize,
    sent_at: Instant,
    failed_at: Instant,
}

/// Kind of the requests of a crowd, each on a new connection; their ids begin with it.
const CROWD: &str = "safe";

/// State shared by all tasks.
pub struct Shared {
    pub http: Http,
    /// Opens a connection for each request.
    pub new_connections: Http,
    pub control: Vec<SocketAddr>,
    pub routers: Vec<SocketAddr>,
    pub targets: Mutex<Vec<Arc<Target>>>,
    /// Highest release version that was acknowledged.
    pub acknowledged: AtomicU64,
    pub requests: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    /// Answers that their targets cut where nobody can tell that from their end.
    pub cut_unseen: AtomicU64,
    /// Answers whose callers saw that they were broken off.
    pub broken: AtomicU64,
    /// Requests whose new connections were closed without an answer, thus unread.
    pub unread: AtomicU64,
    /// Requests whose answers said that they were not run, and those that were not read.
    pub not_run: Mutex<BTreeSet<String>>,
    pub violations: Mutex<Vec<String>>,
    /// Times at which each router was killed, stopped or suspended.
    pub router_faults: Vec<FaultSpans>,
    /// Spans in which each router was killed, by router: from before the signal until the
    /// process was gone.
    pub router_kills: Vec<FaultSpans>,
    pub closed_unread: Mutex<Vec<ClosedUnread>>,
    pub stop: AtomicBool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Refused,
    Unknown,
}

impl Shared {
    pub fn next_id(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed)
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("no holder panics").clone()
    }

    pub fn record_violation(&self, what: String) {
        self.violations.lock().expect("no holder panics").push(what);
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Option<(StatusCode, ReceivedBody)> {
        let (status, _, body) = self.send_and_read(req, Duration::ZERO).await?;
        Some((status, body))
    }

    /// Sends a request and reads the answer with a pause after each piece. Returns the
    /// status, whether the head says where the body ends, and the body as far as it came.
    async fn send_and_read(
        &self,
        req: Request<Full<Bytes>>,
        pause: Duration,
    ) -> Option<(StatusCode, Result<(), AnswerError>, ReceivedBody)> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let sending = tokio::time::timeout(REQUEST_TIMEOUT, self.http.request(req));
        let res = sending.await.ok()?.ok()?;
        Some(read_answer(res, pause, deadline).await)
    }

    /// Tries the replicas in turn until one answers with 200.
    pub async fn call_control(&self, method: &str, path: &str, body: &Value) -> Option<Bytes> {
        for address in &self.control {
            let req = Request::builder()
                .method(method)
                .uri(format!("http://{address}{path}"))
                .body(Full::new(Bytes::from(body.to_string())))
                .ok()?;
            if let Some((StatusCode::OK, body)) = self.send(req).await
                && body.end == AnswerEnd::Complete
            {
                return Some(body.bytes);
            }
        }
        None
    }

    pub async fn publish(&self, version: u64) {
        let document = release_document(version, &[KEY]);
        let put = self.call_control("POST", "/v1/config/put", &document).await;
        if put.is_some() {
            self.acknowledged.fetch_max(version, Ordering::Relaxed);
        }
    }

    pub async fn read_version(&self) -> Option<u64> {
        let read = self
            .call_control("GET", "/v1/config/get", &Value::Null)
            .await?;
        let read: Value = serde_json::from_slice(&read).ok()?;
        read["version"].as_u64()
    }

    pub async fn request(&self, kind: &str, id: &str, router: usize) -> Outcome {
        let router = router % self.routers.len();
        let address = self.routers[router];
        let id = &id_for_router(id, router);
        let (path, pause) = match kind {
            FLOOD => (
                format!("/stream/flood-{}-{}", FLOOD_SIZE.0, FLOOD_SIZE.1),
                READ_PAUSE,
            ),
            POISON => (format!("/stream{ENDS_ITS_TARGET}"), Duration::ZERO),
            POISON_PART => (format!("/stream/{id}"), Duration::ZERO),
            _ => (format!("/{kind}/x"), Duration::ZERO),
        };
        let generation = matches!(kind, "stream" | TELL | FLOOD | POISON | POISON_PART);
        let parts = prompt_parts(id, kind == POISON_PART);
        let call = FakeCall {
            tokens: generation.then_some(USUAL_TOKENS),
            prompt_parts: generation.then_some(&parts),
            ..FakeCall::new(id, &path, KEY)
        };
        let Ok(req) = call.request(address) else {
            return Outcome::Unknown;
        };
        let sent_at = Instant::now();
        let Some((status, framing, body)) = self.send_and_read(req, pause).await else {
            return Outcome::Unknown;
        };
        if let Err(e) = framing {
            self.record_violation(format!("{id} ({status}): {e}"));
        }
        self.check_answer(kind, id, status, &body, sent_at)
    }

    /// Sends a request of a crowd on a new connection. Returns whether the router read it, as
    /// far as can be told: one that closes a new connection without an answer has not, unless
    /// it had a fault.
    pub async fn request_on_new_connection(&self, number: u64, router: usize) -> bool {
        let router = router % self.routers.len();
        let id = id_for_router(&format!("{CROWD}-crowd-{number}"), router);
        let path = format!("/{CROWD}/x");
        let call = FakeCall::new(&id, &path, KEY);
        let Ok(req) = call.request(self.routers[router]) else {
            return true;
        };
        let sent_at = Instant::now();
        let sending = self.new_connections.request(req);
        let Ok(sent) = tokio::time::timeout(REQUEST_TIMEOUT, sending).await else {
            return true;
        };
        match sent {
            Ok(res) => {
                let deadline = sent_at + REQUEST_TIMEOUT;
                let (status, framing, body) = read_answer(res, Duration::ZERO, deadline).await;
                if let Err(e) = framing {
                    self.record_violation(format!("{id} ({status}): {e}"));
                }
                self.check_answer(CROWD, &id, status, &body, sent_at);
                true
            }
            Err(e) => {
                let failed_at = Instant::now();
                let had_fault = self.router_faults[router].overlaps(sent_at, failed_at);
                if e.is_connect() || had_fault {
                    return true;
                }
                let closed = ClosedUnread {
                    id,
                    router,
                    sent_at,
                    failed_at,
                };
                let mut all = self.closed_unread.lock().expect("no holder panics");
                all.push(closed);
                self.unread.fetch_add(1, Ordering::Relaxed);
                false
            }
        }
    }

    /// Returns the requests that must not have run: those with an answer that says so, and
    /// those whose connections a router closed unread. A connection that ended as its router
    /// was killed says nothing; the span of a kill is known only once the process is gone.
    pub fn requests_not_run(&self) -> BTreeSet<String> {
        let mut not_run = self.not_run.lock().expect("no holder panics").clone();
        let closed = self.closed_unread.lock().expect("no holder panics");
        let was_killed =
            |c: &&ClosedUnread| self.router_kills[c.router].overlaps(c.sent_at, c.failed_at);
        let closed = closed.iter().filter(|c| !was_killed(c));
        not_run.extend(closed.map(|c| c.id.clone()));
        not_run
    }

    fn check_answer(
        &self,
        kind: &str,
        id: &str,
        status: StatusCode,
        body: &ReceivedBody,
        sent_at: Instant,
    ) -> Outcome {
        match status.as_u16() {
            200 => self.check_success(kind, id, body, sent_at),
            503 | 429 | 408 | 421 => {
                let mut not_run = self.not_run.lock().expect("no holder panics");
                not_run.insert(id.to_string());
                self.refused.fetch_add(1, Ordering::Relaxed);
                Outcome::Refused
            }
            401 | 404 => {
                self.record_violation(format!("{id} was refused with {status}"));
                Outcome::Refused
            }
            _ => Outcome::Unknown,
        }
    }

    fn check_success(
        &self,
        kind: &str,
        id: &str,
        body: &ReceivedBody,
        sent_at: Instant,
    ) -> Outcome {
        let is_poison = matches!(kind, POISON | POISON_PART);
        let expected = match kind {
            "stream" | TELL => whole_stream(),
            FLOOD => flood_body(),
            POISON | POISON_PART => String::new(),
            _ => format!("answer to {id}"),
        };
        let targets = self.targets.lock().expect("no holder panics").clone();
        let cuts: Vec<CutAnswer> = targets.iter().flat_map(|t| t.cuts_of(id)).collect();
        match check_body(expected.as_bytes(), body, &cuts) {
            // No event of a poison request's stream comes, so it never is complete.
            Ok(AnswerState::Whole) if is_poison => {
                self.record_violation(format!("{id} has a complete answer"));
                Outcome::Served
            }
            Ok(AnswerState::Whole) => {
                self.served.fetch_add(1, Ordering::Relaxed);
                Outcome::Served
            }
            Ok(AnswerState::CutUnseen) => {
                self.cut_unseen.fetch_add(1, Ordering::Relaxed);
                Outcome::Unknown
            }
            Ok(AnswerState::Unfinished) => {
                let is_broken = body.end == AnswerEnd::Broken;
                self.broken
                    .fetch_add(u64::from(is_broken), Ordering::Relaxed);
                Outcome::Unknown
            }
            Err(AnswerError::BrokenAfterEnd)
                if is_poison || self.had_fault(id, &targets, sent_at) =>
            {
                Outcome::Unknown
            }
            Err(e) => {
                self.record_violation(format!("{id}: {e}; cuts: {cuts:?}"));
                Outcome::Unknown
            }
        }
    }

    /// Whether the request's router or a connection of a target had a fault since `from`, so
    /// that the end of an answer may not have come.
    fn had_fault(&self, id: &str, targets: &[Arc<Target>], from: Instant) -> bool {
        let now = Instant::now();
        let router = router_of(id).is_some_and(|r| self.router_faults[r].overlaps(from, now));
        router || targets.iter().any(|t| t.had_fault(from, now))
    }
}

/// Reads an answer until the deadline. Returns the status, whether the head says where the
/// body ends, and the body as far as it came.
async fn read_answer(
    res: Response<Incoming>,
    pause: Duration,
    deadline: Instant,
) -> (StatusCode, Result<(), AnswerError>, ReceivedBody) {
    let (status, framing) = (res.status(), check_framing(res.headers()));
    let body = read_body(res.into_body(), pause, || deadline).await;
    (status, framing, body)
}

fn flood_body() -> String {
    let text = "x".repeat(FLOOD_SIZE.1);
    let event = |i| format!("id: {i}\ndata: {text}\n\n");
    (1..=FLOOD_SIZE.0).map(event).collect()
}
