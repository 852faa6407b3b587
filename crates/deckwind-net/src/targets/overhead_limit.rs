//! Limit on the bytes that a target may send without getting on with its answer.
//!
//! The HTTP library bounds the size of a head, of chunk extensions and of trailers, but reads
//! interim answers, the digits of a chunk's size and the spaces after them without end. All of
//! these count here, whatever they are: the limit applies to the bytes received since the
//! request was sent, the head of its answer was read, or content was read. The size of an
//! answer is not limited, and neither is its time, which ends with the request's.

use super::connector::BoxedStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes received without progress. Content that the HTTP library has
/// received and not handed over yet counts too; it is less than half of this.
const MAX_OVERHEAD_BYTES: u64 = 1 << 20;

/// Counts the bytes that a connection received since its answer last made progress. Clones
/// share the count.
#[derive(Clone, Debug, Default)]
pub struct OverheadMeter(Arc<AtomicU64>);

impl OverheadMeter {
    /// Records that the answer has made progress, or that a new one is awaited.
    pub fn record_progress(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn check(&self) -> io::Result<()> {
        let bytes = self.0.load(Ordering::Relaxed);
        if bytes <= MAX_OVERHEAD_BYTES {
            return Ok(());
        }
        metrics::counter!("deckwind_target_answers_without_end_total").increment(1);
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{bytes} bytes that are no part of an answer"),
        ))
    }
}

/// A byte stream to a target whose reading fails once too much was received without progress.
pub struct LimitedStream {
    stream: BoxedStream,
    meter: OverheadMeter,
}

impl LimitedStream {
    /// Limits a byte stream. The meter is told about the progress.
    pub fn new(stream: BoxedStream, meter: OverheadMeter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.meter.check()?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.meter.add(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
