//! Recovery times over real processes: a leader, a router, a stage are killed.
//!
//! ```text
//! cargo run --release -p deckwind-testkit --example recovery -- BIN_FOLDER ROUNDS [leader]
//! ```
//!
//! With `leader`, only the leader is killed. BIN_FOLDER holds the testkit's programs (`target/release`).

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

fn ms(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let at = |i: usize| times[i].as_secs_f64() * 1e3;
    format!(
        "median {:.0} ms, worst {:.0} ms, {} rounds",
        at(times.len() / 2),
        at(times.len() - 1),
        times.len()
    )
}

struct Rig {
    cluster: Processes,
    controls: Vec<Option<Process>>,
    routers: Vec<Option<Process>>,
    engines: Vec<FakeEngine>,
    services: Vec<FakeService>,
}

impl Rig {
    async fn start(bins: &str) -> Result<Self> {
        let path = |name: &str| format!("{bins}/{name}");
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
        let mut who = account("a", "key");
        who.limits.requests_per_s = 1e6;
        cluster.apply("account", &who)?;
        let mut rig = Self {
            cluster,
            controls,
            routers,
            engines: Vec::new(),
            services: Vec::new(),
        };
        rig.add_targets().await?;
        Ok(rig)
    }

    async fn add_targets(&mut self) -> Result<()> {
        let any: SocketAddr = "127.0.0.1:0".parse()?;
        for i in 0..6u32 {
            let first = i % 3 * 4;
            let layers = LayerRange::new(first, first + 4);
            let mut cfg = FakeEngineConfig::new(layers, LAYERS);
            cfg.step_time = Duration::from_millis(3);
            let engine = FakeEngine::new(cfg);
            let served = serve::engine(any, Arc::new(engine.clone())).await?;
            let target = engine_target(&format!("engine-{i}"), served.address, first, first + 4);
            self.cluster.apply("target", &target)?;
            self.engines.push(engine);
        }
        for (template, count) in [("gate", 2), ("confirm", 1)] {
            for i in 0..count {
                let name = format!("{template}-{i}");
                let service = FakeService::new(&name);
                let served = serve::service(any, Arc::new(service.clone())).await?;
                let target = service_target(&name, served.address, template);
                self.cluster.apply("target", &target)?;
                self.services.push(service);
            }
        }
        Ok(())
    }

    fn caller(&self, router: usize) -> Caller {
        Caller::new(self.cluster.layout.routers[router].callers, "key")
    }

    fn leader(&self) -> Result<usize> {
        let output = self.cluster.cli(&["status", "--format", "json"])?;
        let status: serde_json::Value = serde_json::from_slice(&output.stdout)?;
        let slot = status["leader"].as_u64().context("nobody leads")?;
        Ok(slot as usize)
    }
}

