//! The steps from what engines hold to what a plan has them hold.

use super::placement_desk::GiveUp;
use crate::routing::placement::{Card, common, together, tokens_beside};
use crate::state::{EngineModel, LayerRange};

/// Part of the tokens that an engine keeps at most, below which it gives up what
/// is held twice.
const SCARCE: f64 = 0.75;

/// Layers that take an engine's memory until it has gone from one range to
/// another.
pub(super) fn in_memory(held: LayerRange, want: LayerRange, give_up: GiveUp) -> u32 {
    let both = held.len() + want.len() - common(held, want).len();
    match give_up {
        GiveUp::AtOnce => want.len(),
        GiveUp::WhenUnused => both,
    }
}

/// Whether an engine keeps too few tokens beside its layers.
pub(super) fn is_scarce(model: &EngineModel, card: &Card) -> bool {
    let beside = tokens_beside(model, card.memory_mb, card.held.len());
    !card.held.is_empty() && beside < SCARCE * model.max_tokens as f64
}

/// What makes a whole chain with scarce memory keep more requests: more layers on cards that have room, or, once nothing is to be loaded, less on
/// those that have little.
pub(super) fn improvement(
    model: &EngineModel,
    plan: Vec<(Card, LayerRange)>,
) -> Vec<(Card, LayerRange)> {
    let loads = |(card, want): &(Card, LayerRange)| common(card.held, *want) != *want;
    if !plan.iter().any(loads) {
        return plan
            .into_iter()
            .filter(|(c, _)| is_scarce(model, c))
            .collect();
    }
    let first = |(card, want): (Card, LayerRange)| {
        let step = match card.held.is_empty() {
            true => want,
            false => together(model, &card, want)?,
        };
        Some((card, step))
    };
    plan.into_iter().filter_map(first).collect()
}

/// Each card with what it holds beside what it is to hold, where there is room.
pub(super) fn with_what_is_held(
    model: &EngineModel,
    plan: Vec<(Card, LayerRange)>,
) -> Vec<(Card, LayerRange)> {
    let step = |(card, want): (Card, LayerRange)| {
        let step = together(model, &card, want).unwrap_or(want);
        (card, step)
    };
    plan.into_iter().map(step).collect()
}

/// Those cards that can hold what they are to hold beside what they hold. Only
/// where there is none and `may_shift`, the others too: they give layers up once
/// nobody uses them.
pub(super) fn additions(
    model: &EngineModel,
    plan: Vec<(Card, LayerRange)>,
    may_shift: bool,
) -> Vec<(Card, LayerRange)> {
    let adds = |(card, want): &(Card, LayerRange)| {
        let step = match card.held.is_empty() {
            true => *want,
            false => together(model, card, *want)?,
        };
        (step != card.held).then(|| (card.clone(), step))
    };
    let added: Vec<(Card, LayerRange)> = plan.iter().filter_map(adds).collect();
    match added.is_empty() && may_shift {
        true => with_what_is_held(model, plan),
        false => added,
    }
}
