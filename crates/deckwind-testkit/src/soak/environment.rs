//! Targets, callers and an operator that use the processes under test, and the checks of
//! what they observe.

use super::calls::{FLOOD, ONCE, Outcome, POISON, POISON_PART, Shared, TELL};
use super::limits::{LIMITS, check_limits};
use super::notices::{self, FaultSpans, REST_PERIOD};
use super::{Proxy, ProxyFault, Seen};
use crate::layout::Layout;
use anyhow::{Context, Result, bail, ensure};
use deckwind_fakes::{AnswerDraws, CutAnswer, FakeTargetFault, FakeTargetServer, request_id};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 6;

/// Interval between two announcements of a target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between two releases.
const RELEASE_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between two new connections of a crowd.
const CROWD_INTERVAL: Duration = Duration::from_millis(4);

/// One in this number of a caller's requests is a poison request ([`POISON`]), and one has a
/// part at fault ([`POISON_PART`]).
const POISON_INTERVAL: u64 = 40;

/// Place of the requests with a part at fault among the others.
const PART_OFFSET: u64 = POISON_INTERVAL / 2;

/// Delay between two poison requests after the last fault, in which all routers learn
/// what one observed.
const POISON_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of targets that poison requests may crash after the last fault: those with
/// one content, and those with one part. One request with the part may have crashed three, so
/// that its content explains them; three more tell that others have the part.
const MAX_CRASHES: u32 = 3;
const MAX_PART_CRASHES: u32 = 2 * MAX_CRASHES;

/// Number of poison requests refused in a row that ends the check.
const REQUIRED_REFUSALS: u32 = 4;

/// Percentage of answers that end with their connection, and of those that their target
/// breaks off inside an event.
const UNFRAMED_PERCENT: u64 = 40;
const BROKEN_PERCENT: u64 = 4;

/// A fake target and the proxy in front of it.
pub struct Target {
    id: String,
    pool: &'static str,
    data_centre: &'static str,
    server: FakeTargetServer,
    proxy: Proxy,
    is_leaving: AtomicBool,
    /// Number of announcements of the current incarnation.
    announced: AtomicU64,
    /// Times at which the target's connections were disturbed.
    connection_faults: FaultSpans,
}

impl Target {
    /// Returns the answers to a request that the target cut.
    pub fn cuts_of(&self, request: &str) -> Vec<CutAnswer> {
        let mut cuts = self.server.cut_answers();
        cuts.retain(|c| c.request == request);
        cuts
    }

    /// Whether the target's connections were disturbed in this time.
    pub fn had_fault(&self, from: Instant, to: Instant) -> bool {
        self.connection_faults.overlaps(from, to)
    }
}

/// Everything around the processes under test.
pub struct Environment {
    seed: u64,
    shared: Arc<Shared>,
    announcer: JoinHandle<()>,
    next_target: u64,
}

fn spans_of_routers(layout: &Layout) -> Vec<FaultSpans> {
    let routers = layout.routers.iter();
    routers.map(|_| FaultSpans::default()).collect()
}

/// The running tasks of the callers and the operator.
pub struct Workload(Arc<Shared>, Vec<JoinHandle<()>>);

impl Workload {
    /// Stops the tasks and waits until each has finished its current request.
    pub async fn stop(self) {
        self.0.stop.store(true, Ordering::Relaxed);
        for task in self.1 {
            let _ = task.await;
        }
    }
}

impl Environment {
    /// Starts targets that announce themselves.
    pub async fn start(layout: &Layout, seed: u64) -> Result<Self> {
        let shared = Arc::new(Shared {
            http: Client::builder(TokioExecutor::new()).build_http(),
            new_connections: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .retry_canceled_requests(false)
                .build_http(),
            control: layout.control_calls.clone(),
            routers: layout.routers.iter().map(|r| r.routes).collect(),
            targets: Mutex::default(),
            acknowledged: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            cut_unseen: AtomicU64::new(0),
            broken: AtomicU64::new(0),
            unread: AtomicU64::new(0),
            not_run: Mutex::default(),
            closed_unread: Mutex::default(),
            violations: Mutex::default(),
            router_faults: spans_of_routers(layout),
            router_kills: spans_of_routers(layout),
            stop: AtomicBool::new(false),
        });
        let announcer = tokio::spawn(announce_all(shared.clone()));
        let mut environment = Self {
            seed,
            shared,
            announcer,
            next_target: seed % 1_000 * 1_000,
        };
        for i in 0..3 {
            environment
                .add_target("plain", ["recife-a", "fortaleza"][i % 2])
                .await?;
        }
        for i in 0..4 {
            environment
                .add_target("engines", ["recife-a", "fortaleza"][i % 2])
                .await?;
        }
        Ok(environment)
    }

