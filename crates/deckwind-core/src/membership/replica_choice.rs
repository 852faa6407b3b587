//! Choice of the control replica that a router sends its requests to.
//!
//! Every replica accepts requests and forwards them to the leader, so a router stays
//! with one replica: the first in an order derived from a hash of the router's name.
//! This spreads the routers evenly over the replicas, and a change of leader moves
//! no router (rendezvous hashing: Thaler and Ravishankar, IEEE/ACM ToN 1998).

use crate::state::VmName;
use crate::time::Instant;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Time for which a replica is avoided after it gave no answer or knew no leader, unless
/// all replicas are avoided. It may be partitioned for a while, and each request to it
/// costs half a second.
const FAILURE_BACKOFF: Duration = Duration::from_secs(10);

/// Time for which a replica is avoided after it missed the shorter timeout of requests
/// that the leader answers at once, unlike lease renewals, which it holds back.
const SLOW_BACKOFF: Duration = Duration::from_secs(1);

/// Chooses among the control replicas on behalf of a router.
#[derive(Clone, Debug)]
pub struct ReplicaChoice {
    vm: VmName,
    /// Slots from the settings.
    seeds: Vec<u32>,
    /// Slots of the members as reported by the leader; empty before the first report.
    members: Vec<u32>,
    /// Time until which each replica is avoided.
    avoided_until: BTreeMap<u32, Instant>,
    /// Leader that another replica has just named; used for the next request only.
    redirect: Option<u32>,
}

impl ReplicaChoice {
    /// Creates the choice of a router on `vm` whose settings name the slots `seeds`.
    pub fn new(vm: VmName, seeds: Vec<u32>) -> Self {
        Self {
            vm,
            seeds,
            members: Vec::new(),
            avoided_until: BTreeMap::new(),
            redirect: None,
        }
    }

    /// Replaces the members by those that the leader reported.
    pub fn set_members(&mut self, slots: &[u32]) {
        if self.members != slots {
            self.members = slots.to_vec();
        }
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, slots: Vec<u32>) {
        self.seeds = slots;
    }

    /// Returns all known slots in order of preference: members, then other slots from the
    /// settings, since replicas that have left may return at other addresses.
    pub fn preference_order(&self) -> Vec<u32> {
        let rank = |slot: &u32| {
            let mut hasher = DefaultHasher::new();
            (&self.vm, *slot).hash(&mut hasher);
            (!self.members.contains(slot), hasher.finish())
        };
        let mut all = self.members.clone();
        all.extend(&self.seeds);
        all.sort_unstable();
        all.dedup();
        all.sort_by_key(rank);
        all
    }

    /// Returns the slot for the next request, or `None` if no replica is known. If all
    /// replicas are avoided, it is the one whose time ends first.
    pub fn next(&mut self, now: Instant) -> Option<u32> {
        if let Some(leader) = self.redirect.take() {
            return Some(leader);
        }
        self.avoided_until.retain(|_, until| *until > now);
        let order = self.preference_order();
        let first = order
            .iter()
            .find(|slot| !self.avoided_until.contains_key(slot));
        let soonest = || order.iter().min_by_key(|slot| self.avoided_until.get(slot));
        first.or_else(soonest).copied()
    }

    /// Records a successful answer, after which the replica is no longer avoided.
    pub fn record_success(&mut self, slot: u32) {
        self.avoided_until.remove(&slot);
    }

    /// Records that a request failed or was not answered in time.
    pub fn record_failure(&mut self, now: Instant, slot: u32) {
        self.avoided_until.insert(slot, now + FAILURE_BACKOFF);
    }

    /// Records that a replica missed a timeout so short that a busy one may miss it too.
    pub fn record_slow(&mut self, now: Instant, slot: u32) {
        self.avoided_until.insert(slot, now + SLOW_BACKOFF);
    }

    /// Records that a replica could not forward a request to the leader. If it named the
    /// leader, the next request goes there.
    pub fn record_not_forwarded(&mut self, now: Instant, slot: u32, leader: Option<u32>) {
        self.avoided_until.insert(slot, now + FAILURE_BACKOFF);
        self.redirect = leader.filter(|leader| *leader != slot);
    }
}
