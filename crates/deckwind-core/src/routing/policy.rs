//! Ways to choose a chain: the one that is used, and those it is measured
//! against.

use super::chain_search::{ChainNeed, PlannedStage, search_chain};
use super::fleet::{Fleet, TargetKey};
use super::prefix::PrefixIndex;
use crate::state::LayerRange;
use crate::time::Instant;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Chooses chains.
pub trait Policy: Send {
    /// Its name in tables.
    fn name(&self) -> &'static str;

    /// A chain for `need`, or nothing if the layers can't be covered.
    fn choose(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        need: &ChainNeed,
    ) -> Option<Vec<PlannedStage>>;

    /// Notes that a chain was dispatched, for prefix affinity.
    fn dispatched(&mut self, need: &ChainNeed, stages: &[PlannedStage]);

    /// The prefix index, for the engines' cache events.
    fn prefixes(&mut self) -> Option<&mut PrefixIndex> {
        None
    }
}

/// Prefixes that a router remembers.
const PREFIXES_KEPT: usize = 65_536;

fn note(index: &mut PrefixIndex, need: &ChainNeed, stages: &[PlannedStage]) {
    for prefix in &need.prefixes {
        for stage in stages {
            index.insert(*prefix, stage.target);
        }
    }
}

/// Time that a stage costs a request, microseconds: its steps, and its prefill
/// where that is not cached, each at the target's present time of a step.
fn stage_us(
    fleet: &Fleet,
    index: &PrefixIndex,
    now: Instant,
    need: &ChainNeed,
    key: TargetKey,
    layers: LayerRange,
) -> f64 {
    let Some(t) = fleet.get(key) else {
        return f64::INFINITY;
    };
    let blocks = need.prefixes.len().max(1) as f64;
    let cached = index.cached_blocks(&need.prefixes, key) as f64 / blocks;
    let uncached = f64::from(need.prompt) * (1.0 - cached);
    let tokens = f64::from(need.answer) + uncached * PREFILL_COST * PREFILL_WEIGHT;
    tokens * t.step_us(now, layers.len())
}

/// Cost of a position in prefill against one in decoding: prefill runs many
/// positions in one batch.
pub const PREFILL_COST: f64 = 0.1;

/// How much more than its time a prefill weighs: whoever waits at the same
/// target waits for it too.
const PREFILL_WEIGHT: f64 = 2.0;

/// Least estimated time: load by own count and aged report, measured speed by
/// layer, link, uncached prefix, health. The affinity is judged for each
/// request against the target that it wants: an idle target keeps its prefixes
/// whatever the load elsewhere (vllm-project/router pull request 238).
pub struct Estimated {
    rng: ChaCha8Rng,
    index: PrefixIndex,
}

impl Estimated {
    /// With a seed for its samples.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            index: PrefixIndex::new(PREFIXES_KEPT),
        }
    }
}

impl Policy for Estimated {
    fn name(&self) -> &'static str {
        "estimated"
    }

    fn choose(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        need: &ChainNeed,
    ) -> Option<Vec<PlannedStage>> {
        let index = &self.index;
        let extra = index.holders(&need.prefixes).to_vec();
        let cost = |key, layers| stage_us(fleet, index, now, need, key, layers);
        search_chain(fleet, now, need, &extra, &mut self.rng, cost)
    }

    fn dispatched(&mut self, need: &ChainNeed, stages: &[PlannedStage]) {
        note(&mut self.index, need, stages);
    }

    fn prefixes(&mut self) -> Option<&mut PrefixIndex> {
        Some(&mut self.index)
    }
}

/// Each target in turn: the cost of a stage is how often it was used.
pub struct RoundRobin {
    rng: ChaCha8Rng,
    used: slotmap::SecondaryMap<TargetKey, u32>,
}

impl RoundRobin {
    /// With a seed for its samples.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            used: slotmap::SecondaryMap::new(),
        }
    }
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn choose(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        need: &ChainNeed,
    ) -> Option<Vec<PlannedStage>> {
        let used = &self.used;
        let cost = |key, _| f64::from(used.get(key).copied().unwrap_or(0)) + 1.0;
        search_chain(fleet, now, need, &[], &mut self.rng, cost)
    }

    fn dispatched(&mut self, _: &ChainNeed, stages: &[PlannedStage]) {
        for stage in stages {
            if let Some(entry) = self.used.entry(stage.target) {
                *entry.or_insert(0) += 1;
            }
        }
    }
}

/// Least load, whatever the speed, link or prefix.
pub struct LeastLoaded {
    rng: ChaCha8Rng,
}

impl LeastLoaded {
    /// With a seed for its samples.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }
}

impl Policy for LeastLoaded {
    fn name(&self) -> &'static str {
        "least-loaded"
    }

    fn choose(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        need: &ChainNeed,
    ) -> Option<Vec<PlannedStage>> {
        let cost = |key, layers: LayerRange| load_of(fleet, now, key) + f64::from(layers.len());
        search_chain(fleet, now, need, &[], &mut self.rng, cost)
    }

    fn dispatched(&mut self, _: &ChainNeed, _: &[PlannedStage]) {}
}

fn load_of(fleet: &Fleet, now: Instant, key: TargetKey) -> f64 {
    fleet.get(key).map_or(f64::INFINITY, |t| t.load(now))
}

/// Prefix affinity with one gate for the whole fleet: as soon as the spread of
/// the loads passes a threshold, every request goes by least load. This is the
/// behaviour that vllm-project/router pull request 238 replaced.
pub struct FleetGate {
    estimated: Estimated,
    least: LeastLoaded,
}

/// Spread of the loads, as a multiple of the lowest, that opens the gate.
const GATE_RELATIVE: f64 = 1.5;

/// Spread of the loads, in layers, that opens the gate.
const GATE_ABSOLUTE: f64 = 64.0;

impl FleetGate {
    /// With a seed for its samples.
    pub fn new(seed: u64) -> Self {
        Self {
            estimated: Estimated::new(seed),
            least: LeastLoaded::new(seed),
        }
    }

    fn is_open(fleet: &Fleet, now: Instant) -> bool {
        let loads = fleet.iter().map(|(_, t)| t.load(now));
        let (min, max) = loads.fold((f64::INFINITY, 0.0f64), |(lo, hi), l| {
            (lo.min(l), hi.max(l))
        });
        max - min > GATE_ABSOLUTE && max > min * GATE_RELATIVE
    }
}

impl Policy for FleetGate {
    fn name(&self) -> &'static str {
        "fleet-gate"
    }

    fn choose(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        need: &ChainNeed,
    ) -> Option<Vec<PlannedStage>> {
        if Self::is_open(fleet, now) {
            return self.least.choose(fleet, now, need);
        }
        self.estimated.choose(fleet, now, need)
    }

    fn dispatched(&mut self, need: &ChainNeed, stages: &[PlannedStage]) {
        self.estimated.dispatched(need, stages);
    }
}
