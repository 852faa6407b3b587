//! Other routers that the leader names to each router, for connections to targets that the
//! router itself can't reach.
//!
//! Routers are placed on a ring by the hash of their VM's name. Each router is told of its
//! successors on the ring: some in its own data centre, which cost no bytes between data
//! centres, and some elsewhere, because a whole data centre may lose the same path. The
//! number is bounded, so that the size of a grant doesn't depend on the number of routers,
//! and a router that comes or goes changes the lists of its neighbours only.

use crate::state::{DataCentre, VmName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// Maximum number of peers in the router's own data centre.
const MAX_NEAR: usize = 4;

/// Maximum number of peers in other data centres.
const MAX_FAR: usize = 4;

/// Maximum number of routers that are looked at for one list.
const MAX_STEPS: usize = 64;

/// A router that accepts tunnels of other routers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerRouter {
    /// Address for other deckwind processes.
    pub address: SocketAddr,
    /// Data centre of the router.
    pub data_centre: DataCentre,
}

/// Version of a list of peers: a hash of its content, so that it is the same under any
/// leader. Zero is the version of the empty list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerListVersion(u64);

/// The peers of one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerList {
    /// Peers, without the router itself.
    pub routers: Vec<PeerRouter>,
}

impl PeerList {
    /// Returns the version of the list.
    pub fn version(&self) -> PeerListVersion {
        match self.routers.is_empty() {
            true => PeerListVersion::default(),
            false => PeerListVersion(hash_of(&self.routers)),
        }
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Position of a router on the ring.
type Position = (u64, VmName);

fn position(vm: &VmName) -> Position {
    (hash_of(vm), vm.clone())
}

/// The routers that have a lease of this leader.
#[derive(Clone, Debug, Default)]
pub struct PeerRouters {
    ring: BTreeMap<Position, PeerRouter>,
}

impl PeerRouters {
    /// Adds a router, or updates its address.
    pub fn put(&mut self, vm: &VmName, address: SocketAddr, data_centre: &DataCentre) {
        let router = PeerRouter {
            address,
            data_centre: data_centre.clone(),
        };
        self.ring.insert(position(vm), router);
    }

    /// Removes a router whose lease has ended.
    pub fn remove(&mut self, vm: &VmName) {
        self.ring.remove(&position(vm));
    }

    /// Returns the peers of a router in this data centre.
    pub fn list_for(&self, vm: &VmName, data_centre: &DataCentre) -> PeerList {
        let own = position(vm);
        let after = self.ring.range(own.clone()..);
        let successors = after.chain(self.ring.range(..own));
        let others = successors.filter(|((_, name), _)| name != vm);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (_, router) in others.take(MAX_STEPS) {
            let (list, max) = match router.data_centre == *data_centre {
                true => (&mut near, MAX_NEAR),
                false => (&mut far, MAX_FAR),
            };
            if list.len() < max {
                list.push(router.clone());
            }
            if near.len() == MAX_NEAR && far.len() == MAX_FAR {
                break;
            }
        }
        near.extend(far);
        PeerList { routers: near }
    }

    /// Returns the peers of a router, or `None` if it has this list already.
    pub fn list_if_changed(
        &self,
        vm: &VmName,
        data_centre: &DataCentre,
        known: PeerListVersion,
    ) -> Option<PeerList> {
        let list = self.list_for(vm, data_centre);
        (list.version() != known).then_some(list)
    }
}
