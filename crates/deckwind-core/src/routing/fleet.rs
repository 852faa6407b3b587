//! The targets known to a router, with an index over them.

use super::health::HealthState;
use super::target_state::{DEFAULT_LAYER_US, LoadReport, TargetState};
use crate::state::{Configuration, DataCentre, Target, TargetKind, TargetName, TemplateName};
use crate::time::Instant;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

new_key_type! {
    /// Key of a target in the arena.
    pub struct TargetKey;
}

/// Engines that are interchangeable apart from the layers they hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupKey {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
}

/// A layer at which a stage may start, with the targets that hold it.
#[derive(Clone, Debug, Default)]
pub(super) struct Boundary {
    pub layer: u32,
    pub candidates: Vec<TargetKey>,
    /// Candidates on a consistent hash ring, for prefix affinity.
    pub ring: Vec<(u64, TargetKey)>,
}

/// All targets, with an index over them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: SlotMap<TargetKey, TargetState>,
    by_name: BTreeMap<TargetName, TargetKey>,
    groups: HashMap<GroupKey, Vec<Boundary>>,
    services: HashMap<TemplateName, Vec<TargetKey>>,
    layer_costs_us: BTreeMap<String, f64>,
    link_latencies_us: BTreeMap<DataCentre, f64>,
}

/// Points on the hash ring of a target that takes [`DEFAULT_LAYER_US`] per layer.
const RING_POINTS: f64 = 8.0;

/// Maximum number of points of one target on the ring.
const MAX_RING_POINTS: f64 = 64.0;

/// Returns the number of ring points by speed, so that faster targets own more
/// prefixes.
fn ring_points(layer_us: f64) -> u64 {
    let points = RING_POINTS * DEFAULT_LAYER_US / layer_us.max(1.0);
    points.round().clamp(1.0, MAX_RING_POINTS) as u64
}

impl Fleet {
    /// Creates an empty fleet, with the time per layer by accelerator kind and the one-way
    /// latency by data centre, both in microseconds.
    pub fn new(
        layer_costs_us: BTreeMap<String, f64>,
        link_latencies_us: BTreeMap<DataCentre, f64>,
    ) -> Self {
        Self {
            layer_costs_us,
            link_latencies_us,
            ..Self::default()
        }
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the target at `key`.
    pub fn get(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.get(key)
    }

    /// Returns the target at `key`, to change its link, speed or health.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetState> {
        self.targets.get_mut(key)
    }

