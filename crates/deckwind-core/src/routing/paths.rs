//! Paths through engines that hand on to each other.
//!
//! A path names a range of layers at each engine, in order, so that together
//! they are all layers once. It stays inside one data centre wherever one holds
//! a whole chain: what crosses between data centres is a token's activations at
//! every boundary.
//!
//! What an engine holds is told with a delay of up to two renewals, in which all
//! routers together begin as many streams as a chain has room for. If each took
//! the emptiest path, all would take the same one. So each stage is drawn among
//! the engines that hold the next layer, in proportion to their room, and the
//! least full of a few such paths is taken (Mitzenmacher, "How Useful Is Old
//! Information?", IEEE TPDS 2000).

use super::draws::Draws;
use super::placement::{common, tokens_beside};
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
    fn avoids(&self, instance: &Instance) -> bool;
    /// What streams hold there.
    fn held(&self, address: SocketAddr) -> Held;
    /// What they held, tokens times layers, when it lately refused one; nothing if
    /// it has not.
    fn refused_at(&self, address: SocketAddr) -> Option<u64>;
    /// Whether streams that fell silent name it as the one to blame. A data centre
    /// that has no chain without such engines uses them.
    fn suspects(&self, _address: SocketAddr) -> bool {
        false
    }
}

/// What a request needs of each engine on its path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// Tokens that it keeps.
    pub tokens: u64,
    /// How full an engine may get with it, as a part of what it has.
    pub most: f64,
    /// A random number: the same one gives the same path.
    pub draw: u64,
}

/// Why there is no path.
#[derive(Clone, Debug, PartialEq)]
pub enum NoPath {
    /// The engines that may be used do not hold all layers.
    Broken,
    /// Every path has an engine without room. The least full of them:
    Full(Fullest),
}

/// Paths that are drawn in a data centre, of which the least full and shortest one
/// is taken. More of them find shorter paths, and make routers that have heard the
/// same more alike.
const DRAWN: u64 = 12;

/// Stages that count as much as a path that is fuller by all of its memory: half
/// again as many stages as usual weigh as much as a tenth of the memory.
const STAGES_AS_FULL: f64 = 60.0;

/// Least part of its memory by which a full engine is still drawn, where one may
/// be as full as it likes.
const LEAST_ROOM: f64 = 0.01;

/// Tokens that other routers may have begun at an engine since they last told:
/// some four requests. Counts for little but where memory is scarce.
const UNTOLD: u64 = 4_000;

/// Most stages of a path: engines refuse longer ones.
const MOST_STAGES: usize = 32;

/// Part of a first stage's places that is given out, for what other routers
/// have begun since they last told.
const PLACES_GIVEN: f64 = 0.95;

struct Holder<'a> {
    instance: &'a Instance,
    /// What it holds of the model's layers.
    layers: LayerRange,
    /// Tokens times layers that it keeps, and what is taken of them.
    keeps: f64,
    taken: f64,
    /// Part of its places as a first stage that is taken with one more.
    places_used: f64,
    /// Tokens times layers that it could not take more than, lately.
    refused_at: Option<f64>,
    suspected: bool,
    /// How many times longer reading takes than on the reference.
    read_factor: f64,
}

impl<'a> Holder<'a> {
    fn new(model: &EngineModel, instance: &'a Instance, view: &dyn EngineView) -> Option<Self> {
        let layers = common(instance.layers, LayerRange::new(0, model.layers));
        let usable = instance.state == InstanceState::Ready && !layers.is_empty();
        let kind = model.kind(instance.accelerator.as_deref()?)?;
        if !usable || view.avoids(instance) {
            return None;
        }
        let held = view.held(instance.address);
        let keeps = keeps(model, instance);
        let places = f64::from(instance.slots.max(1)) * PLACES_GIVEN;
        Some(Self {
            instance,
            layers,
            keeps,
            taken: held.layer_tokens as f64,
            places_used: f64::from(held.begun + 1) / places,
            refused_at: view.refused_at(instance.address).map(|t| t as f64),
            suspected: view.suspects(instance.address),
            read_factor: kind.read_factor.max(f64::MIN_POSITIVE),
        })
    }

    /// How full it is with a request that runs these layers there.
    fn used(&self, need: &Need, layers: LayerRange) -> f64 {
        let more = (need.tokens + UNTOLD) as f64 * f64::from(layers.len());
        let memory = (self.taken + more) / self.keeps.max(1.0);
        match layers.first {
            0 => memory.max(self.places_used),
            _ => memory,
        }
    }

