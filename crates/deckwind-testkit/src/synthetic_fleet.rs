//! Releases and engines of synthetic fleets, for runs in virtual time.

use crate::placement_simulation::model_over;
use deckwind_core::state::{
    Instance, InstanceState, LayerRange, Pool, Release, Route, RouteKind, Split,
};

/// The pool of all routes and engines.
pub(crate) const POOL: &str = "p";

/// A release with this number of routes, one of which differs between versions.
pub fn release(version: u64, routes: u64) -> Release {
    let route = |i: u64| Route {
        name: format!("route-{i}"),
        host: format!("host-{}.example", i % 40),
        path_prefix: format!("/path-{:x}", i * 0x9e37_79b9),
        kind: RouteKind::Repeatable,
        split: vec![Split {
            pool: POOL.to_string(),
            weight: 1.0,
        }],
        timeout_ms: 1_000 + if i == 0 { version } else { 0 },
        objective_ms: 100,
        pause_ms: None,
        priority: 1,
        attempts: 2,
        open: true,
    };
    Release {
        version,
        routes: (0..routes).map(route).collect(),
        pools: vec![Pool {
            name: POOL.to_string(),
            max_connections: 10,
            engine: None,
        }],
        ..Release::default()
    }
}

/// An engine with its first `layers` layers; `announced` is the number of its
/// announcement.
pub fn engine(number: u16, layers: u32, announced: u64) -> Instance {
    Instance {
        id: format!("engine-{number}"),
        pool: POOL.to_string(),
        address: ([127, 0, 1, 1], number + 1).into(),
        data_centre: "a".into(),
        slots: 192,
        state: InstanceState::Ready,
        accelerator: Some("fast".to_string()),
        layers: LayerRange::new(0, layers),
        in_memory: layers,
        announced,
        born: None,
    }
}

/// Kinds of accelerators: name, memory in MB, step time relative to the reference, and
/// percentage of engines that have it.
const KINDS: [(&str, f64, f64, usize); 3] = [
    ("large", 72_000.0, 2.4, 10),
    ("small", 14_400.0, 5.3, 52),
    ("slow", 21_600.0, 16.0, 38),
];

/// Data centres of the fleet.
pub(crate) const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// A release with one pool of engines of three kinds, for a model of 80 layers.
pub fn engine_release(version: u64, routes: u64) -> Release {
    let kinds = KINDS.map(|(name, memory_mb, step_factor, _)| (name, memory_mb, step_factor));
    let mut release = release(version, routes);
    release.pools[0].engine = Some(model_over(&kinds));
    release
}

/// Engines of three kinds without layers, spread over three data centres.
pub fn engine_fleet(count: usize) -> Vec<Instance> {
    let engine_at = |i: usize| {
        let mut instance = engine(i as u16, 0, 1);
        let hundredth = i / DATA_CENTRES.len() % 100;
        let mut upto = 0;
        let kind = KINDS.iter().find(|k| {
            upto += k.3;
            hundredth < upto
        });
        instance.id = format!("engine-{:08x}", (i as u32).wrapping_mul(0x9e37_79b9));
        instance.accelerator = kind.map(|k| k.0.to_string());
        instance.data_centre = DATA_CENTRES[i % DATA_CENTRES.len()].into();
        instance
    };
    (0..count).map(engine_at).collect()
}
