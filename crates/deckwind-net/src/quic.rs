//! One QUIC endpoint a process: requests with an answer, and one-way messages.
//!
//! ```text
//!  request   a bidirectional stream each: bytes, end, bytes, end
//!  one-way   a unidirectional stream each: bytes, end
//! ```
//!
//! Streams of one connection do not hold each other up (RFC 9000), so a large
//! snapshot does not delay a heartbeat. A connection that broke is made anew at
//! the next use; nothing is sent twice from here.

use crate::keys::{KeyFiles, LoadedKeys, load};
use crate::open_peers;
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

/// Without a packet for this long a connection is dead: half of a lease, so that
/// a new one still renews it. A path may fall silent while new ones work.
const IDLE: Duration = Duration::from_millis(1_400);

/// Between two packets that keep a connection alive: three of them may be lost.
const KEEP_ALIVE: Duration = Duration::from_millis(400);

/// Round trip that is reckoned with before one is measured. The first packet of
/// a connection is sent again after three of them: RFC 9002 names 333 ms for the
/// whole internet, and then a peer that starts a moment later is reached after a
/// second. Between our regions a round trip takes 16 ms.
const INITIAL_RTT: Duration = Duration::from_millis(30);

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// Longest wait for peers to hear of the close.
const CLOSE: Duration = Duration::from_millis(100);

/// Streams that a peer may have open at once.
const MAX_STREAMS: u32 = 1_024;

/// Bytes that may be on their way to one peer: 16 times what a second of a
/// 1 Mbit/s link carries, and little beside the memory of a small VM.
const SEND_WINDOW: u64 = 2 << 20;

/// Bytes that may have arrived and not been read: the first packets, 1,200 bytes
/// each, of 800 peers. The system's usual 208 KiB hold those of 177, and what is
/// lost comes again after 90, 270 and 630 ms.
const RECEIVE_BUFFER: usize = 1 << 20;

/// Names the protocol in the handshake (RFC 7301).
const ALPN: &[u8] = b"deckwind/1";

/// What came in.
pub enum Incoming {
    /// A message that wants no answer.
    OneWay(Vec<u8>),
    /// A request, and where its answer goes.
    Request(Vec<u8>, Responder),
}

/// Where an answer goes.
pub struct Responder(quinn::SendStream);

impl Responder {
    /// Sends the answer. A requester that is gone is no error here.
    pub async fn respond(mut self, answer: Vec<u8>) {
        if self.0.write_all(&answer).await.is_ok() {
            let _ = self.0.finish();
            let _ = self.0.stopped().await;
        }
    }
}

/// An endpoint, and the connections it has made.
#[derive(Clone)]
pub struct QuicPeer {
    endpoint: Endpoint,
    max_message: usize,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    connecting: Arc<Mutex<HashMap<SocketAddr, watch::Receiver<Option<Made>>>>>,
}

/// What came of making a connection, or why nothing did.
type Made = Result<Connection, String>;

impl QuicPeer {
    /// Binds `address`, with mutual TLS by the files. Without files it encrypts
    /// with a certificate made now and takes any peer: for networks that only
    /// our own VMs reach.
    pub fn bind(address: SocketAddr, files: Option<&KeyFiles>, max_message: usize) -> Result<Self> {
        let (server, client) = match files {
            Some(files) => {
                let keys = load(files)?;
                (server_config(&keys)?, client_config(keys)?)
            }
            None => open_peers::configs(address.ip(), ALPN)?,
        };
        let (server, client) = (with_transport(server)?, client_transport(client)?);
        let socket =
            UdpSocket::bind(address).with_context(|| format!("UDP {address} can't be bound"))?;
        widen(&socket);
        let runtime = quinn::default_runtime().context("no runtime of tokio's")?;
        let mut endpoint = Endpoint::new(EndpointConfig::default(), Some(server), socket, runtime)?;
        endpoint.set_default_client_config(client);
        Ok(Self {
            endpoint,
            max_message,
            connections: Arc::default(),
            connecting: Arc::default(),
        })
    }

    /// The address that it is bound to.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Sends a message that wants no answer.
    pub async fn send(&self, to: SocketAddr, message: &[u8]) -> Result<()> {
        let connection = self.connection(to).await?;
        let mut stream = self.kept(to, connection.open_uni().await)?;
        stream.write_all(message).await?;
        stream.finish()?;
        Ok(())
    }

