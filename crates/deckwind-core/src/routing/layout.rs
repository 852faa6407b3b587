//! How a new chain's layers are shared out.
//!
//! A request holds its memory for as long as its tokens take, and a token passes
//! every stage. So a chain carries the tokens that its scarcest card keeps, by
//! the time of one token through all stages. A layout keeps as many tokens as the
//! cards allow, and is the shortest of those; the slowest cards stay empty, as
//! spares for what is lost.

use super::placement::Card;
use crate::state::EngineModel;

/// Tokens that every card of a chain should be able to keep, as parts of what
/// an engine keeps at most. Below the last a chain serves a handful of requests.
pub(super) const TOKEN_SHARES: [f64; 13] = [
    1.0, 0.95, 0.9, 0.85, 0.8, 0.75, 0.7, 0.6, 0.5, 0.4, 0.2, 0.1, 0.05,
];

/// How much a card that is full of layers counts as slower: the layers of a lost
/// neighbour need room.
const FULL_WEIGHT: f64 = 1.0;

/// What another stage costs when layers are dealt, in layers on the reference
/// accelerator.
const STAGE_COST: f64 = 40.0;

/// Layers that a card can hold beside so many tokens.
pub(super) fn most_layers(model: &EngineModel, card: &Card, tokens: f64) -> u32 {
    let per_layer_mb = model.layer_mb + tokens * model.layer_token_bytes() / 1e6;
    let most = (card.memory_mb / per_layer_mb).floor();
    (most.max(0.0) as u32).min(model.layers)
}

/// Layers for each of these cards, in their order, none on spares; nothing if
/// they can't hold the model together. Every card keeps as many tokens as can
/// be, and of such layouts it is the shortest.
///
/// Fewer tokens for a shorter time did not pay: with every card at 0.88 of the
/// tokens, 0.76 of the worth at 130 requests a second on 38 cards of three kinds
/// instead of 0.82.
pub(super) fn lay_out(model: &EngineModel, cards: &[Card]) -> Option<Vec<u32>> {
    let mut shares = TOKEN_SHARES.iter();
    shares.find_map(|share| {
        let tokens = model.max_tokens as f64 * share;
        let most = cards.iter().map(|c| most_layers(model, c, tokens));
        shortest(model, cards, &most.collect::<Vec<u32>>())
    })
}

/// Cards that are alike to the planner.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Alike {
    step_factor: f64,
    /// Layers that each has room for.
    most: u32,
    cards: u32,
    /// Layers that they hold together.
    layers: u32,
}

impl Alike {
    /// Time of all their layers, in layers on the reference accelerator, if they
    /// hold so many. It grows faster the fuller they are.
    fn time(&self, layers: u32) -> f64 {
        let full = f64::from(layers) / f64::from(self.room().max(1));
        f64::from(layers) * self.step_factor * (1.0 + FULL_WEIGHT * full.powi(3))
    }

    fn room(&self) -> u32 {
        self.most * self.cards
    }

    /// What one more layer adds.
    fn more(&self) -> f64 {
        self.time(self.layers + 1) - self.time(self.layers)
    }

    fn cost(&self) -> f64 {
        let stages = self.cards.min(self.layers);
        self.time(self.layers) + f64::from(stages) * STAGE_COST
    }
}

/// Gives the layers to as many of the fastest cards as make a token's time
/// shortest.
fn shortest(model: &EngineModel, cards: &[Card], most: &[u32]) -> Option<Vec<u32>> {
    let mut by_speed: Vec<usize> = (0..cards.len()).filter(|i| most[*i] > 0).collect();
    by_speed.sort_by(|a, b| {
        let factors = cards[*a].step_factor.total_cmp(&cards[*b].step_factor);
        factors.then(most[*b].cmp(&most[*a])).then(a.cmp(b))
    });
    let mut kinds: Vec<Alike> = Vec::new();
    let mut best: Option<(f64, Vec<Alike>)> = None;
    for i in &by_speed {
        let one = Alike {
            step_factor: cards[*i].step_factor,
            most: most[*i],
            cards: 1,
            layers: 0,
        };
        match kinds.last_mut() {
            Some(k) if (k.step_factor, k.most) == (one.step_factor, one.most) => k.cards += 1,
            _ => kinds.push(one),
        }
        let Some(dealt) = deal(model.layers, &kinds) else {
            continue;
        };
        let cost = dealt.iter().map(Alike::cost).sum::<f64>();
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, dealt));
        }
    }
    let (_, dealt) = best?;
    let mut counts = vec![0; cards.len()];
    let each = dealt.iter().flat_map(|k| {
        let (all, more) = (k.layers / k.cards, k.layers % k.cards);
        (0..k.cards).map(move |i| all + u32::from(i >= k.cards - more))
    });
    for (i, count) in by_speed.iter().zip(each) {
        counts[*i] = count;
    }
    Some(counts)
}

/// Gives each layer to the cards on which it costs least; nothing if there is no
/// room for all.
fn deal(layers: u32, kinds: &[Alike]) -> Option<Vec<Alike>> {
    let mut kinds = kinds.to_vec();
    for _ in 0..layers {
        let open = kinds.iter_mut().filter(|k| k.layers < k.room());
        let least = open.min_by(|a, b| a.more().total_cmp(&b.more()))?;
        least.layers += 1;
    }
    Some(kinds)
}
