//! Probes: requests to every router, whose handling shows which release is in force there.

use super::checks::Probe;
use super::operator::{Operator, ProbePaths};
use super::releases::{FIXED_PATH, Handling, MOVED_PATH, PROBE_POOLS};
use super::size::KEY;
use bytes::Bytes;
use deckwind_fakes::{FakeCall, FleetArrival};
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;

/// Minimum interval between two probes of one router, and between two probes at all.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
const PROBE_SPACING: Duration = Duration::from_millis(5);

/// Deadline of a probe. Longer than a router is suspended, so that probes sent meanwhile are
/// handled after it.
const PROBE_DEADLINE: Duration = Duration::from_secs(5);

/// Share of the probes that ask for the newest route, in percent.
const NEWEST_PERCENT: u32 = 40;

/// A probe and what the router answered.
struct Answered {
    id: String,
    probe: Probe,
    status: Option<StatusCode>,
}

/// Sends probes to all routers.
pub struct Probes {
    http: Client<HttpConnector, Full<Bytes>>,
    routers: Vec<SocketAddr>,
    /// Number of restarts of each router, counted at its end and at its start.
    lives: Vec<AtomicU64>,
    answered: Mutex<Vec<Answered>>,
    next_number: AtomicU64,
}

impl Probes {
    /// Creates the probes of the routers at these addresses.
    pub fn new(routers: Vec<SocketAddr>) -> Arc<Self> {
        Arc::new(Self {
            http: Client::builder(TokioExecutor::new()).build_http(),
            lives: routers.iter().map(|_| AtomicU64::new(0)).collect(),
            routers,
            answered: Mutex::default(),
            next_number: AtomicU64::new(0),
        })
    }

    /// Records that a router ended or started.
    pub fn record_life(&self, router: usize) {
        self.lives[router].fetch_add(1, Ordering::SeqCst);
    }

    /// Probes all routers until the operator stops.
    pub async fn run(self: Arc<Self>, operator: Arc<Operator>, seed: u64) {
        let probe = |i| self.clone().run_router(i, operator.clone(), seed);
        let mut all: JoinSet<()> = (0..self.routers.len()).map(probe).collect();
        while all.join_next().await.is_some() {}
    }

    async fn run_router(self: Arc<Self>, router: usize, operator: Arc<Operator>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(1_000) + router as u64);
        let interval = PROBE_INTERVAL.max(PROBE_SPACING * self.routers.len() as u32);
        tokio::time::sleep(interval * router as u32 / self.routers.len() as u32).await;
        let mut sent = JoinSet::new();
        while !operator.is_stopped() {
            let (path, key) = {
                let paths = operator.paths.lock().expect("no holder panics");
                draw(&paths, &mut rng)
            };
            sent.spawn(self.clone().send(operator.clone(), router, path, key));
            while sent.try_join_next().is_some() {}
            tokio::time::sleep(interval).await;
        }
        while sent.join_next().await.is_some() {}
    }

    async fn send(
        self: Arc<Self>,
        operator: Arc<Operator>,
        router: usize,
        path: String,
        key: String,
    ) {
        let id = format!("probe-{}", self.next_number.fetch_add(1, Ordering::Relaxed));
        let full_path = format!("{path}{id}");
        let call = FakeCall {
            deadline: PROBE_DEADLINE,
            ..FakeCall::new(&id, &full_path, &key)
        };
        let Ok(req) = call.request(self.routers[router]) else {
            return;
        };
        let life = self.lives[router].load(Ordering::SeqCst);
        let sent = operator.elapsed();
        let status = tokio::time::timeout(PROBE_DEADLINE * 2, async {
            let res = self.http.request(req).await.ok()?;
            let status = res.status();
            let _ = res.into_body().collect().await;
            Some(status)
        });
        let status = status.await.ok().flatten();
        let is_same_life = self.lives[router].load(Ordering::SeqCst) == life;
        let probe = Probe {
            router,
            life: is_same_life.then_some(life),
            path,
            key,
            sent,
            answered: operator.elapsed(),
            handling: None,
        };
        let mut answered = self.answered.lock().expect("no holder panics");
        answered.push(Answered { id, probe, status });
    }

    /// Returns all probes so far, handled as the targets and the answers say.
    pub fn handled(&self, arrivals: &[FleetArrival]) -> Vec<Probe> {
        let ran = arrivals.iter().filter(|a| a.has_run);
        let ran: HashMap<&str, &str> = ran.map(|a| (&*a.request, &*a.pool)).collect();
        let answered = self.answered.lock().expect("no holder panics");
        let handled = answered.iter().map(|a| Probe {
            handling: handling(ran.get(a.id.as_str()).copied(), a.status),
            ..a.probe.clone()
        });
        handled.collect()
    }
}

/// Returns how a probe was handled, by the pool that ran it or else by its answer.
fn handling(pool: Option<&str>, status: Option<StatusCode>) -> Option<Handling> {
    let pool = pool.and_then(|ran| PROBE_POOLS.into_iter().find(|p| *p == ran));
    match (pool, status) {
        (Some(pool), _) => Some(Handling::Ran(pool)),
        (None, Some(StatusCode::NOT_FOUND)) => Some(Handling::NoRoute),
        (None, Some(StatusCode::UNAUTHORIZED)) => Some(Handling::NoKey),
        _ => None,
    }
}

/// Draws the path and the key of a probe.
fn draw(paths: &ProbePaths, rng: &mut ChaCha8Rng) -> (String, String) {
    let own = KEY.to_string();
    let newest = paths.markers.back();
    if let Some(newest) = newest.filter(|_| rng.random_ratio(NEWEST_PERCENT, 100)) {
        return (newest.clone(), own);
    }
    let markers = || paths.markers.iter().cloned();
    let drawn = match rng.random_range(0..10) {
        0 => Some((FIXED_PATH.to_string(), own)),
        1..=2 => Some((MOVED_PATH.to_string(), own)),
        3..=4 => {
            let key = paths.keys.choose(rng).cloned();
            key.map(|k| (FIXED_PATH.to_string(), k))
        }
        5 => paths.invalid.choose(rng).map(|p| (p.clone(), own)),
        _ => {
            let markers: Vec<String> = markers().collect();
            markers.choose(rng).map(|p| (p.clone(), own))
        }
    };
    drawn.unwrap_or((FIXED_PATH.to_string(), KEY.to_string()))
}
