//! Paths through engines that hand on to each other.
//!
//! A path names a range of layers at each engine, in order, so that together
//! they are all layers once. It stays inside one data centre wherever one holds
//! a whole chain: what crosses between data centres is a token's activations at
//! every boundary.

use super::placement::tokens_beside;
use crate::state::{DataCentre, EngineModel, Instance, InstanceState, LayerRange};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One stage of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Engine.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// A path and where it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePath {
    /// Stages in order.
    pub stages: Vec<Stage>,
    /// Data centre of its first stage.
    pub data_centre: DataCentre,
    /// Id of the first stage's instance.
    pub first_id: String,
    /// Its fullest stage with the request on it.
    pub fullest: Fullest,
}

/// The stage that bounds a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fullest {
    /// The engine.
    pub address: SocketAddr,
    /// What is taken of its memory or its places, as a part of what there is.
    pub used: f64,
}

/// What streams of all routers hold at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Tokens times the layers that keep them.
    pub layer_tokens: u64,
    /// Streams that begin there.
    pub begun: u32,
}

/// What a router knows of engines beside what is agreed.
pub trait EngineView {
    /// Whether nothing is to be sent through it for now.
    fn avoids(&self, address: SocketAddr) -> bool;
    /// What streams hold there.
    fn held(&self, address: SocketAddr) -> Held;
    /// A number in 0..1 that spreads requests over engines that are alike: the
    /// same for one engine and request, another for the next.
    fn spread(&self, address: SocketAddr) -> f64;
}

/// What a request needs of each engine on its path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Tokens that it keeps.
    pub tokens: u64,
    /// How full an engine may get with it, as a part of what it has.
    pub most: f64,
}

impl Need {
    /// Of a path whose engines may be as full as they like.
    const ANY: Need = Need {
        tokens: 0,
        most: f64::INFINITY,
    };
}

/// Why there is no path.
#[derive(Clone, Debug, PartialEq)]
pub enum NoPath {
    /// The engines that may be used do not hold all layers.
    Broken,
    /// Every path has an engine without room. The least full of them:
    Full(Fullest),
}

/// How much slower an engine counts when its memory is full: as much as an
/// accelerator of the slowest kind against one of the fastest (16 against 3.1,
/// three times over), so that slow engines share the work well before fast ones
/// are full. Grows with the square, to keep engines that are alike even.
const FULL_WEIGHT: f64 = 16.0;

/// How much slower an engine may be drawn than it is: enough that routers that
/// were told the same do not all take the same engine, not enough that a slow
/// kind is taken before a fast one.
const SPREAD: f64 = 0.5;

/// Cost of one more stage, in layers of the reference: handing on takes a
/// fraction of a millisecond, a layer some hundredths.
const STAGE_COST: f64 = 5.0;

/// Part of a first stage's places that is given out, for what other routers
/// have begun since they last told.
const PLACES_GIVEN: f64 = 0.95;

struct Holder<'a> {
    instance: &'a Instance,
    /// Cost of running one layer.
    layer_cost: f64,
    /// Tokens times layers that it keeps, and what is taken of them.
    keeps: f64,
    taken: f64,
    /// Part of its places as a first stage that is taken with one more.
    places_used: f64,
}

impl<'a> Holder<'a> {
    fn new(model: &EngineModel, instance: &'a Instance, view: &dyn EngineView) -> Option<Self> {
        let usable = instance.state == InstanceState::Ready && !instance.layers.is_empty();
        let kind = model.kind(instance.accelerator.as_deref()?)?;
        if !usable || view.avoids(instance.address) {
            return None;
        }
        let layers = instance.layers.len();
        let held = view.held(instance.address);
        let keeps = tokens_beside(model, kind.memory_mb, layers) * f64::from(layers);
        let taken = held.layer_tokens as f64;
        let full = (taken / keeps.max(1.0)).min(1.0);
        let slower = 1.0 + FULL_WEIGHT * full * full + SPREAD * view.spread(instance.address);
        let places = f64::from(instance.slots.max(1)) * PLACES_GIVEN;
        Some(Self {
            instance,
            layer_cost: kind.step_factor * slower,
            keeps,
            taken,
            places_used: f64::from(held.begun + 1) / places,
        })
    }

    /// How full it is with a request that runs these layers there.
    fn used(&self, need: &Need, layers: LayerRange) -> f64 {
        let more = need.tokens as f64 * f64::from(layers.len());
        let memory = (self.taken + more) / self.keeps.max(1.0);
        match layers.first {
            0 => memory.max(self.places_used),
            _ => memory,
        }
    }

    /// Whether it has room for the request. An engine that nobody uses takes any.
    fn has_room(&self, need: &Need, layers: LayerRange) -> bool {
        self.taken == 0.0 || self.used(need, layers) <= need.most
    }

    fn cost(&self, layers: u32) -> f64 {
        STAGE_COST + f64::from(layers) * self.layer_cost
    }
}

