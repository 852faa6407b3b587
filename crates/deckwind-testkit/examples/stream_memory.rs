//! Resident memory of a router's process by open streams; processor time and
//! traffic of a router and a control replica that only keep their lease.
//!
//! ```text
//! cargo run --release -p deckwind-testkit --example stream_memory -- BIN_FOLDER
//! ```

use anyhow::{Context, Result};
use deckwind_core::state::LayerRange;
use deckwind_fakes::{FakeEngine, FakeEngineConfig, serve};
use deckwind_testkit::{
    Caller, Layout, Processes, account, chat_template, engine_target, eventually_async,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const LAYERS: u32 = 12;

fn resident_kib(process: u32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let word = line.and_then(|l| l.split_whitespace().nth(1));
    word.context("no VmRSS")?.parse().context("VmRSS")
}

/// Processor time since the start, in clock ticks of 10 ms.
fn ticks(process: u32) -> Result<u64> {
    const USER: usize = 11;
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let after_name = stat.rsplit(')').next().context("no stat")?;
    let words: Vec<&str> = after_name.split_whitespace().collect();
    Ok(words[USER].parse::<u64>()? + words[USER + 1].parse::<u64>()?)
}

/// Bytes that the loopback interface has sent.
fn loopback_bytes() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find(|l| l.trim_start().starts_with("lo:"));
    let word = line.and_then(|l| l.split_whitespace().nth(9));
    word.context("no lo")?.parse().context("lo")
}

/// What keeping one lease costs, without any request. The router's poll of the
/// three fake engines is in the traffic.
fn idle(router: u32, control: u32) -> Result<()> {
    const SECONDS: u64 = 10;
    let before = (ticks(router)?, ticks(control)?, loopback_bytes()?);
    std::thread::sleep(Duration::from_secs(SECONDS));
    let share = |now: u64, then: u64| (now - then) as f64 / SECONDS as f64;
    println!(
        "idle: router {:.2}% of a core, control {:.2}% of a core, {:.0} bytes/s in all",
        share(ticks(router)?, before.0),
        share(ticks(control)?, before.1),
        share(loopback_bytes()?, before.2)
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let bins = std::env::args()
        .nth(1)
        .context("name the folder of the programs")?;
    let path = |name: &str| format!("{bins}/{name}");
    let cluster = Processes::new(
        Layout::new(1, 1)?,
        &path("testkit-daemon"),
        &path("testkit-cli"),
        &path("testkit-fake"),
    );
    let control = cluster.control(0)?;
    let router = cluster.router(0)?;
    cluster.apply("template", &chat_template("t", LAYERS))?;
    let mut who = account("a", "key");
    who.limits.requests_per_s = 1e6;
    cluster.apply("account", &who)?;
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    for i in 0..3u32 {
        let layers = LayerRange::new(i * 4, i * 4 + 4);
        let mut cfg = FakeEngineConfig::new(layers, LAYERS);
        cfg.step_time = Duration::from_millis(100);
        let served = serve::engine(any, Arc::new(FakeEngine::new(cfg))).await?;
        let name = format!("engine-{i}");
        let target = engine_target(&name, served.address, layers.first, layers.last);
        cluster.apply("target", &target)?;
    }
    let caller = Caller::new(cluster.layout.routers[0].callers, "key");
    eventually_async("the router serves", || async {
        (caller.chat("t", "hello", 1, &[]).await.ok()?.status == 200).then_some(())
    })
    .await;
    idle(router.id(), control.id())?;
    let mut open = Vec::new();
    let mut last = (0, resident_kib(router.id())?);
    println!(
        "router without streams {} KiB, control replica {} KiB",
        last.1,
        resident_kib(control.id())?
    );
    for streams in [100, 200, 400, 800] {
        let opening: Vec<_> = (open.len()..streams)
            .map(|_| {
                let caller = caller.clone();
                tokio::spawn(async move {
                    let mut stream = caller.stream("t", "hello", 4_000).await?;
                    stream.token().await?;
                    anyhow::Ok(stream)
                })
            })
            .collect();
        for stream in opening {
            open.push(stream.await??);
        }
        let now = resident_kib(router.id())?;
        let slope = (now - last.1) as f64 / (streams - last.0) as f64;
        println!("{streams:>4} streams: {now:>6} KiB, {slope:.1} KiB a stream more");
        last = (streams, now);
    }
    Ok(())
}
