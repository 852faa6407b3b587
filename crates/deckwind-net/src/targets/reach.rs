//! Opens byte streams to targets: directly, or through another router where the direct
//! path is lost.
//!
//! ```text
//!  path known as lost?  no ─► direct ──► unanswered for HEDGE_DELAY, or failed ─► tunnel
//!                      yes ─► tunnel ──► refused ─► direct
//!                        └──► from time to time, in the background: direct
//! ```
//!
//! A stream that could not be opened has carried nothing, so the next way may be tried
//! whatever the request is. Where neither way works, the target counts as unreachable, as
//! opposed to a target that only this router doesn't reach.

use super::connector::{BoxedStream, Connector};
use crate::BoxFuture;
use crate::clock::Clock;
use deckwind_core::routes::{ConnectFailure, Connectivity};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

/// Maximum time to establish a connection inside a region: a hundred round trips, and
/// less than the second after which a lost SYN is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without an answer after which a tunnel is tried too: several round trips between
/// regions, and short enough for an answer that is still on time.
pub const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Opens byte streams to targets through other routers.
pub trait TunnelOpener: Send + Sync {
    /// Opens a byte stream to a target, within a bounded time.
    ///
    /// # Errors
    /// If no other router connects to the target; it has received nothing in that case.
    fn open(&self, target: SocketAddr) -> BoxFuture<'_, Result<BoxedStream, String>>;
}

/// The way that a byte stream takes to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From this process.
    Direct,
    /// Through another router.
    Tunnel,
}

/// Opens byte streams to targets.
pub struct Reach {
    clock: Clock,
    connector: Arc<dyn Connector>,
    tunnels: OnceLock<Arc<dyn TunnelOpener>>,
    connectivity: Mutex<Connectivity>,
}

impl Reach {
    /// Creates a value that connects through `connector`.
    pub fn new(clock: Clock, connector: Arc<dyn Connector>) -> Self {
        Self {
            clock,
            connector,
            tunnels: OnceLock::new(),
            connectivity: Mutex::default(),
        }
    }

    /// Sets how tunnels are opened. Has no effect the second time.
    pub fn set_tunnels(&self, tunnels: Arc<dyn TunnelOpener>) {
        let _ = self.tunnels.set(tunnels);
    }

