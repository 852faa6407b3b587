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
pub(super) const TOKEN_SHARES: [f64; 13] = [
    1.0, 0.95, 0.9, 0.85, 0.8, 0.75, 0.7, 0.6, 0.5, 0.4, 0.2, 0.1, 0.05,
];

/// How many of them are good enough for a chain beside a whole one: half of what
/// an engine keeps at most. With less its engines are of more use to the others.
const WELL_SHARES: usize = 9;

/// Tokens that `card` can keep while it holds `layers` layers.
pub fn tokens_beside(model: &EngineModel, memory_mb: f64, layers: u32) -> f64 {
    if layers == 0 {
        return 0.0;
    }
    let free_mb = memory_mb - f64::from(layers) * model.layer_mb;
    let per_token_mb = f64::from(layers) * model.layer_token_bytes() / 1e6;
    (free_mb / per_token_mb).clamp(0.0, model.max_tokens as f64)
}

pub(super) fn most_layers(model: &EngineModel, card: &Card, tokens: f64) -> u32 {
    let per_layer_mb = model.layer_mb + tokens * model.layer_token_bytes() / 1e6;
    let most = (card.memory_mb / per_layer_mb).floor();
    (most.max(0.0) as u32).min(model.layers)
}

/// Layers for each card of one chain, in the cards' order; nothing if they
/// can't hold the model together.
pub(super) fn share_out(model: &EngineModel, cards: &[Card]) -> Option<Vec<u32>> {
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

/// How much a card that is nearly full of layers counts as slower: the layers of
/// a lost neighbour need room.
const FULL_WEIGHT: f64 = 4.0;

/// Gives each layer to the card whose stage stays shortest with it, and keeps
/// room on all of them.
fn balance(model: &EngineModel, cards: &[Card], most: &[u32]) -> Vec<u32> {
    let mut counts = vec![0; cards.len()];
    for _ in 0..model.layers {
        let time = |i: &usize| {
            let count = f64::from(counts[*i] + 1);
            let full = count / f64::from(most[*i].max(1));
            count * cards[*i].step_factor * (1.0 + FULL_WEIGHT * full.powi(3))
        };
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

/// How a chain is mended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mend {
    /// Soon: nobody else serves its requests, so few layers are loaded.
    Soon,
    /// So that its scarcest card keeps as many tokens as it can: other chains of
    /// the data centre serve meanwhile.
    Well,
}

impl Mend {
    /// Tokens that every card must at least keep, as parts of what an engine
    /// keeps at most; tried in this order.
    fn shares(self) -> &'static [f64] {
        match self {
            Mend::Soon => &REPAIR_SHARES,
            Mend::Well => &TOKEN_SHARES[..WELL_SHARES],
        }
    }
}

/// Layers for each of `cards`, in their order; nothing if the cards can't hold
/// the model together. Where some of them hold layers already, as little as can
/// be is loaded.
pub fn plan_chain(model: &EngineModel, cards: &[Card], mend: Mend) -> Option<Vec<LayerRange>> {
    let order = chain_order(cards);
    let sorted: Vec<Card> = order.iter().map(|i| cards[*i].clone()).collect();
    let empty = sorted.iter().all(|c| c.held.is_empty());
    let ranges = match empty {
        true => in_a_row(&share_out(model, &sorted)?),
        false => repair(model, &sorted, mend)?,
    };
    let mut plan = vec![LayerRange::default(); cards.len()];
    for (i, range) in order.into_iter().zip(ranges) {
        plan[i] = range;
    }
    Some(plan)
}

fn in_a_row(counts: &[u32]) -> Vec<LayerRange> {
    let mut first = 0;
    let range = |count: &u32| {
        let range = LayerRange::new(first, first + count);
        first += count;
        range
    };
    counts.iter().map(range).collect()
}

/// Cards in the order of their chain: those that hold layers by these, and the
/// empty ones where the first layer is missing. In a new chain the kinds are
/// mixed evenly, so that a card with little memory has neighbours with more.
fn chain_order(cards: &[Card]) -> Vec<usize> {
    if cards.iter().all(|c| c.held.is_empty()) {
        return mixed_order(cards);
    }
    let gap = first_gap(cards);
    let place = |c: &Card| match c.held.is_empty() {
        true => (gap, 0),
        false => (c.held.first, 1),
    };
    let mut order: Vec<usize> = (0..cards.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&cards[*a], &cards[*b]);
        place(a)
            .cmp(&place(b))
            .then(a.step_factor.total_cmp(&b.step_factor))
            .then(a.id.cmp(&b.id))
    });
    order
}

fn mixed_order(cards: &[Card]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..cards.len()).collect();
    order.sort_by(|a, b| cards[*a].id.cmp(&cards[*b].id));
    let kind = |c: &Card| (c.memory_mb.to_bits(), c.step_factor.to_bits());
    let place = |i: usize| {
        let same = order
            .iter()
            .filter(|o| kind(&cards[**o]) == kind(&cards[i]));
        let same: Vec<usize> = same.copied().collect();
        let before = same.iter().position(|o| *o == i).unwrap_or_default();
        (before as f64 + 0.5) / same.len() as f64
    };
    let mut placed: Vec<(f64, usize)> = order.iter().map(|i| (place(*i), *i)).collect();
    placed.sort_by(|a, b| {
        let factor = |i: usize| cards[i].step_factor;
        a.0.total_cmp(&b.0)
            .then(factor(a.1).total_cmp(&factor(b.1)))
    });
    placed.into_iter().map(|(_, i)| i).collect()
}

