//! Limit on the bytes that a target may send without getting on with its answer.
//!
//! The HTTP library bounds the size of a head, of chunk extensions and of trailers, but reads
//! interim answers, the digits of a chunk's size and the spaces after them without end. All of
//! these count here, whatever they are: the limit applies to the bytes received since the
//! request was sent, the head of its answer was read, or content was read. The size of an
//! answer is not limited, and neither is its time, which ends with the request's.

use super::connector::BoxedStream;
use super::receive_budget::{AnswerCount, Reader};
use http::HeaderMap;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes received without progress. Content that the HTTP library has
/// received and not handed over yet counts too; it is less than half of this.
const MAX_OVERHEAD_BYTES: u64 = 1 << 20;

/// Counts the bytes that a connection received since its answer last made progress, and what
/// is held of the answer. Clones share the count.
#[derive(Clone)]
pub struct OverheadMeter(Arc<AnswerCount>);

impl OverheadMeter {
    /// Creates a meter that counts in a budget.
    pub fn new(count: AnswerCount) -> Self {
        Self(Arc::new(count))
    }

    /// Records that the answer has made progress.
    pub fn record_progress(&self) {
        self.0.record_progress();
    }

    /// Releases what was held of the last answer, because it is over.
    pub fn release(&self) {
        self.0.release();
    }

    /// Records the head of the answer.
    pub fn record_head(&self, headers: &HeaderMap) {
        self.0.record_head(headers);
    }

    /// Records the number of bytes of the body that its reader keeps.
    pub fn keep_body(&self, bytes: usize) {
        self.0.keep_body(bytes);
    }

    /// Fails if the answer has been ended. Otherwise the task that reads the body is woken when
    /// it is.
    pub(crate) fn poll_body(&self, cx: &Context<'_>) -> io::Result<()> {
        match self.0.poll_ended(Reader::Body, cx) {
            true => Err(ended_error()),
            false => Ok(()),
        }
    }

    /// Like [`OverheadMeter::poll_body`], for the task that reads the connection.
    fn poll_connection(&self, cx: &Context<'_>) -> io::Result<()> {
        self.0.begin_read();
        match self.0.poll_ended(Reader::Connection, cx) {
            true => Err(ended_error()),
            false => Ok(()),
        }
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let unread = self.0.record_read(bytes).ok_or_else(ended_error)?;
        if unread <= MAX_OVERHEAD_BYTES {
            return Ok(());
        }
        metrics::counter!("deckwind_target_answers_without_end_total").increment(1);
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{unread} bytes that are no part of an answer"),
        ))
    }
}

/// Error of an answer that was ended because too much is held of all answers together.
fn ended_error() -> io::Error {
    let why = "too much is held of all answers, and most of this one";
    io::Error::new(io::ErrorKind::InvalidData, why)
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
        self.meter.poll_connection(cx)?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.meter.add(buf.filled().len() - before))
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