    fn connectivity(&self) -> MutexGuard<'_, Connectivity> {
        self.connectivity.lock().expect("no holder panics")
    }

    /// Opens a byte stream to a target.
    ///
    /// # Errors
    /// If the target can't be reached; it has received nothing in that case.
    pub async fn connect(&self, address: SocketAddr) -> Result<(BoxedStream, Way), String> {
        let direct = async |within| {
            let connecting = self.connect_directly(address, within).await;
            connecting.map(|stream| (stream, Way::Direct))
        };
        let Some(tunnels) = self.tunnels.get() else {
            return direct(CONNECT_TIMEOUT).await;
        };
        if self.prefers_tunnel(address) {
            return match self.open_tunnel(tunnels.as_ref(), address).await {
                Ok(stream) => Ok((stream, Way::Tunnel)),
                Err(_) => direct(CONNECT_TIMEOUT).await,
            };
        }
        let mut connecting = pin!(direct(CONNECT_TIMEOUT));
        let first = tokio::time::timeout(HEDGE_DELAY, connecting.as_mut()).await;
        if let Ok(Ok(connected)) = first {
            return Ok(connected);
        }
        let mut opening = pin!(self.open_tunnel(tunnels.as_ref(), address));
        if let Ok(Err(e)) = first {
            let opened = opening.await.map(|stream| (stream, Way::Tunnel));
            return opened.map_err(|tunnel| format!("{e}, {tunnel}"));
        }
        tokio::select! {
            biased;
            connected = connecting.as_mut() => match connected {
                Ok(connected) => Ok(connected),
                Err(e) => {
                    let opened = opening.await.map(|stream| (stream, Way::Tunnel));
                    opened.map_err(|tunnel| format!("{e}, {tunnel}"))
                }
            },
            opened = opening.as_mut() => match opened {
                Ok(stream) => {
                    self.record_failed(address, ConnectFailure::Unanswered);
                    Ok((stream, Way::Tunnel))
                }
                Err(tunnel) => connecting.await.map_err(|e| format!("{e}, {tunnel}")),
            },
        }
    }

    /// Whether a tunnel is tried before the direct path.
    fn prefers_tunnel(&self, address: SocketAddr) -> bool {
        let connectivity = self.connectivity();
        connectivity.is_lost(address) || connectivity.is_isolated()
    }

    /// Connects directly, within a time, and records the result.
    ///
    /// # Errors
    /// If the target can't be reached directly.
    pub async fn connect_directly(
        &self,
        address: SocketAddr,
        within: Duration,
    ) -> Result<BoxedStream, String> {
        let connecting = self.connector.connect(address);
        match tokio::time::timeout(within, connecting).await {
            Ok(Ok(stream)) => {
                self.record_connected(address);
                Ok(stream)
            }
            Ok(Err(e)) => {
                self.record_failed(address, ConnectFailure::Refused);
                Err(format!("{address}: {e}"))
            }
            Err(_) => {
                self.record_failed(address, ConnectFailure::Unanswered);
                Err(format!("{address}: no connection within {within:?}"))
            }
        }
    }

    async fn open_tunnel(
        &self,
        tunnels: &dyn TunnelOpener,
        address: SocketAddr,
    ) -> Result<BoxedStream, String> {
        let opened = tunnels.open(address).await;
        if opened.is_err() {
            let mut connectivity = self.connectivity();
            connectivity.forget_lost(address);
            set_lost_gauge(connectivity.lost_count());
        }
        opened
    }

    /// Whether a direct connection to a target should be attempted in the background now,
    /// because requests go through tunnels.
    pub fn start_probe(&self, address: SocketAddr) -> bool {
        let now = self.clock.now();
        self.tunnels.get().is_some() && self.connectivity().start_probe(now, address)
    }

    /// Whether the path to a target that answers late should be checked now.
    pub fn start_check(&self, address: SocketAddr) -> bool {
        let now = self.clock.now();
        self.connectivity().start_check(now, address)
    }

    /// Whether direct connections to a target are likely dead: a new one was not answered.
    pub fn is_silent(&self, address: SocketAddr) -> bool {
        self.connectivity().is_silent(address)
    }

    /// Whether a target is not reached directly.
    pub fn is_lost(&self, address: SocketAddr) -> bool {
        self.connectivity().is_lost(address)
    }

    fn record_connected(&self, address: SocketAddr) {
        let now = self.clock.now();
        let mut connectivity = self.connectivity();
        let was_isolated = connectivity.is_isolated();
        let lost_for = connectivity.record_connected(now, address);
        let lost = connectivity.lost_count();
        drop(connectivity);
        if was_isolated {
            log::info!("event=not_isolated target={address} lost_targets={lost}");
        }
        let Some(lost_for) = lost_for else {
            return;
        };
        set_lost_gauge(lost);
        log::info!(
            "event=target_reached_again target={address} lost_ms={} lost_targets={lost}",
            lost_for.as_millis()
        );
    }

    fn record_failed(&self, address: SocketAddr, how: ConnectFailure) {
        let now = self.clock.now();
        let mut connectivity = self.connectivity();
        let was_isolated = connectivity.is_isolated();
        let is_new = connectivity.record_failed(now, address, how);
        let is_isolated = connectivity.is_isolated();
        let lost = connectivity.lost_count();
        drop(connectivity);
        if is_new {
            set_lost_gauge(lost);
            log::warn!("event=target_not_reached target={address} how={how:?} lost_targets={lost}");
        }
        if is_isolated && !was_isolated {
            log::warn!("event=isolated target={address} lost_targets={lost}");
        }
    }

    /// Forgets the targets that `keep` rejects.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut connectivity = self.connectivity();
        connectivity.retain(keep);
        let lost = connectivity.lost_count();
        drop(connectivity);
        set_lost_gauge(lost);
    }
}

fn set_lost_gauge(lost: usize) {
    metrics::gauge!("deckwind_targets_not_reached").set(lost as f64);
}
