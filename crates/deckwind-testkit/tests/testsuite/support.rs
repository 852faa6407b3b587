//! Engines of the sizes of today's deployments, for tests of placement and paths.

use deckwind_core::routing::placement::{Card, Mend, plan_chain};
use deckwind_core::state::{EngineModel, Instance, InstanceChange, InstanceState, LayerRange};
use deckwind_testkit::placing::model_over;
use std::net::SocketAddr;

const KINDS: [(&str, f64, f64); 3] = [
    ("fast", 36_000.0, 3.1),
    ("middle", 21_600.0, 16.0),
    ("small", 14_400.0, 15.0),
];

/// A model of 80 layers over accelerators of three kinds.
pub fn model() -> EngineModel {
    model_over(&KINDS)
}

/// Engines of one data centre that hold nothing: so many of each kind.
pub fn cards(data_centre: &str, fast: usize, middle: usize, small: usize) -> Vec<Card> {
    let of = |kind: usize, count| (0..count).map(move |i| (kind, i));
    let all = of(0, fast).chain(of(1, middle)).chain(of(2, small));
    all.map(|(kind, i)| Card {
        id: format!("{data_centre}-{}-{i}", KINDS[kind].0),
        data_centre: data_centre.into(),
        memory_mb: KINDS[kind].1,
        step_factor: KINDS[kind].2,
        held: LayerRange::default(),
    })
    .collect()
}

/// Has them hold one chain.
pub fn place(cards: &mut [Card]) {
    let plan = plan_chain(&model(), cards, Mend::Soon).expect("they can hold it");
    for (card, range) in cards.iter_mut().zip(plan) {
        card.held = range;
    }
}

/// An engine as announced.
fn instance(card: &Card, port: u16) -> Instance {
    Instance {
        id: card.id.clone(),
        pool: "engines".to_string(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: card.data_centre.clone(),
        slots: 192,
        state: InstanceState::Ready,
        accelerator: Some(card.id.split('-').nth(1).expect("a kind").to_string()),
        layers: card.held,
        in_memory: card.held.len(),
        announced: 1,
        born: None,
    }
}

/// Engines as announced, each at a port of its own.
pub fn instances(cards: &[Card]) -> Vec<Instance> {
    let numbered = cards.iter().zip(1..);
    numbered.map(|(c, port)| instance(c, port)).collect()
}

/// A target announces itself, and its layers are those that it tells.
pub fn announced(instance: Instance) -> InstanceChange {
    InstanceChange::Announced {
        instance,
        keep_layers: false,
        over: Vec::new(),
    }
}
