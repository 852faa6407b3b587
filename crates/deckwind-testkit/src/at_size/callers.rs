//! Open-loop load generator: sends requests at a set rate, however earlier requests end.

use super::size::{KEY, Size};
use crate::answer_check::{AnswerError, AnswerState, check_body, check_framing, read_body};
use bytes::Bytes;
use deckwind_fakes::{FakeCall, FakeFleet, prompt_parts};
use http::{Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Longest pause in a stream before the caller disconnects.
const MAX_STREAM_PAUSE: Duration = Duration::from_secs(2);

/// Timeout of a TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of attempts of one request: the first and one retry.
const MAX_ATTEMPTS: u32 = 2;

/// A caller waits for `Retry-After`, but at most for this fraction (a third) of the time
/// that is left.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// Number of prompt tokens and of answer tokens of a stream.
const STREAM_TOKENS: (u32, u32) = (400, 150);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A streaming request to an engine.
    Stream,
    /// A streaming request with a part in its prompt on which engines crash.
    PoisonPart,
    /// A plain request that must run at most once.
    Once,
    /// A plain request that may be retried.
    Safe,
}

impl RequestKind {
    fn route(self) -> &'static str {
        match self {
            Self::Stream | Self::PoisonPart => "stream",
            Self::Once => "once",
            Self::Safe => "safe",
        }
    }

    fn timeout(self) -> Duration {
        Duration::from_millis(match self {
            Self::Stream | Self::PoisonPart => 20_000,
            Self::Once => 800,
            Self::Safe => 600,
        })
    }
}

/// Number of finished requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// Complete answers.
    pub served: u64,
    /// Requests refused without being run (503 or 429).
    pub refused: u64,
    /// All other requests: failed, timed out or interrupted.
    pub failed: u64,
}

/// The outcome of one request.
#[derive(Clone, Copy)]
enum Outcome {
    Served,
    Refused,
    Failed,
}

/// Times at which requests were sent, by pool.
#[derive(Debug, Default)]
pub struct SendTimes {
    /// Requests to engines.
    pub streams: Mutex<Vec<Instant>>,
    /// Requests to plain targets.
    pub plain: Mutex<Vec<Instant>>,
}

/// State shared by all callers.
pub struct Callers {
    http: Client<HttpConnector, Full<Bytes>>,
    routers: Vec<SocketAddr>,
    /// Whether a load balancer would send callers to the router, by router.
    pub ready: Vec<AtomicBool>,
    /// Request rate in percent of the usual one.
    pub rate_percent: AtomicU64,
    outcomes: Mutex<Outcomes>,
    /// The fleet that answers, which knows how long its streams are and what it cut.
    fleet: FakeFleet,
    answer_errors: Mutex<Vec<String>>,
    /// Times of the requests that were sent.
    pub send_times: SendTimes,
    next_number: AtomicU64,
    stop: AtomicBool,
}

