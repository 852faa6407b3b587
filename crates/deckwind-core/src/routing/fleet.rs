//! The targets that a router knows, and what it knows of each.

use super::health::{Health, HealthState};
use crate::state::{
    Configuration, DataCentre, LayerRange, Target, TargetKind, TargetName, TargetStatus,
    TemplateName,
};
use crate::time::Instant;
use slotmap::{SlotMap, new_key_type};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
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

/// What a target says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Layers of all sessions that it runs, added up; requests of a service.
    pub load: u32,
}

/// A report as it was taken in.
#[derive(Clone, Copy, Debug)]
struct TakenReport {
    at: Instant,
    load: u32,
    own: u32,
}

/// One target as a router sees it.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Its name.
    pub name: TargetName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Layers that it holds; empty for a plain service.
    pub layers: LayerRange,
    /// Adapters that it has loaded.
    pub adapters: Vec<String>,
    /// Kind of accelerator.
    pub accelerator: String,
    /// What it serves at once.
    pub slots: u32,
    /// Whether the operators said that it takes no new work.
    pub leaving: bool,
    /// Whether the platform says that its VM is leaving.
    pub vm_leaving: bool,
    /// Time for one layer of one token, microseconds: as the kind should, then
    /// as measured.
    pub layer_us: f64,
    /// One-way time from this router, microseconds.
    pub link_us: f64,
    /// Its health by progress.
    pub health: Health,
    own: u32,
    own_sessions: u32,
    report: Option<TakenReport>,
    steps: StepTimes,
}

/// Mean and deviation of a target's steps, microseconds, as TCP keeps them for
/// its retransmission timer (RFC 6298).
#[derive(Clone, Copy, Debug, Default)]
struct StepTimes {
    mean_us: f64,
    deviation_us: f64,
}

impl StepTimes {
    const MEAN_GAIN: f64 = 1.0 / 8.0;
    const DEVIATION_GAIN: f64 = 1.0 / 4.0;
    /// Deviations above the mean that count as usual.
    const DEVIATIONS: f64 = 8.0;

    fn add(&mut self, took_us: f64) {
        let off = (took_us - self.mean_us).abs();
        self.deviation_us += (off - self.deviation_us) * Self::DEVIATION_GAIN;
        self.mean_us += (took_us - self.mean_us) * Self::MEAN_GAIN;
    }

    fn usual_us(&self) -> f64 {
        self.mean_us + Self::DEVIATIONS * self.deviation_us
    }
}

/// After this time a report counts for nothing.
const REPORT_LIFE: Duration = Duration::from_secs(5);

/// Weight of a new measurement in the moving average of a layer's time.
const LAYER_TIME_GAIN: f64 = 0.05;

impl TargetState {
    /// Load by own count and by the latest report, discounted by its age.
    ///
    /// What others had there at the time of the report is the report less what
    /// was ours; it fades linearly until the report is worth nothing.
    pub fn load(&self, now: Instant) -> f64 {
        let others = self.report.map_or(0.0, |r| {
            let age = now.since(r.at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
            f64::from(r.load.saturating_sub(r.own)) * (1.0 - age).max(0.0)
        });
        f64::from(self.own) + others
    }

    /// Whether it takes no new work, whoever said so first.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.vm_leaving
    }

    /// Layers of this router's own sessions there.
    pub fn own_load(&self) -> u32 {
        self.own
    }

    /// This router's own sessions there.
    pub fn own_sessions(&self) -> u32 {
        self.own_sessions
    }

    /// Whether this router may give it one more.
    pub fn has_slot(&self) -> bool {
        self.own_sessions < self.slots
    }

    /// Longest time that a step took lately, but for the odd one, microseconds.
    pub fn usual_step_us(&self) -> f64 {
        self.steps.usual_us()
    }

