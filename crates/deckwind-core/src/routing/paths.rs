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
    /// Tokens that all engines of its data centre keep of the layer that has
    /// least.
    pub tokens: f64,
    /// Requests that may begin in its data centre at once.
    pub places: u32,
}

/// What a router counts against an engine.
pub trait EngineView {
    /// Whether nothing is to be sent through it for now.
    fn avoids(&self, address: SocketAddr) -> bool;
    /// Streams of this router that run through it.
    fn streams(&self, address: SocketAddr) -> u32;
    /// A number in 0..1 that spreads requests over engines that are alike: the
    /// same for one engine and request, another for the next.
    fn spread(&self, address: SocketAddr) -> f64;
}

/// Streams through an engine that make it count as twice as slow when two
/// engines hold the same layers: a share of a router's usual number.
const STREAMS_THAT_DOUBLE: f64 = 16.0;

/// How much slower an engine may be drawn than it is: enough that engines that
/// hold the same layers share the requests, not enough that a slow kind is taken
/// before a fast one.
const SPREAD: f64 = 1.0;

/// Cost of one more stage, in layers of the reference: handing on takes a
/// fraction of a millisecond, a layer some hundredths.
const STAGE_COST: f64 = 5.0;

struct Holder<'a> {
    instance: &'a Instance,
    factor: f64,
    memory_mb: f64,
}

type Holders<'a> = BTreeMap<&'a DataCentre, Vec<Holder<'a>>>;

fn holders_by_centre<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineView,
) -> Holders<'a> {
    let mut by_centre = Holders::new();
    for i in instances {
        let usable = i.state == InstanceState::Ready && !i.layers.is_empty();
        let kind = i.accelerator.as_deref().and_then(|k| model.kind(k));
        let (Some(kind), true) = (kind, usable && !view.avoids(i.address)) else {
            continue;
        };
        let holder = Holder {
            instance: i,
            factor: kind.step_factor,
            memory_mb: kind.memory_mb,
        };
        by_centre.entry(&i.data_centre).or_default().push(holder);
    }
    by_centre
}

/// The cheapest path in each data centre that has one; where none has, the
/// cheapest over all of them.
pub fn paths<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineView,
) -> Vec<EnginePath> {
    let by_centre = holders_by_centre(model, instances, view);
    let within = by_centre.values();
    let within = within.filter_map(|h| cheapest(model, h, view, 0));
    let within: Vec<EnginePath> = within.collect();
    if !within.is_empty() {
        return within;
    }
    let all: Vec<Holder> = by_centre.into_values().flatten().collect();
    cheapest(model, &all, view, 0).into_iter().collect()
}

/// The cheapest path that begins with `first`, for a request that runs there
/// already; inside the data centre of that engine.
pub fn path_from<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineView,
    first: &Stage,
    data_centre: &DataCentre,
) -> Option<EnginePath> {
    let mut others = holders_by_centre(model, instances, view).remove(data_centre)?;
    others.retain(|h| h.instance.address != first.address);
    let mut path = cheapest(model, &others, view, first.layers.last)?;
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
    view: &dyn EngineView,
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
                let cost = before + stage_cost(h, to - from, view);
                if best.get(&to).is_none_or(|b| cost < b.cost) {
                    let holder = i;
                    best.insert(to, Best { cost, from, holder });
                }
            }
        }
    }
    walk_back(model, holders, &best, start)
}

fn stage_cost(h: &Holder, layers: u32, view: &dyn EngineView) -> f64 {
    let streams = f64::from(view.streams(h.instance.address));
    let spread = SPREAD * view.spread(h.instance.address);
    let load = 1.0 + streams / STREAMS_THAT_DOUBLE + spread;
    STAGE_COST + f64::from(layers) * h.factor * load
}

fn walk_back(
    model: &EngineModel,
    holders: &[Holder],
    best: &BTreeMap<u32, Best>,
    start: u32,
) -> Option<EnginePath> {
    let mut stages = Vec::new();
    let mut tokens = f64::INFINITY;
    let mut to = model.layers;
    let mut first = None;
    while to > start {
        let b = best.get(&to)?;
        let h = &holders[b.holder];
        let layers = LayerRange::new(b.from, to);
        tokens = tokens.min(tokens_kept(model, h, layers));
        stages.push(Stage {
            address: h.instance.address,
            layers,
        });
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
    let places = holders.iter().filter(|h| h.instance.layers.first == 0);
    Some(EnginePath {
        data_centre: first.data_centre.clone(),
        first_id: first.id.clone(),
        stages,
        tokens: tokens.max(scarcest_layer(model, holders)),
        places: places.map(|h| h.instance.slots).sum(),
    })
}

/// Tokens that all holders together keep of the layer that has least.
fn scarcest_layer(model: &EngineModel, holders: &[Holder]) -> f64 {
    let kept = |layer: u32| {
        let hold = holders.iter().filter(|h| h.instance.layers.contains(layer));
        let beside = hold.map(|h| tokens_beside(model, h.memory_mb, h.instance.layers.len()));
        beside.sum::<f64>()
    };
    // What is kept changes only where some holder begins.
    let firsts = holders.iter().map(|h| h.instance.layers.first);
    firsts.map(kept).fold(f64::INFINITY, f64::min)
}

/// Tokens that an engine can keep for a part of the layers that it holds.
fn tokens_kept(model: &EngineModel, h: &Holder, layers: LayerRange) -> f64 {
    let held = h.instance.layers.len();
    let beside = tokens_beside(model, h.memory_mb, held);
    let part = f64::from(held) / f64::from(layers.len().max(1));
    (beside * part).min(model.max_tokens as f64)
}
