//! Which engines hold a chain together: one or more whole chains in each data
//! centre.
//!
//! The groups follow from what the engines hold, so that a new leader finds the
//! same ones: whole chains are taken out first, those whose engines join without
//! overlap before others, and what is left is a chain that is broken, one that is
//! not placed yet, or spare.

use super::layout::{TOKEN_SHARES, most_layers};
use super::placement::Card;
use crate::state::{DataCentre, EngineModel};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Most stages of a path, less some for stages that are mended with more.
const MOST_CARDS: usize = 28;

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
        chains_within(model, there.cloned().collect())
    });
    let groups: Vec<Vec<Card>> = groups.collect();
    if groups.is_empty() && !cards.is_empty() {
        return vec![cards.to_vec()];
    }
    groups
}

/// Whether these cards can hold a chain at all.
pub fn holds_chain(model: &EngineModel, cards: &[&Card]) -> bool {
    share_kept(model, cards).is_some()
}

/// The cards of one data centre that should hold a chain together; none if they can't
/// hold one.
pub fn chains_within(model: &EngineModel, cards: Vec<Card>) -> Vec<Vec<Card>> {
    if !holds_chain(model, &cards.iter().collect::<Vec<_>>()) {
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

/// How many times more tokens another chain must bring: with fewer chains each
/// has more cards to mend it with.
const WORTH_A_CHAIN: f64 = 1.1;

/// As many chains as keep most tokens together.
fn chain_count(model: &EngineModel, cards: &[Card]) -> usize {
    let least = cards.len().div_ceil(MOST_CARDS).max(1);
    let mut best = (least, 0.0);
    for count in least..=MOST_CHAINS {
        let groups = spread(model, cards, count);
        let shares = groups.iter().map(|g| share_kept(model, g));
        let shares: Option<Vec<f64>> = shares.collect();
        let Some(shares) = shares else {
            break;
        };
        let kept: f64 = shares.iter().sum();
        if kept > best.1 * WORTH_A_CHAIN {
            best = (count, kept);
        }
    }
    best.0
}

/// Largest part of what an engine keeps at most that all cards of a chain can
/// keep.
fn share_kept(model: &EngineModel, cards: &[&Card]) -> Option<f64> {
    let holds = |share: &f64| {
        let tokens = model.max_tokens as f64 * share;
        let layers: u32 = cards.iter().map(|c| most_layers(model, c, tokens)).sum();
        layers >= model.layers
    };
    TOKEN_SHARES.into_iter().find(holds)
}

/// Part of what an engine keeps at most, at which the cards' room for layers is
/// made even over groups.
const EVEN_AT: f64 = 0.85;

/// Cards as groups that have about as much room for layers each: the largest
/// card goes to the group that has least so far.
fn spread<'a>(model: &EngineModel, cards: &'a [Card], count: usize) -> Vec<Vec<&'a Card>> {
    let tokens = model.max_tokens as f64 * EVEN_AT;
    let sized = cards.iter().map(|c| (most_layers(model, c, tokens), c));
    let mut sized: Vec<(u32, &Card)> = sized.collect();
    sized.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.id.cmp(&b.1.id)));
    let mut groups: Vec<Vec<&Card>> = vec![Vec::new(); count];
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

/// Takes a whole chain out of the cards: one whose engines join without overlap
/// if there is one.
fn take_chain(model: &EngineModel, cards: &mut Vec<Card>) -> Option<Vec<Card>> {
    let mut picked = joined_chain(model, cards).or_else(|| any_chain(model, cards))?;
    picked.sort_unstable_by(|a, b| b.cmp(a));
    Some(picked.into_iter().map(|i| cards.swap_remove(i)).collect())
}

/// Places of cards each of which begins where the one before ends. Which of the
/// cards that begin at one layer is taken does not matter to the other chains
/// through that layer, but some may lead nowhere: those are found from the end
/// backwards.
fn joined_chain(model: &EngineModel, cards: &[Card]) -> Option<Vec<usize>> {
    // next[layer]: the card that begins there and leads on to the end.
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

/// Places of cards that hold all layers, with as little overlap as can be told
/// from one card to the next.
fn any_chain(model: &EngineModel, cards: &[Card]) -> Option<Vec<usize>> {
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

/// Cards that hold no whole chain, as `count` groups of mixed kinds; as one if
/// they hold a good part of a chain.
fn new_groups(model: &EngineModel, cards: Vec<Card>, count: usize) -> Vec<Vec<Card>> {
    let held: u32 = cards.iter().map(|c| c.held.len()).sum();
    let count = if held < model.layers / 2 { count } else { 1 };
    let mut groups = spread(model, &cards, count);
    groups.retain(|g| holds_chain(model, g));
    let owned = |g: Vec<&Card>| g.into_iter().cloned().collect();
    groups.into_iter().map(owned).collect()
}
