//! Calls of callers and operators, and what their answers must be.

use super::notices::{Spans, id_at};
use super::world::Target;
use bytes::Bytes;
use deckwind_fakes::{ENDS_ITS_TARGET, EVENTS, FakeCall, release_document};
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

/// Longest wait for one answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);

/// The callers' key.
pub const KEY: &str = "a-key";

/// Caller ids begin with this where a request must not run twice.
pub const ONCE: &str = "once";

/// Ids of requests for much, whose callers read slowly.
pub const FLOOD: &str = "flood";

/// Ids of requests that end each target that runs them; all have one content.
pub const ENDS: &str = "ends";

/// Events and bytes of such an answer: more than sockets hold at the pace at which
/// it is read.
const FLOOD_SIZE: (u64, usize) = (300, 8_000);

/// Between two pieces that a slow caller reads.
const READ_PAUSE: Duration = Duration::from_millis(2);

type Http = Client<HttpConnector, Full<Bytes>>;

/// What all tasks share.
pub struct Shared {
    pub http: Http,
    pub control: Vec<SocketAddr>,
    pub routers: Vec<SocketAddr>,
    pub targets: Mutex<Vec<Arc<Target>>>,
    /// Highest version that was acknowledged.
    pub acknowledged: AtomicU64,
    pub asked: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    /// Requests whose answer promised that they have not run.
    pub not_run: Mutex<BTreeSet<String>>,
    pub broken: Mutex<Vec<String>>,
    /// When each router was.
    pub disturbed: Vec<Spans>,
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
        self.asked.fetch_add(1, Ordering::Relaxed)
    }

    pub fn broken(&self) -> Vec<String> {
        self.broken.lock().expect("no holder panics").clone()
    }

    pub fn note_broken(&self, what: String) {
        self.broken.lock().expect("no holder panics").push(what);
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Option<(StatusCode, Option<Bytes>)> {
        self.send_and_read(req, Duration::ZERO).await
    }

    /// Pauses after each piece that it reads.
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
        tokio::time::timeout(ANSWER_WITHIN, sending).await.ok()?
    }

    /// Asks control replicas in turn until one answers with 200.
    pub async fn call(&self, method: &str, path: &str, body: &Value) -> Option<Bytes> {
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
        let put = self.call("POST", "/v1/config/put", &document).await;
        if put.is_some() {
            self.acknowledged.fetch_max(version, Ordering::Relaxed);
        }
    }

    pub async fn read(&self) -> Option<u64> {
        let read = self.call("GET", "/v1/config/get", &Value::Null).await?;
        let read: Value = serde_json::from_slice(&read).ok()?;
        read["version"].as_u64()
    }

    pub async fn ask(&self, kind: &str, id: &str, router: usize) -> Outcome {
        let router = router % self.routers.len();
        let address = self.routers[router];
        let id = &id_at(id, router);
        let (path, pause) = match kind {
            FLOOD => (
                format!("/stream/flood-{}-{}", FLOOD_SIZE.0, FLOOD_SIZE.1),
                READ_PAUSE,
            ),
            ENDS => (format!("/stream{ENDS_ITS_TARGET}"), Duration::ZERO),
            _ => (format!("/{kind}/x"), Duration::ZERO),
        };
        let call = FakeCall {
            id,
            path: &path,
            key: KEY,
            generation: matches!(kind, "stream" | FLOOD | ENDS),
            last_event: None,
        };
        let Ok(req) = call.request(address) else {
            return Outcome::Unknown;
        };
        let Some((status, body)) = self.send_and_read(req, pause).await else {
            return Outcome::Unknown;
        };
        self.judge(kind, id, status, body)
    }

    fn judge(&self, kind: &str, id: &str, status: StatusCode, body: Option<Bytes>) -> Outcome {
        match (status.as_u16(), body) {
            (200, Some(body)) => {
                let want = match kind {
                    "stream" => whole_stream(),
                    FLOOD => flood(),
                    _ => format!("answer to {id}"),
                };
                if body != want.as_bytes() {
                    let body = String::from_utf8_lossy(&body[..body.len().min(1_000)]);
                    self.note_broken(format!("{id} was answered with {body:?}"));
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
                self.note_broken(format!("{id} was denied with {status}"));
                Outcome::Refused
            }
            _ => Outcome::Unknown,
        }
    }
}

fn whole_stream() -> String {
    let event = |i| format!("id: {i}\ndata: token {i}\n\n");
    (1..=EVENTS).map(event).collect()
}

fn flood() -> String {
    let text = "x".repeat(FLOOD_SIZE.1);
    let event = |i| format!("id: {i}\ndata: {text}\n\n");
    (1..=FLOOD_SIZE.0).map(event).collect()
}

async fn read(mut body: Incoming, pause: Duration) -> Option<Bytes> {
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            whole.extend_from_slice(&data);
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    Some(whole.into())
}
