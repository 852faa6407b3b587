//! Callers that ask at a set rate, whatever becomes of their requests.

use super::size::{KEY, Size};
use bytes::Bytes;
use deckwind_fakes::HOST;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
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

/// A caller leaves a stream after such a pause.
const LEAVES_AFTER: Duration = Duration::from_secs(2);

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// Tries of one request: the first, and one more.
const TRIES: u32 = 2;

/// Part of the time that is left for which a caller waits when it is asked to.
const WAITS_PART: u32 = 3;

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A stream of an engine.
    Stream,
    /// A plain request that must run once.
    Once,
    /// A plain request that may be repeated.
    Safe,
}

impl Ask {
    fn route(self) -> &'static str {
        match self {
            Self::Stream => "stream",
            Self::Once => "once",
            Self::Safe => "safe",
        }
    }

    fn patience(self) -> Duration {
        Duration::from_millis(match self {
            Self::Stream => 20_000,
            Self::Once => 800,
            Self::Safe => 600,
        })
    }
}

/// What came of all requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    /// Whole answers.
    pub served: u64,
    /// Refusals that say "not run".
    pub refused: u64,
    /// Everything else.
    pub failed: u64,
}

/// What came of one.
#[derive(Clone, Copy)]
enum Outcome {
    Served,
    Refused,
    Failed,
}

/// When requests were sent, by pool.
#[derive(Debug, Default)]
pub struct Asked {
    /// For engines.
    pub streams: Mutex<Vec<Instant>>,
    /// For plain targets.
    pub plain: Mutex<Vec<Instant>>,
}

/// What all callers share.
pub struct Callers {
    http: Client<HttpConnector, Full<Bytes>>,
    routers: Vec<SocketAddr>,
    /// Whether a balancer would send callers there.
    pub ready: Vec<AtomicBool>,
    /// Requests a second, in hundredths of the usual rate.
    pub rate_percent: AtomicU64,
    outcomes: Mutex<Outcomes>,
    /// Requests that were sent.
    pub asked: Asked,
    next: AtomicU64,
    stop: AtomicBool,
}

impl Callers {
    /// Callers of these routers.
    pub fn new(routers: Vec<SocketAddr>) -> Arc<Self> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        Arc::new(Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            ready: routers.iter().map(|_| AtomicBool::new(true)).collect(),
            routers,
            rate_percent: AtomicU64::new(100),
            outcomes: Mutex::default(),
            asked: Asked::default(),
            next: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        })
    }

    /// Asks at the deployment's rate until it is stopped.
    pub fn start(self: &Arc<Self>, size: &Size, seed: u64) -> JoinHandle<()> {
        let callers = size.callers;
        let rates = [
            (Ask::Stream, size.streams_per_s),
            (Ask::Once, size.plain_per_s.0),
            (Ask::Safe, size.plain_per_s.1),
        ];
        let shared = self.clone();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        tokio::spawn(async move {
            let all: f64 = rates.iter().map(|(_, rate)| rate).sum();
            let mut due = Instant::now();
            while !shared.stop.load(Ordering::Relaxed) {
                let percent = shared.rate_percent.load(Ordering::Relaxed).max(1);
                let pause = -(1.0 - rng.random_range(0.0..1.0f64)).ln() * 100.0 / percent as f64;
                due += Duration::from_secs_f64(pause / all);
                tokio::time::sleep_until(due).await;
                let mut at = rng.random_range(0.0..all);
                let drawn = rates.iter().find(|(_, rate)| {
                    at -= rate;
                    at < 0.0
                });
                let ask = drawn.map_or(Ask::Stream, |(ask, _)| *ask);
                let caller = rng.random_range(0..callers);
                tokio::spawn(shared.clone().request(ask, caller));
            }
        })
    }

    /// Asks for nothing new.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// What came of requests so far.
    pub fn outcomes(&self) -> Outcomes {
        *self.outcomes.lock().expect("no holder panics")
    }

    /// Whether one stream is served.
    pub async fn is_served(&self) -> bool {
        let id = self.next_id(Ask::Stream);
        let sent = self.send(Ask::Stream, &id, 0, Ask::Stream.patience()).await;
        match sent {
            Ok((StatusCode::OK, res)) => read(res).await,
            _ => false,
        }
    }

    fn next_id(&self, ask: Ask) -> String {
        format!(
            "{}-{}",
            ask.route(),
            self.next.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// The caller's router, or the next one that is ready.
    fn router_of(&self, caller: usize) -> usize {
        let count = self.routers.len();
        let mut all = (0..count).map(|i| (caller + i) % count);
        let ready = all.find(|i| self.ready[*i].load(Ordering::Relaxed));
        ready.unwrap_or(caller % count)
    }

    fn note_asked(&self, ask: Ask) {
        let times = match ask {
            Ask::Stream => &self.asked.streams,
            Ask::Once | Ask::Safe => &self.asked.plain,
        };
        times.lock().expect("no holder panics").push(Instant::now());
    }

    async fn request(self: Arc<Self>, ask: Ask, caller: usize) {
        let until = Instant::now() + ask.patience();
        let mut outcome = Outcome::Failed;
        for again in 0..TRIES {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let id = self.next_id(ask);
            let router = self.router_of(caller + again as usize);
            let Ok((status, res)) = self.send(ask, &id, router, left).await else {
                if ask == Ask::Once {
                    break;
                }
                continue;
            };
            match status {
                StatusCode::OK => {
                    if read(res).await {
                        outcome = Outcome::Served;
                        break;
                    }
                    outcome = Outcome::Failed;
                }
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    outcome = Outcome::Refused;
                    let after = retry_after(&res).min(left / WAITS_PART);
                    tokio::time::sleep(after).await;
                }
                _ => {
                    outcome = Outcome::Failed;
                    if ask == Ask::Once {
                        break;
                    }
                }
            }
        }
        self.note(outcome);
    }

    fn note(&self, outcome: Outcome) {
        let mut all = self.outcomes.lock().expect("no holder panics");
        match outcome {
            Outcome::Served => all.served += 1,
            Outcome::Refused => all.refused += 1,
            Outcome::Failed => all.failed += 1,
        }
    }

    async fn send(
        &self,
        ask: Ask,
        id: &str,
        router: usize,
        left: Duration,
    ) -> Result<(StatusCode, Response<Incoming>), ()> {
        let route = ask.route();
        let mut req = Request::post(format!("http://{}/{route}/{id}", self.routers[router]))
            .header(header::HOST, HOST)
            .header("x-deckwind-request-id", id)
            .header("x-deckwind-deadline-ms", left.as_millis().to_string())
            .header(header::AUTHORIZATION, format!("Bearer {KEY}"));
        if ask == Ask::Stream {
            req = req.header("x-deckwind-token-count", "400,150");
        }
        let req = req.body(Full::new(Bytes::from_static(b"body")));
        self.note_asked(ask);
        let within = match ask {
            Ask::Stream => left.min(LEAVES_AFTER),
            Ask::Once | Ask::Safe => left,
        };
        let sending = self.http.request(req.map_err(|_| ())?);
        let res = tokio::time::timeout(within, sending).await;
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

/// Reads an answer; whether it came whole, without a long pause.
async fn read(res: Response<Incoming>) -> bool {
    let mut body = res.into_body();
    loop {
        match tokio::time::timeout(LEAVES_AFTER, body.frame()).await {
            Ok(Some(Ok(_))) => {}
            Ok(None) => return true,
            Ok(Some(Err(_))) | Err(_) => return false,
        }
    }
}
