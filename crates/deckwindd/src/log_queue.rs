//! Lines to standard output through a bounded queue: a slow reader of the log
//! never holds up a request. Lines that find the queue full are counted and
//! dropped; the count is written as soon as there is room.

use crossbeam::channel::{Receiver, Sender, bounded};
use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FormatFunction};
use log::Record;
use std::io::{self, BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Lines that may wait: some seconds of a router under full load.
const MAX_WAITING: usize = 8_192;

/// The sending end, as a writer of the logger.
pub struct QueueWriter {
    tx: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    format: FormatFunction,
}

impl QueueWriter {
    /// Starts the thread that writes.
    pub fn start(format: FormatFunction) -> io::Result<Self> {
        let (tx, rx) = bounded(MAX_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let for_thread = dropped.clone();
        std::thread::Builder::new()
            .name("log".to_string())
            .spawn(move || write_all(&rx, &for_thread))?;
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

    /// Waits, for a moment only, until what was queued is written.
    fn shutdown(&self) {
        const LOOKS: u32 = 20;
        for _ in 0..LOOKS {
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
        let mut next = Some(line);
        while let Some(line) = next {
            // Whoever reads the log is gone: there is nowhere to say so.
            let _ = out.write_all(&line);
            next = rx.try_recv().ok();
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let _ = writeln!(out, "level=warn event=log_lines_dropped count={lost}");
        }
        let _ = out.flush();
    }
}
