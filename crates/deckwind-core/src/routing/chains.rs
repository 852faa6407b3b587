//! Assignment of engines to chains, with one or more whole chains in each data centre.
//!
//! The groups are derived from the layers that engines hold, so that a new leader
//! computes the same ones. Whole chains are extracted first, preferably those whose
//! engines join without overlap. The remaining engines form a broken chain, a chain
//! that is not placed yet, or spares.

use super::layout::{TOKEN_SHARES, layer_capacity};
use super::placement::EngineCard;
use crate::state::{DataCentre, EngineModel};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Maximum number of cards of a chain. Below the maximum number of stages, so that
/// repairs can add stages.
const MAX_CARDS_PER_CHAIN: usize = 28;

/// Maximum number of chains in one data centre.
const MAX_CHAINS: usize = 16;

/// Groups the cards that should hold a chain together. If no data centre can hold a
/// chain alone, all cards form one group.
pub fn chain_groups(model: &EngineModel, cards: &[EngineCard]) -> Vec<Vec<EngineCard>> {
    let mut centres: Vec<&DataCentre> = cards.iter().map(|c| &c.data_centre).collect();
    centres.sort();
    centres.dedup();
    let groups = centres.into_iter().flat_map(|dc| {
        let there = cards.iter().filter(|c| c.data_centre == *dc);
        chain_groups_within(model, there.cloned().collect())
    });
    let groups: Vec<Vec<EngineCard>> = groups.collect();
    if groups.is_empty() && !cards.is_empty() {
        return vec![cards.to_vec()];
    }
    groups
}

/// Returns whether the cards have enough memory to hold a chain.
pub fn can_hold_chain(model: &EngineModel, cards: &[&EngineCard]) -> bool {
    max_token_share(model, cards).is_some()
}

/// Groups the cards of one data centre that should hold a chain together. Returns no
/// group if the cards can't hold a chain.
pub fn chain_groups_within(model: &EngineModel, cards: Vec<EngineCard>) -> Vec<Vec<EngineCard>> {
    if !can_hold_chain(model, &cards.iter().collect::<Vec<_>>()) {
        return Vec::new();
    }
    let count = chain_count(model, &cards);
    if count == 1 {
        return vec![cards];
    }
    let mut remaining = cards;
    let mut groups = Vec::new();
    while groups.len() < count
        && let Some(chain) = extract_chain(model, &mut remaining)
    {
        groups.push(chain);
    }
    let missing = count - groups.len();
    if missing > 0 {
        groups.extend(group_remaining(model, remaining, missing));
    } else if let Some(last) = groups.last_mut() {
        last.extend(remaining);
    }
    groups
}

/// Factor by which another chain must increase the total token capacity. With fewer
/// chains, each has more cards for repairs.
const MIN_CHAIN_GAIN: f64 = 1.1;

/// Returns the number of chains with the highest total token capacity. A higher number
/// must gain at least [`MIN_CHAIN_GAIN`].
fn chain_count(model: &EngineModel, cards: &[EngineCard]) -> usize {
    let min_count = cards.len().div_ceil(MAX_CARDS_PER_CHAIN).max(1);
    let mut best = (min_count, 0.0);
    for count in min_count..=MAX_CHAINS {
        let groups = split_evenly(model, cards, count);
        let shares = groups.iter().map(|g| max_token_share(model, g));
        let shares: Option<Vec<f64>> = shares.collect();
        let Some(shares) = shares else {
            break;
        };
        let total_share: f64 = shares.iter().sum();
        if total_share > best.1 * MIN_CHAIN_GAIN {
            best = (count, total_share);
        }
    }
    best.0
}

/// Returns the largest token capacity that all cards of a chain can reach, as a share
/// of an engine's maximum, or `None` if they can't hold a chain.
fn max_token_share(model: &EngineModel, cards: &[&EngineCard]) -> Option<f64> {
    let is_enough = |share: &f64| {
        let tokens = model.max_tokens as f64 * share;
        let layers: u32 = cards.iter().map(|c| layer_capacity(model, c, tokens)).sum();
        layers >= model.layers
    };
    TOKEN_SHARES.into_iter().find(is_enough)
}

