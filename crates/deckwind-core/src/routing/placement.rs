//! Placement of layers on engines: each chain is whole inside one data centre.
//!
//! Each token crosses every stage boundary of a chain, so chains stay inside a data
//! centre. Memory that the layers leave free holds the caches of requests. A card
//! filled with layers has capacity for few requests, and the card with the least free
//! memory limits the whole chain. This module plans and repairs chains; the `layout`
//! module distributes the layers of a new chain.

use super::layout::{layer_capacity, plan_layout};
use crate::state::{DataCentre, EngineModel, LayerRange};
use std::cmp::Ordering;

/// An engine's accelerator card, as input to the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCard {
    /// ID of the engine.
    pub id: String,
    /// Data centre of the engine.
    pub data_centre: DataCentre,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Step time relative to the reference accelerator.
    pub step_factor: f64,
    /// Layers that the engine currently holds.
    pub held: LayerRange,
}

/// Returns the tokens that a card with `memory_mb` of memory can keep beside `layers`
/// layers.
pub fn token_capacity(model: &EngineModel, memory_mb: f64, layers: u32) -> f64 {
    if layers == 0 {
        return 0.0;
    }
    let free_mb = memory_mb - f64::from(layers) * model.layer_mb;
    let per_token_mb = f64::from(layers) * model.layer_token_bytes() / 1e6;
    (free_mb / per_token_mb).clamp(0.0, model.max_tokens as f64)
}

/// Returns whether the ranges together cover layers `0..layers`.
pub fn covers_model(layers: u32, held: impl IntoIterator<Item = LayerRange>) -> bool {
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

/// Way in which a chain is repaired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepairMode {
    /// As fast as possible, with few layers to load: no other chain serves its
    /// requests.
    Fast,
    /// With as much token capacity as possible on its scarcest card: other chains of
    /// the data centre serve the requests meanwhile.
    ForCapacity,
}

impl RepairMode {
    /// Returns the minimum token capacities of every card to try, in this order, as
    /// shares of an engine's maximum.
    fn token_shares(self) -> &'static [f64] {
        match self {
            RepairMode::Fast => &FAST_REPAIR_SHARES,
            RepairMode::ForCapacity => &CAPACITY_REPAIR_SHARES,
        }
    }
}

/// Returns the layers for each of `cards`, in the same order, or `None` if the cards
/// can't hold the model together. If some cards already hold layers, the plan loads as
/// few as possible.
pub fn plan_chain(
    model: &EngineModel,
    cards: &[EngineCard],
    mode: RepairMode,
) -> Option<Vec<LayerRange>> {
    let order = chain_order(model, cards);
    let sorted: Vec<EngineCard> = order.iter().map(|i| cards[*i].clone()).collect();
    let empty = sorted.iter().all(|c| c.held.is_empty());
    let ranges = match empty {
        true => consecutive_ranges(&plan_layout(model, &sorted)?),
        false => repair(model, &sorted, mode)?,
    };
    let mut plan = vec![LayerRange::default(); cards.len()];
    for (i, range) in order.into_iter().zip(ranges) {
        plan[i] = range;
    }
    Some(plan)
}

fn consecutive_ranges(counts: &[u32]) -> Vec<LayerRange> {
    let mut first = 0;
    let range = |count: &u32| {
        let range = LayerRange::new(first, first + count);
        first += count;
        range
    };
    counts.iter().map(range).collect()
}

/// Returns the order of the cards in their chain. Cards that hold layers are sorted by
/// them, and empty cards go where layers are missing. In a new chain the kinds are
/// interleaved evenly, so that a card with little memory has neighbours with more.
fn chain_order(model: &EngineModel, cards: &[EngineCard]) -> Vec<usize> {
    if cards.iter().all(|c| c.held.is_empty()) {
        return interleaved_order(cards);
    }
    let points = insertion_points(model, cards);
    let key = |i: usize| match cards[i].held.is_empty() {
        true => (points[i], 0),
        false => (cards[i].held.first, 1),
    };
    let mut order: Vec<usize> = (0..cards.len()).collect();
    order.sort_by(|a, b| key(*a).cmp(&key(*b)).then(by_speed(cards, *a, *b)));
    order
}

