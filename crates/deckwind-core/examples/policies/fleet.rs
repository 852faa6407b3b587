//! Fake targets: a queue each, a rate by accelerator kind, a prefix cache.

use deckwind_core::routing::{BoundTarget, PREFILL_COST, PrefixHash};
use deckwind_core::state::{
    LayerRange, Target, TargetKind, TargetName, TargetStatus, Template, Workload,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Layers of the model.
pub const LAYERS: u32 = 32;

/// Microseconds a layer, by accelerator kind.
pub const KINDS: [(&str, f64); 4] = [("k1", 25.0), ("k2", 50.0), ("k3", 100.0), ("k4", 200.0)];

/// Data centres, with the one-way time from the first, microseconds.
pub const DATA_CENTRES: [&str; 3] = ["recife-a", "recife-b", "fortaleza"];

/// One way between two data centres.
pub const BETWEEN_US: f64 = 250.0;

/// One way inside a data centre.
pub const WITHIN_US: f64 = 50.0;

/// Prefix blocks that a target's cache keeps.
const CACHE_BLOCKS: usize = 512;

/// A fake target.
pub struct FakeTarget {
    pub target: Target,
    pub layer_us: f64,
    /// Its steps take this many times longer.
    pub slow: f64,
    pub dead: bool,
    pub frozen: bool,
    /// Added to its link, one way, microseconds.
    pub link_us: f64,
    busy_until: Instant,
    /// Time that it has worked, microseconds.
    pub busy_us: f64,
    cached: VecDeque<PrefixHash>,
    /// Load by its own count: layers of open stages.
    pub load: u32,
    /// Its load as last published.
    pub published: u32,
}

impl FakeTarget {
    /// When the answer to a step is back; nothing if it never comes.
    pub fn step(&mut self, now: Instant, layers: u32, positions: f64) -> Option<Instant> {
        if self.dead || self.frozen {
            return None;
        }
        let batch = if positions > 1.0 {
            positions * PREFILL_COST
        } else {
            1.0
        };
        let work = batch * f64::from(layers) * self.layer_us * self.slow;
        self.busy_us += work;
        let there = now + micros(self.link_us);
        let start = self.busy_until.max(there);
        self.busy_until = start + micros(work);
        Some(self.busy_until + micros(self.link_us))
    }

    /// Prompt positions that the cache does not hold; it holds them from now on.
    pub fn uncached(&mut self, prefixes: &[PrefixHash], prompt: u32) -> u32 {
        let hit = prefixes.iter().rposition(|p| self.cached.contains(p));
        let blocks = prefixes.len().max(1) as u32;
        let cached = hit.map_or(0, |i| i as u32 + 1) * prompt / blocks;
        for p in prefixes {
            self.cached.retain(|c| c != p);
            self.cached.push_back(*p);
        }
        while self.cached.len() > CACHE_BLOCKS {
            self.cached.pop_front();
        }
        (prompt - cached).max(1)
    }
}

pub fn micros(us: f64) -> Duration {
    Duration::from_nanos((us * 1_000.0) as u64)
}

/// The chat template of all loads.
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

/// Runner `i` of a fleet: mixed kinds, mixed ranges (halves, quarters and some
/// that straddle), spread over the data centres.
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
        slow: 1.0,
        dead: false,
        frozen: false,
        link_us: BETWEEN_US,
        busy_until: Instant::ZERO,
        busy_us: 0.0,
        cached: VecDeque::new(),
        load: 0,
        published: 0,
    }
}

/// Most tokens a second that the living targets can make.
pub fn bound<'a>(targets: impl Iterator<Item = &'a FakeTarget>) -> f64 {
    let living = targets.filter(|t| !t.dead && !t.frozen);
    let bound: Vec<BoundTarget> = living
        .filter_map(|t| match t.target.kind {
            TargetKind::Engine { layers, .. } => Some(BoundTarget {
                layers,
                layer_us: t.layer_us * t.slow,
            }),
            TargetKind::Service { .. } => None,
        })
        .collect();
    deckwind_core::routing::hardware_bound(&bound, LAYERS)
}

/// Costs by accelerator kind, as a router's settings have them.
pub fn costs() -> BTreeMap<String, f64> {
    KINDS.iter().map(|(k, us)| (k.to_string(), *us)).collect()
}