    /// Returns the key of the target with this name.
    pub fn key(&self, name: &TargetName) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// Returns an iterator over all targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets.iter()
    }

    pub(super) fn boundaries(&self, group: &GroupKey) -> &[Boundary] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    pub(super) fn services(&self, template: &TemplateName) -> &[TargetKey] {
        self.services.get(template).map_or(&[], Vec::as_slice)
    }

    /// Applies the targets of a configuration. Targets that remain at the same address
    /// keep their state.
    pub fn apply(&mut self, cfg: &Configuration) {
        let mut removed = std::mem::take(&mut self.by_name);
        for (target, _) in cfg.targets() {
            let key = removed.remove(&target.name);
            let key = self.upsert(key, target);
            self.by_name.insert(target.name.clone(), key);
        }
        for key in removed.into_values() {
            self.targets.remove(key);
        }
        self.index(cfg);
    }

    fn upsert(&mut self, key: Option<TargetKey>, target: &Target) -> TargetKey {
        let old = key.and_then(|k| Some((k, self.targets.get(k)?.address)));
        if let Some((key, address)) = old
            && address == target.address
        {
            self.targets[key].reconfigure(target);
            return key;
        }
        if let Some((key, _)) = old {
            self.targets.remove(key);
        }
        let link_us = self.link_latencies_us.get(&target.data_centre).copied();
        let state = TargetState::new(target, &self.layer_costs_us, link_us.unwrap_or(0.0));
        self.targets.insert(state)
    }

    fn index(&mut self, cfg: &Configuration) {
        let mut by_group: BTreeMap<GroupKey, Vec<TargetKey>> = BTreeMap::new();
        self.services.clear();
        for (target, _) in cfg.targets() {
            let key = self.by_name[&target.name];
            match &target.kind {
                TargetKind::Engine { model, version, .. } => {
                    let group = GroupKey {
                        model: model.clone(),
                        version: version.clone(),
                    };
                    by_group.entry(group).or_default().push(key);
                }
                TargetKind::Service { template } => {
                    self.services.entry(template.clone()).or_default().push(key);
                }
            }
        }
        self.groups = by_group
            .into_iter()
            .map(|(group, keys)| (group, self.index_group(&keys)))
            .collect();
    }

    fn index_group(&self, keys: &[TargetKey]) -> Vec<Boundary> {
        let ends = |k: &TargetKey| {
            let r = self.targets[*k].layers;
            [r.first, r.last]
        };
        let mut layers: Vec<u32> = keys.iter().flat_map(ends).collect();
        layers.sort_unstable();
        layers.dedup();
        layers
            .into_iter()
            .map(|layer| self.index_boundary(layer, keys))
            .collect()
    }

    fn index_boundary(&self, layer: u32, keys: &[TargetKey]) -> Boundary {
        let can_start = |k: &&TargetKey| self.targets[**k].layers.contains(layer);
        let candidates: Vec<TargetKey> = keys.iter().filter(can_start).copied().collect();
        let mut ring: Vec<(u64, TargetKey)> = Vec::new();
        for key in &candidates {
            let t = &self.targets[*key];
            let name = &t.name;
            for point in 0..ring_points(t.layer_us) {
                let hash = xxh3_64(format!("{name}/{point}").as_bytes());
                ring.push((hash, *key));
            }
        }
        ring.sort_unstable_by_key(|(hash, _)| *hash);
        Boundary {
            layer,
            candidates,
            ring,
        }
    }

    /// Returns the groups that have targets.
    pub fn groups(&self) -> impl Iterator<Item = &GroupKey> {
        self.groups.keys()
    }

    /// Returns the number of sessions that the targets of a group can run concurrently:
    /// the slots at the boundary with the fewest.
    pub fn chain_capacity(&self, now: Instant, group: &GroupKey) -> u32 {
        let slots = |b: &Boundary| self.usable_slots(now, &b.candidates);
        let starts = self.boundaries(group).iter();
        let inner = starts.filter(|b| !b.candidates.is_empty());
        inner.map(slots).min().unwrap_or(0)
    }

    /// Returns the number of calls that the targets of a plain service can run
    /// concurrently.
    pub fn service_capacity(&self, now: Instant, template: &TemplateName) -> u32 {
        self.usable_slots(now, self.services(template))
    }

    fn usable_slots(&self, now: Instant, keys: &[TargetKey]) -> u32 {
        let is_usable =
            |t: &&TargetState| t.takes_work(now) && t.health.state(now) != HealthState::Suspended;
        let targets = keys.iter().filter_map(|k| self.targets.get(*k));
        targets.filter(is_usable).map(|t| t.slots).sum()
    }

    /// Updates, from the platform's list, whether the targets' VMs are leaving.
    pub fn mark_leaving_vms(&mut self, is_leaving: impl Fn(std::net::IpAddr) -> bool) {
        for t in self.targets.values_mut() {
            t.vm_leaving = is_leaving(t.address.ip());
        }
    }

    /// Records work sent to a target: `load` layers, or 1 for a service.
    pub fn record_dispatch(&mut self, now: Instant, key: TargetKey, load: u32) {
        if let Some(t) = self.targets.get_mut(key) {
            t.record_dispatch(now, load);
        }
    }

    /// Records the end of work that was sent to a target.
    pub fn record_finish(&mut self, now: Instant, key: TargetKey, load: u32) {
        if let Some(t) = self.targets.get_mut(key) {
            t.record_finish(now, load);
        }
    }

    /// Records a load report.
    pub fn record_load_report(&mut self, now: Instant, key: TargetKey, report: LoadReport) {
        if let Some(t) = self.targets.get_mut(key) {
            t.record_load_report(now, report);
        }
    }

    /// Records a finished step over `layers` layers and `positions` positions.
    pub fn record_step_time(
        &mut self,
        now: Instant,
        key: TargetKey,
        took: Duration,
        layers: u32,
        positions: usize,
    ) {
        if let Some(t) = self.targets.get_mut(key) {
            t.record_step_time(now, took, layers, positions);
        }
    }

    /// Starts a rest period of length `rest` that a target has asked for. A shorter
    /// period does not end a longer one.
    pub fn set_rest_period(&mut self, now: Instant, key: TargetKey, rest: Duration) {
        if let Some(t) = self.targets.get_mut(key) {
            t.rest_ends_at = t.rest_ends_at.max(now + rest);
        }
    }

    /// Returns the shortest remaining rest period among the targets of a plain service
    /// that are not leaving, or `None` unless all of them are in one.
    pub fn service_rest_left(&self, now: Instant, template: &TemplateName) -> Option<Duration> {
        let keys = self.services(template).iter();
        let targets = keys.filter_map(|k| self.targets.get(*k));
        let staying = targets.filter(|t| !t.is_leaving());
        let left = staying.map(|t| t.rest_ends_at.since(now)).min()?;
        (!left.is_zero()).then_some(left)
    }

    /// Records a failure of a target.
    pub fn record_failure(&mut self, now: Instant, key: TargetKey) {
        if let Some(t) = self.targets.get_mut(key) {
            t.health.record_failure(now);
        }
    }
}