/// The first layer that no card holds.
fn first_gap(cards: &[Card]) -> u32 {
    let mut held: Vec<LayerRange> = cards.iter().map(|c| c.held).collect();
    held.sort_by_key(|r| r.first);
    let mut next = 0;
    for range in held.iter().filter(|r| !r.is_empty()) {
        if range.first > next {
            return next;
        }
        next = next.max(range.last);
    }
    next
}

/// Weight of a stage's time against layers to load, both squared: two loaded
/// layers more are as bad as a stage that is half as long again as a usual one
/// (six layers on an accelerator sixteen times slower than the reference).
const STAGE_WEIGHT: f64 = 0.000_5;

/// Cost of having to give layers up before others are loaded: as of twenty
/// layers to load, since it waits for answers or breaks them off.
const GIVE_UP_COST: f64 = 400.0;

/// Cost of a card that is left without any memory for requests: the whole chain is
/// of little use then, so it is above that of giving layers up, as of some
/// forty layers to load.
const SCARCE_COST: f64 = 1_500.0;

/// Part of the tokens that an engine keeps at most, with which it holds up no
/// chain.
const ENOUGH: f64 = 0.8;

/// The same below which a card does not hold old and new layers together.
const LEAST_BESIDE: f64 = 0.3;

/// Tokens that every card must at least keep in a chain that is mended soon.
/// Above them scarce memory is weighed against layers to load.
const REPAIR_SHARES: [f64; 3] = [0.3, 0.1, 0.02];

/// Weight of each layer to load beside the square of a card's: all loads read
/// from one store, which is slower the more there are.
const SHARED_STORE: f64 = 3.0;

/// New ranges for cards in the order of their chain, with few layers to load on
/// any of them: loads run side by side, so the largest decides how long the
/// chain is broken.
fn repair(model: &EngineModel, cards: &[Card], mend: Mend) -> Option<Vec<LayerRange>> {
    let with = |share: &f64| {
        let tokens = model.max_tokens as f64 * share;
        let most = cards.iter().map(|c| most_layers(model, c, tokens));
        cheapest_repair(model, cards, &most.collect::<Vec<u32>>())
    };
    mend.shares().iter().find_map(with)
}

fn cheapest_repair(model: &EngineModel, cards: &[Card], most: &[u32]) -> Option<Vec<LayerRange>> {
    let layers = model.layers as usize;
    // cost[i][to]: the first i cards hold the layers below `to`.
    let mut cost = vec![vec![f64::INFINITY; layers + 1]; cards.len() + 1];
    let mut from = vec![vec![0; layers + 1]; cards.len() + 1];
    cost[0][0] = 0.0;
    for (i, card) in cards.iter().enumerate() {
        for to in 0..=layers {
            let least = to.saturating_sub(most[i] as usize);
            for first in least..=to {
                let range = LayerRange::new(first as u32, to as u32);
                let total = cost[i][first] + card_cost(model, card, range);
                if total < cost[i + 1][to] {
                    cost[i + 1][to] = total;
                    from[i + 1][to] = first;
                }
            }
        }
    }
    cost[cards.len()][layers].is_finite().then_some(())?;
    let mut to = layers;
    let mut ranges = Vec::new();
    for i in (1..=cards.len()).rev() {
        let first = from[i][to];
        ranges.push(LayerRange::new(first as u32, to as u32));
        to = first;
    }
    ranges.reverse();
    Some(ranges)
}

fn card_cost(model: &EngineModel, card: &Card, range: LayerRange) -> f64 {
    if range.is_empty() {
        return 0.0;
    }
    let loaded = f64::from(range.len() - common(card.held, range).len());
    let time = f64::from(range.len()) * card.step_factor;
    loaded * (loaded + SHARED_STORE) + STAGE_WEIGHT * time * time + step_cost(model, card, range)
}

/// What it costs that a card keeps few tokens, while it holds old and new layers
/// together or for good, or that it has to give up before it can load.
fn step_cost(model: &EngineModel, card: &Card, range: LayerRange) -> f64 {
    let both = together(model, card, range);
    let gives_up = common(card.held, range) != card.held;
    let waits = match both.is_none() && gives_up {
        true => GIVE_UP_COST,
        false => 0.0,
    };
    let held = both.unwrap_or(range);
    let beside = tokens_beside(model, card.memory_mb, held.len());
    let part = f64::from(held.len()) / f64::from(range.len());
    let missing = 1.0 - (beside * part / (ENOUGH * model.max_tokens as f64)).min(1.0);
    waits + SCARCE_COST * missing * missing
}

/// Layers in both ranges; empty if there is none.
pub fn common(a: LayerRange, b: LayerRange) -> LayerRange {
    let range = LayerRange::new(a.first.max(b.first), a.last.min(b.last));
    match range.is_empty() {
        true => LayerRange::default(),
        false => range,
    }
}

/// What a card has and what it is to have as one range, where they adjoin and
/// its memory allows.
pub fn together(model: &EngineModel, card: &Card, want: LayerRange) -> Option<LayerRange> {
    let held = card.held;
    let adjoin = want.first <= held.last && held.first <= want.last;
    if want.is_empty() || held.is_empty() || !adjoin {
        return None;
    }
    let both = LayerRange::new(held.first.min(want.first), held.last.max(want.last));
    let beside = tokens_beside(model, card.memory_mb, both.len());
    (beside >= LEAST_BESIDE * model.max_tokens as f64).then_some(both)
}
