//! Shortest-path search for a chain over sampled candidates.

use super::fleet::{Boundary, Fleet, GroupKey, TargetKey};
use super::health::HealthState;
use super::prefix::PrefixHash;
use crate::session::{Chain, ChainError, Stage};
use crate::state::{LayerRange, TargetName};
use crate::time::Instant;
use rand::{Rng, RngExt};
use std::collections::BTreeSet;

/// The requirements of a request.
#[derive(Clone, Debug)]
pub struct ChainRequirements {
    /// Model and version.
    pub group: GroupKey,
    /// Adapter, if any.
    pub adapter: Option<String>,
    /// Layers to run.
    pub layers: LayerRange,
    /// Number of positions in the prompt.
    pub prompt: u32,
    /// Expected number of positions in the answer.
    pub answer: u32,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Targets to exclude.
    pub avoid: BTreeSet<TargetName>,
}

/// A planned stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStage {
    /// Key of the target.
    pub target: TargetKey,
    /// Layers that the target runs.
    pub layers: LayerRange,
}

/// The cheapest known way to a boundary.
#[derive(Clone, Copy, Debug)]
struct Reached {
    cost: f64,
    from: usize,
    target: TargetKey,
}

/// Number of candidates sampled at each boundary.
const SAMPLE_SIZE: usize = 4;

/// Maximum number of attempts to fill a sample from a list with few usable candidates.
const MAX_SAMPLE_ATTEMPTS: usize = 12;

/// Returns the chain with the lowest total of `cost`, which is evaluated per stage.
/// `extra` candidates are considered in addition to the sample wherever they can start.
pub fn search_chain(
    fleet: &Fleet,
    now: Instant,
    need: &ChainRequirements,
    extra: &[TargetKey],
    rng: &mut impl Rng,
    mut cost: impl FnMut(TargetKey, LayerRange) -> f64,
) -> Option<Vec<PlannedStage>> {
    let boundaries = fleet.boundaries(&need.group);
    let at = |layer: u32| boundaries.binary_search_by_key(&layer, |b| b.layer).ok();
    let (start, goal) = (at(need.layers.first)?, at(need.layers.last)?);
    let mut reached: Vec<Option<Reached>> = vec![None; boundaries.len()];
    for from in start..goal {
        let base = match reached[from] {
            Some(r) => r.cost,
            None if from == start => 0.0,
            None => continue,
        };
        let candidates = sample_candidates(fleet, now, need, &boundaries[from], extra, rng);
        for target in candidates {
            let last = fleet.get(target)?.layers.last;
            for to in from + 1..=goal {
                if boundaries[to].layer > last {
                    break;
                }
                let layers = LayerRange::new(boundaries[from].layer, boundaries[to].layer);
                let total = base + cost(target, layers);
                if reached[to].is_none_or(|r| total < r.cost) {
                    reached[to] = Some(Reached {
                        cost: total,
                        from,
                        target,
                    });
                }
            }
        }
    }
    reconstruct_chain(boundaries, &reached, start, goal)
}

fn reconstruct_chain(
    boundaries: &[Boundary],
    reached: &[Option<Reached>],
    start: usize,
    goal: usize,
) -> Option<Vec<PlannedStage>> {
    let mut stages = Vec::new();
    let mut to = goal;
    while to != start {
        let r = reached[to]?;
        let layers = LayerRange::new(boundaries[r.from].layer, boundaries[to].layer);
        stages.push(PlannedStage {
            target: r.target,
            layers,
        });
        to = r.from;
    }
    stages.reverse();
    Some(stages)
}

/// Returns whether a target may get new work for `need`.
fn is_usable(fleet: &Fleet, now: Instant, need: &ChainRequirements, key: TargetKey) -> bool {
    let Some(t) = fleet.get(key) else {
        return false;
    };
    let adapter = need.adapter.as_ref();
    t.takes_work(now)
        && t.has_free_slot()
        && t.health.state(now) != HealthState::Suspended
        && adapter.is_none_or(|a| t.adapters.contains(a))
        && !need.avoid.contains(&t.name)
}

fn sample_candidates(
    fleet: &Fleet,
    now: Instant,
    need: &ChainRequirements,
    boundary: &Boundary,
    extra: &[TargetKey],
    rng: &mut impl Rng,
) -> Vec<TargetKey> {
    let all = &boundary.candidates;
    let mut out: Vec<TargetKey> = Vec::with_capacity(SAMPLE_SIZE + 2);
    let push_usable = |key: TargetKey, out: &mut Vec<TargetKey>| {
        if !out.contains(&key) && is_usable(fleet, now, need, key) {
            out.push(key);
        }
    };
    let can_start = |k: &&TargetKey| {
        fleet
            .get(**k)
            .is_some_and(|t| t.layers.contains(boundary.layer))
    };
    for key in extra.iter().filter(can_start) {
        push_usable(*key, &mut out);
    }
    if let Some(owner) = ring_owner(boundary, need) {
        push_usable(owner, &mut out);
    }
    let wanted = out.len() + SAMPLE_SIZE;
    if all.len() <= SAMPLE_SIZE {
        all.iter().for_each(|k| push_usable(*k, &mut out));
        return out;
    }
    for _ in 0..MAX_SAMPLE_ATTEMPTS {
        if out.len() >= wanted {
            break;
        }
        push_usable(all[rng.random_range(0..all.len())], &mut out);
    }
    if out.is_empty() {
        all.iter().for_each(|k| push_usable(*k, &mut out));
    }
    out
}

/// Returns the owner of the prompt's first block on the hash ring. Routers agree on it
/// without sharing state (Karger et al., "Consistent Hashing", STOC 1997).
fn ring_owner(boundary: &Boundary, need: &ChainRequirements) -> Option<TargetKey> {
    let first = need.prefixes.first()?;
    let i = boundary.ring.partition_point(|(hash, _)| *hash < first.0);
    let (_, key) = boundary.ring.get(i).or(boundary.ring.first())?;
    Some(*key)
}

/// Resolves the planned stages to target names.
///
/// # Errors
///
/// Returns an error if the stages do not cover `0..layers` without gap or overlap.
pub fn resolve_stages(
    fleet: &Fleet,
    stages: &[PlannedStage],
    layers: u32,
) -> Result<Chain, ChainError> {
    let named = stages
        .iter()
        .filter_map(|s| {
            Some(Stage {
                target: fleet.get(s.target)?.name.clone(),
                layers: s.layers,
            })
        })
        .collect();
    Chain::new(named, layers)
}