    async fn add_target(&mut self, pool: &'static str, data_centre: &'static str) -> Result<()> {
        self.next_target += 1;
        let id = format!("{pool}-{}", self.next_target);
        let server = FakeTargetServer::start(&id).await?;
        server.set_answer_draws(AnswerDraws {
            seed: self.seed.wrapping_add(self.next_target),
            unframed_percent: UNFRAMED_PERCENT,
            broken_percent: BROKEN_PERCENT,
        });
        let proxy = Proxy::start(server.address).await?;
        let target = Target {
            id,
            pool,
            data_centre,
            server,
            proxy,
            is_leaving: AtomicBool::new(false),
            announced: AtomicU64::new(0),
            connection_faults: FaultSpans::default(),
        };
        let mut all = self.shared.targets.lock().expect("no holder panics");
        all.push(Arc::new(target));
        Ok(())
    }

    /// Waits until a request of each kind is served; publishes the first release if none
    /// was acknowledged yet.
    pub async fn wait_until_served(&self, timeout: Duration) -> Result<()> {
        let end = Instant::now() + timeout;
        let mut last = Vec::new();
        while Instant::now() < end {
            if self.shared.acknowledged.load(Ordering::Relaxed) == 0 {
                self.shared.publish(1).await;
            }
            last.clear();
            for (i, kind) in ["safe", ONCE, "stream"].iter().enumerate() {
                let id = format!("{kind}-probe-{}-{i}", self.shared.next_id());
                let outcome = self.shared.request(kind, &id, 0).await;
                last.push((id, outcome));
            }
            if last.iter().all(|(_, outcome)| *outcome == Outcome::Served) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        bail!(
            "requests are not served within {timeout:?}: {last:?}; violations: {:?}",
            self.shared.violations()
        );
    }

    /// Starts callers and an operator.
    pub fn start_workload(&self) -> Workload {
        let mut tasks = vec![tokio::spawn(run_operator(self.shared.clone()))];
        for i in 0..CALLER_COUNT {
            tasks.push(tokio::spawn(run_caller(self.shared.clone(), i)));
        }
        Workload(self.shared.clone(), tasks)
    }

    /// Disturbs the connections of a random target for a while.
    pub fn disturb_connections(&self, rng: &mut ChaCha8Rng, length: Duration) {
        let faults = [
            ProxyFault::Reset,
            ProxyFault::Silent,
            ProxyFault::OneWay,
            ProxyFault::Slow,
            ProxyFault::Delayed(Duration::from_millis(80)),
        ];
        let fault = faults[rng.random_range(0..faults.len())];
        let targets = self
            .shared
            .targets
            .lock()
            .expect("no holder panics")
            .clone();
        let target = targets[rng.random_range(0..targets.len())].clone();
        target.connection_faults.add(length);
        target.proxy.set(fault);
        tokio::spawn(async move {
            tokio::time::sleep(length).await;
            target.proxy.set(ProxyFault::None);
        });
    }

    /// Sends most new connections to one router for a while, as a balancer may. A caller whose
    /// connection is closed unread tries the other router.
    pub fn crowd(&self, router: usize, length: Duration) {
        let shared = self.shared.clone();
        let end = Instant::now() + length;
        tokio::spawn(async move {
            while Instant::now() < end && !shared.stop.load(Ordering::Relaxed) {
                let shared = shared.clone();
                tokio::spawn(async move {
                    let number = shared.next_id();
                    if !shared.request_on_new_connection(number, router).await {
                        let other = shared.next_id();
                        shared.request_on_new_connection(other, router + 1).await;
                    }
                });
                tokio::time::sleep(CROWD_INTERVAL).await;
            }
        });
    }

    /// Has a random target announce that it leaves, and starts another one in its place.
    pub async fn replace_target(&mut self, rng: &mut ChaCha8Rng) -> Result<()> {
        let targets = self
            .shared
            .targets
            .lock()
            .expect("no holder panics")
            .clone();
        let live = targets
            .iter()
            .filter(|t| !t.is_leaving.load(Ordering::Relaxed));
        let live: Vec<&Arc<Target>> = live.collect();
        let old = live[rng.random_range(0..live.len())];
        self.add_target(old.pool, old.data_centre).await?;
        old.server.set_leaving(true);
        old.is_leaving.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Has a random target refuse all requests for a while. Each refusal asks for a rest
    /// period that is longer than this.
    pub fn refuse_requests(&self, rng: &mut ChaCha8Rng, length: Duration) {
        let targets = self.shared.targets.lock().expect("no holder panics");
        let target = targets[rng.random_range(0..targets.len())].clone();
        let rest = REST_PERIOD.as_secs_f64().to_string();
        target.server.set_retry_after(Some(&rest));
        let refuses = FakeTargetFault::Refuses { at_fault: None };
        target.server.set_fault(refuses);
        tokio::spawn(async move {
            tokio::time::sleep(length).await;
            target.server.set_fault(FakeTargetFault::None);
        });
    }

    /// Has a random target announce a rate limit for a while, and another one after half
    /// of it.
    pub fn announce_limits(&self, rng: &mut ChaCha8Rng, length: Duration) {
        let targets = self.shared.targets.lock().expect("no holder panics");
        let target = targets[rng.random_range(0..targets.len())].clone();
        let mut limit = || LIMITS[rng.random_range(0..LIMITS.len())];
        let (first, then) = (limit(), limit());
        tokio::spawn(async move {
            target.server.set_server_limit(Some(first));
            tokio::time::sleep(length / 2).await;
            target.server.set_server_limit(Some(then));
            tokio::time::sleep(length / 2).await;
            target.server.set_server_limit(None);
        });
    }

    /// Records that a router was killed, stopped or suspended until now, so that it may
    /// not know what targets announced before.
    pub fn record_router_fault(&self, router: usize) {
        self.shared.router_faults[router].add_now();
    }

    /// Records that a router was being killed from `from` until now.
    pub fn record_router_kill(&self, router: usize, from: Instant) {
        self.shared.router_kills[router].add_since(from);
    }

    /// Returns a function that does the same as [`Self::record_router_fault`] later.
    pub fn router_fault_recorder(&self, router: usize) -> impl FnOnce() + Send + 'static {
        let shared = self.shared.clone();
        move || shared.router_faults[router].add_now()
    }

    /// Restarts a random target under its id: it loses its layers, load and state, and
    /// its announcements are numbered from 1 again.
    pub fn restart_target(&self, rng: &mut ChaCha8Rng) {
        let targets = self.shared.targets.lock().expect("no holder panics");
        let target = &targets[rng.random_range(0..targets.len())];
        target.server.restart();
        target.announced.store(0, Ordering::Relaxed);
    }

    /// Crashes a random target under load: it refuses connections for `length` and restarts
    /// under its id.
    pub fn crash_target(&self, rng: &mut ChaCha8Rng, length: Duration) {
        let targets = self.shared.targets.lock().expect("no holder panics");
        let target = &targets[rng.random_range(0..targets.len())];
        target.server.crash(length);
        target.announced.store(0, Ordering::Relaxed);
    }

    /// Ends all faults of connections.
    pub fn heal(&self) {
        for target in self.shared.targets.lock().expect("no holder panics").iter() {
            target.proxy.set(ProxyFault::None);
        }
    }

    fn crashed_targets(&self) -> u32 {
        let targets = self.shared.targets.lock().expect("no holder panics");
        targets.iter().map(|t| t.server.crashes_by_request()).sum()
    }

    /// Checks that poison requests crash few targets and are refused from then on: those with
    /// one content, and those with one part.
    pub async fn check_poison_requests(&self, timeout: Duration) -> Result<()> {
        self.check_poison_kind(POISON, MAX_CRASHES, timeout).await?;
        self.check_poison_kind(POISON_PART, MAX_PART_CRASHES, timeout)
            .await
    }

    async fn check_poison_kind(
        &self,
        kind: &str,
        max_crashes: u32,
        timeout: Duration,
    ) -> Result<()> {
        let before = self.crashed_targets();
        let mut refused = 0;
        let mut attempts = 0;
        while refused < REQUIRED_REFUSALS {
            self.wait_until_served(timeout).await?;
            tokio::time::sleep(POISON_DELAY).await;
            let id = format!("{kind}-last-{}", self.shared.next_id());
            let crashed = self.crashed_targets();
            let outcome = self.shared.request(kind, &id, attempts).await;
            attempts += 1;
            let none_crashed = self.crashed_targets() == crashed;
            refused = match none_crashed && outcome == Outcome::Refused {
                true => refused + 1,
                false => 0,
            };
            let crashed = self.crashed_targets() - before;
            ensure!(
                crashed <= max_crashes,
                "{crashed} targets crashed on {attempts} requests of the kind {kind}"
            );
        }
        Ok(())
    }

    /// Checks the guarantees at the end of a run, and returns its results.
    pub async fn check(&self, timeout: Duration) -> Result<Seen> {
        let acknowledged = self.shared.acknowledged.load(Ordering::Relaxed);
        let end = Instant::now() + timeout;
        let read = loop {
            match self.shared.read_version().await {
                Some(version) => break version,
                None if Instant::now() < end => tokio::time::sleep(ANNOUNCE_INTERVAL).await,
                None => bail!("can't read the release within {timeout:?}"),
            }
        };
        ensure!(
            read >= acknowledged,
            "version {read} was read, but {acknowledged} was acknowledged"
        );
        self.announcer.abort();
        self.check_executions()?;
        self.check_notices()?;
        let violations = self.shared.violations();
        ensure!(violations.is_empty(), "{violations:?}");
        let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
        Ok(Seen {
            asked: count(&self.shared.requests),
            served: count(&self.shared.served),
            refused: count(&self.shared.refused),
            released: acknowledged,
            broken: count(&self.shared.broken),
            cut_unseen: count(&self.shared.cut_unseen),
            unread: count(&self.shared.unread),
            faults: 0,
        })
    }

    /// Checks that routers respect what targets announced: rest periods, leaving and rate
    /// limits.
    fn check_notices(&self) -> Result<()> {
        for target in self.shared.targets.lock().expect("no holder panics").iter() {
            let arrivals = target.server.arrivals();
            let checked = notices::check(
                &arrivals,
                &self.shared.router_faults,
                &target.connection_faults,
            );
            checked.with_context(|| target.id.clone())?;
            let checked = check_limits(
                &arrivals,
                &self.shared.router_faults,
                &target.connection_faults,
            );
            checked.with_context(|| target.id.clone())?;
        }
        Ok(())
    }

    /// Checks at the targets that requests ran at most once where they must, that none
    /// ran after an answer said that it didn't, and that no caller's key was forwarded.
    fn check_executions(&self) -> Result<()> {
        let mut ran = BTreeSet::new();
        let not_run = self.shared.requests_not_run();
        for target in self.shared.targets.lock().expect("no holder panics").iter() {
            // Requests that a target refused aren't in its list.
            for id in target.server.run_request_ids() {
                ensure!(
                    !not_run.contains(&id),
                    "{id} ran, but its answer said that it did not run"
                );
                let again = !ran.insert(id.clone());
                let runs_once = id.starts_with(ONCE) || id.starts_with(TELL);
                ensure!(!(again && runs_once), "{id} ran twice");
            }
            for seen in target.server.received_requests() {
                let id = request_id(&seen);
                let key = seen.headers.contains_key("authorization");
                ensure!(!key, "{id} was forwarded with the caller's key");
            }
        }
        Ok(())
    }
}

async fn run_caller(shared: Arc<Shared>, number: u64) {
    let kinds = ["safe", ONCE, "stream", FLOOD, TELL];
    while !shared.stop.load(Ordering::Relaxed) {
        let next = shared.next_id();
        let kind = match next % POISON_INTERVAL {
            0 => POISON,
            PART_OFFSET => POISON_PART,
            _ => kinds[next as usize % kinds.len()],
        };
        let id = format!("{kind}-{number}-{next}");
        let outcome = shared.request(kind, &id, next as usize / kinds.len()).await;
        if outcome != Outcome::Served {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Publishes releases with ascending versions and checks that reads return at least the
/// last acknowledged version.
async fn run_operator(shared: Arc<Shared>) {
    let mut version = 1;
    while !shared.stop.load(Ordering::Relaxed) {
        version += 1;
        shared.publish(version).await;
        let acknowledged = shared.acknowledged.load(Ordering::Relaxed);
        if let Some(read) = shared.read_version().await
            && read < acknowledged
        {
            let what = format!("version {read} was read after {acknowledged} was acknowledged");
            shared.record_violation(what);
        }
        tokio::time::sleep(RELEASE_INTERVAL).await;
    }
}

/// Announces all targets; those that are gone are announced as draining.
async fn announce_all(shared: Arc<Shared>) {
    loop {
        let targets = shared.targets.lock().expect("no holder panics").clone();
        // A target that crashed on a request doesn't listen.
        for t in targets.iter().filter(|t| t.server.is_reachable()) {
            let is_leaving = t.is_leaving.load(Ordering::Relaxed);
            let state = if is_leaving { "draining" } else { "ready" };
            let number = t.announced.fetch_add(1, Ordering::Relaxed) + 1;
            let mut body = t.server.announcement(t.pool, t.data_centre, state, number);
            body["address"] = json!(t.proxy.address);
            let path = format!("/v1/instances/{}/heartbeat", t.id);
            if shared.call_control("POST", &path, &body).await.is_none() {
                break;
            }
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
