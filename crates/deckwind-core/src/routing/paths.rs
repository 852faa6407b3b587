//! Path selection through engines that forward to each other.
//!
//! A path assigns a range of layers to each of its engines, in order, so that together
//! they cover every layer once. Where a data centre holds a whole chain, the path stays
//! inside it, because every stage boundary between data centres transfers the
//! activations of each token.
//!
//! Routers learn the load of engines with a delay of up to two lease renewals. In that
//! time all routers together start about as many streams as a chain has capacity for, so
//! if each chose the least utilized path, all would choose the same one. Therefore each
//! stage is sampled among the engines that hold the next layer, in proportion to their
//! free capacity, and the least utilized of a few such paths is chosen (Mitzenmacher,
//! "How Useful Is Old Information?", IEEE TPDS 2000).

use super::placement::{overlap, token_capacity};
use super::seeded_rng::SeededRng;
use crate::state::{DataCentre, EngineModel, Instance, InstanceState, LayerRange};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One stage of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Layers that the engine runs.
    pub layers: LayerRange,
}

/// A path and its location.
#[derive(Clone, Debug, PartialEq)]
pub struct EnginePath {
    /// Stages, in order.
    pub stages: Vec<Stage>,
    /// Data centre of the first stage.
    pub data_centre: DataCentre,
    /// ID of the first stage's instance.
    pub first_id: String,
    /// The most utilized stage, with this request included.
    pub bottleneck: Bottleneck,
}

/// The stage that limits a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bottleneck {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Utilization of the engine's memory or slots, whichever is higher; 1.0 is full.
    pub used: f64,
}

/// Load of the streams of all routers at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamLoad {
    /// Tokens held, multiplied by the layers that hold them.
    pub layer_tokens: u64,
    /// Streams whose first stage is at this engine.
    pub begun: u32,
}

/// A router's local knowledge of engines, in addition to the replicated state.
pub trait EngineLookup {
    /// Returns whether the instance takes new requests as far as its state is known.
    fn is_available(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Ready
    }
    /// Returns whether no request may be sent through the instance for now.
    fn is_avoided(&self, instance: &Instance) -> bool;
    /// Returns the load of streams at the engine.
    fn load(&self, address: SocketAddr) -> StreamLoad;
    /// Returns the load in layer tokens at which the engine last refused a request, or
    /// `None` if it has not refused one recently.
    fn load_when_refused(&self, address: SocketAddr) -> Option<u64>;
    /// Returns whether the engine is suspected, for example because stalled streams
    /// point to it. Suspected engines are used only in a data centre that has no chain
    /// without them.
    fn is_suspected(&self, _address: SocketAddr) -> bool {
        false
    }
}

/// The resources that a request needs of each engine on its path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathRequirements {
    /// Tokens that the request keeps.
    pub tokens: u64,
    /// Maximum utilization of an engine with this request included; 1.0 is full.
    pub max_utilization: f64,
    /// Random seed; the same seed gives the same path.
    pub path_seed: u64,
}

/// The reason why there is no path.
#[derive(Clone, Debug, PartialEq)]
pub enum PathError {
    /// The usable engines do not hold all layers.
    Broken,
    /// Every path has an engine without free capacity. Holds the least utilized of
    /// them.
    Full(Bottleneck),
}

/// Number of paths sampled per data centre, of which the one with the best combination
/// of utilization and length is used. More samples find shorter paths, but make routers
/// with the same information choose more alike.
const PATH_SAMPLES: u64 = 12;

/// Number of additional stages that weighs as much as a utilization higher by 1.0. Half
/// again as many stages as usual weigh as much as a tenth of the memory.
const STAGES_PER_UTILIZATION: f64 = 60.0;

/// Minimum free share of memory in sampling weights, so that full engines are still
/// sampled where utilization is not limited.
const MIN_FREE_SHARE: f64 = 0.01;

/// Tokens that other routers may have started at an engine since their last report:
/// about four requests. Matters only where memory is scarce.
const UNREPORTED_TOKENS: u64 = 4_000;

/// Maximum number of stages of a path; engines refuse longer paths.
const MAX_STAGES: usize = 32;

/// Share of a first stage's slots that is used. The rest is reserved for streams that
/// other routers have started since their last report.
const USABLE_SLOT_SHARE: f64 = 0.95;

