//! The real programs at the size of a deployment: dozens of routers as separate processes,
//! engines that depend on each other, callers at a set rate, and troubles that overlap.
//! Counted at the targets: what all routers together send again.
//!
//! For: the sum of what many processes do, which no single one can see. Not for: figures
//! of speed. A run repeats its troubles by its seed, not its schedule.

mod callers;
mod size;
mod tally;
mod troubles;

pub use callers::{Callers, Outcomes};
pub use size::{Cards, Size};
pub use tally::{FullestWindow, RepeatBound, Sent, beyond_attempts, fullest_window, unpaid};
pub use troubles::{Kind, Trouble, Troubles};

use crate::layout::Layout;
use crate::processes::{Process, Processes};
use anyhow::{Context, Result, bail};
use deckwind_fakes::{FakeRunner, Fleet, FleetArrival};
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use size::{DATA_CENTRES, ENGINES, PLAIN};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

/// Between two announcements of a target.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(1_200);

/// Longest wait for a replica's answer.
const CALL_WITHIN: Duration = Duration::from_secs(1);

/// Longest time until a fresh deployment serves.
const SERVES_WITHIN: Duration = Duration::from_secs(60);

/// Time without trouble at the start: more than the window, so that routers have the
/// whole share of their requests.
const CALM: Duration = Duration::from_secs(12);

/// Time for what is under way at the end.
const ENDS_WITHIN: Duration = Duration::from_secs(8);

/// What one run saw.
#[derive(Clone, Debug)]
pub struct Report {
    /// Of engines.
    pub engines: Option<FullestWindow>,
    /// Of plain targets.
    pub plain: Option<FullestWindow>,
    /// Requests that ran at more targets than one try allows.
    pub beyond_attempts: usize,
    /// Of these, those with most targets: id and targets.
    pub worst: Option<(String, usize)>,
    /// Arrivals at engines past the first of their request.
    pub repeats: usize,
    /// Of these, those for which no router wrote that it had paid.
    pub unpaid: usize,
    /// What came of callers' requests.
    pub outcomes: Outcomes,
    /// What was done, and when.
    pub troubles: Vec<(Duration, Trouble)>,
}

impl Report {
    /// Whether more was sent again than is allowed.
    pub fn is_broken(&self) -> bool {
        let pools = [self.engines, self.plain];
        pools.iter().flatten().any(|w| w.used() > 1.0) || self.beyond_attempts > 0
    }
}

/// One target and what announces it.
struct Target {
    id: String,
    pool: &'static str,
    data_centre: &'static str,
    runner: FakeRunner,
    announced: AtomicU64,
}

struct Deployment {
    processes: Processes,
    size: Size,
    control: Vec<Option<Process>>,
    routers: Vec<Option<Process>>,
    targets: Arc<Vec<Target>>,
    fleet: Fleet,
    callers: Arc<Callers>,
    operator: Operator,
    version: u64,
}

/// The layout of such a deployment.
pub fn layout(size: &Size) -> Result<Layout> {
    let mut layout = Layout::new(size.control, size.routers)?;
    layout.repeats = size.repeats;
    layout.data_centres = DATA_CENTRES.to_vec();
    layout.lease = Some("2800ms");
    Ok(layout)
}

/// Runs one seed for so long after a calm start.
pub async fn run(
    processes: Processes,
    size: Size,
    seed: u64,
    length: Duration,
    troubles: &Troubles,
) -> Result<Report> {
    let mut deployment = Deployment::start(processes, size).await?;
    let announcing = deployment.announce();
    deployment.serves().await?;
    let started = Instant::now();
    let asking = deployment.callers.start(&deployment.size, seed);
    tokio::time::sleep(CALM).await;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut done = Vec::new();
    let end = Instant::now() + length;
    while Instant::now() < end {
        let trouble = troubles.next(done.len(), &mut rng);
        done.push((started.elapsed(), trouble));
        deployment.trouble(trouble, &mut rng).await?;
        tokio::time::sleep(trouble.pause).await;
    }
    deployment.callers.stop();
    asking.await.context("the callers ask")?;
    tokio::time::sleep(ENDS_WITHIN).await;
    announcing.abort();
    deployment.report(done)
}

impl Deployment {
    async fn start(processes: Processes, size: Size) -> Result<Self> {
        let control = (0..size.control).map(|i| processes.control(i).map(Some));
        let control = control.collect::<Result<Vec<_>>>()?;
        let routers = (0..size.routers).map(|i| processes.router(i).map(Some));
        let routers = routers.collect::<Result<Vec<_>>>()?;
        let fleet = Fleet::new(size.pace);
        let targets = targets(&size, &fleet).await?;
        let layout = &processes.layout;
        let addresses = layout.routers.iter().map(|r| r.routes).collect();
        let operator = Operator::new(layout.control_calls.clone());
        Ok(Self {
            callers: Callers::new(addresses),
            processes,
            size,
            control,
            routers,
            targets: Arc::new(targets),
            fleet,
            operator,
            version: 0,
        })
    }

    /// Has all targets announce themselves, for ever.
    fn announce(&self) -> JoinHandle<()> {
        let (targets, operator) = (self.targets.clone(), self.operator.clone());
        tokio::spawn(async move {
            let announce = |i: usize| announce_again(targets.clone(), i, operator.clone());
            let mut all: JoinSet<()> = (0..targets.len()).map(announce).collect();
            while all.join_next().await.is_some() {}
        })
    }

