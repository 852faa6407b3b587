//! Policies that select a chain: the default one and the baselines for comparison.

use super::chain_search::{ChainRequirements, PlannedStage, search_chain};
use super::fleet::{Fleet, TargetKey};
use super::prefix::PrefixIndex;
use crate::state::LayerRange;
use crate::time::Instant;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A strategy for selecting chains.
pub trait Policy: Send {
    /// Returns the name of the policy, as used in tables.
    fn name(&self) -> &'static str;

    /// Returns a chain for `need`, or `None` if the layers can't be covered.
    fn choose(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        need: &ChainRequirements,
    ) -> Option<Vec<PlannedStage>>;

    /// Records that a chain was dispatched, for prefix affinity.
    fn record_dispatch(&mut self, need: &ChainRequirements, stages: &[PlannedStage]);

    /// Returns the prefix index, to which the engines' cache events are applied.
    fn prefixes(&mut self) -> Option<&mut PrefixIndex> {
        None
    }
}

/// Maximum number of prefixes in a router's index.
const MAX_PREFIXES: usize = 65_536;

fn record_prefixes(index: &mut PrefixIndex, need: &ChainRequirements, stages: &[PlannedStage]) {
    for prefix in &need.prefixes {
        for stage in stages {
            index.insert(*prefix, stage.target);
        }
    }
}

/// Returns the estimated time of a stage, in microseconds: its decoding steps and its
/// uncached prefill, each at the target's current step time.
fn stage_us(
    fleet: &Fleet,
    index: &PrefixIndex,
    now: Instant,
    need: &ChainRequirements,
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

/// Cost of a prefill position relative to a decoding position. Prefill runs many
/// positions in one batch.
pub const PREFILL_COST: f64 = 0.1;

/// Weight of prefill time relative to decoding time. A prefill also delays the other
/// sessions that wait at the target.
const PREFILL_WEIGHT: f64 = 2.0;

/// Selects the chain with the lowest estimated time. The estimate combines the router's
/// own load, the aged load report, the measured time per layer, link latency, uncached
/// prefix and health. Prefix affinity is evaluated per request and target: an idle
/// target keeps its prefixes whatever the load elsewhere (vllm-project/router pull
/// request 238).
pub struct EstimatedTimePolicy {
    rng: ChaCha8Rng,
    index: PrefixIndex,
}

impl EstimatedTimePolicy {
    /// Creates the policy with a seed for its sampling.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            index: PrefixIndex::new(MAX_PREFIXES),
        }
    }
}

impl Policy for EstimatedTimePolicy {
    fn name(&self) -> &'static str {
        "estimated"
    }

    fn choose(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        need: &ChainRequirements,
    ) -> Option<Vec<PlannedStage>> {
        let index = &self.index;
        let extra = index.holders(&need.prefixes).to_vec();
        let cost = |key, layers| stage_us(fleet, index, now, need, key, layers);
        search_chain(fleet, now, need, &extra, &mut self.rng, cost)
    }

    fn record_dispatch(&mut self, need: &ChainRequirements, stages: &[PlannedStage]) {
        record_prefixes(&mut self.index, need, stages);
    }

    fn prefixes(&mut self) -> Option<&mut PrefixIndex> {
        Some(&mut self.index)
    }
}

/// Selects targets in turn: the cost of a stage is how often its target was used.
pub struct RoundRobin {
    rng: ChaCha8Rng,
    used: slotmap::SecondaryMap<TargetKey, u32>,
}

impl RoundRobin {
    /// Creates the policy with a seed for its sampling.
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
        need: &ChainRequirements,
    ) -> Option<Vec<PlannedStage>> {
        let used = &self.used;
        let cost = |key, _| f64::from(used.get(key).copied().unwrap_or(0)) + 1.0;
        search_chain(fleet, now, need, &[], &mut self.rng, cost)
    }

    fn record_dispatch(&mut self, _: &ChainRequirements, stages: &[PlannedStage]) {
        for stage in stages {
            if let Some(entry) = self.used.entry(stage.target) {
                *entry.or_insert(0) += 1;
            }
        }
    }
}

/// Selects by load only and ignores speed, link latency and cached prefixes.
pub struct LeastLoaded {
    rng: ChaCha8Rng,
}

impl LeastLoaded {
    /// Creates the policy with a seed for its sampling.
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
        need: &ChainRequirements,
    ) -> Option<Vec<PlannedStage>> {
        let cost = |key, layers: LayerRange| target_load(fleet, now, key) + f64::from(layers.len());
        search_chain(fleet, now, need, &[], &mut self.rng, cost)
    }

    fn record_dispatch(&mut self, _: &ChainRequirements, _: &[PlannedStage]) {}
}

fn target_load(fleet: &Fleet, now: Instant, key: TargetKey) -> f64 {
    fleet.get(key).map_or(f64::INFINITY, |t| t.load(now))
}

/// Uses prefix affinity until the load imbalance of the whole fleet exceeds a
/// threshold, then selects by load for every request. This is the behaviour that
/// vllm-project/router pull request 238 replaced.
pub struct LoadGatePolicy {
    estimated: EstimatedTimePolicy,
    least_loaded: LeastLoaded,
}

/// Ratio of the highest to the lowest load above which the gate opens.
const GATE_LOAD_RATIO: f64 = 1.5;

/// Difference of the highest and the lowest load, in layers, above which the gate
/// opens.
const GATE_LOAD_DIFFERENCE: f64 = 64.0;

impl LoadGatePolicy {
    /// Creates the policy with a seed for its sampling.
    pub fn new(seed: u64) -> Self {
        Self {
            estimated: EstimatedTimePolicy::new(seed),
            least_loaded: LeastLoaded::new(seed),
        }
    }

    fn is_open(fleet: &Fleet, now: Instant) -> bool {
        let loads = fleet.iter().map(|(_, t)| t.load(now));
        let (min, max) = loads.fold((f64::INFINITY, 0.0f64), |(lo, hi), l| {
            (lo.min(l), hi.max(l))
        });
        max - min > GATE_LOAD_DIFFERENCE && max > min * GATE_LOAD_RATIO
    }
}

impl Policy for LoadGatePolicy {
    fn name(&self) -> &'static str {
        "fleet-gate"
    }

    fn choose(
        &mut self,
        fleet: &Fleet,
        now: Instant,
        need: &ChainRequirements,
    ) -> Option<Vec<PlannedStage>> {
        if Self::is_open(fleet, now) {
            return self.least_loaded.choose(fleet, now, need);
        }
        self.estimated.choose(fleet, now, need)
    }

    fn record_dispatch(&mut self, need: &ChainRequirements, stages: &[PlannedStage]) {
        self.estimated.record_dispatch(need, stages);
    }
}