async fn until(mut good: impl AsyncFnMut() -> bool) -> Duration {
    let began = Instant::now();
    while !good().await {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    began.elapsed()
}

async fn until_served(caller: &Caller, path: &str) -> Duration {
    until(async || is_served(caller, path).await).await
}

async fn is_served(caller: &Caller, path: &str) -> bool {
    let answer = caller.post(path, "{}", &[]).await;
    answer.is_ok_and(|a| a.status == 200)
}

/// One of two gate targets fails: how long until calls are served in a row
/// within 50 ms again, and how many callers were refused meanwhile.
async fn gate_target(rig: &Rig, rounds: usize, fault: ServiceFault) -> Result<()> {
    const IN_A_ROW: usize = 40;
    let caller = rig.caller(1);
    let mut times = Vec::new();
    let mut refused = 0;
    for _ in 0..rounds {
        rig.services[0].set_fault(fault);
        let began = Instant::now();
        let mut good_since = None;
        let mut good = 0;
        while good < IN_A_ROW {
            let asked = Instant::now();
            let served = is_served(&caller, "/s/gate/1").await;
            refused += usize::from(!served);
            if served && asked.elapsed() < Duration::from_millis(50) {
                good_since.get_or_insert(asked);
                good += 1;
            } else {
                good_since = None;
                good = 0;
            }
        }
        times.push(good_since.unwrap_or(began) - began);
        rig.services[0].set_fault(ServiceFault::None);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        for _ in 0..60 {
            is_served(&caller, "/s/gate/1").await;
        }
    }
    println!(
        "one of two gate targets {fault:?}: good again after {}; {refused} calls not served",
        ms(&mut times)
    );
    Ok(())
}

/// From the kill of the leader to the first not-repeatable call that is served,
/// and the longest time that a gate call failed meanwhile.
async fn leader(rig: &mut Rig, rounds: usize) -> Result<()> {
    let mut claims = Vec::new();
    let mut gates = Vec::new();
    for _ in 0..rounds {
        let slot = rig.leader()?;
        let caller = rig.caller(0);
        rig.controls[slot].take().context("it runs")?.kill();
        let gate = caller.clone();
        let gate = until_served(&gate, "/s/gate/1").await;
        gates.push(gate);
        let claim = until_served(&caller, "/s/confirm/1").await;
        claims.push(claim);
        rig.controls[slot] = Some(rig.cluster.control(slot)?);
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    println!(
        "leader killed, first claim served:      {}",
        ms(&mut claims)
    );
    println!("leader killed, first gate call served:  {}", ms(&mut gates));
    Ok(())
}

/// From the kill of a router to the first call that the other serves, and to
/// the first call after its own restart.
async fn router(rig: &mut Rig, rounds: usize) -> Result<()> {
    let mut other = Vec::new();
    let mut itself = Vec::new();
    for _ in 0..rounds {
        rig.routers[0].take().context("it runs")?.kill();
        let caller = rig.caller(1);
        other.push(until_served(&caller, "/s/gate/1").await);
        rig.routers[0] = Some(rig.cluster.router(0)?);
        let caller = rig.caller(0);
        itself.push(until_served(&caller, "/s/gate/1").await);
    }
    println!("router killed, the other serves:        {}", ms(&mut other));
    println!(
        "router restarted, serves again:         {}",
        ms(&mut itself)
    );
    Ok(())
}

/// Gap between two tokens when the stage that runs dies or freezes.
async fn stage(rig: &Rig, rounds: usize, fault: EngineFault) -> Result<()> {
    let mut gaps = Vec::new();
    for _ in 0..rounds {
        let mut stream = rig.caller(1).stream("chat", "draft the roster", 60).await?;
        for _ in 0..10 {
            stream.token().await?;
        }
        let busy = rig
            .engines
            .iter()
            .skip(1)
            .step_by(3)
            .find(|e| e.open_stages() > 0);
        let busy = busy.context("a stage is open")?;
        busy.set_fault(fault);
        let began = Instant::now();
        stream.token().await?;
        stream.token().await?;
        gaps.push(began.elapsed());
        stream.text().await?;
        busy.set_fault(EngineFault::None);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    println!(
        "stage {fault:?}, two tokens later:            {}",
        ms(&mut gaps)
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let bins = args.next().context("name the folder of the programs")?;
    let rounds: usize = args.next().context("name the number of rounds")?.parse()?;
    let mut rig = Rig::start(&bins).await?;
    for router in [0, 1] {
        until_served(&rig.caller(router), "/s/confirm/1").await;
    }
    if args.next().as_deref() != Some("leader") {
        stage(&rig, rounds, EngineFault::Dead).await?;
        stage(&rig, rounds, EngineFault::Frozen).await?;
        gate_target(&rig, rounds, ServiceFault::Refuses).await?;
        gate_target(&rig, rounds, ServiceFault::RunsThenBreaks).await?;
        gate_target(&rig, rounds, ServiceFault::RunsThenFreezes).await?;
        router(&mut rig, rounds).await?;
    }
    leader(&mut rig, rounds).await?;
    Ok(())
}
