//! Engines as input to the placement of layers, grouped by pool and data centre.
//!
//! The groups are updated incrementally from changes of the replicated state. Each group
//! knows when it is to be checked next.

use crate::routing::chains::{can_hold_chain, chain_groups_within};
use crate::routing::placement::{EngineCard, overlap};
use crate::state::{
    DataCentre, EngineModel, Incarnation, Instance, InstanceId, InstanceState, Instances,
    LayerRange, Release, Revision,
};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which the engines of a data centre must stay the same before layers are
/// placed. Engines that start together announce themselves within a second.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// The same after an engine was lost, which only has to cover other losses at the same
/// moment.
const SETTLE_TIME_AFTER_LOSS: Duration = Duration::from_millis(100);

/// Maximum time to wait while engines keep joining or leaving.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(2);

/// The same while no engine holds layers yet: a chain that is laid out without the fastest
/// engine stays slow.
const MAX_INITIAL_SETTLE_TIME: Duration = Duration::from_secs(10);

/// Maximum number of engines scanned in one pass, not counting the first data centre. A
/// pass delays heartbeats.
const MAX_ENGINES_PER_PASS: usize = 1_000;

/// An engine that may hold layers.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Engine {
    pub address: SocketAddr,
    born: Option<u64>,
    card: EngineCard,
}

impl Engine {
    /// Returns the incarnation of the engine.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.card.id.clone(),
            born: self.born,
        }
    }
}

/// Engines of one pool in one data centre, or in all data centres if none of them can
/// hold a chain alone.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementGroup {
    engines: BTreeMap<InstanceId, Engine>,
    /// Chains that the engines form, cached until something changes.
    chains: Option<Vec<Vec<EngineCard>>>,
    /// Time since when each chain has been complete, by number of the chain.
    complete_since: BTreeMap<usize, Instant>,
    /// Whether the group holds the engines of all data centres, which form one chain.
    spans_data_centres: bool,
    /// Time at which engines began to join or leave, and time until which to wait for
    /// more changes.
    settling: Option<(Instant, Instant)>,
    next_check: Option<Instant>,
}

impl PlacementGroup {
    /// Returns the number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns the engine with this id.
    pub fn engine(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// Returns the chains that the engines form.
    pub fn chains(&mut self, model: &EngineModel) -> Vec<Vec<EngineCard>> {
        if let Some(chains) = &self.chains {
            return chains.clone();
        }
        let cards: Vec<EngineCard> = self.engines.values().map(|e| e.card.clone()).collect();
        let chains = match self.spans_data_centres {
            true if cards.is_empty() => Vec::new(),
            true => vec![cards],
            false => chain_groups_within(model, cards),
        };
        self.chains = Some(chains.clone());
        chains
    }

    /// Returns since when a chain has been complete, or `now` if it isn't.
    pub fn complete_since(&mut self, now: Instant, number: usize, complete: bool) -> Instant {
        if !complete {
            self.complete_since.remove(&number);
            return now;
        }
        *self.complete_since.entry(number).or_insert(now)
    }

    /// Schedules a check at this time unless an earlier one is scheduled.
    pub fn schedule_check(&mut self, at: Instant) {
        self.next_check = Some(self.next_check.map_or(at, |earlier| earlier.min(at)));
    }

    fn invalidate(&mut self, now: Instant) {
        self.chains = None;
        self.schedule_check(now);
    }

    /// Extends the settling time after engines joined or left.
    fn extend_settling(&mut self, now: Instant, wait: Duration) {
        let since = self.settling.map_or(now, |(since, _)| since);
        let max_time = match self.holds_no_layers() {
            true => MAX_INITIAL_SETTLE_TIME,
            false => MAX_SETTLE_TIME,
        };
        let until = (now + wait).min(since + max_time);
        self.settling = Some((since, until));
        self.invalidate(until);
    }

    fn holds_no_layers(&self) -> bool {
        self.engines.values().all(|e| e.card.held.is_empty())
    }

    fn is_due(&self, now: Instant) -> bool {
        let settled = self.settling.is_none_or(|(_, until)| until <= now);
        settled && self.next_check.is_some_and(|at| at <= now)
    }
}

/// Key of a group: the pool, and the data centre unless the group holds the engines of
/// all data centres.
pub(super) type GroupKey = (String, Option<DataCentre>);

/// Groups whose engines changed, with whether any engine joined.
type MembershipChanges = BTreeMap<GroupKey, bool>;

/// Groups of all pools whose engines hold layers.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementGroups {
    models: BTreeMap<String, EngineModel>,
    /// Revision up to which changes are applied, or `None` before the first update.
    applied_upto: Option<Revision>,
    /// Pool and data centre of each engine.
    location_of: BTreeMap<InstanceId, (String, DataCentre)>,
    groups: BTreeMap<GroupKey, PlacementGroup>,
    /// Last group that was checked.
    last_checked: Option<GroupKey>,
    engines_scanned: u64,
}

