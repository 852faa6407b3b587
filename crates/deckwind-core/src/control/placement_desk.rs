//! When the leader has engines hold other layers.
//!
//! A chain that is whole stays as it is. One that lacks layers is planned anew
//! over the engines that are there, once they have been the same for a while.
//! An engine first holds what it has and what it is to have together, as far as
//! its memory goes: giving layers up waits for the requests that pass through
//! them, loading more does not. What is too much is given up later, when the
//! chain has been whole for a while. What an engine is to give up is taken from
//! the agreed state before the order leaves, so that no router counts on it.

use super::placement_cards::{CentreCards, PoolCards};
use crate::routing::placement::{
    Card, Mend, common, is_whole, plan_chain, together, tokens_beside,
};
use crate::state::{EngineModel, InstanceChange, InstanceId, Instances, LayerRange, Life, Release};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// After a failed order, until the same engine gets another.
const AGAIN_AFTER: Duration = Duration::from_millis(800);

/// How long a chain must have been whole before it is improved: what failed may
/// come back, or fail again.
const CALM: Duration = Duration::from_millis(1_000);

/// Part of the tokens that an engine keeps at most, below which it gives up what
/// is held twice.
const SCARCE: f64 = 0.75;

/// Between two looks at a data centre where something is amiss, for each engine there: such
/// looks go through all of them, and take the same part of the processor with any number.
const OPEN_AN_ENGINE: Duration = Duration::from_millis(1);

/// Orders under way above which no further chain is begun: each is a connection from the
/// leader, and its heartbeats wait for them. Some 0.1 s of a core.
const MOST_UNDER_WAY: usize = 256;

/// Longest time that one order may take; loads are much shorter.
const WITHIN: Duration = Duration::from_secs(15);

/// What becomes of requests that pass through layers that an engine gives up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// They end first, however long that takes.
    WhenUnused,
    /// They are broken off: their chain serves nobody until more is loaded.
    AtOnce,
}

/// Have an engine hold exactly these layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceOrder {
    /// The engine.
    pub id: InstanceId,
    /// Where it is.
    pub address: SocketAddr,
    /// Layers.
    pub layers: LayerRange,
    /// Layers that it is believed to hold. If it holds others nothing is
    /// ordered: another leader's order was carried out meanwhile.
    pub believed: LayerRange,
    /// What becomes of requests that pass through layers it gives up.
    pub give_up: GiveUp,
    /// Given up after this time.
    pub within: Duration,
    /// The life that it is for, by its start. If the engine is another one by now
    /// the order is over.
    pub born: Option<u64>,
}

impl PlaceOrder {
    /// The life that it is for.
    pub fn life(&self) -> Life {
        Life {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// What the desk wants done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlaceWork {
    /// To be agreed before the orders leave.
    pub changes: Vec<InstanceChange>,
    /// Orders.
    pub orders: Vec<PlaceOrder>,
}

/// What an order under way does to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    /// It loads layers.
    Loading,
    /// It waits until the layers that it gives up are unused.
    GivingUp,
}

/// An order under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnderWay {
    /// Start of the life that it was given to.
    born: Option<u64>,
    doing: Doing,
    /// Layers that the engine holds once it is done.
    layers: LayerRange,
}

/// Orders given, and what came of them.
#[derive(Clone, Debug, Default)]
struct Orders {
    under_way: BTreeMap<InstanceId, UnderWay>,
    not_before: BTreeMap<Life, Instant>,
}

impl Orders {
    fn is_under_way(&self, life: &Life) -> bool {
        let under_way = self.under_way.get(&life.id);
        under_way.is_some_and(|u| u.born == life.born)
    }

    fn doing(&self, card: &Card) -> Option<Doing> {
        self.under_way.get(&card.id).map(|u| u.doing)
    }

    /// Forgets what was for lives that are over: nothing of it happens any more.
    fn forget_ended(&mut self, now: Instant, instances: &Instances) {
        self.under_way.retain(|id, under_way| {
            let known = instances.get(id);
            known.is_none_or(|i| i.born == under_way.born)
        });
        self.not_before.retain(|_, at| *at > now);
    }

    /// Gives orders for these steps. Whether there were any.
    fn give(
        &mut self,
        now: Instant,
        cards: &CentreCards,
        steps: impl IntoIterator<Item = (Card, LayerRange)>,
        give_up: GiveUp,
        work: &mut PlaceWork,
    ) -> bool {
        let before = work.orders.len();
        for (card, want) in steps {
            if card.held == want || want.is_empty() {
                continue;
            }
            let Some(engine) = cards.engine(&card.id) else {
                continue;
            };
            let life = engine.life();
            let failed = self.not_before.get(&life).is_some_and(|at| *at > now);
            if failed || self.is_under_way(&life) {
                continue;
            }
            let kept = common(card.held, want);
            let doing = match kept == want {
                true => Doing::GivingUp,
                false => Doing::Loading,
            };
            let under_way = UnderWay {
                born: life.born,
                doing,
                layers: want,
            };
            self.under_way.insert(card.id.clone(), under_way);
            work.orders.push(PlaceOrder {
                id: card.id.clone(),
                address: engine.address,
                layers: want,
                believed: card.held,
                give_up,
                within: WITHIN,
                born: life.born,
            });
            work.changes.push(InstanceChange::Holds {
                life,
                layers: kept,
                in_memory: in_memory(card.held, want, give_up),
            });
        }
        work.orders.len() > before
    }
}

