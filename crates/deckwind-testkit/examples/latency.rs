//! Measures the latency that a router adds: the same fake engines are called
//! directly and through a router, in one run, at 1, 100 and 500 streams.
//!
//! ```text
//! cargo run --release -p deckwind-testkit --example latency
//! ```
//!
//! Caller, router and engines run in one process. The direct calls use the
//! engine protocol, with three stages in order, as the router does.

use anyhow::Result;
use deckwind_core::session::{Activation, StepOrder};
use deckwind_core::state::{Change, LayerRange, Priority};
use deckwind_fakes::{FakeEngine, FakeEngineConfig, serve};
use deckwind_net::targets::{Engine, HttpEngine, OpenStage};
use deckwind_testkit::{Caller, Cluster, account, chat_template, engine_target};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const LAYERS: u32 = 12;
const TOKENS: u32 = 40;
const STEP: Duration = Duration::from_millis(8);
const STREAMS: [usize; 3] = [1, 100, 500];

/// Latencies of all streams of one run.
#[derive(Default)]
struct Times {
    first: Vec<Duration>,
    gaps: Vec<Duration>,
}

/// Returns a quantile in milliseconds.
fn quantile(times: &mut [Duration], q: f64) -> f64 {
    times.sort_unstable();
    let i = ((times.len() - 1) as f64 * q) as usize;
    times[i].as_secs_f64() * 1e3
}

/// Runs one stream directly at the engines; returns the time to the first token and
/// the gaps between tokens.
async fn direct(engines: &[HttpEngine], id: usize) -> Result<(Duration, Vec<Duration>)> {
    let started = Instant::now();
    let mut stages = Vec::new();
    for (i, engine) in engines.iter().enumerate() {
        let first = i as u32 * 4;
        let open = OpenStage {
            session: format!("direct-{id}"),
            layers: LayerRange::new(first, first + 4),
            adapter: None,
            priority: Priority::Draft,
            prefixes: Vec::new(),
        };
        stages.push(engine.open(open).await?);
    }
    let mut inputs = vec![Activation("hello".to_string()); 5];
    let mut position = 0;
    let mut first = Duration::ZERO;
    let mut gaps = Vec::new();
    let mut last = started;
    for n in 0..TOKENS {
        let count = inputs.len() as u32;
        let mut token = None;
        for stage in &mut stages {
            let order = StepOrder {
                attempt: 1,
                position,
                inputs,
                replay: false,
            };
            let output = stage.step(order).await?;
            inputs = output.outputs;
            token = output.token;
        }
        position += count;
        let token = token.ok_or_else(|| anyhow::anyhow!("the last stage returned no token"))?;
        inputs = vec![Activation(token.id.to_string())];
        let now = Instant::now();
        if n == 0 {
            first = now - started;
        } else {
            gaps.push(now - last);
        }
        last = now;
    }
    for stage in stages {
        stage.close().await;
    }
    Ok((first, gaps))
}

/// Runs `streams` streams concurrently and collects their times.
async fn run_all<F>(streams: usize, run_stream: impl Fn(usize) -> F) -> Result<Times>
where
    F: Future<Output = Result<(Duration, Vec<Duration>)>> + Send + 'static,
{
    let tasks: Vec<_> = (0..streams).map(|i| tokio::spawn(run_stream(i))).collect();
    let mut times = Times::default();
    for task in tasks {
        let (first, gaps) = task.await??;
        times.first.push(first);
        times.gaps.extend(gaps);
    }
    Ok(times)
}

fn print_row(metric: &str, streams: usize, direct: &mut [Duration], routed: &mut [Duration]) {
    let (d50, d95) = (quantile(direct, 0.5), quantile(direct, 0.95));
    let (r50, r95) = (quantile(routed, 0.5), quantile(routed, 0.95));
    println!(
        "{streams:>4} streams  {metric:<14} direct {d50:7.2} / {d95:7.2} ms   router {r50:7.2} / {r95:7.2} ms   ratio {:.3} / {:.3}",
        r50 / d50,
        r95 / d95
    );
}

#[tokio::main]
async fn main() -> Result<()> {
    let any_address: SocketAddr = "127.0.0.1:0".parse()?;
    let cluster = Cluster::start(1, 1).await?;
    cluster
        .apply(Change::Template(chat_template("t", LAYERS)))
        .await?;
    let mut client_account = account("a", "key");
    client_account.limits.requests_per_s = 1e6;
    cluster.apply(Change::Account(client_account)).await?;
    let mut engines = Vec::new();
    for i in 0..3u32 {
        let layers = LayerRange::new(i * 4, i * 4 + 4);
        let mut cfg = FakeEngineConfig::new(layers, LAYERS);
        cfg.step_time = STEP;
        let served = serve::engine(any_address, Arc::new(FakeEngine::new(cfg))).await?;
        let name = format!("engine-{i}");
        let target = engine_target(&name, served.address, layers.first, layers.last);
        cluster.apply(Change::Target(target)).await?;
        engines.push(HttpEngine::new(served.address));
    }
    println!(
        "median / 95th percentile; 3 stages of {STEP:?} per token, {TOKENS} tokens per stream"
    );
    let caller = Caller::new(cluster.callers(0), "key");
    for streams in STREAMS {
        let mut direct_times = run_all(streams, |i| {
            let engines = engines.clone();
            async move { direct(&engines, i).await }
        })
        .await?;
        let mut routed = run_all(streams, |_| {
            let caller = caller.clone();
            async move {
                let started = Instant::now();
                caller
                    .stream("t", "hello from the other side", TOKENS)
                    .await?
                    .timed(started)
                    .await
            }
        })
        .await?;
        print_row(
            "first token",
            streams,
            &mut direct_times.first,
            &mut routed.first,
        );
        print_row(
            "between tokens",
            streams,
            &mut direct_times.gaps,
            &mut routed.gaps,
        );
    }
    cluster.close().await
}
