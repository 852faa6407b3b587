//! Tunnels: byte streams to an address that another process connects to on behalf of this
//! one.
//!
//! ```text
//!  opener                           relay
//!    │ ── request frame ──────────►   │ connects
//!    │ ◄────────── answer frame ──    │
//!    │ ◄═════ bytes both ways ═════►  │ ◄══► target
//! ```
//!
//! Each tunnel is one bidirectional QUIC stream. A frame is its length (two bytes, big
//! endian) and its content, which this module does not interpret. A finished stream is a
//! closed connection, and a reset stream is a broken one, so that an answer that ends with
//! its connection isn't taken for complete when it was cut. A stream is finished only where
//! the target or the opener closed its side, and reset in all other cases, also where the
//! task that carries the tunnel is dropped. A connection between two processes is closed
//! when its last tunnel is.

use crate::targets::BoxedStream;
use anyhow::{Context as _, Result, bail};
use quinn::{ClientConfig, Connection, Endpoint, RecvStream, SendStream, VarInt};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// Maximum length of a frame, bytes.
const MAX_FRAME_BYTES: usize = 1_024;

/// Size of the buffer for one direction of a tunnel, bytes.
const COPY_BUFFER_BYTES: usize = 8 * 1_024;

/// Error code of a stream whose tunnel broke.
const BROKEN: VarInt = VarInt::from_u32(1);

/// Connection to one relay; the lock lets concurrent openers share a handshake.
type SharedConnection = Arc<tokio::sync::Mutex<Weak<Connection>>>;

/// Opens tunnels through other processes.
pub struct TunnelDialer {
    endpoint: Endpoint,
    cfg: ClientConfig,
    connections: Mutex<HashMap<SocketAddr, SharedConnection>>,
}

impl TunnelDialer {
    /// Creates a dialer that connects from `endpoint`.
    pub(crate) fn new(endpoint: Endpoint, cfg: ClientConfig) -> Self {
        Self {
            endpoint,
            cfg,
            connections: Mutex::default(),
        }
    }

    /// Sends a request for a tunnel and returns the relay's answer. The stream is that of
    /// the tunnel if the answer accepts it.
    ///
    /// # Errors
    /// If the relay can't be reached or sends no answer. Sets no time limit.
    pub async fn open(&self, via: SocketAddr, request: &[u8]) -> Result<(Vec<u8>, TunnelStream)> {
        let connection = self.connection(via).await?;
        let (tx, mut rx) = connection.open_bi().await?;
        let mut tx = SendHalf::new(tx);
        write_frame(&mut tx.inner, request).await?;
        let answer = read_frame(&mut rx).await?;
        let stream = TunnelStream {
            tx,
            rx,
            _connection: connection,
        };
        Ok((answer, stream))
    }

    /// Forgets relays that `keep` rejects. Their tunnels stay open.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut connections = self.connections.lock().expect("no holder panics");
        connections.retain(|via, _| keep(via));
    }

    async fn connection(&self, via: SocketAddr) -> Result<Arc<Connection>> {
        let shared = {
            let mut connections = self.connections.lock().expect("no holder panics");
            connections.entry(via).or_default().clone()
        };
        let mut slot = shared.lock().await;
        let existing = slot.upgrade();
        if let Some(connection) = existing.filter(|c| c.close_reason().is_none()) {
            return Ok(connection);
        }
        let name = via.ip().to_string();
        let connecting = self.endpoint.connect_with(self.cfg.clone(), via, &name)?;
        let connection = Arc::new(connecting.await.context("no connection to the relay")?);
        *slot = Arc::downgrade(&connection);
        Ok(connection)
    }
}

async fn write_frame(tx: &mut SendStream, content: &[u8]) -> Result<()> {
    if content.len() > MAX_FRAME_BYTES {
        bail!("a frame of {} bytes is too long", content.len());
    }
    let len = content.len() as u16;
    tx.write_all(&len.to_be_bytes()).await?;
    tx.write_all(content).await?;
    Ok(())
}

async fn read_frame(rx: &mut RecvStream) -> Result<Vec<u8>> {
    let mut len = [0; 2];
    rx.read_exact(&mut len).await?;
    let len = usize::from(u16::from_be_bytes(len));
    if len > MAX_FRAME_BYTES {
        bail!("a frame of {len} bytes is too long");
    }
    let mut content = vec![0; len];
    rx.read_exact(&mut content).await?;
    Ok(content)
}

/// Sending half of a stream, which is reset when it is dropped unless it was finished.
/// quinn finishes a stream that is dropped, as if its end had been reached.
struct SendHalf {
    inner: SendStream,
    is_finished: bool,
}

