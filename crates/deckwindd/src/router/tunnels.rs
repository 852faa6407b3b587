//! Tunnels between routers: a router that has lost the path to a target connects to it
//! through another router, and connects to targets for others.
//!
//! The router that took a request keeps all decisions on it: target, retries, permits,
//! deadline. The relay only connects to targets of its own configuration and passes bytes
//! on. A tunnel never leads through a second relay.

use super::shared::RouterShared;
use deckwind_core::control::{
    PeerList, PeerListVersion, TunnelRefusal, TunnelReply, TunnelRequest,
};
use deckwind_core::routes::RelayChoice;
use deckwind_core::state::DataCentre;
use deckwind_net::BoxFuture;
use deckwind_net::clock::Clock;
use deckwind_net::quic::QuicPeer;
use deckwind_net::targets::{BoxedStream, TunnelOpener};
use deckwind_net::tunnel::{IncomingTunnel, TunnelDialer};
use deckwind_wire::{decode, encode};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Semaphore;

/// Maximum time for one router to connect to a target: a handshake, and the time that it
/// waits for the target.
const RELAY_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time to open a tunnel, through whichever router.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of tunnels that a router carries for others. With their buffers and the
/// windows of QUIC in both directions they take at most 36 MB.
const MAX_CARRIED: usize = 256;

/// Opens tunnels through other routers.
pub struct Tunnels {
    clock: Clock,
    data_centre: DataCentre,
    /// Address at which this router accepts tunnels, if others can reach it.
    address: Option<SocketAddr>,
    dialer: TunnelDialer,
    choice: Mutex<RelayChoice>,
}

impl Tunnels {
    /// Creates a value that opens tunnels from the endpoint of `peer`.
    pub fn new(clock: Clock, data_centre: DataCentre, peer: &QuicPeer) -> Self {
        let address = match peer.local_addr() {
            Ok(address) if !address.ip().is_unspecified() => Some(address),
            Ok(address) => {
                log::info!("event=tunnels_not_accepted address={address}");
                None
            }
            Err(e) => {
                log::warn!("event=tunnels_not_accepted error={:?}", e.to_string());
                None
            }
        };
        Self {
            clock,
            data_centre,
            address,
            dialer: peer.tunnel_dialer(),
            choice: Mutex::default(),
        }
    }

    fn choice(&self) -> MutexGuard<'_, RelayChoice> {
        self.choice.lock().expect("no holder panics")
    }

    /// Returns the address at which this router accepts tunnels, if others can reach it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Returns the version of the list of other routers.
    pub fn peers_version(&self) -> PeerListVersion {
        self.choice().version()
    }

    /// Replaces the list of other routers.
    pub fn set_peers(&self, peers: PeerList) {
        let named: Vec<SocketAddr> = peers.routers.iter().map(|r| r.address).collect();
        log::info!("event=peers_changed peers={named:?}");
        self.choice().set_peers(peers);
        self.dialer.retain(|via| named.contains(via));
    }

    /// Opens a tunnel through one of the candidates, one after the other.
    async fn open_through_any(&self, target: SocketAddr) -> Result<BoxedStream, String> {
        let started = self.clock.now();
        let request = encode(&TunnelRequest { target });
        let draw = rand::random();
        let candidates = self.choice().candidates(started, &self.data_centre, draw);
        let mut reasons = Vec::new();
        for (tried, via) in candidates.into_iter().enumerate() {
            match self.open_through(via, &request).await {
                Ok(stream) => {
                    let took = self.clock.now().since(started).as_millis();
                    metrics::counter!("deckwind_tunnels_opened_total", "outcome" => "opened")
                        .increment(1);
                    log::info!(
                        "event=tunnel_opened target={target} via={via} refused={tried} took_ms={took}"
                    );
                    return Ok(stream);
                }
                Err(why) => reasons.push(format!("{via}: {why}")),
            }
        }
        metrics::counter!("deckwind_tunnels_opened_total", "outcome" => "refused").increment(1);
        log::info!("event=tunnel_not_opened target={target} why={reasons:?}");
        Err(format!("no tunnel through {} routers", reasons.len()))
    }

    async fn open_through(&self, via: SocketAddr, request: &[u8]) -> Result<BoxedStream, String> {
        let opening = tokio::time::timeout(RELAY_TIMEOUT, self.dialer.open(via, request));
        let answered = match opening.await {
            Ok(answered) => answered.map_err(|e| format!("{e:#}")),
            Err(_) => Err(format!("no answer within {RELAY_TIMEOUT:?}")),
        };
        let reply = answered.and_then(|(answer, stream)| {
            let reply = decode::<TunnelReply>(&answer).map_err(|e| e.to_string())?;
            Ok((reply, stream))
        });
        let now = self.clock.now();
        match reply {
            Ok((TunnelReply::Open, stream)) => {
                self.choice().record_opened(now, via);
                Ok(Box::new(stream))
            }
            Ok((TunnelReply::Refused(why), _)) => {
                match why.is_of_router() {
                    true => self.choice().record_unavailable(now, via),
                    false => self.choice().record_failed(now, via),
                }
                Err(format!("{why:?}"))
            }
            Err(e) => {
                self.choice().record_unavailable(now, via);
                Err(e)
            }
        }
    }
}