    /// Whether it has room for the request. An engine that nobody uses takes any,
    /// and one that has lately refused a request takes one as soon as as much has
    /// ended there.
    fn has_room(&self, need: &Need, layers: LayerRange) -> bool {
        let more = need.tokens as f64 * f64::from(layers.len());
        let full = |most: f64| self.taken + more > most;
        if need.most.is_finite() && self.refused_at.is_some_and(full) {
            return false;
        }
        self.taken == 0.0 || self.used(need, layers) <= need.most
    }

    /// What it runs of the layers from `first` on.
    fn from(&self, first: u32) -> LayerRange {
        let held = self.layers;
        match held.contains(first) {
            true => LayerRange::new(first, held.last),
            false => LayerRange::default(),
        }
    }

    /// How likely it is drawn: by the tokens that it has room for, by the part of
    /// its memory that this is, and by how much of what it holds is used.
    fn weight(&self, need: &Need, layers: LayerRange) -> f64 {
        let room = (1.0 - self.used(need, layers)).max(LEAST_ROOM);
        let held = f64::from(self.layers.len());
        let tokens = self.keeps / held * room;
        tokens.max(1.0) * room * f64::from(layers.len()) / held
    }
}

/// Tokens times layers that an engine keeps for streams; none if it holds no layers or
/// is of a kind that the model doesn't name.
pub fn keeps(model: &EngineModel, instance: &Instance) -> f64 {
    let kind = instance.accelerator.as_deref().and_then(|k| model.kind(k));
    let loaded = instance.in_memory.max(instance.layers.len());
    let tokens = kind.map_or(0.0, |k| tokens_beside(model, k.memory_mb, loaded));
    tokens * f64::from(loaded)
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
        .values_mut()
        .for_each(|h| spare_suspects(model, h));
    by_centre
}

/// Leaves suspected engines out, unless there is no chain without them.
fn spare_suspects(model: &EngineModel, holders: &mut Vec<Holder>) {
    let suspected = holders.iter().any(|h| h.suspected);
    if suspected && holds_all(model, holders.iter().filter(|h| !h.suspected)) {
        holders.retain(|h| !h.suspected);
    }
}

/// Whether these engines hold all layers.
fn holds_all<'h, 'a: 'h>(
    model: &EngineModel,
    holders: impl Iterator<Item = &'h Holder<'a>>,
) -> bool {
    let mut ranges: Vec<LayerRange> = holders.map(|h| h.layers).collect();
    ranges.sort_unstable_by_key(|r| r.first);
    let reach = |next: u32, r: &LayerRange| match r.first <= next {
        true => next.max(r.last),
        false => next,
    };
    ranges.iter().fold(0, reach) >= model.layers
}

/// Whether the engines that may be used hold all layers, in one data centre or in all
/// of them together.
pub fn has_chain<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineView,
) -> bool {
    let by_centre = holders_by_centre(model, instances, view);
    holds_all(model, by_centre.values().flatten())
}

/// A path with room in each data centre that has one. Only where no data centre
/// holds all layers, one over all of them: what crosses between them fills their
/// links.
pub fn paths<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineView,
    need: &Need,
) -> Result<Vec<EnginePath>, NoPath> {
    let by_centre = holders_by_centre(model, instances, view);
    let any = Need {
        tokens: 0,
        most: f64::INFINITY,
        ..*need
    };
    let within = by_centre.values();
    let within = within.filter_map(|h| best_drawn(model, h, need, 0));
    let within: Vec<EnginePath> = within.collect();
    if !within.is_empty() {
        return Ok(within);
    }
    let full = by_centre.values();
    let full = full.filter_map(|h| best_drawn(model, h, &any, 0));
    if let Some(full) = least_full(full) {
        return Err(NoPath::Full(full));
    }
    let all: Vec<Holder> = by_centre.into_values().flatten().collect();
    if let Some(path) = best_drawn(model, &all, need, 0) {
        return Ok(vec![path]);
    }
    let full = best_drawn(model, &all, &any, 0);
    Err(full.map_or(NoPath::Broken, |path| NoPath::Full(path.fullest)))
}

fn least_full(paths: impl Iterator<Item = EnginePath>) -> Option<Fullest> {
    let fullest = paths.map(|p| p.fullest);
    fullest.min_by(|a, b| a.used.total_cmp(&b.used))
}

/// A path that begins with `first`, for a request that runs there
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
    let mut path = best_drawn(model, &others, need, first.layers.last)?;
    path.stages.insert(0, first.clone());
    Some(path)
}

