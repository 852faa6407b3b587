//! Network links from one router to targets that tests can cut, in the ways in which real
//! links fail, while all other links work on.

use deckwind_net::BoxFuture;
use deckwind_net::targets::{BoxedStream, Connector, TcpConnector};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// The way in which links to targets fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Packets are lost: existing connections fall silent, and new ones are not answered.
    Silent,
    /// Existing connections are reset, and new ones are not answered.
    Reset,
    /// Existing connections work on, and new ones are refused.
    RefusesNew,
}

#[derive(Default)]
struct State {
    fault: Option<LinkFault>,
    /// The targets that are cut off; all if there are none.
    only: BTreeSet<SocketAddr>,
    /// Number of cuts so far.
    cuts: u64,
    /// Number of attempts to connect, by target.
    attempts: BTreeMap<SocketAddr, u64>,
    next_stream: u64,
    wakers: BTreeMap<u64, Waker>,
    /// Bytes received on each open connection since a request was last written to it.
    received: BTreeMap<u64, u64>,
    /// Largest sum of these so far.
    peak_received: u64,
}

impl State {
    fn fault_to(&self, target: SocketAddr) -> Option<LinkFault> {
        let is_cut = self.only.is_empty() || self.only.contains(&target);
        self.fault.filter(|_| is_cut)
    }
}

/// Links from one router to targets.
#[derive(Default)]
pub struct CutLinks {
    state: Mutex<State>,
    healed: Notify,
}

impl CutLinks {
    /// Creates links that work.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Cuts the links to all targets.
    pub fn cut(&self, fault: LinkFault) {
        self.cut_to(fault, []);
    }

    /// Cuts the links to these targets, or to all if there are none.
    pub fn cut_to(&self, fault: LinkFault, only: impl IntoIterator<Item = SocketAddr>) {
        let mut state = self.state();
        state.fault = Some(fault);
        state.only = only.into_iter().collect();
        state.cuts += 1;
        wake_all(state);
    }

    /// Repairs the links. Connections that were silent or reset stay broken.
    pub fn heal(&self) {
        let mut state = self.state();
        state.fault = None;
        wake_all(state);
        self.healed.notify_waiters();
    }

    /// Number of attempts to connect to a target so far.
    pub fn attempts(&self, target: SocketAddr) -> u64 {
        self.state().attempts.get(&target).copied().unwrap_or(0)
    }

    /// Largest number of bytes that all open connections together have received since their
    /// last requests: the receiver holds at most as many of answers that it passes on whole.
    pub fn peak_received(&self) -> u64 {
        self.state().peak_received
    }

    fn record_received(&self, stream: u64, bytes: usize) {
        let mut state = self.state();
        *state.received.entry(stream).or_default() += bytes as u64;
        let sum = state.received.values().sum();
        state.peak_received = state.peak_received.max(sum);
    }

    async fn wait_until_healed(&self, target: SocketAddr) {
        loop {
            let healed = self.healed.notified();
            if self.state().fault_to(target).is_none() {
                return;
            }
            healed.await;
        }
    }
}

fn wake_all(mut state: MutexGuard<'_, State>) {
    let wakers = std::mem::take(&mut state.wakers);
    drop(state);
    wakers.into_values().for_each(Waker::wake);
}

/// Connector of the router that these links belong to.
pub struct CutConnector(pub Arc<CutLinks>);

impl Connector for CutConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move {
            let links = &self.0;
            let fault = {
                let mut state = links.state();
                *state.attempts.entry(address).or_default() += 1;
                state.fault_to(address)
            };
            match fault {
                Some(LinkFault::RefusesNew) => return Err(io::ErrorKind::ConnectionRefused.into()),
                Some(_) => links.wait_until_healed(address).await,
                None => {}
            }
            let inner = TcpConnector.connect(address).await?;
            let mut state = links.state();
            state.next_stream += 1;
            let stream = CutStream {
                inner,
                links: links.clone(),
                target: address,
                id: state.next_stream,
                opened_after: state.cuts,
                broken: None,
            };
            Ok(Box::new(stream) as BoxedStream)
        })
    }
}

/// A connection over links that may be cut.
struct CutStream {
    inner: BoxedStream,
    links: Arc<CutLinks>,
    target: SocketAddr,
    id: u64,
    /// Number of cuts before the connection was opened.
    opened_after: u64,
    /// The fault that broke the connection.
    broken: Option<LinkFault>,
}

impl CutStream {
    /// Returns the fault that broke the connection, and registers the task to be woken
    /// when the links change.
    fn check(&mut self, cx: &Context<'_>) -> Option<LinkFault> {
        let mut state = self.links.state();
        state.wakers.insert(self.id, cx.waker().clone());
        if state.cuts > self.opened_after {
            let fault = state.fault_to(self.target);
            let fault = fault.filter(|fault| *fault != LinkFault::RefusesNew);
            self.broken = self.broken.or(fault);
        }
        self.broken
    }
}

impl Drop for CutStream {
    fn drop(&mut self) {
        let mut state = self.links.state();
        state.wakers.remove(&self.id);
        state.received.remove(&self.id);
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.check(cx) {
            Some(LinkFault::Reset) => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            Some(_) => Poll::Pending,
            None => {
                let before = buf.filled().len();
                ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
                self.links
                    .record_received(self.id, buf.filled().len() - before);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.check(cx) {
            Some(LinkFault::Reset) => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            // The kernel buffers what the network does not deliver.
            Some(_) => Poll::Ready(Ok(buf.len())),
            None => {
                self.links.state().received.remove(&self.id);
                Pin::new(&mut self.inner).poll_write(cx, buf)
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
