//! Targets that announce themselves: of each id the life that is known.
//!
//! ```text
//!  announced ready ──► announced draining ──► left
//!       │  ▲                                   ▲
//!       ▼  │ heard again                       │ another life at its address
//!     silent ──────────────────────────────────┘
//! ```
//!
//! A target that starts again under its id is another life ([`Life`]): it begins
//! as it announces itself, and what was agreed of the one before is gone.
//!
//! Each change goes through the log, so that what was acknowledged to a target
//! (that nothing new will come) holds on every router within its lease.

use super::configuration::Versioned;
use super::instance_index::InstanceIndex;
use super::lives::{EndedLives, Life, Standing, may_be_older};
use super::names::{DataCentre, Revision};
use super::objects::LayerRange;
use super::release::Release;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Names a target, through all its lives where it keeps its id.
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
    /// When this life of it started, Unix milliseconds by its own clock; nothing
    /// where it doesn't say.
    pub born: Option<u64>,
}

impl Instance {
    /// The life that this is about.
    pub fn life(&self) -> Life {
        Life {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// A change of the instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceChange {
    /// It announced itself so. An older announcement than the one that is known
    /// changes nothing.
    Announced {
        /// The instance.
        instance: Instance,
        /// Whether the layers that are known of this life stay: an order to
        /// change them is under way, and what it announces may be old.
        keep_layers: bool,
        /// Lives that have fallen silent, and that it may follow though it tells
        /// an earlier start.
        over: Vec<Life>,
    },
    /// It holds these layers. Changes nothing if another life is known by now.
    Holds {
        /// The life.
        life: Life,
        /// What requests may count on.
        layers: LayerRange,
        /// Layers that take its memory.
        in_memory: u32,
    },
    /// The leader has not heard from it for a while. Changes nothing if another
    /// life is known by now.
    Silent(Life),
    /// It has left. Changes nothing if a newer life is known by now.
    Left(Life),
}

/// Instances that have left and are still remembered, so that a late
/// announcement does not bring one back: days of a thousand restarts.
const MAX_LEFT: usize = 4_096;

/// All instances, each with the revision that wrote it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Written")]
pub struct Instances {
    /// Shared by copies of it until one of them changes.
    all: Arc<BTreeMap<InstanceId, Versioned<Instance>>>,
    /// Finds them by what changes and questions name.
    #[serde(skip)]
    index: Arc<InstanceIndex>,
    /// Lives that are over, by id. Routers don't need them.
    ended: BTreeMap<InstanceId, EndedLives>,
    /// Engines of layered pools that have held no layers so far. Routers can't
    /// choose them, so they don't hear of them: of 3,000 engines 2,600 are spare.
    /// Not in a snapshot: a replica that starts from one tells of all, which
    /// costs bytes only.
    #[serde(skip)]
    unseen: BTreeSet<InstanceId>,
}

/// What of the instances is in a snapshot.
#[derive(Deserialize)]
struct Written {
    all: BTreeMap<InstanceId, Versioned<Instance>>,
    ended: BTreeMap<InstanceId, EndedLives>,
}

impl From<Written> for Instances {
    fn from(written: Written) -> Self {
        let index = InstanceIndex::of(&written.all);
        Self {
            all: Arc::new(written.all),
            index: Arc::new(index),
            ended: written.ended,
            unseen: BTreeSet::new(),
        }
    }
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

    /// Those at an address that have not left.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = &Instance> {
        let ids = self.index.at(address);
        ids.filter_map(|id| self.get(id))
    }

    /// Ids of all that was written after `since`, also of those that have left.
    pub fn written_since(&self, since: Revision) -> impl Iterator<Item = &InstanceId> {
        self.index.since(since)
    }

    /// The revision that was written last.
    pub fn written_upto(&self) -> Revision {
        self.index.last()
    }

    /// Whether it has been here and left.
    pub fn has_left(&self, id: &str) -> bool {
        self.all.get(id).is_some_and(|v| v.value.is_none())
    }

    /// How a life stands to the one that is known under its id.
    pub fn standing(&self, life: &Life) -> Standing {
        let known = self.get(&life.id).map(|i| i.born);
        match self.ended.get(&life.id) {
            Some(ended) => ended.standing(known, life.born),
            None => EndedLives::default().standing(known, life.born),
        }
    }

    /// Lives that must be over for this announcement to count though it tells an
    /// earlier start. `there` are the lives at its address.
    pub fn doubted_by(&self, instance: &Instance, there: &[Life]) -> Vec<Life> {
        let known = self.get(&instance.id).map(Instance::life);
        let doubtful = self.standing(&instance.life()) == Standing::Doubtful;
        let others = there.iter().filter(|l| l.id != instance.id);
        let newer = others.filter(|l| may_be_older(instance.born, l.born));
        let own = known.filter(|_| doubtful);
        own.into_iter().chain(newer.cloned()).collect()
    }

    /// Whether an announcement names a pool that no release does, and would
    /// change or end an instance that holds.
    pub fn is_misplaced(&self, instance: &Instance, release: Option<&Release>) -> bool {
        if release.is_none_or(|r| r.pool(&instance.pool).is_some()) {
            return false;
        }
        let known = self.get(&instance.id);
        let mut there = self.at(instance.address);
        known.is_some_and(|i| i.pool != instance.pool) || there.any(|i| i.id != instance.id)
    }

    /// The lives that these changes end because newer ones of the same ids have
    /// announced themselves; each with the newer one.
    pub fn ended_by(&self, changes: &[InstanceChange]) -> Vec<(Life, Life)> {
        let ends = |change: &InstanceChange| {
            let InstanceChange::Announced { instance, over, .. } = change else {
                return None;
            };
            let known = self.get(&instance.id)?.life();
            let newer = match self.standing(&instance.life()) {
                Standing::Newer => true,
                Standing::Doubtful => over.contains(&known),
                Standing::Known | Standing::Ended => false,
            };
            newer.then(|| (known, instance.life()))
        };
        changes.iter().filter_map(ends).collect()
    }

    /// Applies changes, in their order, as one revision. Another life at the
    /// address of one that announced itself is over.
    ///
    /// `release` is the one in force. Answers whether routers see any of it.
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
        let mut lives = self.lives_at_addresses_of(announced);
        for change in changes {
            match change {
                InstanceChange::Left(life) => self.left(&life, revision),
                InstanceChange::Announced {
                    instance,
                    keep_layers,
                    over,
                } => {
                    if self.is_misplaced(&instance, release) {
                        continue;
                    }
                    let there = lives.entry(instance.address).or_default();
                    let mut doubted = self.doubted_by(&instance, there).into_iter();
                    if doubted.any(|life| !over.contains(&life)) {
                        continue;
                    }
                    let (life, address) = (instance.life(), instance.address);
                    if is_layered(&instance.pool) && !self.all.contains_key(&life.id) {
                        self.unseen.insert(life.id.clone());
                    }
                    if self.announced(instance, keep_layers, revision) {
                        self.end_other_lives(there, &life.id, address, revision);
                        there.push(life);
                    }
                }
                InstanceChange::Holds {
                    life,
                    layers,
                    in_memory,
                } => self.alter(&life, revision, |i| {
                    i.layers = layers;
                    i.in_memory = in_memory;
                }),
                InstanceChange::Silent(life) => self.alter(&life, revision, |i| {
                    if i.state == InstanceState::Ready {
                        i.state = InstanceState::Silent;
                    }
                }),
            }
        }
        self.forget_oldest();
        let mut written = self.index.at_revision(revision);
        written.any(|id| !self.unseen.contains(id))
    }

