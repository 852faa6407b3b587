//! Finds the smallest set of engines that explains the stalled streams.
//!
//! This is Boolean network tomography: a path stalls if any engine on it fails, so an
//! engine through which an event has come since is excluded, and the smallest set of the
//! other engines that covers every stalled path is the most likely one (Duffield, "Network
//! Tomography of Binary Network Performance Characteristics", IEEE Trans. Inf. Theory
//! 2006). The set is built greedily. Each named engine must cover so many stalled streams
//! that a coincidence is unlikely.

use std::collections::HashMap;
use std::hash::Hash;

/// Minimum number of stalled streams for an engine to be named.
const MIN_STREAMS: usize = 2;

/// Maximum probability that so many streams through an engine stall for other reasons. A
/// wrongly named engine costs one probe.
const MAX_COINCIDENCE: f64 = 1e-3;

/// At least one in this many of the streams through a dead engine has stalled when the
/// engine is named. The others had their last event just before it died.
const STALLED_ONE_IN: usize = 2;

/// Maximum number of indistinguishable engines that are named together.
const MAX_INDISTINGUISHABLE: usize = 2;

/// Engines on the path of a stalled stream that may have caused the stall.
pub type Candidates<K> = Vec<K>;

/// Returns the engines that explain the stalled streams `stalled`, given the number of
/// `active` streams in the same data centre. `through` returns the number of streams that
/// pass an engine, stalled or not. Engines without enough evidence are left out.
pub fn explain<K: Copy + Eq + Hash + Ord>(
    stalled: &[Candidates<K>],
    active: usize,
    through: impl Fn(K) -> usize,
) -> Vec<K> {
    let mut unexplained: Vec<&Candidates<K>> = stalled.iter().filter(|c| !c.is_empty()).collect();
    let mut suspects = Vec::new();
    let covered_by = |e: K| stalled.iter().filter(|c| c.contains(&e)).count();
    let mostly_stalled = |e: K| covered_by(e) * STALLED_ONE_IN >= through(e);
    while unexplained.len() >= MIN_STREAMS {
        let equivalent = widest_cover(&unexplained, &mostly_stalled);
        let Some(first) = equivalent.first().copied() else {
            break;
        };
        let covered = unexplained.iter().filter(|c| c.contains(&first)).count();
        let others = unexplained.len() - covered;
        if equivalent.len() > MAX_INDISTINGUISHABLE || !is_significant(covered, others, active) {
            break;
        }
        unexplained.retain(|c| !c.contains(&first));
        suspects.extend(equivalent);
    }
    suspects.sort_unstable();
    suspects
}

/// Returns the engine that covers the most streams, and those that cover exactly the same
/// ones.
fn widest_cover<K: Copy + Eq + Hash + Ord>(
    unexplained: &[&Candidates<K>],
    mostly_stalled: &impl Fn(K) -> bool,
) -> Vec<K> {
    let mut covered: HashMap<K, Vec<usize>> = HashMap::new();
    for (i, candidates) in unexplained.iter().enumerate() {
        for engine in candidates.iter() {
            covered.entry(*engine).or_default().push(i);
        }
    }
    covered.retain(|e, _| mostly_stalled(*e));
    let max_covered = covered.values().map(Vec::len).max().unwrap_or_default();
    let mut best: Vec<(K, Vec<usize>)> = covered
        .into_iter()
        .filter(|(_, m)| m.len() == max_covered)
        .collect();
    best.sort_unstable();
    let Some((_, streams)) = best.first().cloned() else {
        return Vec::new();
    };
    let same = best.into_iter().filter(|(_, m)| *m == streams);
    same.map(|(engine, _)| engine).collect()
}

/// Whether `covered` stalled streams through one engine are unlikely to be a coincidence,
/// given the numbers of other streams that stalled and that are active.
fn is_significant(covered: usize, others: usize, active: usize) -> bool {
    let base_rate = (others as f64 + 0.5) / ((others + active) as f64 + 1.0);
    covered >= MIN_STREAMS && base_rate.powi(covered as i32) < MAX_COINCIDENCE
}