/// What the leader knows of its orders to place layers.
#[derive(Clone, Debug, Default)]
pub struct PlacementDesk {
    orders: Orders,
    cards: PoolCards,
}

impl PlacementDesk {
    /// Whether an order to this life is under way: what it announces of its
    /// layers meanwhile may be old.
    pub fn is_under_way(&self, life: &Life) -> bool {
        self.orders.is_under_way(life)
    }

    /// Layers that an engine is ordered to hold, while the order is under way.
    pub fn ordered(&self, id: &str) -> Option<LayerRange> {
        self.orders.under_way.get(id).map(|u| u.layers)
    }

    /// An order to this life has ended.
    pub fn ended(&mut self, now: Instant, life: &Life, ok: bool) {
        if self.is_under_way(life) {
            self.orders.under_way.remove(&life.id);
        }
        if !ok {
            let again = now + AGAIN_AFTER;
            self.orders.not_before.insert(life.clone(), again);
            self.cards.look_by(&life.id, again);
        }
        self.cards.look_by(&life.id, now);
    }

    /// Engines that its looks have gone through so far.
    pub fn looks(&self) -> u64 {
        self.cards.looks()
    }

    /// What is to be done now. Goes through data centres only in which something has
    /// changed, or was to be waited for.
    pub fn work(&mut self, now: Instant, release: &Release, instances: &Instances) -> PlaceWork {
        let mut work = PlaceWork::default();
        self.orders.forget_ended(now, instances);
        self.cards.follow(now, release, instances);
        for due in self.cards.take_due(now) {
            let Some((model, mut cards)) = self.cards.take(&due) else {
                continue;
            };
            self.work_of(now, &model, &mut cards, &mut work);
            self.cards.put_back(due, cards);
        }
        work
    }

    fn work_of(
        &mut self,
        now: Instant,
        model: &EngineModel,
        cards: &mut CentreCards,
        work: &mut PlaceWork,
    ) {
        let groups = cards.groups(model);
        let whole = |group: &[Card]| is_whole(model.layers, group.iter().map(|c| c.held));
        let all_whole = groups.iter().filter(|g| whole(g)).count();
        let (mut open, mut ordered) = (false, false);
        for (number, group) in groups.iter().enumerate() {
            let whole = whole(group);
            let others = all_whole - usize::from(whole);
            let mend = match others {
                0 => Mend::Soon,
                _ => Mend::Well,
            };
            let calm_at = cards.whole_since(now, number, whole) + CALM;
            let scarce = group.iter().any(|c| is_scarce(model, c));
            if whole && scarce && now < calm_at {
                cards.look_by(calm_at);
            }
            let good = whole && (now < calm_at || !scarce);
            let doing = |c: &Card| self.orders.doing(c);
            let blocked = match whole {
                true => group.iter().any(|c| doing(c).is_some()),
                false => group.iter().any(|c| doing(c) == Some(Doing::Loading)),
            };
            open |= !good;
            if good || blocked {
                continue;
            }
            if self.orders.under_way.len() >= MOST_UNDER_WAY {
                cards.look_by(now);
                continue;
            }
            let Some(plan) = plan_chain(model, group, mend) else {
                continue;
            };
            let steps: Vec<(Card, LayerRange)> = group.iter().cloned().zip(plan).collect();
            let (steps, give_up) = match (whole, mend) {
                (true, _) => (improvement(model, steps), GiveUp::WhenUnused),
                // Requests go over the other chains, and over what this one's
                // engines hold: none of it is taken from them.
                (false, Mend::Well) => (additions(model, steps), GiveUp::WhenUnused),
                (false, Mend::Soon) => (with_what_is_held(model, steps), GiveUp::AtOnce),
            };
            ordered |= self.orders.give(now, cards, steps, give_up, work);
        }
        match (open, ordered) {
            (_, true) => cards.look_by(now),
            (true, false) => cards.look_by(now + OPEN_AN_ENGINE * cards.len() as u32),
            (false, false) => {}
        }
    }
}

/// Layers that take an engine's memory until it has gone from one range to
/// another.
fn in_memory(held: LayerRange, want: LayerRange, give_up: GiveUp) -> u32 {
    let both = held.len() + want.len() - common(held, want).len();
    match give_up {
        GiveUp::AtOnce => want.len(),
        GiveUp::WhenUnused => both,
    }
}

/// Whether an engine keeps too few tokens beside its layers.
fn is_scarce(model: &EngineModel, card: &Card) -> bool {
    let beside = tokens_beside(model, card.memory_mb, card.held.len());
    !card.held.is_empty() && beside < SCARCE * model.max_tokens as f64
}

/// What makes a whole chain with scarce memory keep more requests: more layers on cards that have room, or, once nothing is to be loaded, less on
/// those that have little.
fn improvement(model: &EngineModel, plan: Vec<(Card, LayerRange)>) -> Vec<(Card, LayerRange)> {
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
fn with_what_is_held(
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
/// where there is none, the others too: they give layers up once nobody uses them.
fn additions(model: &EngineModel, plan: Vec<(Card, LayerRange)>) -> Vec<(Card, LayerRange)> {
    let adds = |(card, want): &(Card, LayerRange)| {
        let step = match card.held.is_empty() {
            true => *want,
            false => together(model, card, *want)?,
        };
        (step != card.held).then(|| (card.clone(), step))
    };
    let added: Vec<(Card, LayerRange)> = plan.iter().filter_map(adds).collect();
    match added.is_empty() {
        true => with_what_is_held(model, plan),
        false => added,
    }
}
