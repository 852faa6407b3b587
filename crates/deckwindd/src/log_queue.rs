//! Writes log lines to standard output through a bounded queue, so that a slow reader of
//! the log never blocks a request. Lines that do not fit are dropped and counted; the
//! count is logged as soon as the queue drains.

use crossbeam::channel::{Receiver, Sender, bounded};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction};
use log::Record;
use std::io::{self, BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum number of queued lines: a few seconds of a router under full load.
const MAX_QUEUED_LINES: usize = 8_192;

/// Log writer that puts lines into the queue.
pub struct QueueWriter {
    tx: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    format: FormatFunction,
}

impl QueueWriter {
    /// Starts the thread that writes the queued lines.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be spawned.
    pub fn start(format: FormatFunction) -> io::Result<Self> {
        let (tx, rx) = bounded(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = dropped.clone();
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_all(&rx, &thread_dropped))?;
        Ok(Self {
            tx,
            dropped,
            format,
        })
    }
}

impl LogWriter for QueueWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        let mut line = Vec::with_capacity(192);
        (self.format)(&mut line, now, record)?;
        line.push(b'\n');
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("deckwind_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    /// Waits up to 200 ms until the queue is empty.
    fn shutdown(&self) {
        const MAX_CHECKS: u32 = 20;
        for _ in 0..MAX_CHECKS {
            if self.tx.is_empty() {
                return;
            }
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
    }
}

fn write_all(rx: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = BufWriter::new(io::stdout());
    while let Ok(line) = rx.recv() {
        let mut pending = Some(line);
        while let Some(line) = pending {
            // A write error means that the reader of the log is gone, so there is nowhere
            // to report it.
            let _ = out.write_all(&line);
            pending = rx.try_recv().ok();
        }
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let _ = writeln!(
                out,
                "level=warn event=log_lines_dropped count={dropped_count}"
            );
        }
        let _ = out.flush();
    }
}
