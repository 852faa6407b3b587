//! Targets that announce themselves: one life of one target's process.
//!
//! ```text
//!  announced ready ──► announced draining ──► left
//!       │  ▲                                   ▲
//!       ▼  │ heard again                       │ another life at its address
//!     silent ──────────────────────────────────┘
//! ```
//!
//! Each change goes through the log, so that what was acknowledged to a target
//! (that nothing new will come) holds on every router within its lease.

use super::configuration::Versioned;
use super::names::{DataCentre, Revision};
use super::objects::LayerRange;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Names one life of one target's process.
pub type InstanceId = String;

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// The leader has not heard from it for a while; routers may still reach it.
    Silent,
}

/// An instance as agreed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id.
    pub id: InstanceId,
    /// Pool that it serves.
    pub pool: String,
    /// IP and port.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// Kind of its accelerator, for engines that hold layers.
    pub accelerator: Option<String>,
    /// Layers that it holds; empty for none.
    pub layers: LayerRange,
    /// Layers that take its memory: more than it holds while it loads some, or
    /// gives some up that requests still pass through.
    pub in_memory: u32,
    /// Number of the announcement that said so; it rises with each one, so an
    /// older one that arrives late is known.
    pub announced: u64,
}

/// A change of the instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceChange {
    /// It announced itself so. An older announcement than the one that is known
    /// changes nothing.
    Announced {
        /// The instance.
        instance: Instance,
        /// Whether the layers that are known stay: an order to change them is
        /// under way, and what it announces may be old.
        keep_layers: bool,
    },
    /// It holds these layers.
    Holds {
        /// The instance.
        id: InstanceId,
        /// What requests may count on.
        layers: LayerRange,
        /// Layers that take its memory.
        in_memory: u32,
    },
    /// The leader has not heard from it for a while.
    Silent(InstanceId),
    /// It has left.
    Left(InstanceId),
}

/// Instances that have left and are still remembered, so that a late
/// announcement does not bring one back: days of a thousand restarts.
const MAX_LEFT: usize = 4_096;

/// All instances, each with the revision that wrote it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Instances {
    all: BTreeMap<InstanceId, Versioned<Instance>>,
    /// Engines of layered pools that have held no layers so far. Routers can't
    /// choose them, so they don't hear of them: of 3,000 engines 2,600 are spare.
    /// Not in a snapshot: a replica that starts from one tells of all, which
    /// costs bytes only.
    #[serde(skip)]
    unseen: BTreeSet<InstanceId>,
}