struct Candidate<'a> {
    instance: &'a Instance,
    /// Layers of the model that the engine holds.
    layers: LayerRange,
    /// Capacity for streams and current load, both in layer tokens.
    capacity: f64,
    load: f64,
    /// Utilization of the engine's slots as a first stage, with one more stream.
    slot_utilization: f64,
    /// Load in layer tokens at which the engine recently refused a request.
    load_when_refused: Option<f64>,
    suspected: bool,
    /// Prompt processing time relative to the reference accelerator.
    read_factor: f64,
}

impl<'a> Candidate<'a> {
    fn new(model: &EngineModel, instance: &'a Instance, view: &dyn EngineLookup) -> Option<Self> {
        let layers = overlap(instance.layers, LayerRange::new(0, model.layers));
        let usable = view.is_available(instance) && !layers.is_empty();
        let kind = model.kind(instance.accelerator.as_deref()?)?;
        if !usable || view.is_avoided(instance) {
            return None;
        }
        let held = view.load(instance.address);
        let capacity = stream_capacity(model, instance);
        let usable_slots = f64::from(instance.slots.max(1)) * USABLE_SLOT_SHARE;
        Some(Self {
            instance,
            layers,
            capacity,
            load: held.layer_tokens as f64,
            slot_utilization: f64::from(held.begun + 1) / usable_slots,
            load_when_refused: view.load_when_refused(instance.address).map(|t| t as f64),
            suspected: view.is_suspected(instance.address),
            read_factor: kind.read_factor.max(f64::MIN_POSITIVE),
        })
    }

    /// Returns the utilization with a request that runs `layers` at this engine.
    fn utilization(&self, need: &PathRequirements, layers: LayerRange) -> f64 {
        let needed = (need.tokens + UNREPORTED_TOKENS) as f64 * f64::from(layers.len());
        let memory = (self.load + needed) / self.capacity.max(1.0);
        match layers.first {
            0 => memory.max(self.slot_utilization),
            _ => memory,
        }
    }

    /// Returns whether the engine has free capacity for the request. An idle engine
    /// accepts any request. An engine that recently refused one accepts the next only
    /// once its load has dropped by as much as the request needs.
    fn has_capacity(&self, need: &PathRequirements, layers: LayerRange) -> bool {
        let needed = need.tokens as f64 * f64::from(layers.len());
        let exceeds = |limit: f64| self.load + needed > limit;
        if need.max_utilization.is_finite() && self.load_when_refused.is_some_and(exceeds) {
            return false;
        }
        self.load == 0.0 || self.utilization(need, layers) <= need.max_utilization
    }

    /// Returns the held layers from `first` on, or an empty range if it does not hold
    /// `first`.
    fn layers_from(&self, first: u32) -> LayerRange {
        let held = self.layers;
        match held.contains(first) {
            true => LayerRange::new(first, held.last),
            false => LayerRange::default(),
        }
    }

    /// Returns the sampling weight: the product of the free capacity in tokens, the
    /// free share of memory, and the share of its layers that the stage uses.
    fn sampling_weight(&self, need: &PathRequirements, layers: LayerRange) -> f64 {
        let free_share = (1.0 - self.utilization(need, layers)).max(MIN_FREE_SHARE);
        let held = f64::from(self.layers.len());
        let tokens = self.capacity / held * free_share;
        tokens.max(1.0) * free_share * f64::from(layers.len()) / held
    }
}

/// Returns the capacity for streams of an engine in layer tokens, or 0 if it holds no
/// layers or its accelerator kind is not listed in the model.
pub fn stream_capacity(model: &EngineModel, instance: &Instance) -> f64 {
    let kind = instance.accelerator.as_deref().and_then(|k| model.kind(k));
    let loaded = instance.in_memory.max(instance.layers.len());
    let tokens = kind.map_or(0.0, |k| token_capacity(model, k.memory_mb, loaded));
    tokens * f64::from(loaded)
}

type CandidatesByDataCentre<'a> = BTreeMap<&'a DataCentre, Vec<Candidate<'a>>>;

fn candidates_by_data_centre<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineLookup,
) -> CandidatesByDataCentre<'a> {
    let mut by_data_centre = CandidatesByDataCentre::new();
    for candidate in instances.filter_map(|i| Candidate::new(model, i, view)) {
        let centre = by_data_centre
            .entry(&candidate.instance.data_centre)
            .or_default();
        centre.push(candidate);
    }
    by_data_centre
        .values_mut()
        .for_each(|c| exclude_suspects(model, c));
    by_data_centre
}

