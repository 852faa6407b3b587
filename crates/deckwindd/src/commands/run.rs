//! The command `deckwindd --settings FILE [--check]`.

use crate::logging;
use crate::ops::Daemon;
use anyhow::{Context, Result, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use deckwind_config::{Settings, load};
use deckwind_net::clock::Clock;
use deckwind_net::targets::TcpConnector;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};

/// Maximum time to wait for remaining tasks when the runtime shuts down.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(50);

/// Interval between checks of the settings file and of the daemon's health.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Returns the definition of the command line.
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

/// Runs the daemon until SIGTERM or SIGINT. SIGHUP reloads the settings file.
///
/// # Errors
///
/// Fails if the settings are invalid, or the daemon cannot start or fails while running.
pub fn exec(args: &ArgMatches, clock: Clock) -> Result<()> {
    let file = args.get_one::<PathBuf>("settings").context("--settings")?;
    let settings = load(file)?;
    if args.get_flag("check") {
        println!("{}: no findings", file.display());
        return Ok(());
    }
    let _log = logging::start(&settings.log)?;
    let runtime = runtime()?;
    let result = runtime.block_on(serve(settings, file, clock));
    if let Err(e) = &result {
        log::error!("event=failed error={:?}", format!("{e:#}"));
    }
    runtime.shutdown_timeout(SHUTDOWN_TIMEOUT);
    result
}

/// Builds the runtime. On a single core it is single-threaded, since moving tasks between
/// threads that share the core gains nothing.
fn runtime() -> Result<tokio::runtime::Runtime> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let mut builder = match cores {
        1 => tokio::runtime::Builder::new_current_thread(),
        _ => tokio::runtime::Builder::new_multi_thread(),
    };
    Ok(builder.enable_all().build()?)
}

async fn serve(settings: Settings, file: &Path, clock: Clock) -> Result<()> {
    let mut hup = signal(SignalKind::hangup())?;
    let mut settings_file = SettingsFile::new(file);
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let daemon = Daemon::start_with(settings, clock, Arc::new(TcpConnector)).await?;
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => settings_file.force_reload(),
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        if let Some(settings) = settings_file.load_if_changed() {
            daemon.reload(settings);
        }
        if !daemon.is_alive() {
            daemon.close().await?;
            bail!("the control replica stopped; see event=store_failed in the log");
        }
    }
    log::info!("event=draining");
    daemon.close().await
}

/// Settings file, with its modification time and size at the last read.
struct SettingsFile {
    path: PathBuf,
    last_read: Option<(SystemTime, u64)>,
}

impl SettingsFile {
    /// Creates a watcher of a file that has just been read.
    fn new(path: &Path) -> Self {
        let mut file = Self {
            path: path.to_path_buf(),
            last_read: None,
        };
        file.last_read = file.metadata();
        file
    }

    fn metadata(&self) -> Option<(SystemTime, u64)> {
        let meta = std::fs::metadata(&self.path).ok()?;
        Some((meta.modified().ok()?, meta.len()))
    }

    /// Makes the next check read the file even if its metadata has not changed.
    fn force_reload(&mut self) {
        log::info!("event=reload_asked file={}", self.path.display());
        self.last_read = None;
    }

    /// Returns the new settings if the file has changed. An invalid file is logged once,
    /// and the current settings stay in effect.
    fn load_if_changed(&mut self) -> Option<Settings> {
        let now = self.metadata()?;
        if self.last_read == Some(now) {
            return None;
        }
        self.last_read = Some(now);
        match load(&self.path) {
            Ok(settings) => Some(settings),
            Err(findings) => {
                log::error!("event=reload_refused error={:?}", findings.to_string());
                None
            }
        }
    }
}
