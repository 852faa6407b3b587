//! A TCP proxy on loopback that harms what passes through it.

use anyhow::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What becomes of the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    /// They pass.
    None,
    /// They pass later, each piece for itself.
    Delayed(Duration),
    /// They pass in small pieces with pauses, as at a target that reads and writes
    /// slowly.
    Slow,
    /// Those to the target pass; its answers wait.
    OneWay,
    /// None pass, and nobody is told; new connections hang too.
    Silent,
    /// Connections are closed, and new ones at once.
    Reset,
}

/// Size of a piece and the pause after it, for [`Harm::Slow`].
const SLOW: (usize, Duration) = (2_048, Duration::from_millis(2));

/// A proxy in front of one target.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    harm: watch::Sender<Harm>,
}

impl Proxy {
    /// Starts one in front of `target`.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (harm, rx) = watch::channel(Harm::None);
        tokio::spawn(accept(listener, target, rx));
        Ok(Self { address, harm })
    }

    /// Begins or ends a harm.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, harm: watch::Receiver<Harm>) {
    while let Ok((stream, _)) = listener.accept().await {
        if *harm.borrow() == Harm::Reset {
            continue;
        }
        let harm = harm.clone();
        tokio::spawn(async move {
            if let Ok(other) = TcpStream::connect(target).await {
                join(stream, other, harm).await;
            }
        });
    }
}

async fn join(caller: TcpStream, target: TcpStream, harm: watch::Receiver<Harm>) {
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = target.into_split();
    let closed = Arc::new(tokio::sync::Notify::new());
    let there = copy(from_caller, to_target, harm.clone(), false);
    let back = copy(from_target, to_caller, harm.clone(), true);
    let reset = async {
        let mut harm = harm;
        while *harm.borrow_and_update() != Harm::Reset {
            if harm.changed().await.is_err() {
                closed.notified().await;
            }
        }
    };
    tokio::select! {
        () = async { tokio::join!(there, back); } => {}
        () = reset => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harm: watch::Receiver<Harm>,
    is_answer: bool,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buf).await {
        if length == 0 {
            return;
        }
        let stops = |h: &Harm| *h == Harm::Silent || (*h == Harm::OneWay && is_answer);
        if harm.wait_for(|h| !stops(h)).await.is_err() {
            return;
        }
        let now = *harm.borrow();
        if let Harm::Delayed(by) = now {
            tokio::time::sleep(by).await;
        }
        let (piece, pause) = match now {
            Harm::Slow => SLOW,
            _ => (buf.len(), Duration::ZERO),
        };
        for part in buf[..length].chunks(piece) {
            if to.write_all(part).await.is_err() {
                return;
            }
            tokio::time::sleep(pause).await;
        }
    }
}
