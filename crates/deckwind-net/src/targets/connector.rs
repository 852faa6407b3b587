//! Byte streams to targets, and the ways to open them.

use super::tcp_options::set_tcp_options;
use crate::BoxFuture;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// A byte stream to a target.
pub trait TargetStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> TargetStream for T {}

/// A byte stream to a target, of any kind.
pub type BoxedStream = Box<dyn TargetStream>;

/// Opens byte streams to targets.
pub trait Connector: Send + Sync {
    /// Opens a byte stream to a target. Dropping the future abandons the attempt.
    ///
    /// # Errors
    /// If the target can't be reached this way; it has received nothing in that case.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            set_tcp_options(&stream);
            Ok(Box::new(stream) as BoxedStream)
        })
    }
}
