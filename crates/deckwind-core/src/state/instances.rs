//! Targets that announce themselves: the known incarnation of each target id.
//!
//! ```text
//!  announced ready ──► announced draining ──► left
//!       │  ▲                                   ▲
//!       ▼  │ announced again                   │ another target at its address
//!     silent ──────────────────────────────────┘
//! ```
//!
//! A target that restarts under its id is a new incarnation ([`Incarnation`]): its first
//! announcement replaces all state of the previous one.
//!
//! Each change goes through the log, so that what was acknowledged to a target
//! (for example that it gets no new requests) takes effect on every router within
//! its lease.

use super::configuration::Versioned;
use super::incarnations::{EndedIncarnations, Incarnation, IncarnationStatus, may_be_older};
use super::instance_index::InstanceIndex;
use super::names::{DataCentre, Revision};
use super::objects::LayerRange;
use super::release::Release;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identifier of a target. A target that keeps its id across restarts has the same
/// one in all its incarnations.
pub type InstanceId = String;

/// Availability of an instance for new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceState {
    /// Accepts new work.
    Ready,
    /// Finishes the work in progress and accepts no new work.
    Draining,
    /// Has not announced itself to the leader for some time; routers may still reach
    /// it.
    Silent,
}

/// Replicated record of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Target id.
    pub id: InstanceId,
    /// Name of the pool that it belongs to.
    pub pool: String,
    /// IP address and port.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Availability for new work.
    pub state: InstanceState,
    /// Accelerator kind, for engines that hold layers.
    pub accelerator: Option<String>,
    /// Layers that it serves; empty if none.
    pub layers: LayerRange,
    /// Number of layers that occupy memory. It exceeds the number of layers served
    /// while layers are loading, or while requests still use layers being unloaded.
    pub in_memory: u32,
    /// Sequence number of the announcement. It increases with each announcement, so
    /// that a late older one is recognized.
    pub announced: u64,
    /// Start time of this incarnation, Unix milliseconds by the target's own clock;
    /// `None` if the target does not report it.
    pub born: Option<u64>,
}

impl Instance {
    /// Returns the incarnation that this record describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// A change of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceChange {
    /// The instance announced itself. An announcement older than the known one has
    /// no effect.
    Announced {
        /// The instance as announced.
        instance: Instance,
        /// Whether the recorded layers of this incarnation are kept, because an
        /// order to change them is in progress and the announced ones may be stale.
        keep_layers: bool,
        /// Incarnations found silent, which this one may replace although it reports
        /// an earlier start time.
        over: Vec<Incarnation>,
    },
    /// The instance holds these layers. Has no effect if another incarnation is
    /// known by now.
    Holds {
        /// The incarnation.
        life: Incarnation,
        /// Layers available to requests.
        layers: LayerRange,
        /// Number of layers that occupy memory.
        in_memory: u32,
    },
    /// The instance has not announced itself to the leader for some time. Has no
    /// effect if another incarnation is known by now.
    Silent(Incarnation),
    /// The instance has left. Has no effect if a newer incarnation is known by now.
    Left(Incarnation),
}

/// Maximum number of instances that have left and are still recorded, so that a late
/// announcement does not bring one back. Enough for several days of a thousand restarts
/// each.
const MAX_DEPARTED: usize = 4_096;

/// All instances, each with the revision that wrote it last.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Written")]
pub struct Instances {
    /// Shared between clones until one of them is modified.
    all: Arc<BTreeMap<InstanceId, Versioned<Instance>>>,
    /// Index for lookups by address and by revision.
    #[serde(skip)]
    index: Arc<InstanceIndex>,
    /// Ended incarnations by target id. Routers do not need them.
    ended: BTreeMap<InstanceId, EndedIncarnations>,
    /// Engines of layered pools that have never held layers. They are not sent to
    /// routers, which cannot select them: of 3,000 engines 2,600 are spare. The set
    /// is not in snapshots; a replica that starts from a snapshot sends all engines,
    /// which only costs bandwidth.
    #[serde(skip)]
    unseen: BTreeSet<InstanceId>,
    /// Revision of the last departure that is no longer recorded; zero if all are. It is not
    /// in snapshots; a replica that starts from a snapshot with many departures assumes that
    /// all before the first of them were dropped, which only costs bandwidth.
    #[serde(skip)]
    last_forgotten: Revision,
}

