//! The upper bound of the throughput that the hardware allows.
//!
//! Each token runs through every layer once, and a target runs each layer that it holds
//! at the same speed. The bound is therefore a flow problem: each target splits its
//! speed, in layer-tokens per second, over the segments of layers that it holds, and
//! the segment with the lowest rate is the bound. All layers between two boundaries are
//! equivalent, so they form one segment.

use crate::state::LayerRange;

/// A target, reduced to what the bound depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundTarget {
    /// Layers that the target holds.
    pub layers: LayerRange,
    /// Time for one layer of one token, in microseconds.
    pub layer_us: f64,
}

/// Maximum number of iterations; each halves the remaining imbalance.
const MAX_ITERATIONS: usize = 2_000;

/// Returns the maximum number of tokens per second that `targets` can produce when each
/// token runs layers `0..layers` once.
///
/// Each iteration moves speed from a target's best-served segment to its worst-served
/// one, until nothing moves. This is coordinate descent on the sum of size × rate²,
/// which is smooth and convex. Its minimum is the max-min fair split, whose lowest rate
/// is the bound. The result approaches the bound from below.
pub fn hardware_bound(targets: &[BoundTarget], layers: u32) -> f64 {
    let mut cut_points: Vec<u32> = targets
        .iter()
        .flat_map(|t| [t.layers.first, t.layers.last])
        .chain([0, layers])
        .filter(|l| *l <= layers)
        .collect();
    cut_points.sort_unstable();
    cut_points.dedup();
    let segments: Vec<LayerRange> = cut_points
        .windows(2)
        .map(|w| LayerRange::new(w[0], w[1]))
        .collect();
    balance(targets, &segments)
}

fn balance(targets: &[BoundTarget], segments: &[LayerRange]) -> f64 {
    let mut supply = vec![0.0f64; segments.len()];
    let mut allocations: Vec<Vec<(usize, f64)>> = targets
        .iter()
        .map(|t| initial_allocation(t, segments))
        .collect();
    for (segment, speed) in allocations.iter().flatten() {
        supply[*segment] += speed;
    }
    let size = |s: usize| f64::from(segments[s].len());
    for _ in 0..MAX_ITERATIONS {
        let mut moved = 0.0;
        for shares in &mut allocations {
            moved += rebalance_target(shares, &mut supply, &size);
        }
        if moved < 1e-9 {
            break;
        }
    }
    (0..segments.len())
        .map(|s| supply[s] / size(s))
        .fold(f64::INFINITY, f64::min)
}

fn initial_allocation(t: &BoundTarget, segments: &[LayerRange]) -> Vec<(usize, f64)> {
    let speed = 1e6 / t.layer_us;
    let inside = |s: &LayerRange| t.layers.first <= s.first && s.last <= t.layers.last;
    segments
        .iter()
        .enumerate()
        .filter(|(_, s)| inside(s))
        .map(|(i, s)| (i, speed * f64::from(s.len()) / f64::from(t.layers.len())))
        .collect()
}

/// Moves speed of one target from its best-served to its worst-served segment until
/// their rates are equal or the speed is used up. Returns the amount moved.
fn rebalance_target(
    shares: &mut [(usize, f64)],
    supply: &mut [f64],
    size: &impl Fn(usize) -> f64,
) -> f64 {
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
    let transfer = gap / (1.0 / size(best) + 1.0 / size(worst));
    let mut moved = 0.0;
    for (s, v) in shares.iter_mut().filter(|(s, _)| *s == best) {
        moved = transfer.min(*v);
        *v -= moved;
        supply[*s] -= moved;
    }
    for (s, v) in shares.iter_mut().filter(|(s, _)| *s == worst) {
        *v += moved;
        supply[*s] += moved;
    }
    moved
}