    /// Who is at the addresses of these instances.
    pub fn lives_at_addresses_of<'a>(
        &self,
        announced: impl Iterator<Item = &'a Instance>,
    ) -> BTreeMap<SocketAddr, Vec<Life>> {
        let there = |i: &Instance| (i.address, self.at(i.address).map(Instance::life).collect());
        announced.map(there).collect()
    }

    fn end_other_lives(
        &mut self,
        lives: &mut Vec<Life>,
        id: &str,
        address: SocketAddr,
        revision: Revision,
    ) {
        for other in lives.drain(..).filter(|other| other.id != id) {
            let is_there = self.get(&other.id).is_some_and(|o| o.address == address);
            if is_there {
                self.end(&other.id, revision);
            }
        }
    }

    /// Takes an announcement; false if a newer one is known, or its life is over.
    /// One of a doubtful life comes here only once the known life is over.
    fn announced(&mut self, mut instance: Instance, keep_layers: bool, revision: Revision) -> bool {
        match self.standing(&instance.life()) {
            Standing::Ended => return false,
            Standing::Newer | Standing::Doubtful => self.end(&instance.id, revision),
            Standing::Known => {}
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
            ended.forget(instance.born);
        }
        self.write(instance.id.clone(), Some(instance), revision);
        true
    }

    /// A life has left: the one that is known, or one after it that was never
    /// heard otherwise.
    fn left(&mut self, life: &Life, revision: Revision) {
        let stands = self.standing(life);
        let ends = matches!(stands, Standing::Known | Standing::Newer);
        if ends && self.get(&life.id).is_some() {
            self.end(&life.id, revision);
            let ended = self.ended.entry(life.id.clone()).or_default();
            ended.note(life.born);
        }
    }

    /// Ends the life that is known under an id, if there is one.
    fn end(&mut self, id: &str, revision: Revision) {
        let Some(born) = self.get(id).map(|i| i.born) else {
            return;
        };
        self.ended.entry(id.to_string()).or_default().note(born);
        self.write(id.to_string(), None, revision);
    }

    fn alter(&mut self, life: &Life, revision: Revision, change: impl FnOnce(&mut Instance)) {
        let known = self.get(&life.id).filter(|i| i.born == life.born);
        if let Some(mut instance) = known.cloned() {
            change(&mut instance);
            self.write(life.id.clone(), Some(instance), revision);
        }
    }

    /// Routers see from now on what these pools' engines are, also without layers.
    pub(super) fn show(&mut self, revision: Revision, is_layered: impl Fn(&str) -> bool) {
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

    fn forget_oldest(&mut self) {
        if self.index.left() <= MAX_LEFT {
            return;
        }
        if let Some(id) = self.index.oldest_left().cloned() {
            if let Some(old) = Arc::make_mut(&mut self.all).remove(&id) {
                Arc::make_mut(&mut self.index).remove(&id, &old);
            }
            self.ended.remove(&id);
            self.unseen.remove(&id);
        }
    }

    /// What changed after `since` and routers see.
    pub fn since(&self, since: Revision) -> Vec<(InstanceId, Versioned<Instance>)> {
        let changed = self.written_since(since);
        let changed = changed.filter(|id| !self.unseen.contains(*id));
        let with = |id: &InstanceId| Some((id.clone(), self.all.get(id)?.clone()));
        changed.filter_map(with).collect()
    }

    /// Takes over changes; never goes back.
    pub fn merge(&mut self, changes: Vec<(InstanceId, Versioned<Instance>)>) {
        for (id, v) in changes {
            let newer = self
                .all
                .get(&id)
                .is_none_or(|old| old.revision < v.revision);
            if newer {
                self.put(id, v);
            }
        }
    }
}
