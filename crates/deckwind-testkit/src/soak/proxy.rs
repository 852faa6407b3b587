//! A fault-injecting TCP proxy on loopback.

use anyhow::Result;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
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
    /// Connections are reset, and new ones are closed at once. An open connection is not
    /// closed, since that would end an answer without a length like a whole one.
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

/// Forwards until both sides are closed, or until one of them is reset, which is passed on.
async fn forward(mut caller: TcpStream, mut target: TcpStream, fault: watch::Receiver<ProxyFault>) {
    let is_reset = {
        let (from_caller, to_caller) = caller.split();
        let (from_target, to_target) = target.split();
        let requests = copy(from_caller, to_target, fault.clone(), false);
        let answers = copy(from_target, to_caller, fault.clone(), true);
        tokio::select! {
            copied = async { tokio::try_join!(requests, answers) } => copied.is_err(),
            () = wait_for_reset(fault) => true,
        }
    };
    if is_reset {
        for stream in [&caller, &target] {
            if let Err(e) = stream.set_zero_linger() {
                eprintln!("can't reset a proxied connection: {e}");
            }
        }
    }
}

async fn wait_for_reset(mut fault: watch::Receiver<ProxyFault>) {
    if fault.wait_for(|f| *f == ProxyFault::Reset).await.is_err() {
        // The proxy is gone, and no fault can follow.
        std::future::pending().await
    }
}

/// Copies one direction and closes it at its end. Fails if the sender resets its connection;
/// a receiver that is gone ends the copy like its end.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut fault: watch::Receiver<ProxyFault>,
    is_answer: bool,
) -> io::Result<()> {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let length = from.read(&mut buf).await?;
        if length == 0 {
            let _ = to.shutdown().await;
            return Ok(());
        }
        let is_blocked =
            |h: &ProxyFault| *h == ProxyFault::Silent || (*h == ProxyFault::OneWay && is_answer);
        if fault.wait_for(|h| !is_blocked(h)).await.is_err() {
            return Err(io::ErrorKind::ConnectionReset.into());
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
                return Ok(());
            }
            tokio::time::sleep(pause).await;
        }
    }
}
