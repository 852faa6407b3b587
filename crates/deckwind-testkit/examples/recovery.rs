//! Measures recovery times with real processes: after a stage or a service target fails, and
//! after a router or the leader is killed.
//!
//! ```text
//! cargo run --release -p deckwind-testkit --example recovery -- BIN_FOLDER ROUNDS [leader]
//! ```
//!
//! With `leader`, only the leader is killed. BIN_FOLDER contains the programs of the testkit
//! (`target/release`).

use anyhow::{Context, Result};
use deckwind_core::state::{LayerRange, Workload};
use deckwind_fakes::{EngineFault, FakeEngine, FakeEngineConfig, FakeService, ServiceFault, serve};
use deckwind_testkit::{
    Caller, Layout, Process, Processes, account, chat_template, engine_target, service_target,
    service_template,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const LAYERS: u32 = 12;

/// Formats the median and worst time.
fn format_times(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let millis = |i: usize| times[i].as_secs_f64() * 1e3;
    format!(
        "median {:.0} ms, worst {:.0} ms, {} rounds",
        millis(times.len() / 2),
        millis(times.len() - 1),
        times.len()
    )
}

/// The processes of a cluster, and the fake targets that it uses.
struct TestCluster {
    cluster: Processes,
    controls: Vec<Option<Process>>,
    routers: Vec<Option<Process>>,
    engines: Vec<FakeEngine>,
    services: Vec<FakeService>,
}

impl TestCluster {
    async fn start(bin_folder: &str) -> Result<Self> {
        let path = |name: &str| format!("{bin_folder}/{name}");
        let cluster = Processes::new(
            Layout::new(3, 2)?,
            &path("testkit-daemon"),
            &path("testkit-cli"),
            &path("testkit-fake"),
        );
        let controls = (0..3)
            .map(|i| Ok(Some(cluster.control(i)?)))
            .collect::<Result<_>>()?;
        let routers = (0..2)
            .map(|i| Ok(Some(cluster.router(i)?)))
            .collect::<Result<_>>()?;
        cluster.apply("template", &chat_template("chat", LAYERS))?;
        let mut gate = service_template("gate", true);
        gate.workload = Workload::Service { timeout_ms: 150 };
        cluster.apply("template", &gate)?;
        cluster.apply("template", &service_template("confirm", false))?;
        let mut client_account = account("a", "key");
        client_account.limits.requests_per_s = 1e6;
        cluster.apply("account", &client_account)?;
        let mut test_cluster = Self {
            cluster,
            controls,
            routers,
            engines: Vec::new(),
            services: Vec::new(),
        };
        test_cluster.add_targets().await?;
        Ok(test_cluster)
    }

    async fn add_targets(&mut self) -> Result<()> {
        let any_address: SocketAddr = "127.0.0.1:0".parse()?;
        for i in 0..6u32 {
            let first = i % 3 * 4;
            let layers = LayerRange::new(first, first + 4);
            let mut cfg = FakeEngineConfig::new(layers, LAYERS);
            cfg.step_time = Duration::from_millis(3);
            let engine = FakeEngine::new(cfg);
            let served = serve::engine(any_address, Arc::new(engine.clone())).await?;
            let target = engine_target(&format!("engine-{i}"), served.address, first, first + 4);
            self.cluster.apply("target", &target)?;
            self.engines.push(engine);
        }
        for (template, count) in [("gate", 2), ("confirm", 1)] {
            for i in 0..count {
                let name = format!("{template}-{i}");
                let service = FakeService::new(&name);
                let served = serve::service(any_address, Arc::new(service.clone())).await?;
                let target = service_target(&name, served.address, template);
                self.cluster.apply("target", &target)?;
                self.services.push(service);
            }
        }
        Ok(())
    }

    /// Returns a caller of one router.
    fn caller(&self, router: usize) -> Caller {
        Caller::new(self.cluster.layout.routers[router].callers, "key")
    }

    /// Returns the slot of the leader.
    fn leader(&self) -> Result<usize> {
        let output = self.cluster.cli(&["status", "--format", "json"])?;
        let status: serde_json::Value = serde_json::from_slice(&output.stdout)?;
        let slot = status["leader"]
            .as_u64()
            .context("the cluster has no leader")?;
        Ok(slot as usize)
    }
}

/// Polls every 2 ms until a check succeeds, and returns the elapsed time.
async fn time_until(mut is_done: impl AsyncFnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !is_done().await {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    started.elapsed()
}

async fn time_until_served(caller: &Caller, path: &str) -> Duration {
    time_until(async || is_served(caller, path).await).await
}

async fn is_served(caller: &Caller, path: &str) -> bool {
    let answer = caller.post(path, "{}", &[]).await;
    answer.is_ok_and(|a| a.status == 200)
}

/// Measures the time from a fault of one of two gate targets until calls are consistently
/// served within 50 ms again (40 in a row), and counts the calls that weren't served.
async fn measure_gate_fault(
    test_cluster: &TestCluster,
    rounds: usize,
    fault: ServiceFault,
) -> Result<()> {
    const IN_A_ROW: usize = 40;
    let caller = test_cluster.caller(1);
    let mut times = Vec::new();
    let mut refused = 0;
    for _ in 0..rounds {
        test_cluster.services[0].set_fault(fault);
        let started = Instant::now();
        let mut recovered_at = None;
        let mut good_calls = 0;
        while good_calls < IN_A_ROW {
            let sent = Instant::now();
            let served = is_served(&caller, "/s/gate/1").await;
            refused += usize::from(!served);
            if served && sent.elapsed() < Duration::from_millis(50) {
                recovered_at.get_or_insert(sent);
                good_calls += 1;
            } else {
                recovered_at = None;
                good_calls = 0;
            }
        }
        times.push(recovered_at.unwrap_or(started) - started);
        test_cluster.services[0].set_fault(ServiceFault::None);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        for _ in 0..60 {
            is_served(&caller, "/s/gate/1").await;
        }
    }
    println!(
        "one of two gate targets {fault:?}: recovered after {}; {refused} calls not served",
        format_times(&mut times)
    );
    Ok(())
}

/// Measures the time from the kill of the leader to the first gate call that is served, and
/// to the first call that must not be retried (and needs a claim at the leader).
async fn measure_leader_kill(test_cluster: &mut TestCluster, rounds: usize) -> Result<()> {
    let mut claim_times = Vec::new();
    let mut gate_times = Vec::new();
    for _ in 0..rounds {
        let slot = test_cluster.leader()?;
        let caller = test_cluster.caller(0);
        test_cluster.controls[slot]
            .take()
            .context("the replica doesn't run")?
            .kill();
        let gate = caller.clone();
        let gate = time_until_served(&gate, "/s/gate/1").await;
        gate_times.push(gate);
        let claim_time = time_until_served(&caller, "/s/confirm/1").await;
        claim_times.push(claim_time);
        test_cluster.controls[slot] = Some(test_cluster.cluster.control(slot)?);
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    println!(
        "leader killed, first claim served:      {}",
        format_times(&mut claim_times)
    );
    println!(
        "leader killed, first gate call served:  {}",
        format_times(&mut gate_times)
    );
    Ok(())
}

/// Measures the time from the kill of a router to the first call that the other router
/// serves, and from the restart to the first call that the restarted router serves.
async fn measure_router_kill(test_cluster: &mut TestCluster, rounds: usize) -> Result<()> {
    let mut other_times = Vec::new();
    let mut restarted_times = Vec::new();
    for _ in 0..rounds {
        test_cluster.routers[0]
            .take()
            .context("the router doesn't run")?
            .kill();
        let caller = test_cluster.caller(1);
        other_times.push(time_until_served(&caller, "/s/gate/1").await);
        test_cluster.routers[0] = Some(test_cluster.cluster.router(0)?);
        let caller = test_cluster.caller(0);
        restarted_times.push(time_until_served(&caller, "/s/gate/1").await);
    }
    println!(
        "router killed, other router serves:     {}",
        format_times(&mut other_times)
    );
    println!(
        "router restarted, serves again:         {}",
        format_times(&mut restarted_times)
    );
    Ok(())
}

/// Measures the time from a fault of the engine that runs a stage until two more tokens are
/// received.
async fn measure_stage_fault(
    test_cluster: &TestCluster,
    rounds: usize,
    fault: EngineFault,
) -> Result<()> {
    let mut times = Vec::new();
    for _ in 0..rounds {
        let mut stream = test_cluster
            .caller(1)
            .stream("chat", "draft the roster", 60)
            .await?;
        for _ in 0..10 {
            stream.token().await?;
        }
        let engine = test_cluster
            .engines
            .iter()
            .skip(1)
            .step_by(3)
            .find(|e| e.open_stages() > 0);
        let engine = engine.context("no engine has an open stage")?;
        engine.set_fault(fault);
        let started = Instant::now();
        stream.token().await?;
        stream.token().await?;
        times.push(started.elapsed());
        stream.text().await?;
        engine.set_fault(EngineFault::None);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    println!(
        "stage {fault:?}, two tokens later:            {}",
        format_times(&mut times)
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let bin_folder = args.next().context("the argument BIN_FOLDER is missing")?;
    let rounds: usize = args
        .next()
        .context("the argument ROUNDS is missing")?
        .parse()?;
    let mut test_cluster = TestCluster::start(&bin_folder).await?;
    for router in [0, 1] {
        time_until_served(&test_cluster.caller(router), "/s/confirm/1").await;
    }
    if args.next().as_deref() != Some("leader") {
        measure_stage_fault(&test_cluster, rounds, EngineFault::Dead).await?;
        measure_stage_fault(&test_cluster, rounds, EngineFault::Frozen).await?;
        measure_gate_fault(&test_cluster, rounds, ServiceFault::Refuses).await?;
        measure_gate_fault(&test_cluster, rounds, ServiceFault::RunsThenBreaks).await?;
        measure_gate_fault(&test_cluster, rounds, ServiceFault::RunsThenFreezes).await?;
        measure_router_kill(&mut test_cluster, rounds).await?;
    }
    measure_leader_kill(&mut test_cluster, rounds).await?;
    Ok(())
}
