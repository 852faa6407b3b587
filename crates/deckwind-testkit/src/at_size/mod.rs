//! Load test of the real programs at the size of a deployment: dozens of router
//! processes, engines that depend on each other, callers at a set rate, and faults that
//! overlap.
//!
//! The retries of all routers together are counted at the targets, since no single
//! process sees their sum. The test doesn't measure performance. A seed reproduces the
//! faults of a run, but not its schedule.

mod callers;
mod checks;
mod faults;
mod operator;
mod operator_report;
mod probes;
mod releases;
mod size;
mod tally;

pub use callers::{Callers, Outcomes};
pub use checks::{
    Change, Finding, History, Probe, Reading, ReleaseBounds, ServedShare, ShownVersions, Spread,
    Violation,
};
pub use faults::{FaultEvent, FaultKind, FaultPlan};
pub use operator::OperatorPlan;
pub use operator_report::{BOUNDS, OperatorReport, Records};
pub use releases::{FIXED_PATH, Handling, MOVED_PATH, PROBE_POOLS, ProbeRoute, Release, marker};
pub use size::{EngineGroup, Size};
pub use tally::{
    PeakWindow, ReceivedRequest, RetryBudget, beyond_attempts, peak_window, uncharged_retries,
};

use crate::layout::Layout;
use crate::processes::{Process, Processes};
use anyhow::{Context, Result, bail};
use deckwind_fakes::{AnswerDraws, FakeFleet, FakeTargetServer, FleetArrival};
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use operator::Operator;
use probes::Probes;
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

/// Interval between two announcements of a target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Timeout of a call to a control replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time until a fresh deployment serves requests.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time without faults at the start: longer than the window of the retry budget, so that
/// routers have the whole share of their requests.
const WARM_UP: Duration = Duration::from_secs(12);

/// Time for requests in progress to finish at the end of a run.
const FINISH_TIME: Duration = Duration::from_secs(8);

/// Percentage of answers that end with their connection, and of those that their target
/// breaks off inside an event beside the faults of a run.
const UNFRAMED_PERCENT: u64 = 40;
const BROKEN_PERCENT: u64 = 1;

/// Number of targets in each of the pools that only probes reach.
const PROBE_TARGETS: usize = 3;

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The window with the most retries at engines.
    pub engines: Option<PeakWindow>,
    /// The window with the most retries at plain targets.
    pub plain: Option<PeakWindow>,
    /// Number of requests that ran at more targets than `attempts` allows.
    pub beyond_attempts: usize,
    /// The id of the request that ran at most targets, of those beyond the limit, and the
    /// number of its targets.
    pub worst: Option<(String, usize)>,
    /// Number of arrivals at engines after the first one of their request.
    pub repeats: usize,
    /// Number of these for which no router logged a retry paid from the budget.
    pub uncharged_retries: usize,
    /// Outcomes of the callers' requests.
    pub outcomes: Outcomes,
    /// Number of crashes on a part of a prompt.
    pub crashes_by_part: u32,
    /// What was wrong with answers: an end that is missing, or other bytes than the target's.
    pub answer_errors: Vec<String>,
    /// The faults that were injected, with their times since the callers started.
    pub faults: Vec<(Duration, FaultEvent)>,
    /// What the operator saw, if there was one.
    pub operator: Option<OperatorReport>,
}

impl Report {
    /// Whether a retry budget or the limit on attempts was exceeded, an answer was wrong or a
    /// check of the operator failed.
    pub fn exceeds_limits(&self) -> bool {
        let operator = self.operator.as_ref();
        let pools = [self.engines, self.plain];
        pools.iter().flatten().any(|w| w.used() > 1.0)
            || self.beyond_attempts > 0
            || !self.answer_errors.is_empty()
            || operator.is_some_and(|o| !o.findings.is_empty())
    }
}

