//! QUIC endpoint of a process, for requests with an answer and for one-way messages.
//!
//! ```text
//!  request   one bidirectional stream each: request, FIN, answer, FIN
//!  one-way   one unidirectional stream each: message, FIN
//! ```
//!
//! Streams of one connection do not block each other (RFC 9000), so a large snapshot
//! does not delay a heartbeat. A broken connection is replaced at the next use. This
//! module never retries a message.

use crate::keys::{KeyFiles, LoadedKeys, load};
use crate::tunnel::{self, IncomingTunnel, TunnelDialer};
use crate::unauthenticated;
use anyhow::{Context, Result, anyhow};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{
    ClientConfig, Connection, Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TransportConfig,
};
use socket2::SockRef;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Time without a packet after which a connection is closed: half of the deployed
/// lease (2.8 s), so that a new connection can still renew the lease. A network path may
/// stop delivering packets while new connections work.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Interval between keep-alive packets. Three of them may be lost before the connection
/// is closed.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);

/// Round-trip time assumed before one is measured. The first packet of a connection is
/// retransmitted after three times this value. With the 333 ms that RFC 9002 recommends
/// for the internet, a peer that starts slightly later is only reached after a second.
/// A round trip between regions takes 16 ms.
const INITIAL_RTT: Duration = Duration::from_millis(30);

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to wait until peers have received the close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of streams of each type that a peer may have open at the same time.
const MAX_CONCURRENT_STREAMS: u32 = 1_024;

/// Maximum number of unacknowledged bytes sent to one peer: 16 times what a 1 Mbit/s
/// link carries in a second, and small compared to the memory of a small VM.
const SEND_WINDOW: u64 = 2 << 20;

/// Maximum number of tunnels that one peer may have open at the same time.
const MAX_CONCURRENT_TUNNELS: u32 = 256;

/// Number of bytes that a peer may send on one tunnel before they are read: what a link of
/// 100 Mbit/s carries in 5 ms.
const TUNNEL_WINDOW: u32 = 64 * 1024;

/// Number of bytes that a peer may send on all tunnels together before they are read, and
/// of unacknowledged bytes sent to it.
const TUNNELS_WINDOW: u32 = 2 << 20;

/// Size of the socket's receive buffer, bytes: enough for the first packets of 800
/// peers, 1,200 bytes each. The system default of 208 KiB holds those of 177 peers, and
/// lost packets are only retransmitted after 90, 270 and 630 ms.
const RECEIVE_BUFFER: usize = 1 << 20;

/// ALPN protocol id of the handshake (RFC 7301).
const ALPN: &[u8] = b"deckwind/1";

/// A received message.
pub enum Incoming {
    /// A message without an answer.
    OneWay(Vec<u8>),
    /// A request, and the responder for its answer.
    Request(Vec<u8>, Responder),
}

/// Sends the answer to a request.
pub struct Responder(quinn::SendStream);

impl Responder {
    /// Sends the answer. It is not an error if the requester has disconnected.
    pub async fn respond(mut self, answer: Vec<u8>) {
        if self.0.write_all(&answer).await.is_ok() {
            let _ = self.0.finish();
            let _ = self.0.stopped().await;
        }
    }
}

/// A QUIC endpoint and its outgoing connections.
#[derive(Clone)]
pub struct QuicPeer {
    endpoint: Endpoint,
    server: ServerConfig,
    tunnel_client: ClientConfig,
    max_message: usize,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    pending: Arc<Mutex<HashMap<SocketAddr, watch::Receiver<Option<ConnectResult>>>>>,
}

/// Result of a connection attempt; the error is a message, so that all waiting tasks can
/// have a copy.
type ConnectResult = Result<Connection, String>;

impl QuicPeer {
    /// Binds `address`. With `files`, peers authenticate each other by mutual TLS.
    /// Without, connections are encrypted with a newly generated certificate and any
    /// peer is accepted, which is only safe on networks that no other party can reach.
    ///
    /// # Errors
    /// If the key files cannot be loaded or the address cannot be bound.
    pub fn bind(address: SocketAddr, files: Option<&KeyFiles>, max_message: usize) -> Result<Self> {
        let (server, client) = match files {
            Some(files) => {
                let keys = load(files)?;
                (server_config(&keys)?, client_config(keys)?)
            }
            None => unauthenticated::endpoint_configs(address.ip(), ALPN)?,
        };
        let mut tunnel_client = client.clone();
        tunnel_client.transport_config(tunnel_transport(Some(KEEP_ALIVE_INTERVAL))?);
        let (server, client) = (
            server_with_transport(server)?,
            client_with_transport(client)?,
        );
        let socket = UdpSocket::bind(address)
            .with_context(|| format!("cannot bind UDP address {address}"))?;
        widen_receive_buffer(&socket);
        let runtime = quinn::default_runtime().context("not running inside a tokio runtime")?;
        let mut endpoint = Endpoint::new(
            EndpointConfig::default(),
            Some(server.clone()),
            socket,
            runtime,
        )?;
        endpoint.set_default_client_config(client);
        Ok(Self {
            endpoint,
            server,
            tunnel_client,
            max_message,
            connections: Arc::default(),
            pending: Arc::default(),
        })
    }

