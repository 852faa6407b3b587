//! The command line of a fake that is a process of its own, for trials on one
//! machine.

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
        .about("A fake engine or plain service, for trials on one machine")
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

/// Runs it until the process ends.
#[tokio::main]
pub async fn main() -> Result<()> {
    let matches = cli().get_matches();
    let (kind, args) = matches.subcommand().context("name engine or service")?;
    let address = *args.get_one::<SocketAddr>("listen").context("--listen")?;
    let served = match kind {
        "engine" => serve::engine(address, Arc::new(engine(args)?)).await?,
        _ => serve::service(address, Arc::new(FakeService::new(&address.to_string()))).await?,
    };
    println!("event=listening kind={kind} address={}", served.address);
    served.forever().await;
    Ok(())
}

fn engine(args: &ArgMatches) -> Result<FakeEngine> {
    let number = |name: &str| args.get_one::<u32>(name).copied().context("a number");
    let layers = LayerRange::new(number("first")?, number("last")?);
    let mut cfg = FakeEngineConfig::new(layers, number("model-layers")?);
    cfg.step_time = Duration::from_millis(u64::from(number("step-ms")?));
    Ok(FakeEngine::new(cfg))
}