/// A target and the state of its announcements.
struct Target {
    id: String,
    pool: &'static str,
    data_centre: &'static str,
    server: FakeTargetServer,
    announced: AtomicU64,
}

struct Deployment {
    processes: Processes,
    size: Size,
    control: Vec<Option<Process>>,
    routers: Vec<Option<Process>>,
    targets: Arc<Vec<Target>>,
    fleet: FakeFleet,
    callers: Arc<Callers>,
    control_client: ControlClient,
    version: u64,
    probes: Arc<Probes>,
    /// Time at which a replica was last restarted without its disk.
    disk_lost_at: Option<Instant>,
}

/// Tasks of an operator and of the probes beside it.
struct OperatorTasks {
    operator: Arc<Operator>,
    tasks: JoinSet<()>,
}

/// Returns the layout of a deployment of this size.
pub fn layout(size: &Size) -> Result<Layout> {
    let mut layout = match size.has_seeds {
        true => Layout::with_seeds(size.control, size.routers)?,
        false => Layout::new(size.control, size.routers)?,
    };
    layout.retry_budget = size.retry_budget;
    layout.data_centres = DATA_CENTRES.to_vec();
    layout.lease = Some("2800ms");
    layout.link_mbps = size.link_mbps;
    Ok(layout)
}

/// Runs one seed: a start without faults, then faults for `length`.
pub async fn run(
    processes: Processes,
    size: Size,
    seed: u64,
    length: Duration,
    faults: &FaultPlan,
) -> Result<Report> {
    let mut deployment = Deployment::start(processes, size).await?;
    deployment.draw_answers(seed);
    let announcer = deployment.announce();
    deployment.wait_until_served().await?;
    let started = Instant::now();
    let load_generator = deployment.callers.start(&deployment.size, seed);
    let operator = deployment.start_operator(started, seed);
    tokio::time::sleep(WARM_UP).await;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut injected = Vec::new();
    let end = Instant::now() + length;
    while Instant::now() < end {
        let Some(fault) = faults.next(injected.len(), &mut rng) else {
            tokio::time::sleep_until(end).await;
            break;
        };
        injected.push((started.elapsed(), fault));
        deployment.inject(fault, &mut rng).await?;
        tokio::time::sleep(fault.pause).await;
    }
    deployment.callers.stop();
    load_generator
        .await
        .context("the load generator panicked")?;
    tokio::time::sleep(FINISH_TIME).await;
    let operator_report = match operator {
        Some(operator) => Some(deployment.finish_operator(operator).await),
        None => None,
    };
    announcer.abort();
    let mut report = deployment.report(injected)?;
    report.operator = operator_report;
    Ok(report)
}

impl Deployment {
    async fn start(mut processes: Processes, size: Size) -> Result<Self> {
        let control = (0..size.control).map(|i| processes.control(i).map(Some));
        let control = control.collect::<Result<Vec<_>>>()?;
        let routers = (0..size.routers).map(|i| processes.router(i).map(Some));
        let routers = routers.collect::<Result<Vec<_>>>()?;
        if let Some(seeds) = &mut processes.layout.seeds {
            seeds.first_start = false;
        }
        let fleet = FakeFleet::new(size.pace);
        let targets = start_targets(&size, &fleet).await?;
        let layout = &processes.layout;
        let addresses: Vec<SocketAddr> = layout.routers.iter().map(|r| r.routes).collect();
        let control_client = ControlClient::new(layout.control_calls.clone());
        Ok(Self {
            probes: Probes::new(addresses.clone()),
            callers: Callers::new(addresses, fleet.clone()),
            processes,
            size,
            control,
            routers,
            targets: Arc::new(targets),
            fleet,
            control_client,
            version: 0,
            disk_lost_at: None,
        })
    }

    /// Sets how the targets frame their answers and which ones they break off.
    fn draw_answers(&self, seed: u64) {
        for (i, target) in self.targets.iter().enumerate() {
            target.server.set_answer_draws(AnswerDraws {
                seed: seed.wrapping_add(i as u64),
                unframed_percent: UNFRAMED_PERCENT,
                broken_percent: BROKEN_PERCENT,
            });
        }
    }