/// The same path with other engines in the place of some of its stages. They run
/// exactly those layers, so that all other stages keep what they hold of the
/// request. None if it begins with one to be replaced.
pub fn path_round<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineView,
    need: &Need,
    path: &[Stage],
    replaced: &dyn Fn(SocketAddr) -> bool,
) -> Option<EnginePath> {
    let first = path.first().filter(|s| !replaced(s.address))?;
    let by_address: BTreeMap<SocketAddr, &Instance> = instances.map(|i| (i.address, i)).collect();
    let first = by_address.get(&first.address)?;
    let others = by_address.values().copied();
    let mut others = holders_by_centre(model, others, view).remove(&first.data_centre)?;
    others.retain(|h| !replaced(h.instance.address));
    others.retain(|h| path.iter().all(|s| s.address != h.instance.address));
    // The first that leads round, not the emptiest: all streams of a stage change
    // at once, and there are only a few ways.
    let mut drawn = (0..DRAWN).filter_map(|number| {
        let mut draws = Draws::new(need.draw, number);
        let mut round = Round::default();
        for stage in path {
            match replaced(stage.address) {
                true => round.replace(&others, need, stage.layers, &mut draws)?,
                false => round.stages.push(stage.clone()),
            }
        }
        (round.stages.len() <= MOST_STAGES).then_some(round)
    });
    let round = drawn.next()?;
    Some(EnginePath {
        fullest: round.fullest?,
        stages: round.stages,
        data_centre: first.data_centre.clone(),
        first_id: first.id.clone(),
    })
}

/// A path with some stages replaced, while it is drawn.
#[derive(Default)]
struct Round {
    stages: Vec<Stage>,
    /// Of the new stages.
    fullest: Option<Fullest>,
}

impl Round {
    fn used(&self) -> f64 {
        self.fullest.map_or(0.0, |f| f.used)
    }

    /// Has other engines run these layers: drawn by their room, and by how fast they
    /// read what the request holds so far.
    fn replace(
        &mut self,
        others: &[Holder],
        need: &Need,
        layers: LayerRange,
        draws: &mut Draws,
    ) -> Option<()> {
        let mut next = layers.first;
        while next < layers.last {
            let weight = |h: &Holder, layers| h.weight(need, layers) / h.read_factor;
            let (holder, held) = draw_stage(others, need, next, draws, weight)?;
            let address = holder.instance.address;
            let runs = LayerRange::new(next, held.last.min(layers.last));
            // An engine can be on a path only once.
            if self.stages.iter().any(|s| s.address == address) {
                return None;
            }
            let used = holder.used(need, runs);
            if used >= self.used() {
                self.fullest = Some(Fullest { address, used });
            }
            self.stages.push(Stage {
                address,
                layers: runs,
            });
            next = runs.last;
        }
        Some(())
    }
}

/// The best of a few drawn paths from layer `start` on.
fn best_drawn(
    model: &EngineModel,
    holders: &[Holder],
    need: &Need,
    start: u32,
) -> Option<EnginePath> {
    let drawn = (0..DRAWN).filter_map(|i| drawn_path(model, holders, need, start, i));
    let cost = |p: &EnginePath| p.fullest.used + p.stages.len() as f64 / STAGES_AS_FULL;
    drawn.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

fn drawn_path(
    model: &EngineModel,
    holders: &[Holder],
    need: &Need,
    start: u32,
    number: u64,
) -> Option<EnginePath> {
    let mut draws = Draws::new(need.draw, number);
    let mut picked: Vec<(&Holder, LayerRange)> = Vec::new();
    let mut next = start;
    while next < model.layers {
        let weight = |h: &Holder, layers| h.weight(need, layers);
        let (holder, layers) = draw_stage(holders, need, next, &mut draws, weight)?;
        picked.push((holder, layers));
        next = layers.last;
    }
    let (first, _) = picked.first()?;
    let fullest = picked.iter().map(|(h, layers)| Fullest {
        address: h.instance.address,
        used: h.used(need, *layers),
    });
    let fullest = fullest.max_by(|a, b| a.used.total_cmp(&b.used))?;
    let stage = |(h, layers): &(&Holder, LayerRange)| Stage {
        address: h.instance.address,
        layers: *layers,
    };
    (picked.len() <= MOST_STAGES).then(|| EnginePath {
        data_centre: first.instance.data_centre.clone(),
        first_id: first.instance.id.clone(),
        stages: picked.iter().map(stage).collect(),
        fullest,
    })
}

/// An engine for the layers from `first` on.
fn draw_stage<'h, 'a>(
    holders: &'h [Holder<'a>],
    need: &Need,
    first: u32,
    draws: &mut Draws,
    weight: impl Fn(&Holder, LayerRange) -> f64,
) -> Option<(&'h Holder<'a>, LayerRange)> {
    let fits = holders.iter().map(|h| (h, h.from(first)));
    let fits = fits.filter(|(h, layers)| !layers.is_empty() && h.has_room(need, *layers));
    let fits: Vec<(&Holder, LayerRange)> = fits.collect();
    let weights = fits.iter().map(|(h, layers)| weight(h, *layers));
    let drawn = draws.in_proportion(weights);
    fits.get(drawn?).copied()
}