impl PlacementGroups {
    /// Applies the changes since the last update.
    pub fn apply_changes(&mut self, now: Instant, release: &Release, instances: &Instances) {
        let layered = release.pools.iter().filter_map(|pool| {
            let model = pool.engine.clone().filter(|m| m.layers > 0)?;
            Some((pool.name.clone(), model))
        });
        let models: BTreeMap<String, EngineModel> = layered.collect();
        let since = self.applied_upto.filter(|_| models == self.models);
        let mut membership_changes = MembershipChanges::new();
        if since.is_none() {
            self.models = models;
            self.location_of.clear();
            self.groups.clear();
        }
        let changed = instances.changed_since_ids(since.unwrap_or(Revision::ZERO));
        for id in changed {
            self.engines_scanned += 1;
            self.apply_instance(now, id, instances.get(id), &mut membership_changes);
        }
        self.applied_upto = Some(instances.last_written());
        self.update_settling(now, since.is_none(), &membership_changes);
    }

    /// Restarts the settling time of data centres whose engines joined or left. While
    /// engines join any data centre of a pool, data centres of the pool that hold no
    /// layers yet wait as well, since engines of a pool start together.
    fn update_settling(
        &mut self,
        now: Instant,
        is_initial: bool,
        membership_changes: &MembershipChanges,
    ) {
        let joined = |pool: &str| {
            membership_changes
                .iter()
                .any(|(key, joined)| *joined && key.0 == pool)
        };
        let growing: Vec<String> = self.models.keys().filter(|p| joined(p)).cloned().collect();
        for (key, group) in self.groups.iter_mut().filter(|(key, _)| key.1.is_some()) {
            let lost = match (membership_changes.get(key), is_initial) {
                // A new leader finds these engines as placed by an earlier one.
                (Some(_), true) => !group.holds_no_layers(),
                (Some(joined), false) => !joined,
                (None, _) if growing.contains(&key.0) && group.holds_no_layers() => false,
                (None, _) => continue,
            };
            let wait = if lost {
                SETTLE_TIME_AFTER_LOSS
            } else {
                SETTLE_TIME
            };
            group.extend_settling(now, wait);
        }
    }

    fn apply_instance(
        &mut self,
        now: Instant,
        id: &InstanceId,
        instance: Option<&Instance>,
        membership_changes: &mut MembershipChanges,
    ) {
        let new = instance.and_then(|i| Some((i, self.engine_of(i)?)));
        let location = new
            .as_ref()
            .map(|(i, _)| (i.pool.clone(), i.data_centre.clone()));
        let old = self.location_of.get(id).cloned();
        if let Some((pool, dc)) = old.clone().filter(|_| old != location) {
            let key = (pool, Some(dc));
            if let Some(group) = self.groups.get_mut(&key) {
                group.engines.remove(id);
            }
            self.location_of.remove(id);
            membership_changes.entry(key).or_default();
        }
        let (Some((pool, dc)), Some((_, engine))) = (location, new) else {
            return;
        };
        self.location_of
            .insert(id.clone(), (pool.clone(), dc.clone()));
        let key = (pool, Some(dc));
        let group = self.groups.entry(key.clone()).or_default();
        let known = group.engines.insert(id.clone(), engine.clone());
        match known {
            Some(known) if known == engine => {}
            Some(known) if known.born == engine.born => group.invalidate(now),
            _ => *membership_changes.entry(key).or_default() = true,
        }
    }

