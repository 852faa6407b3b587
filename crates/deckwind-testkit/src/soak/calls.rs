//! Requests of callers and operators, and checks of their answers.

use super::environment::Target;
use super::notices::{FaultSpans, id_for_router};
use bytes::Bytes;
use deckwind_fakes::{ENDS_ITS_TARGET, EVENTS_PER_STREAM, FakeCall, release_document};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

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

/// Number of events in a [`FLOOD`] answer and bytes of each: more than socket buffers
/// hold at the pace at which the caller reads.
const FLOOD_SIZE: (u64, usize) = (300, 8_000);

/// Pause after each piece that a slow caller reads.
const READ_PAUSE: Duration = Duration::from_millis(2);

type Http = Client<HttpConnector, Full<Bytes>>;

/// State shared by all tasks.
pub struct Shared {
    pub http: Http,
    pub control: Vec<SocketAddr>,
    pub routers: Vec<SocketAddr>,
    pub targets: Mutex<Vec<Arc<Target>>>,
    /// Highest release version that was acknowledged.
    pub acknowledged: AtomicU64,
    pub requests: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    /// Requests whose answers said that they were not run.
    pub not_run: Mutex<BTreeSet<String>>,
    pub violations: Mutex<Vec<String>>,
    /// Times at which each router was killed, stopped or suspended.
    pub router_faults: Vec<FaultSpans>,
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

    async fn send(&self, req: Request<Full<Bytes>>) -> Option<(StatusCode, Option<Bytes>)> {
        self.send_and_read(req, Duration::ZERO).await
    }

    /// Sends a request and reads the answer with a pause after each piece.
    async fn send_and_read(
        &self,
        req: Request<Full<Bytes>>,
        pause: Duration,
    ) -> Option<(StatusCode, Option<Bytes>)> {
        let sending = async {
            let res = self.http.request(req).await.ok()?;
            let status = res.status();
            Some((status, read(res.into_body(), pause).await))
        };
        tokio::time::timeout(REQUEST_TIMEOUT, sending).await.ok()?
    }

    /// Tries the replicas in turn until one answers with 200.
    pub async fn call_control(&self, method: &str, path: &str, body: &Value) -> Option<Bytes> {
        for address in &self.control {
            let req = Request::builder()
                .method(method)
                .uri(format!("http://{address}{path}"))
                .body(Full::new(Bytes::from(body.to_string())))
                .ok()?;
            if let Some((StatusCode::OK, Some(body))) = self.send(req).await {
                return Some(body);
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
            _ => (format!("/{kind}/x"), Duration::ZERO),
        };
        let call = FakeCall {
            id,
            path: &path,
            key: KEY,
            generation: matches!(kind, "stream" | FLOOD | POISON),
            last_event: None,
        };
        let Ok(req) = call.request(address) else {
            return Outcome::Unknown;
        };
        let Some((status, body)) = self.send_and_read(req, pause).await else {
            return Outcome::Unknown;
        };
        self.check_answer(kind, id, status, body)
    }

    fn check_answer(
        &self,
        kind: &str,
        id: &str,
        status: StatusCode,
        body: Option<Bytes>,
    ) -> Outcome {
        match (status.as_u16(), body) {
            (200, Some(body)) => {
                let expected = match kind {
                    "stream" => stream_body(),
                    FLOOD => flood_body(),
                    _ => format!("answer to {id}"),
                };
                if body != expected.as_bytes() {
                    let body = String::from_utf8_lossy(&body[..body.len().min(1_000)]);
                    self.record_violation(format!("{id} has an unexpected answer: {body:?}"));
                }
                self.served.fetch_add(1, Ordering::Relaxed);
                Outcome::Served
            }
            (503 | 429 | 408 | 421, _) => {
                let mut not_run = self.not_run.lock().expect("no holder panics");
                not_run.insert(id.to_string());
                self.refused.fetch_add(1, Ordering::Relaxed);
                Outcome::Refused
            }
            (401 | 404, _) => {
                self.record_violation(format!("{id} was refused with {status}"));
                Outcome::Refused
            }
            _ => Outcome::Unknown,
        }
    }
}

fn stream_body() -> String {
    let event = |i| format!("id: {i}\ndata: token {i}\n\n");
    (1..=EVENTS_PER_STREAM).map(event).collect()
}

fn flood_body() -> String {
    let text = "x".repeat(FLOOD_SIZE.1);
    let event = |i| format!("id: {i}\ndata: {text}\n\n");
    (1..=FLOOD_SIZE.0).map(event).collect()
}

async fn read(mut body: Incoming, pause: Duration) -> Option<Bytes> {
    let mut body_bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            body_bytes.extend_from_slice(&data);
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    Some(body_bytes.into())
}
