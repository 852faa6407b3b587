//! Fake targets, each with a queue, a speed by accelerator kind and a prefix cache.

use deckwind_core::routing::{BoundTarget, PREFILL_COST, PrefixHash};
use deckwind_core::state::{
    LayerRange, Target, TargetKind, TargetName, TargetStatus, Template, Workload,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Number of layers of the model.
pub const LAYERS: u32 = 32;

/// Accelerator kinds with their time per layer, in microseconds.
pub const KINDS: [(&str, f64); 4] = [("k1", 25.0), ("k2", 50.0), ("k3", 100.0), ("k4", 200.0)];

/// Names of the data centres.
pub const DATA_CENTRES: [&str; 3] = ["recife-a", "recife-b", "fortaleza"];

/// One-way latency between two data centres, in microseconds.
pub const INTER_DC_US: f64 = 250.0;

/// One-way latency inside a data centre, in microseconds.
pub const INTRA_DC_US: f64 = 50.0;

/// Maximum number of prefix blocks in a target's cache.
const MAX_CACHE_BLOCKS: usize = 512;

/// Fake target with its simulated state.
pub struct FakeTarget {
    pub target: Target,
    /// Time per layer and token, in microseconds.
    pub layer_us: f64,
    /// Factor by which its steps take longer than normal.
    pub slowdown: f64,
    /// Whether the process of the target does not run.
    pub dead: bool,
    /// Whether the target answers no steps although its process runs.
    pub frozen: bool,
    /// One-way latency of its link, in microseconds.
    pub link_latency_us: f64,
    busy_until: Instant,
    /// Total time spent on steps, in microseconds.
    pub busy_us: f64,
    cached: VecDeque<PrefixHash>,
    /// Load by its own count: total number of layers of its open stages.
    pub load: u32,
    /// Load as last published to the routers.
    pub published_load: u32,
}

impl FakeTarget {
    /// Runs a step and returns the time at which its answer arrives, or `None` if the
    /// target is dead or frozen.
    pub fn step(&mut self, now: Instant, layers: u32, positions: f64) -> Option<Instant> {
        if self.dead || self.frozen {
            return None;
        }
        let batch = if positions > 1.0 {
            positions * PREFILL_COST
        } else {
            1.0
        };
        let work = batch * f64::from(layers) * self.layer_us * self.slowdown;
        self.busy_us += work;
        let arrival = now + micros(self.link_latency_us);
        let start = self.busy_until.max(arrival);
        self.busy_until = start + micros(work);
        Some(self.busy_until + micros(self.link_latency_us))
    }

    /// Returns the number of prompt positions that are not cached, at least 1, and adds
    /// the prompt's blocks to the cache.
    pub fn uncached(&mut self, prefixes: &[PrefixHash], prompt: u32) -> u32 {
        let last_hit = prefixes.iter().rposition(|p| self.cached.contains(p));
        let blocks = prefixes.len().max(1) as u32;
        let cached = last_hit.map_or(0, |i| i as u32 + 1) * prompt / blocks;
        for p in prefixes {
            self.cached.retain(|c| c != p);
            self.cached.push_back(*p);
        }
        while self.cached.len() > MAX_CACHE_BLOCKS {
            self.cached.pop_front();
        }
        (prompt - cached).max(1)
    }
}

/// Returns a duration of the given number of microseconds.
pub fn micros(us: f64) -> Duration {
    Duration::from_nanos((us * 1_000.0) as u64)
}

/// Returns a chat template for the model of the fake targets.
pub fn template(name: &str, priority: deckwind_core::state::Priority) -> Template {
    Template {
        name: name.into(),
        workload: Workload::Chat {
            model: "m".to_string(),
            layers: LAYERS,
        },
        parameters: deckwind_core::state::Parameters {
            priority: Some(priority),
            model_version: Some("1".to_string()),
            adapter: None,
        },
        repeatable: true,
        objective: Default::default(),
        deadline_ms: 20_000,
        serve_stale_ms: 0,
    }
}

/// Returns runner `i` of a fleet. Runners have mixed accelerator kinds and layer ranges
/// (quarters, halves and the middle half, which overlaps both halves), and are spread
/// over the data centres.
pub fn runner(i: u32, slots: u32) -> FakeTarget {
    const RANGES: [(u32, u32); 7] = [
        (0, 8),
        (8, 16),
        (16, 24),
        (24, 32),
        (0, 16),
        (16, 32),
        (8, 24),
    ];
    let (kind, layer_us) = KINDS[(i / 7) as usize % KINDS.len()];
    let (first, last) = RANGES[i as usize % RANGES.len()];
    let data_centre = DATA_CENTRES[(i / 2) as usize % DATA_CENTRES.len()];
    let [_, a, b, c] = i.to_be_bytes();
    let target = Target {
        name: TargetName::from(format!("runner-{i}")),
        address: SocketAddr::from(([127, a, b, c.max(1)], 1_000 + (i % 60_000) as u16)),
        data_centre: data_centre.into(),
        kind: TargetKind::Engine {
            model: "m".to_string(),
            version: "1".to_string(),
            adapters: Vec::new(),
            layers: LayerRange::new(first, last),
            accelerator: kind.to_string(),
        },
        status: TargetStatus::Active,
        checks_fences: true,
        slots,
    };
    FakeTarget {
        target,
        layer_us,
        slowdown: 1.0,
        dead: false,
        frozen: false,
        link_latency_us: INTER_DC_US,
        busy_until: Instant::ZERO,
        busy_us: 0.0,
        cached: VecDeque::new(),
        load: 0,
        published_load: 0,
    }
}

/// Returns the maximum throughput of the targets that are neither dead nor frozen, in
/// tokens per second.
pub fn max_throughput<'a>(targets: impl Iterator<Item = &'a FakeTarget>) -> f64 {
    let serving = targets.filter(|t| !t.dead && !t.frozen);
    let engines: Vec<BoundTarget> = serving
        .filter_map(|t| match t.target.kind {
            TargetKind::Engine { layers, .. } => Some(BoundTarget {
                layers,
                layer_us: t.layer_us * t.slowdown,
            }),
            TargetKind::Service { .. } => None,
        })
        .collect();
    deckwind_core::routing::hardware_bound(&engines, LAYERS)
}

/// Returns the time per layer by accelerator kind, in microseconds, as in a router's
/// configuration.
pub fn layer_costs() -> BTreeMap<String, f64> {
    KINDS.iter().map(|(k, us)| (k.to_string(), *us)).collect()
}