    /// Expected time of one step of `layers` layers, microseconds: what stands
    /// before it, itself, and the link both ways.
    pub fn step_us(&self, now: Instant, layers: u32) -> f64 {
        let work = self.load(now) + f64::from(layers);
        work * self.layer_us / self.health.weight(now) + 2.0 * self.link_us
    }
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

/// Microseconds a layer on an accelerator kind that has no cost of its own.
const DEFAULT_LAYER_US: f64 = 100.0;

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
            let state = &mut self.targets[key];
            state.leaving = target.status != TargetStatus::Active;
            state.slots = target.slots;
            set_kind(state, &target.kind);
            return key;
        }
        if let Some((key, _)) = old {
            self.targets.remove(key);
        }
        let state = self.fresh(target);
        self.targets.insert(state)
    }

    fn fresh(&self, target: &Target) -> TargetState {
        let link_us = self.links.get(&target.data_centre).copied();
        let mut state = TargetState {
            name: target.name.clone(),
            address: target.address,
            data_centre: target.data_centre.clone(),
            layers: LayerRange::new(0, 0),
            adapters: Vec::new(),
            accelerator: String::new(),
            slots: target.slots,
            leaving: target.status != TargetStatus::Active,
            vm_leaving: false,
            layer_us: DEFAULT_LAYER_US,
            link_us: link_us.unwrap_or(0.0),
            health: Health::default(),
            own: 0,
            own_sessions: 0,
            report: None,
            steps: StepTimes::default(),
        };
        set_kind(&mut state, &target.kind);
        state.layer_us = *self
            .costs
            .get(&state.accelerator)
            .unwrap_or(&DEFAULT_LAYER_US);
        state
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
            |t: &&TargetState| !t.is_leaving() && t.health.state(now) != HealthState::Suspended;
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
            t.own += load;
            t.own_sessions += 1;
            t.health.dispatched(now);
        }
    }

    /// Counts the end of such work.
    pub fn finished(&mut self, now: Instant, key: TargetKey, load: u32) {
        if let Some(t) = self.targets.get_mut(key) {
            t.own = t.own.saturating_sub(load);
            t.own_sessions = t.own_sessions.saturating_sub(1);
            t.health.finished(now);
        }
    }

    /// Takes a load report.
    pub fn reported(&mut self, now: Instant, key: TargetKey, report: LoadReport) {
        if let Some(t) = self.targets.get_mut(key) {
            t.report = Some(TakenReport {
                at: now,
                load: report.load,
                own: t.own,
            });
        }
    }

    /// Takes the time of a step that ended: of `layers` layers, for `positions`
    /// positions. Only steps of one position tell the time of a layer; a
    /// prompt's time depends on what was cached.
    pub fn progressed(
        &mut self,
        now: Instant,
        key: TargetKey,
        took: Duration,
        layers: u32,
        positions: usize,
    ) {
        let Some(t) = self.targets.get_mut(key) else {
            return;
        };
        let took_us = took.as_micros() as f64;
        t.steps.add(took_us);
        if positions > 1 {
            t.health.progressed(now, took_us, took_us);
            return;
        }
        let work = t.load(now).max(f64::from(layers)).max(1.0);
        let layer_us = ((took_us - 2.0 * t.link_us) / work).max(1.0);
        t.layer_us += (layer_us - t.layer_us) * LAYER_TIME_GAIN;
        let expected_us = t.layer_us * work + 2.0 * t.link_us;
        t.health.progressed(now, took_us, expected_us);
    }

    /// Takes a failure.
    pub fn failed(&mut self, now: Instant, key: TargetKey) {
        if let Some(t) = self.targets.get_mut(key) {
            t.health.failed(now);
        }
    }
}

fn set_kind(state: &mut TargetState, kind: &TargetKind) {
    if let TargetKind::Engine {
        adapters,
        layers,
        accelerator,
        ..
    } = kind
    {
        state.layers = *layers;
        state.adapters = adapters.clone();
        state.accelerator = accelerator.clone();
    }
}