    /// Returns the address that the endpoint is bound to.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Sends a message without an answer.
    pub async fn send(&self, to: SocketAddr, message: &[u8]) -> Result<()> {
        let connection = self.connection(to).await?;
        let mut stream = self.evict_on_error(to, connection.open_uni().await)?;
        stream.write_all(message).await?;
        stream.finish()?;
        Ok(())
    }

    /// Sends a request and waits for its answer.
    pub async fn request(&self, to: SocketAddr, message: &[u8]) -> Result<Vec<u8>> {
        let connection = self.connection(to).await?;
        let (mut tx, mut rx) = self.evict_on_error(to, connection.open_bi().await)?;
        tx.write_all(message).await?;
        tx.finish()?;
        let answer = rx.read_to_end(self.max_message).await?;
        if answer.is_empty() {
            return Err(anyhow!("{to} sent no answer"));
        }
        Ok(answer)
    }

    /// Removes the cached connection to `to` if `result` is an error.
    fn evict_on_error<T, E>(&self, to: SocketAddr, result: Result<T, E>) -> Result<T>
    where
        E: std::error::Error + Send + Sync + 'static,
    {
        result.map_err(|e| {
            self.connections
                .lock()
                .expect("no holder panics")
                .remove(&to);
            e.into()
        })
    }

    /// Returns the connection to a peer, establishing it if necessary. Concurrent
    /// callers share one connection attempt. The attempt continues when they stop
    /// waiting, so that a loaded peer does not have to start handshakes over and over.
    async fn connection(&self, to: SocketAddr) -> Result<Connection> {
        if let Some(connection) = self.existing_connection(to) {
            return Ok(connection);
        }
        let mut attempt = self.start_connecting(to);
        let result = attempt.wait_for(Option::is_some).await;
        let result = result.map(|r| r.clone().expect("waited for"));
        match result {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(reason)) => Err(anyhow!("cannot connect to {to}: {reason}")),
            Err(_) => Err(anyhow!("cannot connect to {to}: the endpoint is closing")),
        }
    }

    fn existing_connection(&self, to: SocketAddr) -> Option<Connection> {
        let connections = self.connections.lock().expect("no holder panics");
        let connection = connections.get(&to).cloned();
        connection.filter(|c| c.close_reason().is_none())
    }

    /// Returns a receiver for the result of the connection attempt in progress, starting
    /// one if there is none.
    fn start_connecting(&self, to: SocketAddr) -> watch::Receiver<Option<ConnectResult>> {
        let mut pending = self.pending.lock().expect("no holder panics");
        if let Some(attempt) = pending.get(&to) {
            return attempt.clone();
        }
        let (tx, rx) = watch::channel(None);
        pending.insert(to, rx.clone());
        drop(pending);
        let peer = self.clone();
        tokio::spawn(async move {
            let result = peer.connect(to).await.map_err(|e| format!("{e:#}"));
            let mut pending = peer.pending.lock().expect("no holder panics");
            pending.remove(&to);
            drop(pending);
            tx.send_replace(Some(result));
        });
        rx
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection> {
        let name = to.ip().to_string();
        let connecting = self.endpoint.connect(to, &name)?;
        let result = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let connection = result.context("handshake timed out")??;
        let mut connections = self.connections.lock().expect("no holder panics");
        connections.insert(to, connection.clone());
        Ok(connection)
    }

    /// Closes this endpoint's outgoing connections to all peers except `to`. Each open
    /// connection costs both sides a packet every 400 ms.
    pub fn close_others(&self, to: SocketAddr) {
        let mut connections = self.connections.lock().expect("no holder panics");
        let others = connections.extract_if(|address, _| *address != to);
        others.for_each(|(_, connection)| connection.close(0u32.into(), b"not used"));
    }

    /// Accepts connections until the endpoint is closed, and passes every received
    /// message to `handle`.
    pub async fn serve(self, handle: impl Fn(IpAddr, Incoming) + Clone + Send + Sync + 'static) {
        while let Some(incoming) = self.endpoint.accept().await {
            let handle = handle.clone();
            let max = self.max_message;
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    serve_connection(connection, max, handle).await;
                }
            });
        }
    }

    /// Returns a dialer that opens tunnels from this endpoint.
    pub fn tunnel_dialer(&self) -> TunnelDialer {
        TunnelDialer::new(self.endpoint.clone(), self.tunnel_client.clone())
    }

    /// Accepts tunnels, and nothing else, until the endpoint is closed, and passes each
    /// request for one to `handle`.
    pub async fn serve_tunnels(
        self,
        handle: impl Fn(IncomingTunnel) + Clone + Send + Sync + 'static,
    ) -> Result<()> {
        let mut cfg = self.server.clone();
        cfg.transport_config(tunnel_transport(None)?);
        self.endpoint.set_server_config(Some(cfg));
        tunnel::serve(self.endpoint, handle).await;
        Ok(())
    }

    /// Closes the endpoint and all connections.
    pub async fn close(self) {
        self.endpoint.close(0u32.into(), b"closed");
        let closed = tokio::time::timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
        if closed.is_err() {
            log::debug!("event=peers_not_told_of_close");
        }
    }
}