/// Number of recorded departures above which a snapshot may lack others.
const MANY_DEPARTED: usize = MAX_DEPARTED / 2;

/// The part of [`Instances`] stored in snapshots.
#[derive(Deserialize)]
struct Written {
    all: BTreeMap<InstanceId, Versioned<Instance>>,
    ended: BTreeMap<InstanceId, EndedIncarnations>,
}

impl From<Written> for Instances {
    fn from(written: Written) -> Self {
        let index = InstanceIndex::from_instances(&written.all);
        let first_departed = index.first_departure().unwrap_or(Revision::ZERO);
        let last_forgotten = match index.departed_count() > MANY_DEPARTED {
            true => first_departed,
            false => Revision::ZERO,
        };
        Self {
            last_forgotten,
            all: Arc::new(written.all),
            index: Arc::new(index),
            ended: written.ended,
            unseen: BTreeSet::new(),
        }
    }
}

impl Instances {
    /// Iterates over the instances that have not left.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.all.values().filter_map(|v| v.value.as_ref())
    }

    /// Returns the instance with this id, unless it has left.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.all.get(id)?.value.as_ref()
    }

    /// Iterates over the instances at an address that have not left.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Instance> {
        let ids = self.index.at_address(address);
        ids.filter_map(|id| self.get(id))
    }

    /// Iterates over the ids of all instances written after `since`, including those
    /// that have left.
    pub fn changed_since_ids(&self, since: Revision) -> impl Iterator<Item = &InstanceId> {
        self.index.written_after(since)
    }

    /// Returns the last revision that wrote an instance; zero if there is none.
    pub fn last_written(&self) -> Revision {
        self.index.last_revision()
    }

    /// Returns whether an instance with this id is recorded as having left.
    pub fn has_left(&self, id: &str) -> bool {
        self.all.get(id).is_some_and(|v| v.value.is_none())
    }

    /// Returns the revision that wrote the instance with this id, or its departure, last; zero
    /// if it is not known.
    pub fn written_at(&self, id: &str) -> Revision {
        self.all.get(id).map_or(Revision::ZERO, |v| v.revision)
    }

    /// Compares an incarnation with the known one of the same target id.
    pub fn incarnation_status(&self, incarnation: &Incarnation) -> IncarnationStatus {
        let known = self.get(&incarnation.id).map(|i| i.born);
        match self.ended.get(&incarnation.id) {
            Some(ended) => ended.incarnation_status(known, incarnation.born),
            None => EndedIncarnations::default().incarnation_status(known, incarnation.born),
        }
    }

    /// Returns the incarnations that may be newer than the announced one, and therefore
    /// must have ended before the announcement is accepted. `at_address` lists the
    /// incarnations at its address.
    pub fn blocked_by(&self, instance: &Instance, at_address: &[Incarnation]) -> Vec<Incarnation> {
        let known = self.get(&instance.id).map(Instance::incarnation);
        let is_unconfirmed =
            self.incarnation_status(&instance.incarnation()) == IncarnationStatus::Doubtful;
        let others = at_address.iter().filter(|l| l.id != instance.id);
        let newer = others.filter(|l| may_be_older(instance.born, l.born));
        let known = known.filter(|_| is_unconfirmed);
        known.into_iter().chain(newer.cloned()).collect()
    }

    /// Returns whether an announcement names a pool that the release does not have,
    /// and would modify or end a recorded instance.
    pub fn names_unknown_pool(&self, instance: &Instance, release: Option<&Release>) -> bool {
        if release.is_none_or(|r| r.pool(&instance.pool).is_some()) {
            return false;
        }
        let known = self.get(&instance.id);
        let mut at_address = self.at(instance.address);
        known.is_some_and(|i| i.pool != instance.pool) || at_address.any(|i| i.id != instance.id)
    }

    /// Returns the incarnations that these changes end because newer incarnations of
    /// the same targets announced themselves, as pairs of old and new.
    pub fn superseded_by(&self, changes: &[InstanceChange]) -> Vec<(Incarnation, Incarnation)> {
        let ended_by_change = |change: &InstanceChange| {
            let InstanceChange::Announced { instance, over, .. } = change else {
                return None;
            };
            let known = self.get(&instance.id)?.incarnation();
            let is_newer = match self.incarnation_status(&instance.incarnation()) {
                IncarnationStatus::Newer => true,
                IncarnationStatus::Doubtful => over.contains(&known),
                IncarnationStatus::Known | IncarnationStatus::Ended => false,
            };
            is_newer.then(|| (known, instance.incarnation()))
        };
        changes.iter().filter_map(ended_by_change).collect()
    }

    /// Applies changes in order, as one revision. An accepted announcement ends
    /// incarnations of other targets at the same address.
    ///
    /// `release` is the current release. Returns whether any of the changes must be
    /// sent to routers.
    pub(super) fn apply(
        &mut self,
        changes: Vec<InstanceChange>,
        revision: Revision,
        release: Option<&Release>,
    ) -> bool {
        let is_layered = |pool: &str| release.is_some_and(|r| r.is_layered(pool));
        let announced = changes.iter().filter_map(|c| match c {
            InstanceChange::Announced { instance, .. } => Some(instance),
            _ => None,
        });
        let mut incarnations = self.incarnations_at_addresses_of(announced);
        for change in changes {
            match change {
                InstanceChange::Left(incarnation) => self.apply_departure(&incarnation, revision),
                InstanceChange::Announced {
                    instance,
                    keep_layers,
                    over,
                } => {
                    if self.names_unknown_pool(&instance, release) {
                        continue;
                    }
                    let at_address = incarnations.entry(instance.address).or_default();
                    let mut blocking = self.blocked_by(&instance, at_address).into_iter();
                    if blocking.any(|incarnation| !over.contains(&incarnation)) {
                        continue;
                    }
                    let (incarnation, address) = (instance.incarnation(), instance.address);
                    if is_layered(&instance.pool) && !self.all.contains_key(&incarnation.id) {
                        self.unseen.insert(incarnation.id.clone());
                    }
                    if self.apply_announcement(instance, keep_layers, revision) {
                        self.end_other_incarnations(at_address, &incarnation.id, address, revision);
                        at_address.push(incarnation);
                    }
                }
                InstanceChange::Holds {
                    life,
                    layers,
                    in_memory,
                } => self.update_known(&life, revision, |i| {
                    i.layers = layers;
                    i.in_memory = in_memory;
                }),
                InstanceChange::Silent(incarnation) => {
                    self.update_known(&incarnation, revision, |i| {
                        if i.state == InstanceState::Ready {
                            i.state = InstanceState::Silent;
                        }
                    })
                }
            }
        }
        self.evict_oldest_departed();
        let mut written = self.index.written_by(revision);
        written.any(|id| !self.unseen.contains(id))
    }

    /// Returns the incarnations at the addresses of these instances.
    pub fn incarnations_at_addresses_of<'a>(
        &self,
        announced: impl Iterator<Item = &'a Instance>,
    ) -> BTreeMap<SocketAddr, Vec<Incarnation>> {
        let incarnations_at = |i: &Instance| {
            (
                i.address,
                self.at(i.address).map(Instance::incarnation).collect(),
            )
        };
        announced.map(incarnations_at).collect()
    }

    fn end_other_incarnations(
        &mut self,
        incarnations: &mut Vec<Incarnation>,
        id: &str,
        address: SocketAddr,
        revision: Revision,
    ) {
        for other in incarnations.drain(..).filter(|other| other.id != id) {
            let is_at_address = self.get(&other.id).is_some_and(|o| o.address == address);
            if is_at_address {
                self.end_known(&other.id, revision);
            }
        }
    }

    /// Applies an announcement. Returns false if a newer one is known or its
    /// incarnation has ended. [`IncarnationStatus::Doubtful`] occurs here only if the known
    /// incarnation was found silent.
    fn apply_announcement(
        &mut self,
        mut instance: Instance,
        keep_layers: bool,
        revision: Revision,
    ) -> bool {
        match self.incarnation_status(&instance.incarnation()) {
            IncarnationStatus::Ended => return false,
            IncarnationStatus::Newer | IncarnationStatus::Doubtful => {
                self.end_known(&instance.id, revision)
            }
            IncarnationStatus::Known => {}
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
        if let Some(ended) = self.ended.get_mut(&instance.id) {
            ended.remove(instance.born);
        }
        self.write(instance.id.clone(), Some(instance), revision);
        true
    }

    /// Records that an incarnation left: either the known one, or a newer one that
    /// never announced itself.
    fn apply_departure(&mut self, incarnation: &Incarnation, revision: Revision) {
        let incarnation_status = self.incarnation_status(incarnation);
        let ends_known = matches!(
            incarnation_status,
            IncarnationStatus::Known | IncarnationStatus::Newer
        );
        if ends_known && self.get(&incarnation.id).is_some() {
            self.end_known(&incarnation.id, revision);
            let ended = self.ended.entry(incarnation.id.clone()).or_default();
            ended.record(incarnation.born);
        }
    }

    /// Ends the known incarnation of a target, if there is one.
    fn end_known(&mut self, id: &str, revision: Revision) {
        let Some(born) = self.get(id).map(|i| i.born) else {
            return;
        };
        self.ended.entry(id.to_string()).or_default().record(born);
        self.write(id.to_string(), None, revision);
    }

    fn update_known(
        &mut self,
        incarnation: &Incarnation,
        revision: Revision,
        change: impl FnOnce(&mut Instance),
    ) {
        let known = self
            .get(&incarnation.id)
            .filter(|i| i.born == incarnation.born);
        if let Some(mut instance) = known.cloned() {
            change(&mut instance);
            self.write(incarnation.id.clone(), Some(instance), revision);
        }
    }

    /// Makes engines visible to routers whose pools are not layered (any more): routers
    /// get these even if they hold no layers.
    pub(super) fn show_unlayered(&mut self, revision: Revision, is_layered: impl Fn(&str) -> bool) {
        for id in std::mem::take(&mut self.unseen) {
            let Some(v) = self.all.get(&id) else {
                continue;
            };
            if v.value.as_ref().is_some_and(|i| !is_layered(&i.pool)) {
                let value = v.value.clone();
                self.put(id, Versioned { revision, value });
            } else {
                self.unseen.insert(id);
            }
        }
    }

    fn write(&mut self, id: InstanceId, value: Option<Instance>, revision: Revision) {
        if value.as_ref().is_some_and(|i| !i.layers.is_empty()) {
            self.unseen.remove(&id);
        }
        self.put(id, Versioned { revision, value });
    }

    fn put(&mut self, id: InstanceId, v: Versioned<Instance>) {
        let index = Arc::make_mut(&mut self.index);
        if let Some(old) = self.all.get(&id) {
            index.remove(&id, old);
        }
        index.insert(&id, &v);
        Arc::make_mut(&mut self.all).insert(id, v);
    }

    fn evict_oldest_departed(&mut self) {
        if self.index.departed_count() <= MAX_DEPARTED {
            return;
        }
        if let Some(id) = self.index.oldest_departed().cloned() {
            if let Some(old) = Arc::make_mut(&mut self.all).remove(&id) {
                self.last_forgotten = self.last_forgotten.max(old.revision);
                Arc::make_mut(&mut self.index).remove(&id, &old);
            }
            self.ended.remove(&id);
            self.unseen.remove(&id);
        }
    }

    /// Returns the instances that changed after `since` and are sent to routers.
    pub fn since(&self, since: Revision) -> Vec<(InstanceId, Versioned<Instance>)> {
        let changed = self.changed_since_ids(since);
        let changed = changed.filter(|id| !self.unseen.contains(*id));
        let with_value = |id: &InstanceId| Some((id.clone(), self.all.get(id)?.clone()));
        changed.filter_map(with_value).collect()
    }

    /// Returns the revision of the last departure that is no longer recorded.
    pub fn last_forgotten(&self) -> Revision {
        self.last_forgotten
    }

    /// Drops the instances that are not in this list, which is complete as of revision `to`.
    /// Those written later are kept.
    pub fn retain_listed(&mut self, list: &[(InstanceId, Versioned<Instance>)], to: Revision) {
        let listed: BTreeSet<&InstanceId> = list.iter().map(|(id, _)| id).collect();
        let is_gone = |id: &InstanceId, v: &Versioned<Instance>| {
            v.value.is_some() && v.revision <= to && !listed.contains(id)
        };
        let all = self.all.iter();
        let gone: Vec<InstanceId> = all
            .filter(|(id, v)| is_gone(id, v))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            if let Some(old) = Arc::make_mut(&mut self.all).remove(&id) {
                Arc::make_mut(&mut self.index).remove(&id, &old);
            }
        }
    }

    /// Merges changes. An instance is replaced only by a newer revision of it.
    pub fn merge(&mut self, changes: Vec<(InstanceId, Versioned<Instance>)>) {
        for (id, v) in changes {
            let is_newer = self
                .all
                .get(&id)
                .is_none_or(|old| old.revision < v.revision);
            if is_newer {
                self.put(id, v);
            }
        }
    }
}
