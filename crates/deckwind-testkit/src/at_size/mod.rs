//! Load test of the real programs at the size of a deployment: dozens of router
//! processes, engines that depend on each other, callers at a set rate, and faults that
//! overlap.
//!
//! The retries of all routers together are counted at the targets, since no single
//! process sees their sum. The test doesn't measure performance. A seed reproduces the
//! faults of a run, but not its schedule.

mod callers;
mod checks;
mod control_log;
mod control_report;
mod cpu_quota;
mod faults;
mod in_force;
mod operator;
mod operator_report;
mod probes;
mod releases;
mod size;
mod tally;
mod targets;

pub use callers::{Callers, FinishedRequest, Outcomes};
pub use checks::{
    Change, Finding, History, Probe, Reading, ReleaseBounds, ServedShare, ShownVersions, Spread,
    Violation,
};
pub use control_log::{LeaderLoad, LogLine};
pub use control_report::{ControlRecords, ControlReport, InjectedFault};
pub use cpu_quota::{CpuQuota, ProcessorUse};
pub use faults::{FaultEvent, FaultKind, FaultPlan};
pub use operator::OperatorPlan;
pub use operator_report::{BOUNDS, OperatorReport, Records};
pub use releases::{FIXED_PATH, Handling, MOVED_PATH, PROBE_POOLS, ProbeRoute, Release, marker};
pub use size::{EngineGroup, Size, StreamMix};
pub use tally::{
    PeakWindow, ReceivedRequest, RetryBudget, beyond_attempts, peak_window, uncharged_retries,
};

use crate::layout::Layout;
use crate::processes::{Process, Processes};
use anyhow::{Context, Result, bail};
use control_log::EVENTS;
use deckwind_fakes::{AnswerDraws, FakeFleet, FleetArrival};
use operator::Operator;
use probes::Probes;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use size::{ENGINES, PLAIN};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use targets::{ControlClient, Target, announce_repeatedly, start_targets};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

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
    /// What the control plane did.
    pub control: ControlReport,
    /// Processor time of the control processes, if they were held to a share of a core.
    pub processors: Vec<ProcessorUse>,
}

impl Report {
    /// Whether a retry budget or the limit on attempts was exceeded, an answer was wrong or a
    /// check of the operator or of the control plane failed.
    pub fn exceeds_limits(&self) -> bool {
        let operator = self.operator.as_ref();
        let pools = [self.engines, self.plain];
        pools.iter().flatten().any(|w| w.used() > 1.0)
            || self.beyond_attempts > 0
            || !self.answer_errors.is_empty()
            || operator.is_some_and(|o| !o.findings.is_empty())
            || !self.control.findings.is_empty()
    }
}

/// Time at which a run started, by both clocks.
#[derive(Clone, Copy)]
struct RunStart {
    instant: Instant,
    system_time: SystemTime,
}

impl RunStart {
    fn now() -> Self {
        Self {
            instant: Instant::now(),
            system_time: SystemTime::now(),
        }
    }
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
    /// Holds the control processes to a share of a core.
    quota: Option<CpuQuota>,
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
    layout.data_centres = size.data_centres.clone();
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
    deployment.limit_control()?;
    let start = RunStart::now();
    let started = start.instant;
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
        let from = started.elapsed();
        deployment.inject(fault, &mut rng).await?;
        injected.push((from, started.elapsed(), fault));
        tokio::time::sleep(fault.pause).await;
    }
    let ended = started.elapsed();
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
    let changes = operator_report
        .as_ref()
        .map_or(Vec::new(), |o| o.sent_changes());
    let mut report = deployment.report(start, ended, &injected, &changes)?;
    report.operator = operator_report;
    report.processors = deployment.quota.take().map_or(Vec::new(), CpuQuota::close);
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
            callers: Callers::new(addresses, fleet.clone(), size.streams.tokens),
            processes,
            size,
            control,
            routers,
            targets: Arc::new(targets),
            fleet,
            control_client,
            version: 0,
            quota: None,
            disk_lost_at: None,
        })
    }

    /// Holds the control processes to their share of a core from now on.
    fn limit_control(&mut self) -> Result<()> {
        self.quota = self.size.control_share.map(CpuQuota::start);
        (0..self.control.len()).try_for_each(|i| self.limit_replica(i))
    }

    fn limit_replica(&self, i: usize) -> Result<()> {
        match (&self.quota, &self.control[i]) {
            (Some(quota), Some(process)) => quota.hold(&replica_name(i), process),
            _ => Ok(()),
        }
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

    fn report(
        &self,
        start: RunStart,
        ended: Duration,
        injected: &[(Duration, Duration, FaultEvent)],
        changes: &[Change],
    ) -> Result<Report> {
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
            faults: injected.iter().map(|(from, _, f)| (*from, *f)).collect(),
            operator: None,
            control: self.control_report(start, ended, injected, changes)?,
            processors: Vec::new(),
        })
    }

    fn control_report(
        &self,
        start: RunStart,
        ended: Duration,
        injected: &[(Duration, Duration, FaultEvent)],
        changes: &[Change],
    ) -> Result<ControlReport> {
        let lines = self.processes.lines("event=")?;
        let lines: Vec<LogLine> = lines
            .iter()
            .filter_map(|l| LogLine::parse(l, start.system_time))
            .filter(|l| EVENTS.contains(&l.event()))
            .collect();
        let faults: Vec<InjectedFault> = injected
            .iter()
            .map(|(from, done, fault)| InjectedFault {
                kind: fault.kind,
                from: *from,
                until: (*done).max(*from + fault.length),
            })
            .collect();
        let finished = self.callers.finished();
        let since_start = |at: Instant| at.saturating_duration_since(start.instant);
        let requests: Vec<(Duration, bool)> = finished
            .iter()
            .map(|r| (since_start(r.sent), r.is_served))
            .collect();
        Ok(ControlReport::of(&ControlRecords {
            lines: &lines,
            faults: &faults,
            traits_at_fault: &self.callers.traits_at_fault(),
            requests: &requests,
            changes,
            routers: self.routers.len(),
            until: ended,
        }))
    }
}

/// Returns the name of a control replica in logs and settings.
fn replica_name(i: usize) -> String {
    format!("control-{i}")
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
