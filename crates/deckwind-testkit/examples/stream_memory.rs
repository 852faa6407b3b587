//! Measures the resident memory of a router process by number of open streams, and the
//! processor time and traffic of an idle router and control replica that only renew a
//! lease.
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

/// Returns the resident memory of a process in KiB.
fn resident_kib(process: u32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    let value = line.and_then(|l| l.split_whitespace().nth(1));
    value
        .context("no VmRSS line in the process status")?
        .parse()
        .context("invalid VmRSS")
}

/// Returns the processor time of a process since its start, in clock ticks of 10 ms.
fn ticks(process: u32) -> Result<u64> {
    const UTIME_FIELD: usize = 11;
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    let after_name = stat
        .rsplit(')')
        .next()
        .context("unexpected format of the process stat file")?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    Ok(fields[UTIME_FIELD].parse::<u64>()? + fields[UTIME_FIELD + 1].parse::<u64>()?)
}

/// Returns the number of bytes sent over the loopback interface.
fn loopback_bytes() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find(|l| l.trim_start().starts_with("lo:"));
    let value = line.and_then(|l| l.split_whitespace().nth(9));
    value
        .context("no loopback interface in /proc/net/dev")?
        .parse()
        .context("invalid byte count of the loopback interface")
}

/// Prints the cost of renewing one lease, without any request. The traffic includes the
/// router's polls of the three fake engines.
fn print_idle_cost(router: u32, control: u32) -> Result<()> {
    const SECONDS: u64 = 10;
    let before = (ticks(router)?, ticks(control)?, loopback_bytes()?);
    std::thread::sleep(Duration::from_secs(SECONDS));
    let rate = |now: u64, start: u64| (now - start) as f64 / SECONDS as f64;
    println!(
        "idle: router {:.2}% of a core, control {:.2}% of a core, {:.0} bytes/s in total",
        rate(ticks(router)?, before.0),
        rate(ticks(control)?, before.1),
        rate(loopback_bytes()?, before.2)
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
    let bin_folder = std::env::args()
        .nth(1)
        .context("the argument BIN_FOLDER is missing")?;
    let path = |name: &str| format!("{bin_folder}/{name}");
    let cluster = Processes::new(
        Layout::new(1, 1)?,
        &path("testkit-daemon"),
        &path("testkit-cli"),
        &path("testkit-fake"),
    );
    let control = cluster.control(0)?;
    let router = cluster.router(0)?;
    cluster.apply("template", &chat_template("t", LAYERS))?;
    let mut client_account = account("a", "key");
    client_account.limits.requests_per_s = 1e6;
    cluster.apply("account", &client_account)?;
    let any_address: SocketAddr = "127.0.0.1:0".parse()?;
    for i in 0..3u32 {
        let layers = LayerRange::new(i * 4, i * 4 + 4);
        let mut cfg = FakeEngineConfig::new(layers, LAYERS);
        cfg.step_time = Duration::from_millis(100);
        let served = serve::engine(any_address, Arc::new(FakeEngine::new(cfg))).await?;
        let name = format!("engine-{i}");
        let target = engine_target(&name, served.address, layers.first, layers.last);
        cluster.apply("target", &target)?;
    }
    let caller = Caller::new(cluster.layout.routers[0].callers, "key");
    eventually_async("the router serves requests", || async {
        (caller.chat("t", "hello", 1, &[]).await.ok()?.status == 200).then_some(())
    })
    .await;
    print_idle_cost(router.id(), control.id())?;
    let mut open = Vec::new();
    let mut previous = (0, resident_kib(router.id())?);
    println!(
        "router without streams {} KiB, control replica {} KiB",
        previous.1,
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
        let slope = (now - previous.1) as f64 / (streams - previous.0) as f64;
        println!("{streams:>4} streams: {now:>6} KiB, {slope:.1} KiB per added stream");
        previous = (streams, now);
    }
    Ok(())
}
