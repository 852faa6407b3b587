//! The targets that a router knows, and an index over them.

use super::health::HealthState;
use super::target_state::{DEFAULT_LAYER_US, LoadReport, TargetState};
use crate::state::{Configuration, DataCentre, Target, TargetKind, TargetName, TemplateName};
use crate::time::Instant;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

new_key_type! {
    /// Place of a target in the arena.
    pub struct TargetKey;
}

/// Engines that can stand in for each other, layers aside.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GroupKey {
    /// Model.
    pub model: String,
    /// Its version.
    pub version: String,
}

/// A place in a model where a stage may start, with the targets that can.
#[derive(Clone, Debug, Default)]
pub(super) struct Boundary {
    pub layer: u32,
    pub candidates: Vec<TargetKey>,
    /// Candidates on a hash ring, for prefix affinity.
    pub ring: Vec<(u64, TargetKey)>,
}

/// All targets, and an index over them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    targets: SlotMap<TargetKey, TargetState>,
    by_name: BTreeMap<TargetName, TargetKey>,
    groups: HashMap<GroupKey, Vec<Boundary>>,
    services: HashMap<TemplateName, Vec<TargetKey>>,
    costs: BTreeMap<String, f64>,
    links: BTreeMap<DataCentre, f64>,
}

/// Points on the hash ring of a target that takes [`DEFAULT_LAYER_US`] a layer.
const RING_POINTS: f64 = 8.0;

/// Most points of one target on the ring.
const MAX_RING_POINTS: f64 = 64.0;

/// Points by speed, so that a fast target is home to more prefixes.
fn ring_points(layer_us: f64) -> u64 {
    let points = RING_POINTS * DEFAULT_LAYER_US / layer_us.max(1.0);
    points.round().clamp(1.0, MAX_RING_POINTS) as u64
}

impl Fleet {
    /// An empty fleet. `costs` gives microseconds a layer by accelerator kind,
    /// `links` one-way microseconds by data centre.
    pub fn new(costs: BTreeMap<String, f64>, links: BTreeMap<DataCentre, f64>) -> Self {
        Self {
            costs,
            links,
            ..Self::default()
        }
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// The target at `key`.
    pub fn get(&self, key: TargetKey) -> Option<&TargetState> {
        self.targets.get(key)
    }

    /// The target at `key`, to change its link, speed or health.
    pub fn get_mut(&mut self, key: TargetKey) -> Option<&mut TargetState> {
        self.targets.get_mut(key)
    }

    /// The key of a name.
    pub fn key(&self, name: &TargetName) -> Option<TargetKey> {
        self.by_name.get(name).copied()
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = (TargetKey, &TargetState)> {
        self.targets.iter()
    }

    pub(super) fn boundaries(&self, group: &GroupKey) -> &[Boundary] {
        self.groups.get(group).map_or(&[], Vec::as_slice)
    }

    pub(super) fn services(&self, template: &TemplateName) -> &[TargetKey] {
        self.services.get(template).map_or(&[], Vec::as_slice)
    }

    /// Takes over the targets of a configuration. What is known of targets that
    /// stay is kept.
    pub fn apply(&mut self, cfg: &Configuration) {
        let mut gone = std::mem::take(&mut self.by_name);
        for (target, _) in cfg.targets() {
            let key = gone.remove(&target.name);
            let key = self.put(key, target);
            self.by_name.insert(target.name.clone(), key);
        }
        for key in gone.into_values() {
            self.targets.remove(key);
        }
        self.index(cfg);
    }

    fn put(&mut self, key: Option<TargetKey>, target: &Target) -> TargetKey {
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
        let link_us = self.links.get(&target.data_centre).copied();
        let state = TargetState::new(target, &self.costs, link_us.unwrap_or(0.0));
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

    /// Groups that have targets.
    pub fn groups(&self) -> impl Iterator<Item = &GroupKey> {
        self.groups.keys()
    }

    /// Sessions that the targets of a group can run at once: the slots at the
    /// least provided boundary.
    pub fn chain_places(&self, now: Instant, group: &GroupKey) -> u32 {
        let slots = |b: &Boundary| self.slots_of(now, &b.candidates);
        let starts = self.boundaries(group).iter();
        let inner = starts.filter(|b| !b.candidates.is_empty());
        inner.map(slots).min().unwrap_or(0)
    }

    /// Calls that the targets of a plain service can run at once.
    pub fn service_places(&self, now: Instant, template: &TemplateName) -> u32 {
        self.slots_of(now, self.services(template))
    }

    fn slots_of(&self, now: Instant, keys: &[TargetKey]) -> u32 {
        let takes =
            |t: &&TargetState| t.takes_work(now) && t.health.state(now) != HealthState::Suspended;
        let targets = keys.iter().filter_map(|k| self.targets.get(*k));
        targets.filter(takes).map(|t| t.slots).sum()
    }

    /// Notes what the platform says of the targets' VMs.
    pub fn mark_vms(&mut self, is_leaving: impl Fn(std::net::IpAddr) -> bool) {
        for t in self.targets.values_mut() {
            t.vm_leaving = is_leaving(t.address.ip());
        }
    }

    /// Counts work given to a target: `load` layers, or 1 for a service.
    pub fn dispatched(&mut self, now: Instant, key: TargetKey, load: u32) {
        if let Some(t) = self.targets.get_mut(key) {
            t.dispatched(now, load);
        }
    }

    /// Counts the end of such work.
    pub fn finished(&mut self, now: Instant, key: TargetKey, load: u32) {
        if let Some(t) = self.targets.get_mut(key) {
            t.finished(now, load);
        }
    }

    /// Takes a load report.
    pub fn reported(&mut self, now: Instant, key: TargetKey, report: LoadReport) {
        if let Some(t) = self.targets.get_mut(key) {
            t.reported(now, report);
        }
    }

    /// Takes the time of a step that ended: of `layers` layers, for `positions`
    /// positions.
    pub fn progressed(
        &mut self,
        now: Instant,
        key: TargetKey,
        took: Duration,
        layers: u32,
        positions: usize,
    ) {
        if let Some(t) = self.targets.get_mut(key) {
            t.progressed(now, took, layers, positions);
        }
    }

    /// A target wants to be left alone for so long. A shorter rest doesn't end a longer
    /// one.
    pub fn rests(&mut self, now: Instant, key: TargetKey, rest: Duration) {
        if let Some(t) = self.targets.get_mut(key) {
            t.rests_until = t.rests_until.max(now + rest);
        }
    }

    /// The least rest that is left of a plain service's targets, if all that do not leave
    /// rest.
    pub fn service_rest_left(&self, now: Instant, template: &TemplateName) -> Option<Duration> {
        let keys = self.services(template).iter();
        let targets = keys.filter_map(|k| self.targets.get(*k));
        let staying = targets.filter(|t| !t.is_leaving());
        let left = staying.map(|t| t.rests_until.since(now)).min()?;
        (!left.is_zero()).then_some(left)
    }

    /// Takes a failure.
    pub fn failed(&mut self, now: Instant, key: TargetKey) {
        if let Some(t) = self.targets.get_mut(key) {
            t.health.failed(now);
        }
    }
}
