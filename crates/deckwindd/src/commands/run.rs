//! `deckwindd --settings FILE [--check]`

use crate::logging;
use crate::ops::Daemon;
use anyhow::{Context, Result, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use deckwind_config::{Settings, load};
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Between two looks at whether the daemon still works.
const WATCH_EVERY: Duration = Duration::from_millis(200);

/// The command.
pub fn cli() -> Command {
    Command::new("deckwindd")
        .about("The deckwind daemon: a router, a control replica, or both, by its settings")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings: JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and stop"),
        )
}

/// Runs the daemon until SIGTERM or SIGINT.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let file = args.get_one::<PathBuf>("settings").context("--settings")?;
    let settings = load(file)?;
    if args.get_flag("check") {
        println!("{}: no findings", file.display());
        return Ok(());
    }
    let _log = logging::start(&settings.log)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let result = runtime.block_on(serve(settings));
    if let Err(e) = &result {
        log::error!("event=failed error={:?}", format!("{e:#}"));
    }
    runtime.shutdown_timeout(Duration::from_secs(1));
    result
}

async fn serve(settings: Settings) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start(settings).await?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            () = tokio::time::sleep(WATCH_EVERY) => {}
        }
        if !daemon.is_alive() {
            daemon.close().await?;
            bail!("the control replica stopped; see event=store_failed in the log");
        }
    }
    log::info!("event=draining");
    daemon.close().await
}
