//! Opens byte streams to targets, and records which targets can't be reached directly.

use super::connector::{BoxedStream, Connector};
use crate::clock::Clock;
use deckwind_core::routes::{ConnectFailure, Connectivity};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Maximum time to establish a connection inside a region: a hundred round trips, and
/// less than the second after which a lost SYN is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Opens byte streams to targets.
pub struct Reach {
    clock: Clock,
    connector: Arc<dyn Connector>,
    connectivity: Mutex<Connectivity>,
}

impl Reach {
    /// Creates a value that connects through `connector`.
    pub fn new(clock: Clock, connector: Arc<dyn Connector>) -> Self {
        Self {
            clock,
            connector,
            connectivity: Mutex::default(),
        }
    }

    fn connectivity(&self) -> MutexGuard<'_, Connectivity> {
        self.connectivity.lock().expect("no holder panics")
    }

    /// Opens a byte stream to a target.
    ///
    /// # Errors
    /// If the target can't be reached; it has received nothing in that case.
    pub async fn connect(&self, address: SocketAddr) -> Result<BoxedStream, String> {
        let connecting = self.connector.connect(address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
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
                Err(format!(
                    "{address}: no connection within {CONNECT_TIMEOUT:?}"
                ))
            }
        }
    }

    fn record_connected(&self, address: SocketAddr) {
        let now = self.clock.now();
        let mut connectivity = self.connectivity();
        let was_isolated = connectivity.is_isolated();
        let lost_for = connectivity.record_connected(now, address);
        let lost = connectivity.lost_count();
        drop(connectivity);
        let Some(lost_for) = lost_for else {
            return;
        };
        set_lost_gauge(lost);
        log::info!(
            "event=target_reached_again target={address} lost_ms={} lost_targets={lost}",
            lost_for.as_millis()
        );
        if was_isolated {
            log::info!("event=not_isolated target={address} lost_targets={lost}");
        }
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