impl TunnelOpener for Tunnels {
    fn open(&self, target: SocketAddr) -> BoxFuture<'_, Result<BoxedStream, String>> {
        Box::pin(async move {
            let opening = self.open_through_any(target);
            match tokio::time::timeout(OPEN_TIMEOUT, opening).await {
                Ok(opened) => opened,
                Err(_) => Err(format!("no tunnel within {OPEN_TIMEOUT:?}")),
            }
        })
    }
}

/// Carries tunnels of other routers until the endpoint is closed.
pub async fn serve(shared: Arc<RouterShared>, peer: QuicPeer) {
    let slots = Arc::new(Semaphore::new(MAX_CARRIED));
    let serving = peer.serve_tunnels(move |incoming| {
        tokio::spawn(carry(shared.clone(), slots.clone(), incoming));
    });
    if let Err(e) = serving.await {
        log::error!("event=tunnels_not_served error={:?}", e.to_string());
    }
}

async fn carry(shared: Arc<RouterShared>, slots: Arc<Semaphore>, incoming: IncomingTunnel) {
    let from = incoming.from;
    let target = match decode::<TunnelRequest>(&incoming.request) {
        Ok(request) => request.target,
        Err(e) => {
            log::warn!(
                "event=bad_tunnel_request from={from} error={:?}",
                e.to_string()
            );
            return;
        }
    };
    let slot = slots.try_acquire();
    let connected = match &slot {
        Ok(_) => connect_for_peer(&shared, target).await,
        Err(_) => Err(TunnelRefusal::Busy),
    };
    let stream = match connected {
        Ok(stream) => stream,
        Err(why) => {
            count_carried("refused");
            log::info!("event=tunnel_refused from={from} target={target} why={why:?}");
            incoming.refuse(&encode(&TunnelReply::Refused(why))).await;
            return;
        }
    };
    count_carried("carried");
    set_carried_gauge(&slots);
    let started = shared.clock.now();
    let carried = incoming.carry(&encode(&TunnelReply::Open), stream).await;
    drop(slot);
    set_carried_gauge(&slots);
    let bytes = carried.to_target + carried.from_target;
    metrics::counter!("deckwind_tunnels_carried_bytes_total").increment(bytes);
    log::info!(
        "event=tunnel_carried from={from} target={target} to_target={} from_target={} took_ms={}",
        carried.to_target,
        carried.from_target,
        shared.clock.now().since(started).as_millis()
    );
}

/// Connects to a target of this router's own configuration.
async fn connect_for_peer(
    shared: &RouterShared,
    target: SocketAddr,
) -> Result<BoxedStream, TunnelRefusal> {
    let serving = shared.routes.serving();
    if !serving.is_live(shared.clock.now()) || shared.routes.stop.has_begun() {
        return Err(TunnelRefusal::NotServing);
    }
    if !serving.instances().iter().any(|i| i.address == target) {
        return Err(TunnelRefusal::UnknownTarget);
    }
    let connecting = shared.routes.connections.connect_for_peer(target);
    connecting.await.map_err(|e| {
        log::debug!("event=not_connected_for_peer target={target} error={e:?}");
        TunnelRefusal::NotReached
    })
}

fn count_carried(outcome: &'static str) {
    metrics::counter!("deckwind_tunnels_carried_total", "outcome" => outcome).increment(1);
}

fn set_carried_gauge(slots: &Semaphore) {
    let carried = MAX_CARRIED - slots.available_permits();
    metrics::gauge!("deckwind_tunnels_carried").set(carried as f64);
}
