//! A fault-injecting TCP proxy on loopback.

use anyhow::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Fault of the proxied connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyFault {
    /// Bytes pass unchanged.
    None,
    /// Each piece is delayed by this time.
    Delayed(Duration),
    /// Bytes pass in small pieces with pauses, as with a target that reads and writes
    /// slowly.
    Slow,
    /// Bytes to the target pass; its answers wait.
    OneWay,
    /// No bytes pass and connections stay open; new connections hang too.
    Silent,
    /// Connections are closed, and new ones are closed at once.
    Reset,
}

/// Size of a piece and pause after it, for [`ProxyFault::Slow`].
const SLOW: (usize, Duration) = (2_048, Duration::from_millis(2));

/// A proxy in front of one target.
pub struct Proxy {
    /// The address that the proxy listens on.
    pub address: SocketAddr,
    fault: watch::Sender<ProxyFault>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (fault, rx) = watch::channel(ProxyFault::None);
        tokio::spawn(accept(listener, target, rx));
        Ok(Self { address, fault })
    }

    /// Begins a fault, or ends it with [`ProxyFault::None`].
    pub fn set(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, fault: watch::Receiver<ProxyFault>) {
    while let Ok((stream, _)) = listener.accept().await {
        if *fault.borrow() == ProxyFault::Reset {
            continue;
        }
        let fault = fault.clone();
        tokio::spawn(async move {
            if let Ok(upstream) = TcpStream::connect(target).await {
                forward(stream, upstream, fault).await;
            }
        });
    }
}

async fn forward(caller: TcpStream, target: TcpStream, fault: watch::Receiver<ProxyFault>) {
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    let closed = Arc::new(tokio::sync::Notify::new());
    let to_target_copy = copy(from_caller, to_target, fault.clone(), false);
    let to_caller_copy = copy(from_target, to_caller, fault.clone(), true);
    let reset = async {
        let mut fault = fault;
        while *fault.borrow_and_update() != ProxyFault::Reset {
            if fault.changed().await.is_err() {
                closed.notified().await;
            }
        }
    };
    tokio::select! {
        () = async { tokio::join!(to_target_copy, to_caller_copy); } => {}
        () = reset => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<ProxyFault>,
    is_answer: bool,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buf).await {
        if length == 0 {
            return;
        }
        let is_blocked =
            |h: &ProxyFault| *h == ProxyFault::Silent || (*h == ProxyFault::OneWay && is_answer);
        if fault.wait_for(|h| !is_blocked(h)).await.is_err() {
            return;
        }
        let current = *fault.borrow();
        if let ProxyFault::Delayed(delay) = current {
            tokio::time::sleep(delay).await;
        }
        let (piece, pause) = match current {
            ProxyFault::Slow => SLOW,
            _ => (buf.len(), Duration::ZERO),
        };
        for piece_bytes in buf[..length].chunks(piece) {
            if to.write_all(piece_bytes).await.is_err() {
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }
}
