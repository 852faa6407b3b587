//! Simulation of layer placement in virtual time, without a network: the leader plans
//! every 100 ms, loads take their usual time, and engines crash and come back empty.
//!
//! A path needs a range for each layer, so the capacity of a data centre is bounded by
//! the layer with the smallest token capacity: the narrowest one.

use deckwind_core::control::{PlacementManager, PlacementOrder};
use deckwind_core::routing::placement::{overlap, token_capacity};
use deckwind_core::state::{
    AcceleratorKind, Command, CommandBody, EngineModel, Incarnation, Instance, InstanceChange,
    InstanceState, Instances, LayerRange, Pool, Release, StateMachine,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval between two runs of the leader's planner.
const PLANNING_INTERVAL: Duration = Duration::from_millis(100);

/// The pool of all engines.
const POOL: &str = "engines";

/// Kinds of accelerators: name, memory in MB, and step time relative to the reference.
pub const KINDS: [(&str, f64, f64); 5] = [
    ("large", 72_000.0, 2.4),
    ("half", 36_000.0, 3.1),
    ("small", 14_400.0, 5.3),
    ("slow", 21_600.0, 16.0),
    ("weak", 14_400.0, 15.0),
];

/// A model of 80 layers over these kinds of accelerators: name, memory in MB, and time of
/// a step and of reading prompts relative to the reference.
pub fn model_over(kinds: &[(&str, f64, f64)]) -> EngineModel {
    let kind = |(name, memory_mb, step_factor): &(&str, f64, f64)| AcceleratorKind {
        name: name.to_string(),
        memory_mb: *memory_mb,
        step_factor: *step_factor,
        read_factor: *step_factor,
    };
    EngineModel {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 459_000.0,
        max_tokens: 100_000,
        slots: 192,
        step_ms: 0.85,
        load_ms: 14_000.0,
        loads_at_once: 6,
        usual_prompt: 772,
        usual_answer: 154,
        kinds: kinds.iter().map(kind).collect(),
    }
}

/// Number of engines of each kind in each data centre, in the order of [`KINDS`].
pub type Fleet = [[usize; 5]];

/// Fleets over three data centres, with their names.
pub const FLEETS: [(&str, &Fleet); 4] = [
    (
        "93 engines, large small slow",
        &[[4, 0, 10, 11, 0], [3, 0, 14, 16, 0], [2, 0, 24, 9, 0]],
    ),
    (
        "38 engines, large small slow",
        &[[2, 0, 4, 4, 0], [1, 0, 6, 6, 0], [1, 0, 10, 4, 0]],
    ),
    (
        "38 engines, half slow weak",
        &[[0, 3, 0, 3, 5], [0, 1, 0, 5, 8], [0, 1, 0, 7, 5]],
    ),
    (
        "99 engines, half slow weak",
        &[[0, 4, 0, 9, 14], [0, 2, 0, 13, 22], [0, 1, 0, 22, 12]],
    ),
];

/// Token capacity of the engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenCapacity {
    /// Capacity at the narrowest layer of each data centre, summed over the data centres.
    pub narrowest: f64,
    /// Mean capacity over the layers of each data centre, summed over the data centres.
    pub mean: f64,
    /// Number of engines that hold no layers.
    pub empty_engines: usize,
}

/// Engines and the leader's placement of layers on them.
#[derive(Clone)]
pub struct PlacementSimulation {
    manager: PlacementManager,
    machine: StateMachine,
    release: Release,
    now: Instant,
    /// Orders in progress, by the time at which they end.
    loading: BTreeMap<(Instant, String), PlacementOrder>,
    /// Number of orders given so far.
    pub orders: usize,
    incarnations: usize,
}

/// A model of 80 layers over the accelerators of [`KINDS`].
pub fn model() -> EngineModel {
    EngineModel {
        step_ms: 1.02,
        ..model_over(&KINDS)
    }
}

