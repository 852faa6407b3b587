//! The fewest engines that explain why streams are silent.
//!
//! Boolean network tomography: a path is silent if any engine on it is, so an
//! engine with an event through it since is none of them, and the smallest set
//! of the others that meets every silent path is the likeliest (Duffield,
//! "Network Tomography of Binary Network Performance Characteristics", IEEE
//! Trans. Inf. Theory 2006). Found greedily; each engine named must meet so many
//! silent streams that chance would hardly bring them together.

use std::collections::HashMap;
use std::hash::Hash;

/// Fewest silent streams that name an engine.
const LEAST_STREAMS: usize = 2;

/// Greatest chance that so many streams through an engine are silent for other
/// reasons. A wrong engine costs one question.
const CHANCE: f64 = 1e-3;

/// Of the streams through a dead engine one in so many is silent at least when it
/// is named; the rest have had their last event just before it died.
const SILENT_ONE_IN: usize = 2;

/// Engines that can't be told apart and are named together, at most.
const MOST_ALIKE: usize = 2;

/// A silent stream: the engines on its path that may be why.
pub type Candidates<K> = Vec<K>;

/// The engines that explain the silent streams, of `lively` others in the same
/// data centre. `through` tells how many streams, silent or not, pass an engine.
/// Those of which it is not sure enough are left out.
pub fn explain<K: Copy + Eq + Hash + Ord>(
    silent: &[Candidates<K>],
    lively: usize,
    through: impl Fn(K) -> usize,
) -> Vec<K> {
    let mut left: Vec<&Candidates<K>> = silent.iter().filter(|c| !c.is_empty()).collect();
    let mut named = Vec::new();
    let meets = |e: K| silent.iter().filter(|c| c.contains(&e)).count();
    let mostly_silent = |e: K| meets(e) * SILENT_ONE_IN >= through(e);
    while left.len() >= LEAST_STREAMS {
        let alike = most_met(&left, &mostly_silent);
        let Some(first) = alike.first().copied() else {
            break;
        };
        let met = left.iter().filter(|c| c.contains(&first)).count();
        let others = left.len() - met;
        if alike.len() > MOST_ALIKE || !is_sure(met, others, lively) {
            break;
        }
        left.retain(|c| !c.contains(&first));
        named.extend(alike);
    }
    named.sort_unstable();
    named
}

/// The engine that meets most of the streams, and those that meet the same ones.
fn most_met<K: Copy + Eq + Hash + Ord>(
    left: &[&Candidates<K>],
    mostly_silent: &impl Fn(K) -> bool,
) -> Vec<K> {
    let mut met: HashMap<K, Vec<usize>> = HashMap::new();
    for (i, candidates) in left.iter().enumerate() {
        for engine in candidates.iter() {
            met.entry(*engine).or_default().push(i);
        }
    }
    met.retain(|e, _| mostly_silent(*e));
    let most = met.values().map(Vec::len).max().unwrap_or_default();
    let mut best: Vec<(K, Vec<usize>)> = met.into_iter().filter(|(_, m)| m.len() == most).collect();
    best.sort_unstable();
    let Some((_, streams)) = best.first().cloned() else {
        return Vec::new();
    };
    let same = best.into_iter().filter(|(_, m)| *m == streams);
    same.map(|(engine, _)| engine).collect()
}

/// Whether so many silent streams through one engine are no chance, where so many
/// that don't pass through it are silent, and lively.
fn is_sure(met: usize, others: usize, lively: usize) -> bool {
    let silent_anyway = (others as f64 + 0.5) / ((others + lively) as f64 + 1.0);
    met >= LEAST_STREAMS && silent_anyway.powi(met as i32) < CHANCE
}
