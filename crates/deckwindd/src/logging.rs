//! Logs: one line of key=value pairs an event.
//!
//! ```text
//! ts=2026-12-02T06:01:02.345Z level=info event=lease_lost vm=router-1 revision=41
//! ```

use crate::log_queue::QueueWriter;
use anyhow::{Context, Result};
use deckwind_config::LogSettings;
use flexi_logger::{DeferredNow, FileSpec, Logger, LoggerHandle};
use log::Record;
use std::io::{self, Write};

fn line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    let ts = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ");
    write!(w, "ts={ts} level={level} {}", record.args())
}

/// Starts logging; keep the handle for as long as the process logs.
pub fn start(cfg: &LogSettings) -> Result<LoggerHandle> {
    let spec = format!(
        "{}, quinn=warn, h2=warn, hyper=warn, rustls=warn",
        cfg.level
    );
    let logger = Logger::try_with_str(spec)?.format(line);
    let logger = match &cfg.folder {
        Some(folder) => logger.log_to_file(FileSpec::default().directory(folder)),
        None => logger.log_to_writer(Box::new(QueueWriter::start(line)?)),
    };
    logger.start().context("the log can't be started")
}

/// A value as it stands in a log line: in quotes if it holds a space.
pub fn quoted(value: &impl std::fmt::Display) -> String {
    let text = value.to_string();
    if text.contains([' ', '"', '=', '\n']) {
        return format!("{text:?}");
    }
    text
}
