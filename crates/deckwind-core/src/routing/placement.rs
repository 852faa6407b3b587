//! Which engine holds which layers: one whole chain inside a data centre.
//!
//! Each token crosses every boundary of a chain, so chains stay inside a data
//! centre. Memory that layers leave free holds the requests' caches: a card that
//! is filled with layers can hold few requests, and the scarcest card bounds the
//! whole chain. So the planner first fixes how many tokens every card of the
//! chain must be able to keep, as many as can be, and spreads the layers for
//! equal stage times within that.

use crate::state::{DataCentre, EngineModel, LayerRange};

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Card {
    /// Names it.
    pub id: String,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Memory, MB.
    pub memory_mb: f64,
    /// How many times longer a step takes than on the reference.
    pub step_factor: f64,
    /// Layers that it holds now.
    pub held: LayerRange,
}

/// Tokens that every card of a chain should be able to keep, as parts of what
/// an engine keeps at most; tried in this order. Below the last a chain serves
/// a handful of requests.
const TOKEN_SHARES: [f64; 9] = [1.0, 0.85, 0.7, 0.55, 0.4, 0.3, 0.2, 0.1, 0.05];

/// Tokens that `card` can keep while it holds `layers` layers.
pub fn tokens_beside(model: &EngineModel, memory_mb: f64, layers: u32) -> f64 {
    if layers == 0 {
        return 0.0;
    }
    let free_mb = memory_mb - f64::from(layers) * model.layer_mb;
    let per_token_mb = f64::from(layers) * model.layer_token_bytes() / 1e6;
    (free_mb / per_token_mb).clamp(0.0, model.max_tokens as f64)
}

fn most_layers(model: &EngineModel, card: &Card, tokens: f64) -> u32 {
    let per_layer_mb = model.layer_mb + tokens * model.layer_token_bytes() / 1e6;
    let most = (card.memory_mb / per_layer_mb).floor();
    (most.max(0.0) as u32).min(model.layers)
}

/// Layers for each card of one chain, in the cards' order; nothing if they
/// can't hold the model together.
fn share_out(model: &EngineModel, cards: &[Card]) -> Option<Vec<u32>> {
    for share in TOKEN_SHARES {
        let tokens = model.max_tokens as f64 * share;
        let most: Vec<u32> = cards
            .iter()
            .map(|c| most_layers(model, c, tokens))
            .collect();
        if most.iter().sum::<u32>() >= model.layers {
            return Some(balance(model, cards, &most));
        }
    }
    None
}

/// Gives each layer to the card whose stage stays shortest with it.
fn balance(model: &EngineModel, cards: &[Card], most: &[u32]) -> Vec<u32> {
    let mut counts = vec![0; cards.len()];
    for _ in 0..model.layers {
        let time = |i: &usize| f64::from(counts[*i] + 1) * cards[*i].step_factor;
        let open = (0..cards.len()).filter(|i| counts[*i] < most[*i]);
        if let Some(i) = open.min_by(|a, b| time(a).total_cmp(&time(b))) {
            counts[i] += 1;
        }
    }
    counts
}

/// Whether the cards hold every layer between them.
pub fn is_whole(layers: u32, held: impl IntoIterator<Item = LayerRange>) -> bool {
    let mut held: Vec<LayerRange> = held.into_iter().filter(|r| !r.is_empty()).collect();
    held.sort_by_key(|r| r.first);
    let mut next = 0;
    for range in held {
        if range.first > next {
            return false;
        }
        next = next.max(range.last);
    }
    next >= layers
}

/// Layers for each of `cards`, in their order. Cards that hold layers keep
/// their order in the chain, so that a new plan moves as few as it can. Nothing
/// if the cards can't hold the model together.
pub fn plan_chain(model: &EngineModel, cards: &[Card]) -> Option<Vec<LayerRange>> {
    let mut order: Vec<usize> = (0..cards.len()).collect();
    let place = |c: &Card| (c.held.is_empty(), c.held.first);
    order.sort_by(|a, b| {
        let (a, b) = (&cards[*a], &cards[*b]);
        place(a)
            .cmp(&place(b))
            .then(a.step_factor.total_cmp(&b.step_factor))
            .then(a.id.cmp(&b.id))
    });
    let sorted: Vec<Card> = order.iter().map(|i| cards[*i].clone()).collect();
    let counts = share_out(model, &sorted)?;
    let mut plan = vec![LayerRange::new(0, 0); cards.len()];
    let mut first = 0;
    for (i, count) in order.into_iter().zip(counts) {
        plan[i] = LayerRange::new(first, first + count);
        first += count;
    }
    Some(plan)
}

/// The cards that should hold a chain together: those of each data centre that
/// can hold one alone, and all cards where none can.
pub fn chain_groups(model: &EngineModel, cards: &[Card]) -> Vec<Vec<Card>> {
    let mut centres: Vec<&DataCentre> = cards.iter().map(|c| &c.data_centre).collect();
    centres.sort();
    centres.dedup();
    let of = |dc: &DataCentre| {
        let there = cards.iter().filter(|c| c.data_centre == *dc);
        there.cloned().collect::<Vec<Card>>()
    };
    let groups: Vec<Vec<Card>> = centres.into_iter().map(of).collect();
    let alone: Vec<Vec<Card>> = groups
        .into_iter()
        .filter(|g| share_out(model, g).is_some())
        .collect();
    if alone.is_empty() && !cards.is_empty() {
        return vec![cards.to_vec()];
    }
    alone
}