fn by_speed(cards: &[EngineCard], a: usize, b: usize) -> Ordering {
    let (a, b) = (&cards[a], &cards[b]);
    let factors = a.step_factor.total_cmp(&b.step_factor);
    factors.then(a.id.cmp(&b.id))
}

/// Returns for each empty card the layer before which it is inserted. The fastest cards
/// go where most layers are missing.
fn insertion_points(model: &EngineModel, cards: &[EngineCard]) -> Vec<u32> {
    let mut points = vec![0; cards.len()];
    let mut missing = uncovered_ranges(model.layers, cards);
    let mut empty: Vec<usize> = (0..cards.len())
        .filter(|i| cards[*i].held.is_empty())
        .collect();
    empty.sort_by(|a, b| by_speed(cards, *a, *b));
    for i in empty {
        let Some((gap, remaining)) = missing
            .iter_mut()
            .max_by_key(|(gap, remaining)| (*remaining, gap.last))
        else {
            break;
        };
        points[i] = gap.first;
        let filled = layer_capacity(model, &cards[i], model.max_tokens as f64);
        *remaining -= i64::from(filled);
    }
    points
}

/// Returns the ranges of layers that no card holds, each with its length.
fn uncovered_ranges(layers: u32, cards: &[EngineCard]) -> Vec<(LayerRange, i64)> {
    let mut held: Vec<LayerRange> = cards.iter().map(|c| c.held).collect();
    held.retain(|r| !r.is_empty());
    held.push(LayerRange::new(layers, layers));
    held.sort_by_key(|r| r.first);
    let mut next = 0;
    let mut ranges = Vec::new();
    for range in held {
        if range.first > next {
            let gap = LayerRange::new(next, range.first);
            ranges.push((gap, i64::from(gap.len())));
        }
        next = next.max(range.last);
    }
    ranges
}

fn interleaved_order(cards: &[EngineCard]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..cards.len()).collect();
    order.sort_by(|a, b| cards[*a].id.cmp(&cards[*b].id));
    let kind = |c: &EngineCard| (c.memory_mb.to_bits(), c.step_factor.to_bits());
    let relative_position = |i: usize| {
        let same = order
            .iter()
            .filter(|o| kind(&cards[**o]) == kind(&cards[i]));
        let same: Vec<usize> = same.copied().collect();
        let before = same.iter().position(|o| *o == i).unwrap_or_default();
        (before as f64 + 0.5) / same.len() as f64
    };
    let mut positions: Vec<(f64, usize)> =
        order.iter().map(|i| (relative_position(*i), *i)).collect();
    positions.sort_by(|a, b| {
        let factor = |i: usize| cards[i].step_factor;
        a.0.total_cmp(&b.0)
            .then(factor(a.1).total_cmp(&factor(b.1)))
    });
    positions.into_iter().map(|(_, i)| i).collect()
}

/// Weight of a stage's time relative to layers to load, both squared. Two more layers
/// to load cost as much as a stage that is half as long again as usual (six layers on
/// an accelerator sixteen times slower than the reference).
const STAGE_TIME_WEIGHT: f64 = 0.000_5;

/// Cost of unloading layers before others can be loaded. Equals the cost of loading
/// twenty layers, because unloading waits for answers or aborts them.
const UNLOAD_FIRST_COST: f64 = 400.0;

/// Cost of a card without any memory left for requests. It makes the whole chain nearly
/// useless, so the cost is above [`UNLOAD_FIRST_COST`] and equals that of loading about
/// forty layers.
const LOW_CAPACITY_COST: f64 = 1_500.0;

/// Share of an engine's maximum token capacity at which a card no longer limits its
/// chain.
const SUFFICIENT_TOKEN_SHARE: f64 = 0.8;

/// Share of an engine's maximum token capacity below which a card does not hold old and
/// new layers at the same time.
const MIN_MERGED_TOKEN_SHARE: f64 = 0.3;

/// Minimum token capacities of every card in a fast repair, as shares of an engine's
/// maximum. Above them, scarce memory is weighed against layers to load.
const FAST_REPAIR_SHARES: [f64; 3] = [0.3, 0.1, 0.02];