impl Instances {
    /// Those that have not left.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.all.values().filter_map(|v| v.value.as_ref())
    }

    /// The one with this id, unless it has left.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.all.get(id)?.value.as_ref()
    }

    /// Whether it has been here and left.
    pub fn has_left(&self, id: &str) -> bool {
        self.all.get(id).is_some_and(|v| v.value.is_none())
    }

    /// Applies changes, in their order, as one revision. Another life at the
    /// address of one that announced itself is over.
    ///
    /// `is_layered` tells the pools whose engines hold layers. Answers whether
    /// routers see any of it.
    pub(super) fn apply(
        &mut self,
        changes: Vec<InstanceChange>,
        revision: Revision,
        is_layered: impl Fn(&str) -> bool,
    ) -> bool {
        let mut lives = self.lives_at_addresses_of(&changes);
        for change in changes {
            match change {
                InstanceChange::Left(id) => self.write(id, None, revision),
                InstanceChange::Announced {
                    instance,
                    keep_layers,
                } => {
                    let (id, address) = (instance.id.clone(), instance.address);
                    if is_layered(&instance.pool) && !self.all.contains_key(&id) {
                        self.unseen.insert(id.clone());
                    }
                    if self.announced(instance, keep_layers, revision) {
                        let lives = lives.entry(address).or_default();
                        self.end_other_lives(lives, &id, address, revision);
                        lives.push(id);
                    }
                }
                InstanceChange::Holds {
                    id,
                    layers,
                    in_memory,
                } => self.alter(&id, revision, |i| {
                    i.layers = layers;
                    i.in_memory = in_memory;
                }),
                InstanceChange::Silent(id) => self.alter(&id, revision, |i| {
                    if i.state == InstanceState::Ready {
                        i.state = InstanceState::Silent;
                    }
                }),
            }
        }
        self.forget_oldest();
        let written = self.all.iter().filter(|(_, v)| v.revision == revision);
        let mut written = written.map(|(id, _)| id);
        written.any(|id| !self.unseen.contains(id))
    }

    /// Who is at the addresses that are announced: one look at all instances for
    /// all changes of an entry.
    fn lives_at_addresses_of(
        &self,
        changes: &[InstanceChange],
    ) -> BTreeMap<SocketAddr, Vec<InstanceId>> {
        let address = |c: &InstanceChange| match c {
            InstanceChange::Announced { instance, .. } => Some((instance.address, Vec::new())),
            _ => None,
        };
        let mut lives: BTreeMap<_, _> = changes.iter().filter_map(address).collect();
        if lives.is_empty() {
            return lives;
        }
        for i in self.iter() {
            if let Some(ids) = lives.get_mut(&i.address) {
                ids.push(i.id.clone());
            }
        }
        lives
    }

    fn end_other_lives(
        &mut self,
        lives: &mut Vec<InstanceId>,
        id: &str,
        address: SocketAddr,
        revision: Revision,
    ) {
        for other in lives.drain(..).filter(|other| other != id) {
            let is_there = self.get(&other).is_some_and(|o| o.address == address);
            if is_there {
                self.write(other, None, revision);
            }
        }
    }

    /// Takes an announcement; false if a newer one is known, or it has left.
    fn announced(&mut self, mut instance: Instance, keep_layers: bool, revision: Revision) -> bool {
        if self.has_left(&instance.id) {
            return false;
        }
        if let Some(known) = self.get(&instance.id) {
            if known.announced > instance.announced {
                return false;
            }
            if keep_layers {
                instance.layers = known.layers;
                instance.in_memory = known.in_memory;
            }
        }
        self.write(instance.id.clone(), Some(instance), revision);
        true
    }

    fn alter(&mut self, id: &str, revision: Revision, change: impl FnOnce(&mut Instance)) {
        if let Some(mut instance) = self.get(id).cloned() {
            change(&mut instance);
            self.write(id.to_string(), Some(instance), revision);
        }
    }

    /// Routers see from now on what these pools' engines are, also without layers.
    pub(super) fn show(&mut self, revision: Revision, is_layered: impl Fn(&str) -> bool) {
        for id in std::mem::take(&mut self.unseen) {
            let Some(v) = self.all.get_mut(&id) else {
                continue;
            };
            if v.value.as_ref().is_some_and(|i| !is_layered(&i.pool)) {
                v.revision = revision;
            } else {
                self.unseen.insert(id);
            }
        }
    }

    fn write(&mut self, id: InstanceId, value: Option<Instance>, revision: Revision) {
        if value.as_ref().is_some_and(|i| !i.layers.is_empty()) {
            self.unseen.remove(&id);
        }
        self.all.insert(id, Versioned { revision, value });
    }

    fn forget_oldest(&mut self) {
        let left = |v: &Versioned<Instance>| v.value.is_none();
        if self.all.values().filter(|v| left(v)).count() <= MAX_LEFT {
            return;
        }
        let oldest = self.all.iter().filter(|(_, v)| left(v));
        let oldest = oldest
            .min_by_key(|(_, v)| v.revision)
            .map(|(k, _)| k.clone());
        if let Some(id) = oldest {
            self.all.remove(&id);
            self.unseen.remove(&id);
        }
    }

    /// What changed after `since` and routers see.
    pub fn since(&self, since: Revision) -> Vec<(InstanceId, Versioned<Instance>)> {
        let changed = self.all.iter().filter(|(_, v)| v.revision > since);
        let changed = changed.filter(|(id, _)| !self.unseen.contains(*id));
        changed.map(|(k, v)| (k.clone(), v.clone())).collect()
    }

    /// Takes over changes; never goes back.
    pub fn merge(&mut self, changes: Vec<(InstanceId, Versioned<Instance>)>) {
        for (id, v) in changes {
            let newer = self
                .all
                .get(&id)
                .is_none_or(|old| old.revision < v.revision);
            if newer {
                self.all.insert(id, v);
            }
        }
    }
}