/// Removes suspected engines, unless no chain is left without them.
fn exclude_suspects(model: &EngineModel, candidates: &mut Vec<Candidate>) {
    let suspected = candidates.iter().any(|c| c.suspected);
    if suspected && covers_all_layers(model, candidates.iter().filter(|c| !c.suspected)) {
        candidates.retain(|c| !c.suspected);
    }
}

/// Returns whether the candidates together hold all layers.
fn covers_all_layers<'c, 'a: 'c>(
    model: &EngineModel,
    candidates: impl Iterator<Item = &'c Candidate<'a>>,
) -> bool {
    let mut ranges: Vec<LayerRange> = candidates.map(|c| c.layers).collect();
    ranges.sort_unstable_by_key(|r| r.first);
    let extend = |next: u32, r: &LayerRange| match r.first <= next {
        true => next.max(r.last),
        false => next,
    };
    ranges.iter().fold(0, extend) >= model.layers
}

/// Returns whether the usable engines hold all layers, within one data centre or across
/// all of them.
pub fn has_chain<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineLookup,
) -> bool {
    let by_data_centre = candidates_by_data_centre(model, instances, view);
    covers_all_layers(model, by_data_centre.values().flatten())
}

/// Returns a path with free capacity for each data centre that has one. A path across
/// data centres is returned only if no single data centre holds all layers, because the
/// traffic between stages fills the links between data centres.
///
/// # Errors
///
/// Returns [`PathError::Broken`] if the usable engines do not hold all layers, and
/// [`PathError::Full`] if they do but lack free capacity.
pub fn find_paths<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineLookup,
    need: &PathRequirements,
) -> Result<Vec<EnginePath>, PathError> {
    let by_data_centre = candidates_by_data_centre(model, instances, view);
    let unlimited = PathRequirements {
        tokens: 0,
        max_utilization: f64::INFINITY,
        ..*need
    };
    let within = by_data_centre.values();
    let within = within.filter_map(|c| best_sampled_path(model, c, need, 0));
    let within: Vec<EnginePath> = within.collect();
    if !within.is_empty() {
        return Ok(within);
    }
    let full = by_data_centre.values();
    let full = full.filter_map(|c| best_sampled_path(model, c, &unlimited, 0));
    if let Some(full) = least_utilized(full) {
        return Err(PathError::Full(full));
    }
    let all: Vec<Candidate> = by_data_centre.into_values().flatten().collect();
    if let Some(path) = best_sampled_path(model, &all, need, 0) {
        return Ok(vec![path]);
    }
    let full = best_sampled_path(model, &all, &unlimited, 0);
    Err(full.map_or(PathError::Broken, |path| PathError::Full(path.bottleneck)))
}

fn least_utilized(paths: impl Iterator<Item = EnginePath>) -> Option<Bottleneck> {
    let bottleneck = paths.map(|p| p.bottleneck);
    bottleneck.min_by(|a, b| a.used.total_cmp(&b.used))
}

/// Returns a path that begins with `first`, for a request that already runs there. The
/// path stays inside the data centre of that engine.
pub fn path_from<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineLookup,
    need: &PathRequirements,
    first: &Stage,
    data_centre: &DataCentre,
) -> Option<EnginePath> {
    let mut others = candidates_by_data_centre(model, instances, view).remove(data_centre)?;
    others.retain(|c| c.instance.address != first.address);
    let mut path = best_sampled_path(model, &others, need, first.layers.last)?;
    path.stages.insert(0, first.clone());
    Some(path)
}

/// Returns `path` with some of its stages replaced by other engines. The replacements
/// run exactly the same layers, so that all other stages keep their state of the
/// request. Returns `None` if the first stage is one to be replaced.
pub fn replace_stages<'a>(
    model: &EngineModel,
    instances: impl Iterator<Item = &'a Instance>,
    view: &dyn EngineLookup,
    need: &PathRequirements,
    path: &[Stage],
    replaced: &dyn Fn(SocketAddr) -> bool,
) -> Option<EnginePath> {
    let first = path.first().filter(|s| !replaced(s.address))?;
    let by_address: BTreeMap<SocketAddr, &Instance> = instances.map(|i| (i.address, i)).collect();
    let first = by_address.get(&first.address)?;
    let others = by_address.values().copied();
    let mut others = candidates_by_data_centre(model, others, view).remove(&first.data_centre)?;
    others.retain(|c| !replaced(c.instance.address));
    others.retain(|c| path.iter().all(|s| s.address != c.instance.address));
    // Takes the first valid path instead of the least utilized: all streams of a failed
    // stage move at once, and there are few alternatives.
    let mut sampled = (0..PATH_SAMPLES).filter_map(|sample| {
        let mut rng = SeededRng::new(need.path_seed, sample);
        let mut reroute = Reroute::default();
        for stage in path {
            match replaced(stage.address) {
                true => reroute.replace_stage(&others, need, stage.layers, &mut rng)?,
                false => reroute.stages.push(stage.clone()),
            }
        }
        (reroute.stages.len() <= MAX_STAGES).then_some(reroute)
    });
    let reroute = sampled.next()?;
    Some(EnginePath {
        bottleneck: reroute.bottleneck?,
        stages: reroute.stages,
        data_centre: first.data_centre.clone(),
        first_id: first.id.clone(),
    })
}