    fn engine_of(&self, instance: &Instance) -> Option<Engine> {
        let model = self.models.get(&instance.pool)?;
        let kind = model.kind(instance.accelerator.as_deref()?)?;
        let is_ready = instance.state == InstanceState::Ready;
        is_ready.then(|| Engine {
            address: instance.address,
            born: instance.born,
            card: EngineCard {
                id: instance.id.clone(),
                data_centre: instance.data_centre.clone(),
                memory_mb: kind.memory_mb,
                step_factor: kind.step_factor,
                held: overlap(instance.layers, LayerRange::new(0, model.layers)),
            },
        })
    }

    /// Schedules a check of the engine's group at this time unless an earlier one is
    /// scheduled.
    pub fn schedule_check(&mut self, id: &str, at: Instant) {
        if let Some((pool, dc)) = self.location_of.get(id) {
            let key = (pool.clone(), Some(dc.clone()));
            if let Some(group) = self.groups.get_mut(&key) {
                group.schedule_check(at);
            }
        }
    }

    /// Returns the number of engines scanned so far.
    pub fn engines_scanned(&self) -> u64 {
        self.engines_scanned
    }

    /// Returns the groups that are due for a check, round-robin after the last one
    /// checked, up to the maximum number of engines.
    pub fn take_due(&mut self, now: Instant) -> Vec<GroupKey> {
        for pool in self.models.keys().cloned().collect::<Vec<_>>() {
            self.merge_data_centres(now, &pool);
        }
        let due = self.groups.iter().filter(|(_, c)| c.is_due(now));
        let mut due: Vec<GroupKey> = due.map(|(key, _)| key.clone()).collect();
        let start = self.last_checked.as_ref().map_or(0, |last| {
            let later = due.iter().position(|key| key > last);
            later.unwrap_or(0)
        });
        due.rotate_left(start);
        let mut engines = 0;
        due.retain(|key| {
            let fits = engines == 0 || engines <= MAX_ENGINES_PER_PASS;
            engines += self.groups[key].engines.len();
            fits
        });
        self.last_checked = due.last().cloned().or(self.last_checked.take());
        due
    }

    /// Combines all data centres of a pool into one group if none of them can hold a
    /// chain alone. Evaluated only when something has changed.
    fn merge_data_centres(&mut self, now: Instant, pool: &str) {
        let of_pool = |key: &GroupKey| key.0 == pool && key.1.is_some();
        let due = |(key, group): (&GroupKey, &PlacementGroup)| of_pool(key) && group.is_due(now);
        let changed = self.groups.iter().any(due);
        if !changed {
            return;
        }
        let model = &self.models[pool];
        let holds = |group: &PlacementGroup| {
            let cards: Vec<&EngineCard> = group.engines.values().map(|e| &e.card).collect();
            can_hold_chain(model, &cards)
        };
        let data_centres = self.groups.iter().filter(|(key, _)| of_pool(key));
        let key = (pool.to_string(), None);
        if data_centres.clone().any(|(_, group)| holds(group)) {
            self.groups.remove(&key);
            return;
        }
        let engines = data_centres.flat_map(|(_, group)| group.engines.clone());
        let engines: BTreeMap<InstanceId, Engine> = engines.collect();
        for (_, group) in self.groups.iter_mut().filter(|(key, _)| of_pool(key)) {
            group.next_check = None;
            group.settling = None;
        }
        let all = self.groups.entry(key).or_default();
        all.spans_data_centres = true;
        all.engines = engines;
        all.invalidate(now);
    }

    /// Takes a group out to work on it, together with the model of its pool.
    pub fn take(&mut self, key: &GroupKey) -> Option<(EngineModel, PlacementGroup)> {
        let model = self.models.get(&key.0)?.clone();
        let mut group = self.groups.remove(key)?;
        group.next_check = None;
        group.settling = None;
        self.engines_scanned += group.engines.len() as u64;
        Some((model, group))
    }

    /// Puts a group back.
    pub fn put_back(&mut self, key: GroupKey, group: PlacementGroup) {
        self.groups.insert(key, group);
    }
}