impl SendHalf {
    fn new(inner: SendStream) -> Self {
        Self {
            inner,
            is_finished: false,
        }
    }

    /// Ends the stream properly. Does nothing if it has ended already.
    fn finish(&mut self) {
        self.is_finished = true;
        // Fails only if the stream has ended already.
        let _ = self.inner.finish();
    }

    /// Finishes the stream, and waits until the peer has all bytes or has left.
    async fn finish_and_wait(mut self) {
        self.finish();
        let _ = self.inner.stopped().await;
    }
}

impl Drop for SendHalf {
    fn drop(&mut self) {
        if !self.is_finished {
            // Fails only if the stream has ended already.
            let _ = self.inner.reset(BROKEN);
        }
    }
}

/// The opener's end of a tunnel. Dropping it breaks the tunnel.
pub struct TunnelStream {
    tx: SendHalf,
    rx: RecvStream,
    /// Keeps the connection open.
    _connection: Arc<Connection>,
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        AsyncRead::poll_read(Pin::new(&mut self.rx), cx, buf)
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.tx.inner), cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        AsyncWrite::poll_flush(Pin::new(&mut self.tx.inner), cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.tx.finish();
        Poll::Ready(Ok(()))
    }
}

/// A request for a tunnel, at the relay.
pub struct IncomingTunnel {
    /// Address of the opener.
    pub from: IpAddr,
    /// Content of the request.
    pub request: Vec<u8>,
    tx: SendHalf,
    rx: RecvStream,
}

/// Bytes that a tunnel has carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CarriedBytes {
    /// Bytes to the target.
    pub to_target: u64,
    /// Bytes from the target.
    pub from_target: u64,
}

impl IncomingTunnel {
    /// Answers without opening the tunnel.
    pub async fn refuse(mut self, answer: &[u8]) {
        // The opener may have left; then nobody reads the answer.
        if write_frame(&mut self.tx.inner, answer).await.is_ok() {
            self.tx.finish_and_wait().await;
        }
    }

    /// Answers, and passes bytes on between the opener and `target` until one of them
    /// closes or breaks its side. The opener's end closes the target's connection at once.
    /// The opener sees a proper end only if the target closed its connection: any other
    /// end, and dropping the future, breaks the tunnel.
    pub async fn carry(self, answer: &[u8], target: BoxedStream) -> CarriedBytes {
        let Self { mut tx, mut rx, .. } = self;
        let mut carried = CarriedBytes::default();
        if write_frame(&mut tx.inner, answer).await.is_err() {
            return carried;
        }
        let CarriedBytes {
            to_target: up_bytes,
            from_target: down_bytes,
        } = &mut carried;
        let (mut from_target, mut to_target) = tokio::io::split(target);
        let up = async {
            let mut buf = vec![0; COPY_BUFFER_BYTES];
            while let Ok(Some(n)) = rx.read(&mut buf).await {
                to_target.write_all(&buf[..n]).await?;
                to_target.flush().await?;
                *up_bytes += n as u64;
            }
            Ok::<_, io::Error>(())
        };
        let down = async {
            let mut buf = vec![0; COPY_BUFFER_BYTES];
            loop {
                match from_target.read(&mut buf).await {
                    Ok(0) => return true,
                    Ok(n) => {
                        if tx.inner.write_all(&buf[..n]).await.is_err() {
                            return false;
                        }
                        *down_bytes += n as u64;
                    }
                    Err(_) => return false,
                }
            }
        };
        let is_closed_by_target = tokio::select! {
            is_closed_by_target = down => is_closed_by_target,
            _ = up => false,
        };
        if is_closed_by_target {
            tx.finish_and_wait().await;
        }
        carried
    }
}

/// Accepts requests for tunnels until the endpoint is closed, and passes each to `handle`.
pub(crate) async fn serve(
    endpoint: Endpoint,
    handle: impl Fn(IncomingTunnel) + Clone + Send + Sync + 'static,
) {
    while let Some(incoming) = endpoint.accept().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve_connection(connection, handle).await,
                Err(e) => log::debug!("event=tunnel_handshake_failed error={e:?}"),
            }
        });
    }
}

async fn serve_connection(
    connection: Connection,
    handle: impl Fn(IncomingTunnel) + Clone + Send + Sync + 'static,
) {
    let from = connection.remote_address().ip();
    while let Ok((tx, mut rx)) = connection.accept_bi().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            match read_frame(&mut rx).await {
                Ok(request) => handle(IncomingTunnel {
                    from,
                    request,
                    tx: SendHalf::new(tx),
                    rx,
                }),
                Err(e) => log::debug!("event=bad_tunnel_request from={from} error={e:?}"),
            }
        });
    }
}