    /// Starts a task that announces all targets until it is aborted.
    fn announce(&self) -> JoinHandle<()> {
        let (targets, control_client) = (self.targets.clone(), self.control_client.clone());
        tokio::spawn(async move {
            let announce =
                |i: usize| announce_repeatedly(targets.clone(), i, control_client.clone());
            let mut all: JoinSet<()> = (0..targets.len()).map(announce).collect();
            while all.join_next().await.is_some() {}
        })
    }

    /// Starts the operator and the probes if the deployment has any.
    fn start_operator(&self, started: Instant, seed: u64) -> Option<OperatorTasks> {
        let plan = self.size.operator?;
        let control = self.processes.layout.control_calls.clone();
        let operator = Operator::new(control, self.size.clone(), started, self.version);
        let mut tasks = JoinSet::new();
        tasks.spawn(operator.clone().publish_changes(plan, seed));
        tasks.spawn(operator.clone().read_back());
        tasks.spawn(self.probes.clone().run(operator.clone(), seed));
        Some(OperatorTasks { operator, tasks })
    }

    /// Stops the operator, reads the release at the end and checks what was recorded.
    async fn finish_operator(&self, operator: OperatorTasks) -> OperatorReport {
        let OperatorTasks { operator, tasks } = operator;
        operator.stop();
        tasks.join_all().await;
        let end_readings = operator.read_at_end().await;
        let records = Records {
            changes: operator.changes(),
            probes: self.probes.handled(&self.fleet.arrivals()),
            readings: operator.readings(),
            end_readings,
        };
        OperatorReport::of(records, BOUNDS)
    }

    async fn publish(&mut self) -> bool {
        self.version += 1;
        let document = self.size.release(self.version);
        self.control_client.call("/v1/config/put", &document).await
    }