/// Token capacity, as a share of an engine's maximum, at which the layer capacity of
/// the groups is balanced.
const BALANCE_TOKEN_SHARE: f64 = 0.85;

/// Splits the cards into groups of about equal layer capacity: each card, largest
/// first, goes to the group with the least capacity so far.
fn split_evenly<'a>(
    model: &EngineModel,
    cards: &'a [EngineCard],
    count: usize,
) -> Vec<Vec<&'a EngineCard>> {
    let tokens = model.max_tokens as f64 * BALANCE_TOKEN_SHARE;
    let sized = cards.iter().map(|c| (layer_capacity(model, c, tokens), c));
    let mut sized: Vec<(u32, &EngineCard)> = sized.collect();
    sized.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.id.cmp(&b.1.id)));
    let mut groups: Vec<Vec<&EngineCard>> = vec![Vec::new(); count];
    let mut smallest: BinaryHeap<Reverse<(u32, usize)>> =
        (0..count).map(|i| Reverse((0, i))).collect();
    for (layers, card) in sized {
        if let Some(Reverse((held, i))) = smallest.pop() {
            groups[i].push(card);
            smallest.push(Reverse((held + layers, i)));
        }
    }
    groups
}

/// Removes the cards of one whole chain from `cards`, preferably one whose engines join
/// without overlap.
fn extract_chain(model: &EngineModel, cards: &mut Vec<EngineCard>) -> Option<Vec<EngineCard>> {
    let mut picked = contiguous_chain(model, cards).or_else(|| covering_chain(model, cards))?;
    picked.sort_unstable_by(|a, b| b.cmp(a));
    Some(picked.into_iter().map(|i| cards.swap_remove(i)).collect())
}

/// Returns the indices of cards each of which begins where the previous one ends. Among
/// cards that begin at the same layer the choice does not affect other chains through
/// that layer, but some may lead to a dead end. These are excluded by searching
/// backwards from the last layer.
fn contiguous_chain(model: &EngineModel, cards: &[EngineCard]) -> Option<Vec<usize>> {
    // next[layer]: a card that begins there and connects to the last layer.
    let mut next = vec![None; model.layers as usize];
    let mut by_first: Vec<usize> = (0..cards.len()).collect();
    by_first.sort_by_key(|i| (cards[*i].held.first, cards[*i].held.last));
    for i in by_first.into_iter().rev() {
        let held = cards[i].held;
        let after = next.get(held.last as usize);
        let leads_on = held.last == model.layers || after.is_some_and(Option::is_some);
        if !held.is_empty() && leads_on {
            next[held.first as usize] = Some(i);
        }
    }
    let mut picked = Vec::new();
    let mut layer = 0;
    while layer < model.layers {
        let card = (*next.get(layer as usize)?)?;
        picked.push(card);
        layer = cards[card].held.last;
    }
    Some(picked)
}

/// Returns the indices of cards that hold all layers, chosen greedily for little
/// overlap between neighbours.
fn covering_chain(model: &EngineModel, cards: &[EngineCard]) -> Option<Vec<usize>> {
    let mut picked: Vec<usize> = Vec::new();
    let mut layer = 0;
    while layer < model.layers {
        let fits = |i: &usize| {
            let held = cards[*i].held;
            !picked.contains(i) && held.first <= layer && layer < held.last
        };
        let next = (0..cards.len())
            .filter(fits)
            .max_by_key(|i| (cards[*i].held.first, cards[*i].held.last))?;
        picked.push(next);
        layer = cards[next].held.last;
    }
    Some(picked)
}

/// Splits cards that hold no whole chain into `count` groups of mixed kinds, or keeps
/// them as one group if they hold at least half the layers of a chain.
fn group_remaining(
    model: &EngineModel,
    cards: Vec<EngineCard>,
    count: usize,
) -> Vec<Vec<EngineCard>> {
    let held: u32 = cards.iter().map(|c| c.held.len()).sum();
    let count = if held < model.layers / 2 { count } else { 1 };
    let mut groups = split_evenly(model, &cards, count);
    groups.retain(|g| can_hold_chain(model, g));
    let owned = |g: Vec<&EngineCard>| g.into_iter().cloned().collect();
    groups.into_iter().map(owned).collect()
}
