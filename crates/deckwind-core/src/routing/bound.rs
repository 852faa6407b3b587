//! The throughput that the hardware allows.
//!
//! A token needs every layer once, and a target runs any layer that it holds at
//! the same speed. So the bound is a flow problem: each target splits its speed,
//! in layer-tokens a second, over the segments of layers that it holds; the
//! least served segment is the bound. Between two boundaries all layers are
//! alike, so a segment stands for them.

use crate::state::LayerRange;

/// A target as the bound sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundTarget {
    /// Layers that it holds.
    pub layers: LayerRange,
    /// Time of one layer of one token, microseconds.
    pub layer_us: f64,
}

/// Rounds of levelling; each halves what is left uneven.
const ROUNDS: usize = 2_000;

/// Most tokens a second that `targets` can make, where each token runs layers
/// `0..layers` once.
///
/// Levelling moves speed from the best served segment of each target to its
/// worst served one until nothing moves. That is coordinate descent on the sum
/// of size × rate², which is smooth and convex; its minimum is the max-min fair
/// split, whose least rate is the bound. The result is approached from below.
pub fn hardware_bound(targets: &[BoundTarget], layers: u32) -> f64 {
    let mut cuts: Vec<u32> = targets
        .iter()
        .flat_map(|t| [t.layers.first, t.layers.last])
        .chain([0, layers])
        .filter(|l| *l <= layers)
        .collect();
    cuts.sort_unstable();
    cuts.dedup();
    let segments: Vec<LayerRange> = cuts
        .windows(2)
        .map(|w| LayerRange::new(w[0], w[1]))
        .collect();
    level(targets, &segments)
}

fn level(targets: &[BoundTarget], segments: &[LayerRange]) -> f64 {
    let mut supply = vec![0.0f64; segments.len()];
    let mut given: Vec<Vec<(usize, f64)>> = targets
        .iter()
        .map(|t| spread_by_layers(t, segments))
        .collect();
    for (segment, speed) in given.iter().flatten() {
        supply[*segment] += speed;
    }
    let size = |s: usize| f64::from(segments[s].len());
    for _ in 0..ROUNDS {
        let mut moved = 0.0;
        for shares in &mut given {
            moved += level_one(shares, &mut supply, &size);
        }
        if moved < 1e-9 {
            break;
        }
    }
    (0..segments.len())
        .map(|s| supply[s] / size(s))
        .fold(f64::INFINITY, f64::min)
}

fn spread_by_layers(t: &BoundTarget, segments: &[LayerRange]) -> Vec<(usize, f64)> {
    let speed = 1e6 / t.layer_us;
    let inside = |s: &LayerRange| t.layers.first <= s.first && s.last <= t.layers.last;
    segments
        .iter()
        .enumerate()
        .filter(|(_, s)| inside(s))
        .map(|(i, s)| (i, speed * f64::from(s.len()) / f64::from(t.layers.len())))
        .collect()
}

/// Moves one target's speed from its best to its worst served segment, as far
/// as evens them out; answers with what moved.
fn level_one(shares: &mut [(usize, f64)], supply: &mut [f64], size: &impl Fn(usize) -> f64) -> f64 {
    let rate = |s: usize, supply: &[f64]| supply[s] / size(s);
    let by_rate = |a: &usize, b: &usize| rate(*a, supply).total_cmp(&rate(*b, supply));
    let worst = shares.iter().map(|(s, _)| *s).min_by(by_rate);
    let has = shares.iter().filter(|(_, v)| *v > 0.0).map(|(s, _)| *s);
    let best = has.max_by(by_rate);
    let (Some(worst), Some(best)) = (worst, best) else {
        return 0.0;
    };
    let gap = rate(best, supply) - rate(worst, supply);
    if gap <= 0.0 {
        return 0.0;
    }
    let even = gap / (1.0 / size(best) + 1.0 / size(worst));
    let mut moved = 0.0;
    for (s, v) in shares.iter_mut().filter(|(s, _)| *s == best) {
        moved = even.min(*v);
        *v -= moved;
        supply[*s] -= moved;
    }
    for (s, v) in shares.iter_mut().filter(|(s, _)| *s == worst) {
        *v += moved;
        supply[*s] += moved;
    }
    moved
}
