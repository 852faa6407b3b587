//! Which engine holds which layers: one whole chain inside a data centre.
//!
//! Each token crosses every boundary of a chain, so chains stay inside a data
//! centre. Memory that layers leave free holds the requests' caches: a card that
//! is filled with layers can hold few requests, and the scarcest card bounds the
//! whole chain. How a new chain is laid out is told in `layout`; here a chain is
//! planned or mended.

use super::layout::{lay_out, most_layers};
use crate::state::{DataCentre, EngineModel, LayerRange};
use std::cmp::Ordering;

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

/// Tokens that `card` can keep while it holds `layers` layers.
pub fn tokens_beside(model: &EngineModel, memory_mb: f64, layers: u32) -> f64 {
    if layers == 0 {
        return 0.0;
    }
    let free_mb = memory_mb - f64::from(layers) * model.layer_mb;
    let per_token_mb = f64::from(layers) * model.layer_token_bytes() / 1e6;
    (free_mb / per_token_mb).clamp(0.0, model.max_tokens as f64)
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
            Mend::Well => &WELL_SHARES,
        }
    }
}

/// Layers for each of `cards`, in their order; nothing if the cards can't hold
/// the model together. Where some of them hold layers already, as little as can
/// be is loaded.
pub fn plan_chain(model: &EngineModel, cards: &[Card], mend: Mend) -> Option<Vec<LayerRange>> {
    let order = chain_order(model, cards);
    let sorted: Vec<Card> = order.iter().map(|i| cards[*i].clone()).collect();
    let empty = sorted.iter().all(|c| c.held.is_empty());
    let ranges = match empty {
        true => in_a_row(&lay_out(model, &sorted)?),
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
/// empty ones where layers are missing. In a new chain the kinds are mixed
/// evenly, so that a card with little memory has neighbours with more.
fn chain_order(model: &EngineModel, cards: &[Card]) -> Vec<usize> {
    if cards.iter().all(|c| c.held.is_empty()) {
        return mixed_order(cards);
    }
    let places = empty_places(model, cards);
    let place = |i: usize| match cards[i].held.is_empty() {
        true => (places[i], 0),
        false => (cards[i].held.first, 1),
    };
    let mut order: Vec<usize> = (0..cards.len()).collect();
    order.sort_by(|a, b| place(*a).cmp(&place(*b)).then(by_speed(cards, *a, *b)));
    order
}

fn by_speed(cards: &[Card], a: usize, b: usize) -> Ordering {
    let (a, b) = (&cards[a], &cards[b]);
    let factors = a.step_factor.total_cmp(&b.step_factor);
    factors.then(a.id.cmp(&b.id))
}

/// The layer before which each empty card stands: the fastest go where most
/// layers are missing.
fn empty_places(model: &EngineModel, cards: &[Card]) -> Vec<u32> {
    let mut places = vec![0; cards.len()];
    let mut missing = gaps(model.layers, cards);
    let mut empty: Vec<usize> = (0..cards.len())
        .filter(|i| cards[*i].held.is_empty())
        .collect();
    empty.sort_by(|a, b| by_speed(cards, *a, *b));
    for i in empty {
        let Some((gap, left)) = missing
            .iter_mut()
            .max_by_key(|(gap, left)| (*left, gap.last))
        else {
            break;
        };
        places[i] = gap.first;
        let filled = most_layers(model, &cards[i], model.max_tokens as f64);
        *left -= i64::from(filled);
    }
    places
}

/// Layers that no card holds, as ranges, each with its length.
fn gaps(layers: u32, cards: &[Card]) -> Vec<(LayerRange, i64)> {
    let mut held: Vec<LayerRange> = cards.iter().map(|c| c.held).collect();
    held.retain(|r| !r.is_empty());
    held.push(LayerRange::new(layers, layers));
    held.sort_by_key(|r| r.first);
    let mut next = 0;
    let mut gaps = Vec::new();
    for range in held {
        if range.first > next {
            let gap = LayerRange::new(next, range.first);
            gaps.push((gap, i64::from(gap.len())));
        }
        next = next.max(range.last);
    }
    gaps
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

/// The same for a chain that is mended well: with less than half its engines are
/// of more use to the others. Finer steps at the top move many layers for few
/// tokens more.
const WELL_SHARES: [f64; 3] = [0.75, 0.6, 0.5];

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
