//! Quick start: a complete cluster in one process, with fake targets.
//!
//! Starts three control replicas and two routers on loopback, a model of 24 layers on
//! three fake engines, and a lookup service. Prints a streamed answer, the chain of engines
//! that served it, the answer of a lookup, and the output of `deckwind status`.

use anyhow::Result;
use deckwind_core::state::{Change, LayerRange};
use deckwind_fakes::{FakeEngine, FakeEngineConfig, FakeService, serve};
use deckwind_testkit::{
    Caller, Cluster, account, chat_template, engine_target, service_target, service_template,
};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const LAYERS: u32 = 24;
const STAGES: u32 = 3;

#[tokio::main]
async fn main() -> Result<()> {
    let any_port: SocketAddr = "127.0.0.1:0".parse()?;
    println!("starting 3 control replicas and 2 routers …");
    let cluster = Cluster::start(3, 2).await?;
    cluster
        .apply(Change::Template(chat_template("rosters", LAYERS)))
        .await?;
    cluster
        .apply(Change::Template(service_template("card-status", true)))
        .await?;
    cluster
        .apply(Change::Account(account("recife-care", "demo-key")))
        .await?;

    let mut engines = Vec::new();
    for i in 0..STAGES {
        let layers_per_stage = LAYERS / STAGES;
        let layers = LayerRange::new(i * layers_per_stage, (i + 1) * layers_per_stage);
        let mut cfg = FakeEngineConfig::new(layers, LAYERS);
        cfg.step_time = Duration::from_millis(5);
        let engine = FakeEngine::new(cfg);
        let served = serve::engine(any_port, Arc::new(engine.clone())).await?;
        let name = format!("engine-{i}");
        let target = engine_target(&name, served.address, layers.first, layers.last);
        cluster.apply(Change::Target(target)).await?;
        engines.push((name, engine, served));
    }
    let service = serve::service(any_port, Arc::new(FakeService::new("card-status-1"))).await?;
    let target = service_target("card-status-1", service.address, "card-status");
    cluster.apply(Change::Target(target)).await?;

    let caller = Caller::new(cluster.callers(0), "demo-key");
    print!("streamed answer: ");
    let mut stream = caller
        .stream("rosters", "Draft Monday's roster for the north team", 16)
        .await?;
    while let Some(token) = stream.token().await? {
        print!("{token}");
        std::io::stdout().flush()?;
    }
    println!("\nchain:");
    for (name, engine, _) in &engines {
        let runs = engine.runs();
        if let Some(run) = runs.first() {
            let layers = run.layers;
            println!(
                "  {name} ran layers {}..{} for {} positions",
                layers.first,
                layers.last,
                runs.len()
            );
        }
    }
    let lookup = caller.post("/s/card-status/4711", "{}", &[]).await?;
    println!(
        "lookup: {} {}",
        lookup.status,
        String::from_utf8_lossy(&lookup.body)
    );

    let api = cluster.api()?;
    let status = tokio::task::spawn_blocking(move || api.status()).await??;
    println!("{}", deckwind::commands::status::table(&status));
    cluster.close().await
}