    /// Sends a request and waits for its answer.
    pub async fn request(&self, to: SocketAddr, message: &[u8]) -> Result<Vec<u8>> {
        let connection = self.connection(to).await?;
        let (mut tx, mut rx) = self.kept(to, connection.open_bi().await)?;
        tx.write_all(message).await?;
        tx.finish()?;
        let answer = rx.read_to_end(self.max_message).await?;
        if answer.is_empty() {
            return Err(anyhow!("{to} gave no answer"));
        }
        Ok(answer)
    }

    /// Drops the connection with which something just went wrong.
    fn kept<T, E>(&self, to: SocketAddr, result: Result<T, E>) -> Result<T>
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

    /// The connection to a peer. While one is being made everybody waits for it;
    /// it goes on when they stop waiting, so that a peer under load is not asked
    /// to begin anew again and again.
    async fn connection(&self, to: SocketAddr) -> Result<Connection> {
        if let Some(connection) = self.known(to) {
            return Ok(connection);
        }
        let mut made = self.connecting(to);
        let made = made.wait_for(Option::is_some).await;
        let made = made.map(|m| m.clone().expect("waited for"));
        match made {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(why)) => Err(anyhow!("{to} can't be reached: {why}")),
            Err(_) => Err(anyhow!("{to} can't be reached: the endpoint stops")),
        }
    }

    fn known(&self, to: SocketAddr) -> Option<Connection> {
        let connections = self.connections.lock().expect("no holder panics");
        let known = connections.get(&to).cloned();
        known.filter(|c| c.close_reason().is_none())
    }

    /// What comes of the connection that is being made, begun now if none is.
    fn connecting(&self, to: SocketAddr) -> watch::Receiver<Option<Made>> {
        let mut connecting = self.connecting.lock().expect("no holder panics");
        if let Some(made) = connecting.get(&to) {
            return made.clone();
        }
        let (tx, rx) = watch::channel(None);
        connecting.insert(to, rx.clone());
        drop(connecting);
        let peer = self.clone();
        tokio::spawn(async move {
            let made = peer.connect(to).await.map_err(|e| format!("{e:#}"));
            let mut connecting = peer.connecting.lock().expect("no holder panics");
            connecting.remove(&to);
            drop(connecting);
            tx.send_replace(Some(made));
        });
        rx
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection> {
        let name = to.ip().to_string();
        let connecting = self.endpoint.connect(to, &name)?;
        let made = tokio::time::timeout(CONNECT, connecting).await;
        let connection = made.context("no answer to the handshake")??;
        let mut connections = self.connections.lock().expect("no holder panics");
        connections.insert(to, connection.clone());
        Ok(connection)
    }

    /// Closes the connections that this endpoint has made to anybody else: each of
    /// them costs both sides a packet every 400 ms.
    pub fn keep_only(&self, to: SocketAddr) {
        let mut connections = self.connections.lock().expect("no holder panics");
        let others = connections.extract_if(|address, _| *address != to);
        others.for_each(|(_, connection)| connection.close(0u32.into(), b"not used"));
    }

    /// Takes connections until the endpoint is closed; `handle` gets whatever
    /// comes in.
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

    /// Closes all connections.
    pub async fn close(self) {
        self.endpoint.close(0u32.into(), b"closed");
        let gone = tokio::time::timeout(CLOSE, self.endpoint.wait_idle()).await;
        if gone.is_err() {
            log::debug!("event=peers_not_told_of_close");
        }
    }
}

/// Makes room for the first packets of many peers that start at once.
fn widen(socket: &UdpSocket) {
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

/// What keeps a connection alive is sent by the side that made it.
fn transport(keep_alive: Option<Duration>) -> Result<Arc<TransportConfig>> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::try_from(IDLE)?));
    transport.keep_alive_interval(keep_alive);
    transport.initial_rtt(INITIAL_RTT);
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(MAX_STREAMS.into());
    transport.send_window(SEND_WINDOW);
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

fn with_transport(mut cfg: ServerConfig) -> Result<ServerConfig> {
    cfg.transport_config(transport(None)?);
    Ok(cfg)
}

fn client_transport(mut cfg: ClientConfig) -> Result<ClientConfig> {
    cfg.transport_config(transport(Some(KEEP_ALIVE))?);
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
