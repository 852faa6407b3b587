//! Log output: one line of `key=value` pairs per event.
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

fn format_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    let ts = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ");
    write!(w, "ts={ts} level={level} {}", record.args())
}

/// Starts logging. Logging stops when the returned handle is dropped.
///
/// # Errors
///
/// Fails if the level is invalid or the log cannot be opened.
pub fn start(cfg: &LogSettings) -> Result<LoggerHandle> {
    let spec = format!(
        "{}, quinn=warn, h2=warn, hyper=warn, rustls=warn",
        cfg.level
    );
    let logger = Logger::try_with_str(spec)?.format(format_line);
    let logger = match &cfg.folder {
        Some(folder) => logger.log_to_file(FileSpec::default().directory(folder)),
        None => logger.log_to_writer(Box::new(QueueWriter::start(format_line)?)),
    };
    logger.start().context("failed to start logging")
}

/// Formats a value for a log line. It is quoted if it contains a space, a quotation mark,
/// an equals sign or a line break.
pub fn quoted(value: &impl std::fmt::Display) -> String {
    let text = value.to_string();
    if text.contains([' ', '"', '=', '\n']) {
        return format!("{text:?}");
    }
    text
}
