//! Engines with the memory and speed of current deployments, for tests of
//! placement and paths.

use deckwind_core::routing::placement::{EngineCard, RepairMode, plan_chain};
use deckwind_core::state::{EngineModel, Instance, InstanceChange, InstanceState, LayerRange};
use deckwind_testkit::placement_simulation::model_over;
use std::net::SocketAddr;

/// Accelerator kinds: name, memory in MB, and step and read time as a multiple of
/// the reference.
const KINDS: [(&str, f64, f64); 3] = [
    ("fast", 36_000.0, 3.1),
    ("middle", 21_600.0, 16.0),
    ("small", 14_400.0, 15.0),
];

/// Returns a model of 80 layers that runs on three accelerator kinds.
pub fn model() -> EngineModel {
    model_over(&KINDS)
}

/// Returns engines of one data centre without layers, as many of each kind as
/// given.
pub fn engine_cards(
    data_centre: &str,
    fast: usize,
    middle: usize,
    small: usize,
) -> Vec<EngineCard> {
    let of_kind = |kind: usize, count| (0..count).map(move |i| (kind, i));
    let all = of_kind(0, fast)
        .chain(of_kind(1, middle))
        .chain(of_kind(2, small));
    all.map(|(kind, i)| EngineCard {
        id: format!("{data_centre}-{}-{i}", KINDS[kind].0),
        data_centre: data_centre.into(),
        memory_mb: KINDS[kind].1,
        step_factor: KINDS[kind].2,
        held: LayerRange::default(),
    })
    .collect()
}

/// Gives the engines the layers of one chain.
pub fn place_chain(cards: &mut [EngineCard]) {
    let plan = plan_chain(&model(), cards, RepairMode::Fast).expect("the engines can hold a chain");
    for (card, range) in cards.iter_mut().zip(plan) {
        card.held = range;
    }
}

/// Returns the announced instance of an engine at a port.
fn instance(card: &EngineCard, port: u16) -> Instance {
    Instance {
        id: card.id.clone(),
        pool: "engines".to_string(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: card.data_centre.clone(),
        slots: 192,
        state: InstanceState::Ready,
        accelerator: Some(
            card.id
                .split('-')
                .nth(1)
                .expect("the id names an accelerator kind")
                .to_string(),
        ),
        layers: card.held,
        in_memory: card.held.len(),
        announced: 1,
        born: None,
    }
}

/// Returns the announced instances of engines, each at its own port.
pub fn announced_instances(cards: &[EngineCard]) -> Vec<Instance> {
    let numbered = cards.iter().zip(1..);
    numbered.map(|(c, port)| instance(c, port)).collect()
}

/// Returns the announcement of an instance whose reported layers replace those
/// recorded for it.
pub fn announced_change(instance: Instance) -> InstanceChange {
    InstanceChange::Announced {
        instance,
        keep_layers: false,
        over: Vec::new(),
    }
}