type Holders<'a> = BTreeMap<&'a DataCentre, Vec<Holder<'a>>>;

fn holders_by_centre<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineView,
) -> Holders<'a> {
    let mut by_centre = Holders::new();
    for holder in instances.filter_map(|i| Holder::new(model, i, view)) {
        let centre = by_centre.entry(&holder.instance.data_centre).or_default();
        centre.push(holder);
    }
    by_centre
}

/// The cheapest path with room in each data centre that has one. Only where no
/// data centre holds all layers, the cheapest over all of them: what crosses
/// between them fills their links.
pub fn paths<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineView,
    need: &Need,
) -> Result<Vec<EnginePath>, NoPath> {
    let by_centre = holders_by_centre(model, instances, view);
    let within = by_centre.values();
    let within = within.filter_map(|h| cheapest(model, h, need, 0));
    let within: Vec<EnginePath> = within.collect();
    if !within.is_empty() {
        return Ok(within);
    }
    let full = by_centre.values();
    let full = full.filter_map(|h| cheapest(model, h, &Need::ANY, 0));
    if let Some(full) = least_full(full) {
        return Err(NoPath::Full(full));
    }
    let all: Vec<Holder> = by_centre.into_values().flatten().collect();
    if let Some(path) = cheapest(model, &all, need, 0) {
        return Ok(vec![path]);
    }
    let full = cheapest(model, &all, &Need::ANY, 0);
    Err(full.map_or(NoPath::Broken, |path| NoPath::Full(path.fullest)))
}

fn least_full(paths: impl Iterator<Item = EnginePath>) -> Option<Fullest> {
    let fullest = paths.map(|p| p.fullest);
    fullest.min_by(|a, b| a.used.total_cmp(&b.used))
}

/// The cheapest path that begins with `first`, for a request that runs there
/// already; inside the data centre of that engine.
pub fn path_from<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineView,
    need: &Need,
    first: &Stage,
    data_centre: &DataCentre,
) -> Option<EnginePath> {
    let mut others = holders_by_centre(model, instances, view).remove(data_centre)?;
    others.retain(|h| h.instance.address != first.address);
    let mut path = cheapest(model, &others, need, first.layers.last)?;
    path.stages.insert(0, first.clone());
    Some(path)
}

/// The best way to have run all layers below some boundary.
#[derive(Clone, Copy)]
struct Best {
    cost: f64,
    from: u32,
    holder: usize,
}

/// Shortest path from layer `start` on, over the layer boundaries at which some
/// engine starts or ends.
fn cheapest(
    model: &EngineModel,
    holders: &[Holder],
    need: &Need,
    start: u32,
) -> Option<EnginePath> {
    let mut ends: Vec<u32> = holders
        .iter()
        .flat_map(|h| [h.instance.layers.first, h.instance.layers.last])
        .chain([start, model.layers])
        .filter(|b| (start..=model.layers).contains(b))
        .collect();
    ends.sort_unstable();
    ends.dedup();
    let mut best: BTreeMap<u32, Best> = BTreeMap::new();
    for &to in &ends[1..] {
        for (i, h) in holders.iter().enumerate() {
            let held = h.instance.layers;
            if !(held.first < to && to <= held.last) {
                continue;
            }
            for &from in ends.iter().filter(|f| held.first <= **f && **f < to) {
                let before = match best.get(&from) {
                    Some(b) => b.cost,
                    None if from == start => 0.0,
                    None => continue,
                };
                let layers = LayerRange::new(from, to);
                if !h.has_room(need, layers) {
                    continue;
                }
                let cost = before + h.cost(to - from);
                if best.get(&to).is_none_or(|b| cost < b.cost) {
                    let holder = i;
                    best.insert(to, Best { cost, from, holder });
                }
            }
        }
    }
    walk_back(model, holders, need, &best, start)
}

fn walk_back(
    model: &EngineModel,
    holders: &[Holder],
    need: &Need,
    best: &BTreeMap<u32, Best>,
    start: u32,
) -> Option<EnginePath> {
    let mut stages = Vec::new();
    let mut fullest: Option<Fullest> = None;
    let mut to = model.layers;
    let mut first = None;
    while to > start {
        let b = best.get(&to)?;
        let h = &holders[b.holder];
        let layers = LayerRange::new(b.from, to);
        let address = h.instance.address;
        let used = h.used(need, layers);
        if fullest.is_none_or(|f| f.used < used) {
            fullest = Some(Fullest { address, used });
        }
        stages.push(Stage { address, layers });
        first = Some(h.instance);
        to = b.from;
    }
    stages.reverse();
    let first = first?;
    let mut addresses: Vec<SocketAddr> = stages.iter().map(|s| s.address).collect();
    addresses.sort_unstable();
    addresses.dedup();
    if addresses.len() < stages.len() {
        return None;
    }
    Some(EnginePath {
        data_centre: first.data_centre.clone(),
        first_id: first.id.clone(),
        stages,
        fullest: fullest?,
    })
}