/// The same for a repair for capacity. Below half, the engines are of more use to the
/// other chains. Finer steps at the top would move many layers for few more tokens.
const CAPACITY_REPAIR_SHARES: [f64; 3] = [0.75, 0.6, 0.5];

/// Weight of each layer to load, added to the square of a card's layers to load. All
/// loads read from one store, which slows down with their number.
const SHARED_STORE_WEIGHT: f64 = 3.0;

/// Returns new ranges for cards in chain order, with few layers to load on any one of
/// them. Cards load in parallel, so the card with most layers to load determines how
/// long the chain is broken.
fn repair(model: &EngineModel, cards: &[EngineCard], mode: RepairMode) -> Option<Vec<LayerRange>> {
    let repair_at = |share: &f64| {
        let tokens = model.max_tokens as f64 * share;
        let capacities = cards.iter().map(|c| layer_capacity(model, c, tokens));
        cheapest_repair(model, cards, &capacities.collect::<Vec<u32>>())
    };
    mode.token_shares().iter().find_map(repair_at)
}

fn cheapest_repair(
    model: &EngineModel,
    cards: &[EngineCard],
    capacities: &[u32],
) -> Option<Vec<LayerRange>> {
    let layers = model.layers as usize;
    // cost[i][to]: the first i cards hold the layers below `to`.
    let mut cost = vec![vec![f64::INFINITY; layers + 1]; cards.len() + 1];
    let mut from = vec![vec![0; layers + 1]; cards.len() + 1];
    cost[0][0] = 0.0;
    for (i, card) in cards.iter().enumerate() {
        for to in 0..=layers {
            let min_first = to.saturating_sub(capacities[i] as usize);
            for first in min_first..=to {
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

fn card_cost(model: &EngineModel, card: &EngineCard, range: LayerRange) -> f64 {
    if range.is_empty() {
        return 0.0;
    }
    let to_load = f64::from(range.len() - overlap(card.held, range).len());
    let time = f64::from(range.len()) * card.step_factor;
    to_load * (to_load + SHARED_STORE_WEIGHT)
        + STAGE_TIME_WEIGHT * time * time
        + capacity_cost(model, card, range)
}

/// Returns the cost of a card's low token capacity, permanently or while it holds old
/// and new layers at once, plus the cost of unloading layers before it can load others.
fn capacity_cost(model: &EngineModel, card: &EngineCard, range: LayerRange) -> f64 {
    let both = merged_range(model, card, range);
    let unloads = overlap(card.held, range) != card.held;
    let unload_cost = match both.is_none() && unloads {
        true => UNLOAD_FIRST_COST,
        false => 0.0,
    };
    let held = both.unwrap_or(range);
    let tokens = token_capacity(model, card.memory_mb, held.len());
    let part = f64::from(held.len()) / f64::from(range.len());
    let missing =
        1.0 - (tokens * part / (SUFFICIENT_TOKEN_SHARE * model.max_tokens as f64)).min(1.0);
    unload_cost + LOW_CAPACITY_COST * missing * missing
}

/// Returns the layers in both ranges, or an empty range if there are none.
pub fn overlap(a: LayerRange, b: LayerRange) -> LayerRange {
    let range = LayerRange::new(a.first.max(b.first), a.last.min(b.last));
    match range.is_empty() {
        true => LayerRange::default(),
        false => range,
    }
}

/// Returns the range of the held and the wanted layers together, if the two are
/// adjacent or overlap and the card has enough memory for both.
pub fn merged_range(
    model: &EngineModel,
    card: &EngineCard,
    want: LayerRange,
) -> Option<LayerRange> {
    let held = card.held;
    let adjoin = want.first <= held.last && held.first <= want.last;
    if want.is_empty() || held.is_empty() || !adjoin {
        return None;
    }
    let both = LayerRange::new(held.first.min(want.first), held.last.max(want.last));
    let tokens = token_capacity(model, card.memory_mb, both.len());
    (tokens >= MIN_MERGED_TOKEN_SHARE * model.max_tokens as f64).then_some(both)
}
