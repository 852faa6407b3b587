//! Which engines hold a chain together: one or more whole chains in each data
//! centre.
//!
//! The groups follow from what the engines hold, so that a new leader finds the
//! same ones: whole chains are taken out first, and what is left is a chain that
//! is broken, one that is not placed yet, or spare.

use super::placement::{Card, most_layers, share_out};
use crate::state::{DataCentre, EngineModel};

/// Most stages of a path, less some for stages that are mended with more.
const MOST_CARDS: usize = 28;

/// Tokens per card, as parts of what an engine keeps at most, at which the number
/// of chains is weighed.
const SHARES: [f64; 8] = [1.0, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3];

/// Most chains in one data centre.
const MOST_CHAINS: usize = 16;

/// The cards that should hold a chain together. Where no data centre can hold
/// one alone, all cards are one group.
pub fn chain_groups(model: &EngineModel, cards: &[Card]) -> Vec<Vec<Card>> {
    let mut centres: Vec<&DataCentre> = cards.iter().map(|c| &c.data_centre).collect();
    centres.sort();
    centres.dedup();
    let groups = centres.into_iter().flat_map(|dc| {
        let there = cards.iter().filter(|c| c.data_centre == *dc);
        groups_of_centre(model, there.cloned().collect())
    });
    let groups: Vec<Vec<Card>> = groups.collect();
    if groups.is_empty() && !cards.is_empty() {
        return vec![cards.to_vec()];
    }
    groups
}

fn groups_of_centre(model: &EngineModel, cards: Vec<Card>) -> Vec<Vec<Card>> {
    if share_out(model, &cards).is_none() {
        return Vec::new();
    }
    let count = chain_count(model, &cards);
    if count == 1 {
        return vec![cards];
    }
    let mut rest = cards;
    let mut groups = Vec::new();
    while groups.len() < count
        && let Some(chain) = take_chain(model, &mut rest)
    {
        groups.push(chain);
    }
    let missing = count - groups.len();
    if missing > 0 {
        groups.extend(new_groups(model, rest, missing));
    } else if let Some(last) = groups.last_mut() {
        last.extend(rest);
    }
    groups
}

/// As many chains as keep most tokens together; the fewer of two that keep as
/// many, as each then has more cards to mend it with.
fn chain_count(model: &EngineModel, cards: &[Card]) -> usize {
    let chains_at = |share: f64| {
        let tokens = model.max_tokens as f64 * share;
        let layers: u32 = cards.iter().map(|c| most_layers(model, c, tokens)).sum();
        (layers / model.layers.max(1)) as usize
    };
    let kept = |share: &f64| chains_at(*share) as f64 * share;
    // Of equal ones `max_by` takes the last: the largest share.
    let rising = SHARES.into_iter().rev();
    let best = rising.max_by(|a, b| kept(a).total_cmp(&kept(b)));
    let most = best.map_or(1, chains_at);
    most.clamp(cards.len().div_ceil(MOST_CARDS), MOST_CHAINS)
}

/// Takes a whole chain out of the cards: at each layer the one that goes on
/// furthest.
fn take_chain(model: &EngineModel, cards: &mut Vec<Card>) -> Option<Vec<Card>> {
    let mut picked: Vec<usize> = Vec::new();
    let mut next = 0;
    while next < model.layers {
        let fits = |i: &usize| {
            let held = cards[*i].held;
            !picked.contains(i) && held.first <= next && next < held.last
        };
        let best = (0..cards.len())
            .filter(fits)
            .max_by_key(|i| cards[*i].held.last)?;
        picked.push(best);
        next = cards[best].held.last;
    }
    picked.sort_unstable_by(|a, b| b.cmp(a));
    Some(picked.into_iter().map(|i| cards.swap_remove(i)).collect())
}

/// Cards that hold no whole chain, as `count` groups of mixed kinds; as fewer if
/// they can't hold so many.
fn new_groups(model: &EngineModel, mut cards: Vec<Card>, count: usize) -> Vec<Vec<Card>> {
    let empty = cards.iter().all(|c| c.held.is_empty());
    let count = if empty { count } else { 1 };
    cards.sort_by(|a, b| {
        let kind = |c: &Card| (c.step_factor.to_bits(), c.memory_mb.to_bits());
        kind(a).cmp(&kind(b)).then(a.id.cmp(&b.id))
    });
    let mut groups = vec![Vec::new(); count];
    for (i, card) in cards.into_iter().enumerate() {
        groups[i % count].push(card);
    }
    groups.retain(|g| share_out(model, g).is_some());
    groups
}
