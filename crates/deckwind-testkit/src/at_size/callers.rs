//! Open-loop load generator: sends requests at a set rate, however earlier requests end.

use super::size::{Size, key_of};
use crate::answer_check::{AnswerError, AnswerState, check_body, check_framing, read_body};
use bytes::Bytes;
use deckwind_core::state::{ContentDigest, PartId, RequestTraits};
use deckwind_fakes::{CALL_BODY, FakeCall, FakeFleet, prompt_parts_after};
use http::{Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;
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

/// Name of the first account.
const FIRST_ACCOUNT: &str = "account";

/// Part on which engines crash.
const POISON_PART: PartId = PartId(0xbad0);

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

/// Who sends a request, and what it shares with others.
#[derive(Clone, Copy, Debug)]
struct Sender {
    caller: usize,
    account: usize,
    /// Index of the first part of the prompt.
    part: usize,
}

impl Sender {
    /// The first caller and account, with the part that most prompts share.
    const FIRST: Self = Self {
        caller: 0,
        account: 0,
        part: 0,
    };
}

/// Draws the senders of requests.
#[derive(Clone)]
struct SenderDraws {
    callers: usize,
    accounts: WeightedIndex<f64>,
    parts: WeightedIndex<f64>,
}

impl SenderDraws {
    fn new(size: &Size) -> Self {
        let weights = |count: usize, exponent: f64| {
            let weights = (1..=count.max(1)).map(|n| (n as f64).powf(-exponent));
            WeightedIndex::new(weights).expect("all weights are positive")
        };
        Self {
            callers: size.callers,
            accounts: weights(size.streams.accounts, 1.0),
            parts: weights(size.streams.shared_parts, 0.5),
        }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> Sender {
        Sender {
            caller: rng.random_range(0..self.callers),
            account: self.accounts.sample(rng),
            part: self.parts.sample(rng),
        }
    }
}

/// Returns the first part of a prompt, which others share, by its index.
fn shared_part(index: usize) -> String {
    format!("{:x}:40", 0xf0 + index)
}

/// A finished request.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRequest {
    /// Time at which its first attempt was sent.
    pub sent: Instant,
    /// Whether it was served.
    pub is_served: bool,
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
    finished: Mutex<Vec<FinishedRequest>>,
    /// Number of prompt tokens and of answer tokens of a stream.
    tokens: (u32, u32),
    /// Ids of the requests with a part on which engines crash.
    poison_requests: Mutex<Vec<String>>,
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
    pub fn new(routers: Vec<SocketAddr>, fleet: FakeFleet, tokens: (u32, u32)) -> Arc<Self> {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Arc::new(Self {
            http: Client::builder(TokioExecutor::new()).build(connector),
            ready: routers.iter().map(|_| AtomicBool::new(true)).collect(),
            routers,
            rate_percent: AtomicU64::new(100),
            outcomes: Mutex::default(),
            finished: Mutex::default(),
            tokens,
            poison_requests: Mutex::default(),
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
        let senders = SenderDraws::new(size);
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
                let sender = senders.draw(&mut rng);
                tokio::spawn(shared.clone().request(kind, sender));
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

    /// Returns the requests finished so far.
    pub fn finished(&self) -> Vec<FinishedRequest> {
        self.finished.lock().expect("no holder panics").clone()
    }

    /// Returns the traits of the requests so far on which engines crash, as logs name them,
    /// without the parts that sound requests share with them.
    pub fn traits_at_fault(&self) -> HashSet<String> {
        let requests = self.poison_requests.lock().expect("no holder panics");
        let traits = requests.iter().flat_map(|id| {
            let path = format!("/stream/{id}");
            let content = ContentDigest::of("POST", &path, Some(FIRST_ACCOUNT), CALL_BODY);
            let parts = [POISON_PART, PartId::of_bytes(id.as_bytes())];
            RequestTraits::new(content, Some(FIRST_ACCOUNT), &parts)
                .all()
                .iter()
                .map(ToString::to_string)
                .collect::<Vec<_>>()
        });
        traits.collect()
    }

    /// Returns what was wrong with answers so far.
    pub fn answer_errors(&self) -> Vec<String> {
        self.answer_errors.lock().expect("no holder panics").clone()
    }

    /// Sends one streaming request and returns whether it is served.
    pub async fn is_served(&self) -> bool {
        let id = self.next_id(RequestKind::Stream);
        let sent = self
            .send(
                RequestKind::Stream,
                &id,
                (0, Sender::FIRST),
                RequestKind::Stream.timeout(),
            )
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
        self.poison_requests
            .lock()
            .expect("no holder panics")
            .push(id.clone());
        let sent = self.send(kind, &id, (router, Sender::FIRST), kind.timeout());
        if let Ok((_, res)) = sent.await {
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

    async fn request(self: Arc<Self>, kind: RequestKind, sender: Sender) {
        let sent = Instant::now();
        let deadline = sent + kind.timeout();
        let mut outcome = Outcome::Failed;
        for attempt in 0..MAX_ATTEMPTS {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                break;
            }
            let id = self.next_id(kind);
            let router = self.router_of(sender.caller + attempt as usize);
            let sending = self.send(kind, &id, (router, sender), remaining);
            let Ok((status, res)) = sending.await else {
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
        self.record_outcome(sent, outcome);
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

    fn record_outcome(&self, sent: Instant, outcome: Outcome) {
        let is_served = matches!(outcome, Outcome::Served);
        self.finished
            .lock()
            .expect("no holder panics")
            .push(FinishedRequest { sent, is_served });
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
        (router, sender): (usize, Sender),
        remaining: Duration,
    ) -> Result<(StatusCode, Response<Incoming>), ()> {
        let path = format!("/{}/{id}", kind.route());
        let generation = matches!(kind, RequestKind::Stream | RequestKind::PoisonPart);
        let parts = prompt_parts_after(
            &shared_part(sender.part),
            id,
            kind == RequestKind::PoisonPart,
        );
        let key = key_of(sender.account);
        let call = FakeCall {
            tokens: generation.then_some(self.tokens),
            prompt_parts: generation.then_some(&parts),
            deadline: remaining,
            ..FakeCall::new(id, &path, &key)
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
