//! Poison requests through templates. The targets of templates announce no incarnations, so
//! each router detects crashes by itself.

use crate::{any_loopback_port, run_async};
use deckwind_core::state::{Change, LayerRange};
use deckwind_fakes::serve::{self, Served};
use deckwind_fakes::{EngineFault, FakeEngine, FakeEngineConfig, FakeService, ServiceFault};
use deckwind_testkit::{
    Answer, Caller, Cluster, account, chat_template, engine_target, eventually_async,
    service_target, service_template,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;
use yare::parameterized;

/// Number of targets.
const TARGETS: u32 = 8;

/// Number of requests with one content.
const REQUESTS: usize = 8;

/// Number of targets that one content may crash.
const MAX_CRASHES: u32 = 3;

/// Time until a crashed target serves again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Pause of a caller before it retries, long enough for all routers to learn of a crash.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Duration of an engine step, longer than it takes to notice that a run has begun.
const STEP_TIME: Duration = Duration::from_millis(150);

/// Switch that makes targets crash, and the number of crashes.
#[derive(Clone, Default)]
struct Crashes {
    /// Whether a target crashes when it begins to run a request.
    enabled: Arc<AtomicBool>,
    count: Arc<AtomicU32>,
}

#[derive(Clone)]
enum Target {
    Service(FakeService),
    Engine(FakeEngine),
}

impl Target {
    async fn serve(&self, at: SocketAddr) -> Served {
        let served = match self {
            Target::Service(s) => serve::service(at, Arc::new(s.clone())).await,
            Target::Engine(e) => serve::engine(at, Arc::new(e.clone())).await,
        };
        served.expect("the address is free")
    }

    fn runs(&self) -> usize {
        match self {
            Target::Service(s) => s.runs().values().map(|n| *n as usize).sum(),
            Target::Engine(e) => e.open_stages(),
        }
    }

    /// Sets whether runs of a service take long enough to be interrupted.
    fn set_long_runs(&self, enabled: bool) {
        let Target::Service(s) = self else { return };
        s.set_fault(match enabled {
            true => ServiceFault::RunsThenFreezes,
            false => ServiceFault::None,
        });
    }

    /// Drops the state of an engine, as a crash of its process does.
    fn drop_state(&self) {
        if let Target::Engine(e) = self {
            e.set_fault(EngineFault::Dead);
            e.set_fault(EngineFault::None);
        }
    }
}

/// Serves a target. While crashes are enabled, kills it when it begins a run and restarts
/// it.
async fn serve_with_crashes(
    target: Target,
    baseline_runs: Arc<AtomicUsize>,
    first: Served,
    crashes: Crashes,
) {
    let address = first.address;
    let mut served = first;
    loop {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let has_begun = target.runs() > baseline_runs.load(Ordering::SeqCst);
        if has_begun && crashes.enabled.load(Ordering::SeqCst) {
            served.kill().await;
            target.drop_state();
            baseline_runs.store(target.runs(), Ordering::SeqCst);
            crashes.count.fetch_add(1, Ordering::SeqCst);
            tokio::time::sleep(RESTART_DELAY).await;
            served = target.serve(address).await;
        }
    }
}

struct Rig {
    cluster: Cluster,
    targets: Vec<Target>,
    /// Runs of each target that were counted before crashes were enabled.
    baseline_runs: Vec<Arc<AtomicUsize>>,
    crashes: Crashes,
    chat: bool,
}

impl Rig {
    async fn start(chat: bool) -> Self {
        let cluster = Cluster::start(1, 2).await.expect("a cluster");
        let template = match chat {
            true => chat_template("t", 4),
            false => service_template("t", true),
        };
        let changes = [
            Change::Template(template),
            Change::Account(account("a", "key")),
        ];
        for change in changes {
            cluster.apply(change).await.expect("applied");
        }
        let mut rig = Self {
            cluster,
            targets: Vec::new(),
            baseline_runs: Vec::new(),
            crashes: Crashes::default(),
            chat,
        };
        for i in 0..TARGETS {
            rig.add(i).await;
        }
        rig
    }

    async fn add(&mut self, i: u32) {
        let mut cfg = FakeEngineConfig::new(LayerRange::new(0, 4), 4);
        cfg.step_time = STEP_TIME;
        let target = match self.chat {
            true => Target::Engine(FakeEngine::new(cfg)),
            false => Target::Service(FakeService::new(&format!("s{i}"))),
        };
        let served = target.serve(any_loopback_port()).await;
        let name = format!("target-{i}");
        let change = match self.chat {
            true => engine_target(&name, served.address, 0, 4),
            false => service_target(&name, served.address, "t"),
        };
        let applied = self.cluster.apply(Change::Target(change)).await;
        applied.expect("applied");
        let baseline_runs = Arc::<AtomicUsize>::default();
        let serving = serve_with_crashes(
            target.clone(),
            baseline_runs.clone(),
            served,
            self.crashes.clone(),
        );
        tokio::spawn(serving);
        self.targets.push(target);
        self.baseline_runs.push(baseline_runs);
    }

    async fn ask(&self, router: usize, text: &str) -> Answer {
        let caller = Caller::new(self.cluster.callers(router), "key");
        let answer = match self.chat {
            true => caller.chat("t", text, 1, &[]).await,
            false => caller.post("/s/t/x", text.to_string(), &[]).await,
        };
        answer.expect("an answer")
    }

    /// Waits until a router serves another content.
    async fn wait_until_served(&self, router: usize) {
        eventually_async("another content is served", || async {
            (self.ask(router, "another").await.status == 200).then_some(())
        })
        .await;
    }

    /// Sends a poison request repeatedly, at both routers in turn.
    async fn send_repeatedly(&self) -> Answer {
        let mut last_answer = None;
        for i in 0..REQUESTS {
            tokio::time::sleep(RETRY_PAUSE).await;
            self.wait_until_served(i % 2).await;
            self.enable_crashes().await;
            last_answer = Some(self.ask(i % 2, "ends its targets").await);
            self.disable_crashes();
        }
        last_answer.expect("at least one request was sent")
    }

    /// Enables crashes once no other request runs.
    async fn enable_crashes(&self) {
        eventually_async("no engine has an open stage", || async {
            let engines = self
                .targets
                .iter()
                .filter(|t| matches!(t, Target::Engine(_)));
            engines
                .map(Target::runs)
                .all(|open| open == 0)
                .then_some(())
        })
        .await;
        for (target, baseline_runs) in self.targets.iter().zip(&self.baseline_runs) {
            baseline_runs.store(target.runs(), Ordering::SeqCst);
            target.set_long_runs(true);
        }
        self.crashes.enabled.store(true, Ordering::SeqCst);
    }

    fn disable_crashes(&self) {
        self.crashes.enabled.store(false, Ordering::SeqCst);
        self.targets.iter().for_each(|t| t.set_long_runs(false));
    }
}

#[parameterized(
    service = { false },
    chat = { true },
)]
fn a_content_that_ends_its_targets_ends_three_of_them(chat: bool) {
    run_async(async move {
        let rig = Rig::start(chat).await;
        let last_answer = rig.send_repeatedly().await;
        assert_eq!(rig.crashes.count.load(Ordering::SeqCst), MAX_CRASHES);
        assert_eq!(
            (last_answer.status, last_answer.code().as_str()),
            (503, "quarantined")
        );
        assert_eq!(last_answer.header("deckwind-ran"), Some("not-run"));
        let after: u64 = last_answer.header("retry-after").unwrap().parse().unwrap();
        assert!(after > 60, "retry-after is too short: {after} s");
        rig.wait_until_served(0).await;
        rig.cluster.close().await.expect("closed");
    });
}

/// A broken connection is not a crash while the target still runs.
#[test]
fn broken_connections_to_a_running_service_quarantine_no_content() {
    run_async(async {
        let rig = Rig::start(false).await;
        for target in &rig.targets {
            let Target::Service(s) = target else { continue };
            s.set_fault(ServiceFault::RunsThenBreaks);
        }
        for i in 0..REQUESTS {
            let answer = rig.ask(i % 2, "breaks").await;
            assert_ne!(answer.code(), "quarantined");
        }
        rig.disable_crashes();
        eventually_async("the content is served", || async {
            (rig.ask(0, "breaks").await.status == 200).then_some(())
        })
        .await;
        rig.cluster.close().await.expect("closed");
    });
}