impl PlacementSimulation {
    /// Creates engines without layers that have just announced themselves.
    pub fn new(fleet: &Fleet) -> Self {
        let pool = Pool {
            name: POOL.to_string(),
            max_connections: 1_000,
            engine: Some(model()),
        };
        let release = Release {
            version: 1,
            pools: vec![pool],
            ..Release::default()
        };
        let mut simulation = Self {
            manager: PlacementManager::default(),
            machine: StateMachine::default(),
            release,
            now: Instant::from_millis(1_000),
            loading: BTreeMap::new(),
            orders: 0,
            incarnations: 0,
        };
        for (dc, counts) in fleet.iter().enumerate() {
            for (kind, count) in counts.iter().enumerate() {
                (0..*count).for_each(|_| simulation.add_engine(dc, kind));
            }
        }
        simulation
    }

    fn add_engine(&mut self, dc: usize, kind: usize) {
        self.incarnations += 1;
        let instance = Instance {
            id: format!("{dc}-{kind}-{}", self.incarnations),
            pool: POOL.to_string(),
            address: ([127, 0, 0, 1], self.incarnations as u16).into(),
            data_centre: format!("dc-{dc}").as_str().into(),
            slots: 192,
            state: InstanceState::Ready,
            accelerator: Some(KINDS[kind].0.to_string()),
            layers: LayerRange::default(),
            in_memory: 0,
            announced: 1,
            born: None,
        };
        self.apply(vec![InstanceChange::Announced {
            instance,
            keep_layers: false,
            over: Vec::new(),
        }]);
    }

    fn apply(&mut self, changes: Vec<InstanceChange>) {
        let body = CommandBody::Instances(changes);
        self.machine.apply(Command { at_ms: 0, body });
    }

    /// The engines of the committed state.
    pub fn instances(&self) -> &Instances {
        self.machine.configuration().instances()
    }

    /// Ids of the ready engines, in ascending order.
    pub fn ready(&self) -> Vec<String> {
        let ready = self.instances().iter();
        let ready = ready.filter(|i| i.state == InstanceState::Ready);
        ready.map(|i| i.id.clone()).collect()
    }

    /// Simulates the crash of engines; the leader is informed at once.
    pub fn crash_engines(&mut self, ids: &BTreeSet<String>) {
        self.loading.retain(|(_, id), _| !ids.contains(id));
        let left = ids
            .iter()
            .map(|id| InstanceChange::Left(Incarnation::from(id.as_str())));
        self.apply(left.collect());
        for id in ids {
            self.manager
                .order_ended(self.now, &Incarnation::from(id.as_str()), false);
        }
    }

    /// Replaces crashed engines by empty ones of the same kinds.
    pub fn replace(&mut self, ids: &BTreeSet<String>) {
        for id in ids {
            let mut parts = id.split('-').map(|p| p.parse().expect("a number"));
            let (dc, kind) = (parts.next(), parts.next());
            self.add_engine(dc.expect("a data centre"), kind.expect("a kind"));
        }
    }

    /// Replaces this number of engines, spread evenly over all, one after the other.
    /// Returns the capacity after each run of the planner.
    pub fn replace_one_by_one(&mut self, count: usize, gap: Duration) -> Vec<TokenCapacity> {
        let all = self.ready();
        let stride = all.len().div_ceil(count.max(1)).max(1);
        let mut capacities = Vec::new();
        for id in all.iter().step_by(stride) {
            let lost = BTreeSet::from([id.clone()]);
            self.crash_engines(&lost);
            capacities.extend(self.run_for(gap / 2));
            self.replace(&lost);
            capacities.extend(self.run_for(gap / 2));
        }
        capacities
    }

    /// Advances the time; returns the capacity after each run of the planner.
    pub fn run_for(&mut self, time: Duration) -> Vec<TokenCapacity> {
        let end = self.now + time;
        let mut capacities = Vec::new();
        while self.now < end {
            self.now = self.now + PLANNING_INTERVAL;
            self.complete_orders();
            self.run_planner();
            capacities.push(self.capacity());
        }
        capacities
    }