/// A path with some stages replaced, during its construction.
#[derive(Default)]
struct Reroute {
    stages: Vec<Stage>,
    /// The most utilized of the new stages.
    bottleneck: Option<Bottleneck>,
}

impl Reroute {
    fn utilization(&self) -> f64 {
        self.bottleneck.map_or(0.0, |f| f.used)
    }

    /// Assigns `layers` to other engines, sampled by free capacity and by how fast they
    /// process the request's existing tokens.
    fn replace_stage(
        &mut self,
        others: &[Candidate],
        need: &PathRequirements,
        layers: LayerRange,
        rng: &mut SeededRng,
    ) -> Option<()> {
        let mut next = layers.first;
        while next < layers.last {
            let weight = |c: &Candidate, layers| c.sampling_weight(need, layers) / c.read_factor;
            let (candidate, held) = sample_stage(others, need, next, rng, weight)?;
            let address = candidate.instance.address;
            let runs = LayerRange::new(next, held.last.min(layers.last));
            // An engine can appear on a path only once.
            if self.stages.iter().any(|s| s.address == address) {
                return None;
            }
            let used = candidate.utilization(need, runs);
            if used >= self.utilization() {
                self.bottleneck = Some(Bottleneck { address, used });
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

/// Returns the best of the sampled paths from layer `start` on.
fn best_sampled_path(
    model: &EngineModel,
    candidates: &[Candidate],
    need: &PathRequirements,
    start: u32,
) -> Option<EnginePath> {
    let sampled = (0..PATH_SAMPLES).filter_map(|i| sample_path(model, candidates, need, start, i));
    let cost = |p: &EnginePath| p.bottleneck.used + p.stages.len() as f64 / STAGES_PER_UTILIZATION;
    sampled.min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

fn sample_path(
    model: &EngineModel,
    candidates: &[Candidate],
    need: &PathRequirements,
    start: u32,
    sample: u64,
) -> Option<EnginePath> {
    let mut rng = SeededRng::new(need.path_seed, sample);
    let mut picked: Vec<(&Candidate, LayerRange)> = Vec::new();
    let mut next = start;
    while next < model.layers {
        let weight = |c: &Candidate, layers| c.sampling_weight(need, layers);
        let (candidate, layers) = sample_stage(candidates, need, next, &mut rng, weight)?;
        picked.push((candidate, layers));
        next = layers.last;
    }
    let (first, _) = picked.first()?;
    let bottleneck = picked.iter().map(|(c, layers)| Bottleneck {
        address: c.instance.address,
        used: c.utilization(need, *layers),
    });
    let bottleneck = bottleneck.max_by(|a, b| a.used.total_cmp(&b.used))?;
    let stage = |(c, layers): &(&Candidate, LayerRange)| Stage {
        address: c.instance.address,
        layers: *layers,
    };
    (picked.len() <= MAX_STAGES).then(|| EnginePath {
        data_centre: first.instance.data_centre.clone(),
        first_id: first.instance.id.clone(),
        stages: picked.iter().map(stage).collect(),
        bottleneck,
    })
}

/// Samples an engine with free capacity for the layers from `first` on.
fn sample_stage<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    need: &PathRequirements,
    first: u32,
    rng: &mut SeededRng,
    weight: impl Fn(&Candidate, LayerRange) -> f64,
) -> Option<(&'c Candidate<'a>, LayerRange)> {
    let eligible = candidates.iter().map(|c| (c, c.layers_from(first)));
    let eligible =
        eligible.filter(|(c, layers)| !layers.is_empty() && c.has_capacity(need, *layers));
    let eligible: Vec<(&Candidate, LayerRange)> = eligible.collect();
    let weights = eligible.iter().map(|(c, layers)| weight(c, *layers));
    let index = rng.weighted_index(weights);
    eligible.get(index?).copied()
}