impl Callers {
    /// Creates callers of the routers at these addresses.
    pub fn new(routers: Vec<SocketAddr>, fleet: FakeFleet) -> Arc<Self> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Arc::new(Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            ready: routers.iter().map(|_| AtomicBool::new(true)).collect(),
            routers,
            rate_percent: AtomicU64::new(100),
            outcomes: Mutex::default(),
            fleet,
            answer_errors: Mutex::default(),
            send_times: SendTimes::default(),
            next_number: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        })
    }

    /// Sends requests at the deployment's rate, with exponentially distributed gaps,
    /// until [`Self::stop`] is called.
    pub fn start(self: &Arc<Self>, size: &Size, seed: u64) -> JoinHandle<()> {
        let callers = size.callers;
        let rates = [
            (RequestKind::Stream, size.streams_per_s),
            (RequestKind::Once, size.plain_per_s.0),
            (RequestKind::Safe, size.plain_per_s.1),
        ];
        let shared = self.clone();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        tokio::spawn(async move {
            let total_rate: f64 = rates.iter().map(|(_, rate)| rate).sum();
            let mut due = Instant::now();
            while !shared.stop.load(Ordering::Relaxed) {
                let percent = shared.rate_percent.load(Ordering::Relaxed).max(1);
                let pause = -(1.0 - rng.random_range(0.0..1.0f64)).ln() * 100.0 / percent as f64;
                due += Duration::from_secs_f64(pause / total_rate);
                tokio::time::sleep_until(due).await;
                let mut at = rng.random_range(0.0..total_rate);
                let drawn = rates.iter().find(|(_, rate)| {
                    at -= rate;
                    at < 0.0
                });
                let kind = drawn.map_or(RequestKind::Stream, |(kind, _)| *kind);
                let caller = rng.random_range(0..callers);
                tokio::spawn(shared.clone().request(kind, caller));
            }
        })
    }

    /// Stops sending new requests.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Returns the outcomes of the requests finished so far.
    pub fn outcomes(&self) -> Outcomes {
        *self.outcomes.lock().expect("no holder panics")
    }

    /// Returns what was wrong with answers so far.
    pub fn answer_errors(&self) -> Vec<String> {
        self.answer_errors.lock().expect("no holder panics").clone()
    }

    /// Sends one streaming request and returns whether it is served.
    pub async fn is_served(&self) -> bool {
        let id = self.next_id(RequestKind::Stream);
        let sent = self
            .send(RequestKind::Stream, &id, 0, RequestKind::Stream.timeout())
            .await;
        match sent {
            Ok((StatusCode::OK, res)) => self.is_whole(RequestKind::Stream, &id, res).await,
            _ => false,
        }
    }

    fn next_id(&self, kind: RequestKind) -> String {
        format!(
            "{}-{}",
            kind.route(),
            self.next_number.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Sends a request with a part on which engines crash, and reads its answer to the end.
    pub async fn send_poison_part(self: Arc<Self>, router: usize) {
        let kind = RequestKind::PoisonPart;
        let id = self.next_id(kind);
        if let Ok((_, res)) = self.send(kind, &id, router, kind.timeout()).await {
            let deadline = (Instant::now() + kind.timeout()).into_std();
            read_body(res.into_body(), Duration::ZERO, || deadline).await;
        }
    }

    /// Returns the caller's own router, or the next ready one.
    fn router_of(&self, caller: usize) -> usize {
        let count = self.routers.len();
        let mut candidates = (0..count).map(|i| (caller + i) % count);
        let ready = candidates.find(|i| self.ready[*i].load(Ordering::Relaxed));
        ready.unwrap_or(caller % count)
    }

    fn record_send(&self, kind: RequestKind) {
        let times = match kind {
            RequestKind::Stream | RequestKind::PoisonPart => &self.send_times.streams,
            RequestKind::Once | RequestKind::Safe => &self.send_times.plain,
        };
        times.lock().expect("no holder panics").push(Instant::now());
    }

    async fn request(self: Arc<Self>, kind: RequestKind, caller: usize) {
        let deadline = Instant::now() + kind.timeout();
        let mut outcome = Outcome::Failed;
        for attempt in 0..MAX_ATTEMPTS {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let id = self.next_id(kind);
            let router = self.router_of(caller + attempt as usize);
            let Ok((status, res)) = self.send(kind, &id, router, remaining).await else {
                if kind == RequestKind::Once {
                    break;
                }
                continue;
            };
            match status {
                StatusCode::OK => {
                    if self.is_whole(kind, &id, res).await {
                        outcome = Outcome::Served;
                        break;
                    }
                    outcome = Outcome::Failed;
                }
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    outcome = Outcome::Refused;
                    let delay = retry_after(&res).min(remaining / RETRY_AFTER_DIVISOR);
                    tokio::time::sleep(delay).await;
                }
                _ => {
                    outcome = Outcome::Failed;
                    if kind == RequestKind::Once {
                        break;
                    }
                }
            }
        }
        self.record_outcome(outcome);
    }

    /// Reads an answer to its end and checks it; returns whether it is complete and no pause
    /// in it was longer than [`MAX_STREAM_PAUSE`].
    async fn is_whole(&self, kind: RequestKind, id: &str, res: Response<Incoming>) -> bool {
        let expected = match kind {
            RequestKind::Stream | RequestKind::PoisonPart => self.fleet.stream(id),
            RequestKind::Once | RequestKind::Safe => format!("answer to {id}"),
        };
        let framing = check_framing(res.headers());
        let give_up_at = || std::time::Instant::now() + MAX_STREAM_PAUSE;
        let body = read_body(res.into_body(), Duration::ZERO, give_up_at).await;
        let cuts = self.fleet.cut_answers(id);
        let checked = framing.and_then(|()| check_body(expected.as_bytes(), &body, &cuts));
        match checked {
            Ok(state) => state == AnswerState::Whole,
            // Routers and their connections end at any time here.
            Err(AnswerError::BrokenAfterEnd) => false,
            Err(e) => {
                let mut errors = self.answer_errors.lock().expect("no holder panics");
                errors.push(format!("{id}: {e}; cuts: {cuts:?}"));
                false
            }
        }
    }

    fn record_outcome(&self, outcome: Outcome) {
        let mut outcomes = self.outcomes.lock().expect("no holder panics");
        match outcome {
            Outcome::Served => outcomes.served += 1,
            Outcome::Refused => outcomes.refused += 1,
            Outcome::Failed => outcomes.failed += 1,
        }
    }

    async fn send(
        &self,
        kind: RequestKind,
        id: &str,
        router: usize,
        remaining: Duration,
    ) -> Result<(StatusCode, Response<Incoming>), ()> {
        let path = format!("/{}/{id}", kind.route());
        let generation = matches!(kind, RequestKind::Stream | RequestKind::PoisonPart);
        let parts = prompt_parts(id, kind == RequestKind::PoisonPart);
        let call = FakeCall {
            tokens: generation.then_some(STREAM_TOKENS),
            prompt_parts: generation.then_some(&parts),
            deadline: remaining,
            ..FakeCall::new(id, &path, KEY)
        };
        let req = call.request(self.routers[router]);
        self.record_send(kind);
        let timeout = match kind {
            RequestKind::Stream | RequestKind::PoisonPart => remaining.min(MAX_STREAM_PAUSE),
            RequestKind::Once | RequestKind::Safe => remaining,
        };
        let sending = self.http.request(req.map_err(|_| ())?);
        let res = tokio::time::timeout(timeout, sending).await;
        let res = res.map_err(|_| ())?.map_err(|_| ())?;
        Ok((res.status(), res))
    }
}

fn retry_after(res: &Response<Incoming>) -> Duration {
    let value = res.headers().get(header::RETRY_AFTER);
    let seconds = value.and_then(|v| v.to_str().ok()?.parse().ok());
    seconds.map_or(Duration::ZERO, |s| {
        Duration::try_from_secs_f64(s).unwrap_or_default()
    })
}