    fn complete_orders(&mut self) {
        while let Some(entry) = self.loading.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let order = entry.remove();
            self.manager
                .order_ended(self.now, &order.incarnation(), true);
            self.apply(vec![InstanceChange::Holds {
                life: order.incarnation(),
                layers: order.layers,
                in_memory: order.layers.len(),
            }]);
        }
    }

    fn run_planner(&mut self) {
        let instances = self.instances().clone();
        let step = self.manager.next_step(self.now, &self.release, &instances);
        self.apply(step.changes);
        let max_concurrent = model().loads_at_once as usize;
        for order in step.orders {
            self.orders += 1;
            let layers = order.layers.len() - overlap(order.layers, order.expected_layers).len();
            let share = f64::from(layers) / f64::from(model().layers);
            let rounds = (self.loading.len() + 1).div_ceil(max_concurrent) as f64;
            let duration = Duration::from_secs_f64(model().load_ms / 1e3 * share * rounds);
            let end = self.now + duration.max(PLANNING_INTERVAL);
            self.loading.insert((end, order.id.clone()), order);
        }
    }

    /// Maximum token capacity that the ready engines could reach at every layer. Counts
    /// whole chains within a data centre whose engines all keep the same number of
    /// tokens; an engine's token capacity is the same for each of the layers that it
    /// holds. Paths across data centres and chains with unequal capacities aren't
    /// counted.
    pub fn max_capacity(&self) -> f64 {
        let mut by_data_centre: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        let ready = self.instances().iter();
        for i in ready.filter(|i| i.state == InstanceState::Ready) {
            let kind = KINDS.iter().find(|k| Some(k.0) == i.accelerator.as_deref());
            let memory_mb = kind.expect("a known kind").1;
            let data_centre = i.data_centre.as_str();
            by_data_centre
                .entry(data_centre)
                .or_default()
                .push(memory_mb);
        }
        by_data_centre
            .values()
            .map(|memories_mb| max_chain_tokens(memories_mb))
            .sum()
    }

    /// The current token capacity.
    pub fn capacity(&self) -> TokenCapacity {
        let mut by_data_centre: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        let mut capacity = TokenCapacity::default();
        let ready = self.instances().iter();
        for i in ready.filter(|i| i.state == InstanceState::Ready) {
            let layers = by_data_centre
                .entry(i.data_centre.as_str())
                .or_insert_with(|| vec![0.0; model().layers as usize]);
            if i.layers.is_empty() {
                capacity.empty_engines += usize::from(i.in_memory == 0);
                continue;
            }
            let kind = KINDS.iter().find(|k| Some(k.0) == i.accelerator.as_deref());
            let memory_mb = kind.expect("a known kind").1;
            let tokens = token_capacity(&model(), memory_mb, i.in_memory.max(i.layers.len()));
            for layer in i.layers.first..i.layers.last {
                layers[layer as usize] += tokens;
            }
        }
        for layers in by_data_centre.values() {
            capacity.narrowest += layers.iter().copied().fold(f64::INFINITY, f64::min);
            capacity.mean += layers.iter().sum::<f64>() / layers.len() as f64;
        }
        capacity
    }
}

/// Maximum number of layers that an accelerator can hold while it keeps this number of
/// tokens of each.
fn max_layers(memory_mb: f64, tokens: f64) -> u32 {
    let model = model();
    let holds = |layers: &u32| token_capacity(&model, memory_mb, *layers) >= tokens;
    (1..=model.layers).take_while(holds).last().unwrap_or(0)
}

/// Maximum total tokens of the chains that these accelerators can form, over all numbers
/// of tokens that a chain may keep.
fn max_chain_tokens(memories_mb: &[f64]) -> f64 {
    const TOKEN_STEP: u64 = 500;
    let model = model();
    let total_tokens = |tokens: f64| {
        let layers: u32 = memories_mb.iter().map(|mb| max_layers(*mb, tokens)).sum();
        f64::from(layers / model.layers) * tokens
    };
    let steps = (1..=model.max_tokens / TOKEN_STEP).map(|i| (i * TOKEN_STEP) as f64);
    steps.map(total_tokens).fold(0.0, f64::max)
}
