//! The shortest chain over a sample of the candidates.

use super::fleet::{Boundary, Fleet, GroupKey, TargetKey};
use super::health::HealthState;
use super::prefix::PrefixHash;
use crate::session::{Chain, ChainError, Stage};
use crate::state::{LayerRange, TargetName};
use crate::time::Instant;
use rand::{Rng, RngExt};
use std::collections::BTreeSet;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct ChainNeed {
    /// Model and version.
    pub group: GroupKey,
    /// Adapter, if any.
    pub adapter: Option<String>,
    /// Layers to run.
    pub layers: LayerRange,
    /// Positions of the prompt.
    pub prompt: u32,
    /// Positions expected in the answer.
    pub answer: u32,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Targets to leave out.
    pub avoid: BTreeSet<TargetName>,
}

/// A stage as planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStage {
    /// The target.
    pub target: TargetKey,
    /// Layers that it runs.
    pub layers: LayerRange,
}

/// Best way to a boundary that was found so far.
#[derive(Clone, Copy, Debug)]
struct Reached {
    cost: f64,
    from: usize,
    target: TargetKey,
}

/// Candidates looked at for each boundary.
const SAMPLE: usize = 4;

/// Tries to fill a sample before a sparse list counts as exhausted.
const SAMPLE_TRIES: usize = 12;

/// Finds the chain of least cost, where `cost` judges one stage. `extra`
/// candidates are looked at besides the sample, wherever they can start.
pub fn search_chain(
    fleet: &Fleet,
    now: Instant,
    need: &ChainNeed,
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
        let candidates = sample(fleet, now, need, &boundaries[from], extra, rng);
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
    walk_back(boundaries, &reached, start, goal)
}

fn walk_back(
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

/// Whether a target may get new work of this kind.
fn usable(fleet: &Fleet, now: Instant, need: &ChainNeed, key: TargetKey) -> bool {
    let Some(t) = fleet.get(key) else {
        return false;
    };
    let adapter = need.adapter.as_ref();
    t.takes_work(now)
        && t.has_slot()
        && t.health.state(now) != HealthState::Suspended
        && adapter.is_none_or(|a| t.adapters.contains(a))
        && !need.avoid.contains(&t.name)
}

fn sample(
    fleet: &Fleet,
    now: Instant,
    need: &ChainNeed,
    boundary: &Boundary,
    extra: &[TargetKey],
    rng: &mut impl Rng,
) -> Vec<TargetKey> {
    let all = &boundary.candidates;
    let mut out: Vec<TargetKey> = Vec::with_capacity(SAMPLE + 2);
    let take = |key: TargetKey, out: &mut Vec<TargetKey>| {
        if !out.contains(&key) && usable(fleet, now, need, key) {
            out.push(key);
        }
    };
    let first = |k: &&TargetKey| {
        fleet
            .get(**k)
            .is_some_and(|t| t.layers.contains(boundary.layer))
    };
    for key in extra.iter().filter(first) {
        take(*key, &mut out);
    }
    if let Some(home) = home(boundary, need) {
        take(home, &mut out);
    }
    let wanted = out.len() + SAMPLE;
    if all.len() <= SAMPLE {
        all.iter().for_each(|k| take(*k, &mut out));
        return out;
    }
    for _ in 0..SAMPLE_TRIES {
        if out.len() >= wanted {
            break;
        }
        take(all[rng.random_range(0..all.len())], &mut out);
    }
    if out.is_empty() {
        all.iter().for_each(|k| take(*k, &mut out));
    }
    out
}

/// Where a prompt's first block belongs on the hash ring: routers that share
/// nothing agree on it (Karger et al., "Consistent Hashing", STOC 1997).
fn home(boundary: &Boundary, need: &ChainNeed) -> Option<TargetKey> {
    let first = need.prefixes.first()?;
    let i = boundary.ring.partition_point(|(hash, _)| *hash < first.0);
    let (_, key) = boundary.ring.get(i).or(boundary.ring.first())?;
    Some(*key)
}

/// The planned stages by name, checked to tile `0..layers`.
pub fn plan_names(
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
