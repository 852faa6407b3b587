//! Connections of callers, which don't end an answer by accident.
//!
//! To a caller that understands no chunks (HTTP/1.0), only the end of the connection
//! marks the end of a stream (RFC 9112, section 6.3). Such a connection is set up so that
//! the kernel resets it whenever it ends without [`AsyncWrite::poll_shutdown`]: after an
//! error, a panic, or the end of the process.

use http::{Response, Version};
use hyper::body::Body;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A caller's connection.
pub struct CallerStream {
    stream: TcpStream,
    ends_answer: EndsAnswer,
    /// Whether the kernel resets the connection when it is closed.
    resets: bool,
}

/// Whether the end of a connection marks the end of the answer on it.
#[derive(Clone, Default)]
pub struct EndsAnswer(Arc<AtomicBool>);

impl EndsAnswer {
    /// Sets the flag if the end of the connection marks the end of this answer to a request
    /// with this version, which is about to be written.
    pub fn set_for<B: Body>(&self, version: Version, res: &Response<B>) {
        if version < Version::HTTP_11 && res.body().size_hint().exact().is_none() {
            self.0.store(true, Ordering::Relaxed);
        }
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl CallerStream {
    /// Wraps a connection that was accepted.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            ends_answer: EndsAnswer::default(),
            resets: false,
        }
    }

    /// Returns the flag that is set before an answer ends with the connection.
    pub fn ends_answer(&self) -> EndsAnswer {
        self.ends_answer.clone()
    }

    /// Lets the kernel reset the connection when it is closed, once its end marks the end
    /// of an answer.
    fn prepare_write(&mut self) -> io::Result<()> {
        if !self.resets && self.ends_answer.is_set() {
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
            self.resets = true;
        }
        Ok(())
    }

    fn allow_close(&mut self) -> io::Result<()> {
        if self.resets {
            SockRef::from(&self.stream).set_linger(None)?;
            self.resets = false;
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Ends the connection, and thereby an answer whose end it marks.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.allow_close()?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
