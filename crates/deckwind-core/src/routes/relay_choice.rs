//! Choice of the router through which a target is reached that this router can't reach
//! itself.
//!
//! All named routers are equal at first, and those that connected lately are preferred:
//! after a few attempts, requests go through routers that have kept their paths.

use crate::control::{PeerList, PeerListVersion, PeerRouter};
use crate::routing::seeded_rng::SeededRng;
use crate::state::DataCentre;
use crate::time::Instant;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of routers that are tried for one connection.
pub const MAX_RELAYS_TRIED: usize = 4;

/// Time for which the result of an attempt influences the choice.
const RESULT_TTL: Duration = Duration::from_secs(3);

/// Results of the latest attempts through one router.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    opened_at: Option<Instant>,
    failed_at: Option<Instant>,
}

/// Order in which routers are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    Opened,
    Untried,
    Failed,
}

impl Results {
    fn preference(&self, now: Instant) -> Preference {
        let is_recent = |at: Option<Instant>| at.is_some_and(|at| now.since(at) < RESULT_TTL);
        match (is_recent(self.opened_at), is_recent(self.failed_at)) {
            (true, _) => Preference::Opened,
            (false, true) => Preference::Failed,
            (false, false) => Preference::Untried,
        }
    }
}

/// The routers named by the leader, and the results of attempts through them.
#[derive(Clone, Debug, Default)]
pub struct RelayChoice {
    peers: PeerList,
    results: HashMap<SocketAddr, Results>,
}

impl RelayChoice {
    /// Replaces the list of routers.
    pub fn set_peers(&mut self, peers: PeerList) {
        self.peers = peers;
        let routers = &self.peers.routers;
        let is_named = |address: &SocketAddr| routers.iter().any(|r| r.address == *address);
        self.results.retain(|address, _| is_named(address));
    }

    /// Returns the version of the list of routers.
    pub fn version(&self) -> PeerListVersion {
        self.peers.version()
    }

    /// Returns the routers to try for one connection, best first. `draw` spreads
    /// connections over equivalent routers.
    pub fn candidates(&self, now: Instant, own: &DataCentre, draw: u64) -> Vec<SocketAddr> {
        let rank = |i: usize, peer: &PeerRouter| {
            let results = self.results.get(&peer.address);
            let preference = results.copied().unwrap_or_default().preference(now);
            let random = SeededRng::new(draw, i as u64).next_u64();
            (preference, peer.data_centre != *own, random)
        };
        let peers = self.peers.routers.iter().enumerate();
        let mut ranked: Vec<_> = peers.map(|(i, p)| (rank(i, p), p.address)).collect();
        ranked.sort_unstable();
        let addresses = ranked.into_iter().map(|(_, address)| address);
        addresses.take(MAX_RELAYS_TRIED).collect()
    }

    /// Records that a router has connected.
    pub fn record_opened(&mut self, now: Instant, via: SocketAddr) {
        self.results.entry(via).or_default().opened_at = Some(now);
    }

    /// Records that a router could not connect, or gave no answer. Does not count against
    /// a router that connected elsewhere lately, since the target may be dead.
    pub fn record_failed(&mut self, now: Instant, via: SocketAddr) {
        self.results.entry(via).or_default().failed_at = Some(now);
    }

    /// Records that a router can't be reached, or takes no more tunnels.
    pub fn record_unavailable(&mut self, now: Instant, via: SocketAddr) {
        let results = self.results.entry(via).or_default();
        *results = Results {
            opened_at: None,
            failed_at: Some(now),
        };
    }
}