    /// Waits until engines hold all layers and five streams in a row are served.
    async fn wait_until_served(&mut self) -> Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        let mut published = false;
        let mut served_in_a_row = 0;
        while Instant::now() < end {
            published = published || self.publish().await;
            served_in_a_row = match self.callers.is_served().await {
                true => served_in_a_row + 1,
                false => 0,
            };
            if served_in_a_row == 5 {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        bail!("the deployment serves no requests within {START_TIMEOUT:?}")
    }

    fn report(&self, faults: Vec<(Duration, FaultEvent)>) -> Result<Report> {
        let budget = RetryBudget {
            share: self.size.retry_budget.0,
            beyond: f64::from(self.size.retry_budget.1),
            window: self.size.window,
        };
        let arrivals = self.fleet.arrivals();
        let (engines, plain) = (
            sent_to_pool(&arrivals, ENGINES),
            sent_to_pool(&arrivals, PLAIN),
        );
        let send_times = &self.callers.send_times;
        let streams = send_times.streams.lock().expect("no holder panics").clone();
        let plain_requests = send_times.plain.lock().expect("no holder panics").clone();
        let outages = self.fleet.outages();
        let outages: Vec<_> = outages.iter().map(|o| (o.address, o.at)).collect();
        let beyond = beyond_attempts(self.size.attempts as usize, &engines, &outages);
        let requests: HashSet<&str> = engines.iter().map(|s| s.request.as_str()).collect();
        Ok(Report {
            engines: peak_window(&budget, &streams, &engines),
            plain: peak_window(&budget, &plain_requests, &plain),
            beyond_attempts: beyond.len(),
            worst: beyond.into_iter().max_by_key(|(_, targets)| *targets),
            repeats: engines.len() - requests.len(),
            uncharged_retries: uncharged_retries(
                &engines,
                &self.processes.lines("event=repeat_paid")?,
            ),
            outcomes: self.callers.outcomes(),
            crashes_by_part: self
                .targets
                .iter()
                .map(|t| t.server.crashes_by_request())
                .sum(),
            answer_errors: self.callers.answer_errors(),
            faults,
            operator: None,
        })
    }
}

fn sent_to_pool(arrivals: &[FleetArrival], pool: &str) -> Vec<ReceivedRequest> {
    let of_pool = arrivals.iter().filter(|a| a.pool == pool);
    let requests = of_pool.map(|a| ReceivedRequest {
        request: a.request.clone(),
        address: a.address,
        at: a.at,
        ran: a.has_run,
    });
    requests.collect()
}

async fn start_targets(size: &Size, fleet: &FakeFleet) -> Result<Vec<Target>> {
    let mut all = Vec::new();
    for group in &size.engine_groups {
        for (centre, count) in DATA_CENTRES.iter().zip(group.engines) {
            for i in 0..count {
                let id = format!("{}-{centre}-{i}", group.kind);
                all.push(start_target(&id, ENGINES, centre, Some(group.kind), fleet).await?);
            }
        }
    }
    for i in 0..size.plain {
        let centre = DATA_CENTRES[i % DATA_CENTRES.len()];
        all.push(start_target(&format!("plain-{i}"), PLAIN, centre, None, fleet).await?);
    }
    let probe_targets = size.operator.map_or(0, |_| PROBE_TARGETS);
    for (pool, i) in PROBE_POOLS
        .into_iter()
        .flat_map(|p| (0..probe_targets).map(move |i| (p, i)))
    {
        let centre = DATA_CENTRES[i % DATA_CENTRES.len()];
        all.push(start_target(&format!("{pool}-{i}"), pool, centre, None, fleet).await?);
    }
    Ok(all)
}

async fn start_target(
    id: &str,
    pool: &'static str,
    data_centre: &'static str,
    kind: Option<&str>,
    fleet: &FakeFleet,
) -> Result<Target> {
    let server = FakeTargetServer::start(id).await?;
    server.join(fleet, pool, kind);
    Ok(Target {
        id: id.to_string(),
        pool,
        data_centre,
        server,
        announced: AtomicU64::new(0),
    })
}

impl Target {
    async fn announce(&self, control_client: &ControlClient) {
        if !self.server.is_reachable() {
            return;
        }
        let number = self.announced.fetch_add(1, Ordering::Relaxed) + 1;
        let server = &self.server;
        let body = server.announcement(self.pool, self.data_centre, "ready", number);
        let path = format!("/v1/instances/{}/heartbeat", self.id);
        control_client.call(&path, &body).await;
    }
}

/// Announces one target until it is aborted. The first announcements of all targets are
/// spread evenly over [`ANNOUNCE_INTERVAL`].
async fn announce_repeatedly(targets: Arc<Vec<Target>>, i: usize, control_client: ControlClient) {
    tokio::time::sleep(ANNOUNCE_INTERVAL * i as u32 / targets.len() as u32).await;
    loop {
        targets[i].announce(&control_client).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

/// HTTP client of the control replicas.
#[derive(Clone)]
struct ControlClient {
    http: Client<HttpConnector, Full<bytes::Bytes>>,
    control: Vec<SocketAddr>,
}

impl ControlClient {
    fn new(control: Vec<SocketAddr>) -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { http, control }
    }

    /// Tries the replicas in turn until one answers with 200; returns whether one did.
    async fn call(&self, path: &str, body: &Value) -> bool {
        let body = bytes::Bytes::from(body.to_string());
        for address in &self.control {
            let req = Request::post(format!("http://{address}{path}"));
            let Ok(req) = req.body(Full::new(body.clone())) else {
                return false;
            };
            let res = tokio::time::timeout(CALL_TIMEOUT, self.http.request(req)).await;
            if matches!(res, Ok(Ok(res)) if res.status() == StatusCode::OK) {
                return true;
            }
        }
        false
    }
}
