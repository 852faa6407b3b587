//! Command line of a fake engine or service that runs as a separate process,
//! for local trials.

use crate::{FakeEngine, FakeEngineConfig, FakeService, serve};
use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command, value_parser};
use deckwind_core::state::LayerRange;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

fn cli() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .required(true)
        .value_parser(value_parser!(SocketAddr));
    let number = |name: &'static str| {
        Arg::new(name)
            .long(name)
            .required(true)
            .value_parser(value_parser!(u32))
    };
    Command::new("deckwind-fake")
        .about("Runs a fake engine or plain service for local trials")
        .subcommand_required(true)
        .subcommand(
            Command::new("engine")
                .arg(listen.clone())
                .arg(number("first"))
                .arg(number("last"))
                .arg(number("model-layers"))
                .arg(number("step-ms").required(false).default_value("0")),
        )
        .subcommand(Command::new("service").arg(listen))
}

/// Runs the command and serves until the process is killed.
///
/// # Errors
///
/// Fails if an argument is missing or the address can't be bound.
#[tokio::main]
pub async fn main() -> Result<()> {
    let matches = cli().get_matches();
    let (kind, args) = matches
        .subcommand()
        .context("a subcommand is required: engine or service")?;
    let address = *args
        .get_one::<SocketAddr>("listen")
        .context("--listen is required")?;
    let server = match kind {
        "engine" => serve::engine(address, Arc::new(engine(args)?)).await?,
        _ => serve::service(address, Arc::new(FakeService::new(&address.to_string()))).await?,
    };
    println!("event=listening kind={kind} address={}", server.address);
    server.serve_forever().await;
    Ok(())
}

fn engine(args: &ArgMatches) -> Result<FakeEngine> {
    let number = |name: &str| {
        args.get_one::<u32>(name)
            .copied()
            .context("a numeric argument is missing")
    };
    let layers = LayerRange::new(number("first")?, number("last")?);
    let mut cfg = FakeEngineConfig::new(layers, number("model-layers")?);
    cfg.step_time = Duration::from_millis(u64::from(number("step-ms")?));
    Ok(FakeEngine::new(cfg))
}