    async fn publish(&mut self) -> bool {
        self.version += 1;
        let document = self.size.release(self.version);
        self.operator.call("/v1/config/put", &document).await
    }

    /// Waits until the engines hold all layers and streams are served.
    async fn serves(&mut self) -> Result<()> {
        let end = Instant::now() + SERVES_WITHIN;
        let mut published = false;
        let mut in_a_row = 0;
        while Instant::now() < end {
            published = published || self.publish().await;
            in_a_row = match self.callers.is_served().await {
                true => in_a_row + 1,
                false => 0,
            };
            if in_a_row == 5 {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        bail!("nothing is served within {SERVES_WITHIN:?}")
    }

    fn report(&self, troubles: Vec<(Duration, Trouble)>) -> Result<Report> {
        let bound = RepeatBound {
            share: self.size.repeats.0,
            beyond: f64::from(self.size.repeats.1),
            window: self.size.window,
        };
        let arrivals = self.fleet.arrivals();
        let (engines, plain) = (sent(&arrivals, ENGINES), sent(&arrivals, PLAIN));
        let asked = &self.callers.asked;
        let streams = asked.streams.lock().expect("no holder panics").clone();
        let calls = asked.plain.lock().expect("no holder panics").clone();
        let outages = self.fleet.outages();
        let outages: Vec<_> = outages.iter().map(|o| (o.address, o.at)).collect();
        let beyond = beyond_attempts(self.size.attempts as usize, &engines, &outages);
        let requests: HashSet<&str> = engines.iter().map(|s| s.request.as_str()).collect();
        Ok(Report {
            engines: fullest_window(&bound, &streams, &engines),
            plain: fullest_window(&bound, &calls, &plain),
            beyond_attempts: beyond.len(),
            worst: beyond.into_iter().max_by_key(|(_, targets)| *targets),
            repeats: engines.len() - requests.len(),
            unpaid: unpaid(&engines, &self.processes.lines("event=repeat_paid")?),
            outcomes: self.callers.outcomes(),
            troubles,
        })
    }
}

fn sent(arrivals: &[FleetArrival], pool: &str) -> Vec<Sent> {
    let of_pool = arrivals.iter().filter(|a| a.pool == pool);
    let sent = of_pool.map(|a| Sent {
        request: a.request.clone(),
        address: a.address,
        at: a.at,
        ran: a.ran,
    });
    sent.collect()
}

async fn targets(size: &Size, fleet: &Fleet) -> Result<Vec<Target>> {
    let mut all = Vec::new();
    for cards in &size.cards {
        for (centre, count) in DATA_CENTRES.iter().zip(cards.engines) {
            for i in 0..count {
                let id = format!("{}-{centre}-{i}", cards.kind);
                all.push(target(&id, ENGINES, centre, Some(cards.kind), fleet).await?);
            }
        }
    }
    for i in 0..size.plain {
        let centre = DATA_CENTRES[i % DATA_CENTRES.len()];
        all.push(target(&format!("plain-{i}"), PLAIN, centre, None, fleet).await?);
    }
    Ok(all)
}

async fn target(
    id: &str,
    pool: &'static str,
    data_centre: &'static str,
    kind: Option<&str>,
    fleet: &Fleet,
) -> Result<Target> {
    let runner = FakeRunner::start(id).await?;
    runner.join(fleet, pool, kind);
    Ok(Target {
        id: id.to_string(),
        pool,
        data_centre,
        runner,
        announced: AtomicU64::new(0),
    })
}

impl Target {
    async fn announce(&self, operator: &Operator) {
        if !self.runner.listens() {
            return;
        }
        let number = self.announced.fetch_add(1, Ordering::Relaxed) + 1;
        let runner = &self.runner;
        let body = runner.announcement(self.pool, self.data_centre, "ready", number);
        let path = format!("/v1/instances/{}/heartbeat", self.id);
        operator.call(&path, &body).await;
    }
}

/// Announces one target for ever; all of them spread over the time between two.
async fn announce_again(targets: Arc<Vec<Target>>, i: usize, operator: Operator) {
    tokio::time::sleep(ANNOUNCE_EVERY * i as u32 / targets.len() as u32).await;
    loop {
        targets[i].announce(&operator).await;
        tokio::time::sleep(ANNOUNCE_EVERY).await;
    }
}

/// Calls control replicas.
#[derive(Clone)]
struct Operator {
    http: Client<HttpConnector, Full<bytes::Bytes>>,
    control: Vec<SocketAddr>,
}

impl Operator {
    fn new(control: Vec<SocketAddr>) -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { http, control }
    }

    /// Asks replicas in turn until one answers with 200; whether one did.
    async fn call(&self, path: &str, body: &Value) -> bool {
        let body = bytes::Bytes::from(body.to_string());
        for address in &self.control {
            let req = Request::post(format!("http://{address}{path}"));
            let Ok(req) = req.body(Full::new(body.clone())) else {
                return false;
            };
            let sent = tokio::time::timeout(CALL_WITHIN, self.http.request(req)).await;
            if matches!(sent, Ok(Ok(res)) if res.status() == StatusCode::OK) {
                return true;
            }
        }
        false
    }
}
