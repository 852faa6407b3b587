//! Layers on engines in virtual time, without a network: the leader's desk looks
//! each 100 ms, loads take as long as they do, engines die and come back empty.
//!
//! A path needs a range for each layer, so what a data centre carries is bounded
//! by the layer whose engines keep fewest tokens: the narrowest.

use deckwind_core::control::{PlaceOrder, PlacementDesk};
use deckwind_core::routing::placement::{common, tokens_beside};
use deckwind_core::state::{
    AcceleratorKind, Command, CommandBody, EngineModel, Instance, InstanceChange, InstanceState,
    Instances, LayerRange, Life, Pool, Release, StateMachine,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Between two looks of the leader.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// The pool of all engines.
const POOL: &str = "engines";

/// Accelerators: name, memory in MB, how many times slower a step is.
pub const KINDS: [(&str, f64, f64); 5] = [
    ("large", 72_000.0, 2.4),
    ("half", 36_000.0, 3.1),
    ("small", 14_400.0, 5.3),
    ("slow", 21_600.0, 16.0),
    ("weak", 14_400.0, 15.0),
];

/// A model of 80 layers over accelerators of these kinds: name, memory in MB, how
/// many times slower a step and reading are than on the reference.
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

/// Engines of each kind in each data centre, in the order of [`KINDS`].
pub type Mix = [[usize; 5]];

/// Engines by kind in three data centres.
pub const MIXES: [(&str, &Mix); 4] = [
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

/// Tokens that the engines of a layer keep.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// At the narrowest layer of each data centre, summed over them.
    pub narrowest: f64,
    /// The same at the mean layer.
    pub mean: f64,
    /// Engines that hold nothing.
    pub empty: usize,
}

/// Engines and the desk that places layers on them.
#[derive(Clone)]
pub struct Placing {
    desk: PlacementDesk,
    machine: StateMachine,
    release: Release,
    now: Instant,
    /// Orders that are being carried out, by when they end.
    loading: BTreeMap<(Instant, String), PlaceOrder>,
    /// Orders given.
    pub orders: usize,
    lives: usize,
}

/// A model of 80 layers over the accelerators.
pub fn model() -> EngineModel {
    EngineModel {
        step_ms: 1.02,
        ..model_over(&KINDS)
    }
}

impl Placing {
    /// Empty engines that have just announced themselves.
    pub fn new(mix: &Mix) -> Self {
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
        let mut placing = Self {
            desk: PlacementDesk::default(),
            machine: StateMachine::default(),
            release,
            now: Instant::from_millis(1_000),
            loading: BTreeMap::new(),
            orders: 0,
            lives: 0,
        };
        for (dc, counts) in mix.iter().enumerate() {
            for (kind, count) in counts.iter().enumerate() {
                (0..*count).for_each(|_| placing.join(dc, kind));
            }
        }
        placing
    }

    fn join(&mut self, dc: usize, kind: usize) {
        self.lives += 1;
        let instance = Instance {
            id: format!("{dc}-{kind}-{}", self.lives),
            pool: POOL.to_string(),
            address: ([127, 0, 0, 1], self.lives as u16).into(),
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

    /// Engines as agreed.
    pub fn instances(&self) -> &Instances {
        self.machine.configuration().instances()
    }

    /// Engines that are there, in the order of their ids.
    pub fn ready(&self) -> Vec<String> {
        let ready = self.instances().iter();
        let ready = ready.filter(|i| i.state == InstanceState::Ready);
        ready.map(|i| i.id.clone()).collect()
    }

    /// These engines die; the leader knows it at once.
    pub fn lose(&mut self, ids: &BTreeSet<String>) {
        self.loading.retain(|(_, id), _| !ids.contains(id));
        let gone = ids
            .iter()
            .map(|id| InstanceChange::Left(Life::from(id.as_str())));
        self.apply(gone.collect());
        for id in ids {
            self.desk.ended(self.now, &Life::from(id.as_str()), false);
        }
    }

    /// Others of the same kinds come in their places, empty.
    pub fn replace(&mut self, ids: &BTreeSet<String>) {
        for id in ids {
            let mut parts = id.split('-').map(|p| p.parse().expect("a number"));
            let (dc, kind) = (parts.next(), parts.next());
            self.join(dc.expect("a data centre"), kind.expect("a kind"));
        }
    }

    /// So many engines, taken evenly from all, are replaced one after the other;
    /// the rooms of each look.
    pub fn replace_in_turn(&mut self, count: usize, gap: Duration) -> Vec<Room> {
        let all = self.ready();
        let every = all.len().div_ceil(count.max(1)).max(1);
        let mut rooms = Vec::new();
        for id in all.iter().step_by(every) {
            let one = BTreeSet::from([id.clone()]);
            self.lose(&one);
            rooms.extend(self.run_for(gap / 2));
            self.replace(&one);
            rooms.extend(self.run_for(gap / 2));
        }
        rooms
    }

    /// Lets time pass; the rooms of each look.
    pub fn run_for(&mut self, time: Duration) -> Vec<Room> {
        let until = self.now + time;
        let mut rooms = Vec::new();
        while self.now < until {
            self.now = self.now + LOOK_EVERY;
            self.end_orders();
            self.look();
            rooms.push(self.room());
        }
        rooms
    }

    fn end_orders(&mut self) {
        while let Some(entry) = self.loading.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let order = entry.remove();
            self.desk.ended(self.now, &order.life(), true);
            self.apply(vec![InstanceChange::Holds {
                life: order.life(),
                layers: order.layers,
                in_memory: order.layers.len(),
            }]);
        }
    }

    fn look(&mut self) {
        let instances = self.instances().clone();
        let work = self.desk.work(self.now, &self.release, &instances);
        self.apply(work.changes);
        let at_once = model().loads_at_once as usize;
        for order in work.orders {
            self.orders += 1;
            let layers = order.layers.len() - common(order.layers, order.believed).len();
            let share = f64::from(layers) / f64::from(model().layers);
            let waits = (self.loading.len() + 1).div_ceil(at_once) as f64;
            let takes = Duration::from_secs_f64(model().load_ms / 1e3 * share * waits);
            let ends = self.now + takes.max(LOOK_EVERY);
            self.loading.insert((ends, order.id.clone()), order);
        }
    }

    /// Most tokens that the engines that are there could keep at every layer, in whole
    /// chains of each data centre's own that keep as many each: however many layers an
    /// engine holds, it keeps so many tokens of each. Paths across data centres and
    /// chains that keep different numbers are not counted.
    pub fn most_room(&self) -> f64 {
        let mut by_centre: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        let ready = self.instances().iter();
        for i in ready.filter(|i| i.state == InstanceState::Ready) {
            let kind = KINDS.iter().find(|k| Some(k.0) == i.accelerator.as_deref());
            let memory_mb = kind.expect("a known kind").1;
            let centre = i.data_centre.as_str();
            by_centre.entry(centre).or_default().push(memory_mb);
        }
        by_centre.values().map(|cards| most_of_cards(cards)).sum()
    }

    /// What the engines keep now.
    pub fn room(&self) -> Room {
        let mut by_centre: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        let mut room = Room::default();
        let ready = self.instances().iter();
        for i in ready.filter(|i| i.state == InstanceState::Ready) {
            let layers = by_centre
                .entry(i.data_centre.as_str())
                .or_insert_with(|| vec![0.0; model().layers as usize]);
            if i.layers.is_empty() {
                room.empty += usize::from(i.in_memory == 0);
                continue;
            }
            let kind = KINDS.iter().find(|k| Some(k.0) == i.accelerator.as_deref());
            let memory_mb = kind.expect("a known kind").1;
            let tokens = tokens_beside(&model(), memory_mb, i.in_memory.max(i.layers.len()));
            for layer in i.layers.first..i.layers.last {
                layers[layer as usize] += tokens;
            }
        }
        for layers in by_centre.values() {
            room.narrowest += layers.iter().copied().fold(f64::INFINITY, f64::min);
            room.mean += layers.iter().sum::<f64>() / layers.len() as f64;
        }
        room
    }
}

/// Layers that a card can hold while it keeps so many tokens of each.
fn most_layers(memory_mb: f64, tokens: f64) -> u32 {
    let model = model();
    let holds = |layers: &u32| tokens_beside(&model, memory_mb, *layers) >= tokens;
    (1..=model.layers).take_while(holds).last().unwrap_or(0)
}

/// Most tokens of all chains that these cards make, over all numbers of tokens that a
/// chain may keep.
fn most_of_cards(cards: &[f64]) -> f64 {
    const STEP: u64 = 500;
    let model = model();
    let of = |tokens: f64| {
        let layers: u32 = cards.iter().map(|mb| most_layers(*mb, tokens)).sum();
        f64::from(layers / model.layers) * tokens
    };
    let steps = (1..=model.max_tokens / STEP).map(|i| (i * STEP) as f64);
    steps.map(of).fold(0.0, f64::max)
}
