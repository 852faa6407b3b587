//! Which control replica a router asks.
//!
//! Any replica takes requests and passes them on to the leader, so a router stays
//! with one of them: the first of an order that its own name gives. All routers
//! together so spread evenly over the replicas, and a change of leader moves none
//! of them (rendezvous hashing: Thaler and Ravishankar, IEEE/ACM ToN 1998).

use crate::state::VmName;
use crate::time::Instant;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// How long a replica is not asked that gave no answer, or knew no leader, unless all are
/// like that: it may be cut off for a while, and each question there is a lost half second.
const AVOIDED_FOR: Duration = Duration::from_secs(10);

/// The same where it was only slow to answer what is not held.
const SLOW_FOR: Duration = Duration::from_secs(1);

/// A router's choice among the control replicas.
#[derive(Clone, Debug)]
pub struct ReplicaChoice {
    vm: VmName,
    /// From the settings.
    seeds: Vec<u32>,
    /// As the leader told; empty before it did.
    members: Vec<u32>,
    /// Until when each is not asked.
    avoided: BTreeMap<u32, Instant>,
    /// Who leads, where another replica has just said so: asked once.
    named: Option<u32>,
}

impl ReplicaChoice {
    /// Of a router on this VM that knows the slots in its settings.
    pub fn new(vm: VmName, seeds: Vec<u32>) -> Self {
        Self {
            vm,
            seeds,
            members: Vec::new(),
            avoided: BTreeMap::new(),
            named: None,
        }
    }

    /// The leader named the members.
    pub fn members_are(&mut self, slots: &[u32]) {
        if self.members != slots {
            self.members = slots.to_vec();
        }
    }

    /// The settings name other replicas now.
    pub fn seeds_are(&mut self, slots: Vec<u32>) {
        self.seeds = slots;
    }

    /// All that may be asked, the preferred ones first: members, then others that the
    /// settings name, since replicas that have gone come back at other addresses.
    pub fn order(&self) -> Vec<u32> {
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

    /// Who is to be asked now; nothing if nobody is known.
    pub fn next(&mut self, now: Instant) -> Option<u32> {
        if let Some(named) = self.named.take() {
            return Some(named);
        }
        self.avoided.retain(|_, until| *until > now);
        let order = self.order();
        let first = order.iter().find(|slot| !self.avoided.contains_key(slot));
        let soonest = || order.iter().min_by_key(|slot| self.avoided.get(slot));
        first.or_else(soonest).copied()
    }

    /// A replica has answered well.
    pub fn answered(&mut self, slot: u32) {
        self.avoided.remove(&slot);
    }

    /// It gave no answer.
    pub fn failed(&mut self, now: Instant, slot: u32) {
        self.avoided.insert(slot, now + AVOIDED_FOR);
    }

    /// It gave no answer in a time that is short for a busy one.
    pub fn was_slow(&mut self, now: Instant, slot: u32) {
        self.avoided.insert(slot, now + SLOW_FOR);
    }

    /// It could not pass the request on; it may have named who leads.
    pub fn not_passed_on(&mut self, now: Instant, slot: u32, leader: Option<u32>) {
        self.avoided.insert(slot, now + AVOIDED_FOR);
        self.named = leader.filter(|leader| *leader != slot);
    }
}