/// Enlarges the receive buffer for the first packets of many peers that start at the
/// same time.
fn widen_receive_buffer(socket: &UdpSocket) {
    if let Err(e) = SockRef::from(socket).set_recv_buffer_size(RECEIVE_BUFFER) {
        log::warn!("event=receive_buffer_not_widened error={:?}", e.to_string());
    }
}

async fn serve_connection(
    connection: Connection,
    max: usize,
    handle: impl Fn(IpAddr, Incoming) + Clone + Send + Sync + 'static,
) {
    let from = connection.remote_address().ip();
    loop {
        let handle = handle.clone();
        tokio::select! {
            uni = connection.accept_uni() => {
                let Ok(mut rx) = uni else { return };
                tokio::spawn(async move {
                    if let Ok(bytes) = rx.read_to_end(max).await {
                        handle(from, Incoming::OneWay(bytes));
                    }
                });
            }
            bi = connection.accept_bi() => {
                let Ok((tx, mut rx)) = bi else { return };
                tokio::spawn(async move {
                    if let Ok(bytes) = rx.read_to_end(max).await {
                        handle(from, Incoming::Request(bytes, Responder(tx)));
                    }
                });
            }
        }
    }
}

/// Returns the transport parameters. Only the connecting side sends keep-alive packets.
fn transport(keep_alive: Option<Duration>) -> Result<Arc<TransportConfig>> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?));
    transport.keep_alive_interval(keep_alive);
    transport.initial_rtt(INITIAL_RTT);
    transport.max_concurrent_bidi_streams(MAX_CONCURRENT_STREAMS.into());
    transport.max_concurrent_uni_streams(MAX_CONCURRENT_STREAMS.into());
    transport.send_window(SEND_WINDOW);
    Ok(Arc::new(transport))
}

/// Returns the transport parameters of connections for tunnels, which bound the memory
/// that slow readers take.
fn tunnel_transport(keep_alive: Option<Duration>) -> Result<Arc<TransportConfig>> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?));
    transport.keep_alive_interval(keep_alive);
    transport.initial_rtt(INITIAL_RTT);
    transport.max_concurrent_bidi_streams(MAX_CONCURRENT_TUNNELS.into());
    transport.max_concurrent_uni_streams(0u32.into());
    transport.stream_receive_window(TUNNEL_WINDOW.into());
    transport.receive_window(TUNNELS_WINDOW.into());
    transport.send_window(TUNNELS_WINDOW.into());
    Ok(Arc::new(transport))
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn server_config(keys: &LoadedKeys) -> Result<ServerConfig> {
    let roots = Arc::new(keys.roots.clone());
    let verifier =
        rustls::server::WebPkiClientVerifier::builder_with_provider(roots, provider()).build()?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(keys.chain.clone(), keys.key.clone_key())?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    Ok(ServerConfig::with_crypto(Arc::new(
        QuicServerConfig::try_from(tls)?,
    )))
}

fn server_with_transport(mut cfg: ServerConfig) -> Result<ServerConfig> {
    cfg.transport_config(transport(None)?);
    Ok(cfg)
}

fn client_with_transport(mut cfg: ClientConfig) -> Result<ClientConfig> {
    cfg.transport_config(transport(Some(KEEP_ALIVE_INTERVAL))?);
    Ok(cfg)
}

fn client_config(keys: LoadedKeys) -> Result<ClientConfig> {
    let mut tls = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(keys.roots)
        .with_client_auth_cert(keys.chain, keys.key)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    Ok(ClientConfig::new(Arc::new(QuicClientConfig::try_from(
        tls,
    )?)))
}
