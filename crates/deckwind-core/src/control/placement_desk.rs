//! When the leader has engines hold other layers.
//!
//! A chain that is whole stays as it is. One that lacks layers is planned anew
//! over the engines that are there, once they have been the same for a while.
//! An engine first holds what it has and what it is to have together, as far as
//! its memory goes: giving layers up waits for the requests that pass through
//! them, loading more does not. What is too much is given up later, when the
//! chain has been whole for a while. What an engine is to give up is taken from
//! the agreed state before the order leaves, so that no router counts on it.

use crate::routing::chains::chain_groups;
use crate::routing::placement::{
    Card, Mend, common, is_whole, plan_chain, together, tokens_beside,
};
use crate::state::{
    DataCentre, EngineModel, Instance, InstanceChange, InstanceId, InstanceState, Instances,
    LayerRange, Life, Pool, Release,
};
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long the engines of a pool must have been the same before layers are
/// placed: announcements of engines that start together come within a second.
const SETTLE: Duration = Duration::from_millis(700);

/// The same after one was lost: nothing more is waited for than the loss of
/// others at the same moment.
const SETTLE_LOST: Duration = Duration::from_millis(100);

/// After a failed order, until the same engine gets another.
const AGAIN_AFTER: Duration = Duration::from_millis(800);

/// How long a chain must have been whole before it is improved: what failed may
/// come back, or fail again.
const CALM: Duration = Duration::from_millis(1_000);

/// Part of the tokens that an engine keeps at most, below which it gives up what
/// is held twice.
const SCARCE: f64 = 0.75;

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

/// Engines of one pool, and until when they are waited for.
#[derive(Clone, Debug)]
struct Seen {
    lives: BTreeSet<Life>,
    until: Instant,
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

/// What the leader knows of its orders to place layers.
#[derive(Clone, Debug, Default)]
pub struct PlacementDesk {
    seen: BTreeMap<String, Seen>,
    /// What is under way, and the start of the life that it is for.
    under_way: BTreeMap<InstanceId, UnderWay>,
    /// By pool, number of the chain and data centre.
    whole_since: BTreeMap<(String, usize, DataCentre), Instant>,
    not_before: BTreeMap<Life, Instant>,
    grouped: BTreeMap<String, Grouped>,
}

/// Cards of a pool and the chains that they make.
#[derive(Clone, Debug)]
struct Grouped {
    cards: Vec<Card>,
    groups: Vec<Vec<Card>>,
}

impl PlacementDesk {
    /// Whether an order to this life is under way: what it announces of its
    /// layers meanwhile may be old.
    pub fn is_under_way(&self, life: &Life) -> bool {
        let under_way = self.under_way.get(&life.id);
        under_way.is_some_and(|u| u.born == life.born)
    }

    /// Layers that an engine is ordered to hold, while the order is under way.
    pub fn ordered(&self, id: &str) -> Option<LayerRange> {
        self.under_way.get(id).map(|u| u.layers)
    }

    /// An order to this life has ended.
    pub fn ended(&mut self, now: Instant, life: &Life, ok: bool) {
        if self.is_under_way(life) {
            self.under_way.remove(&life.id);
        }
        if !ok {
            self.not_before.insert(life.clone(), now + AGAIN_AFTER);
        }
    }

    /// Forgets what was for lives that are over: nothing of it happens any more.
    fn forget_ended(&mut self, now: Instant, instances: &Instances) {
        self.under_way.retain(|id, under_way| {
            let known = instances.get(id);
            known.is_none_or(|i| i.born == under_way.born)
        });
        self.not_before.retain(|_, at| *at > now);
    }

    /// What is to be done now.
    pub fn work(&mut self, now: Instant, release: &Release, instances: &Instances) -> PlaceWork {
        let mut work = PlaceWork::default();
        self.forget_ended(now, instances);
        for pool in &release.pools {
            let Some(model) = pool.engine.as_ref().filter(|m| m.layers > 0) else {
                continue;
            };
            let ready = instances.iter().filter(|i| is_usable(i, pool));
            let ready: Vec<&Instance> = ready.collect();
            if self.has_settled(now, pool, &ready) {
                self.work_of_pool(now, &pool.name, model, &ready, &mut work);
            }
        }
        work
    }

    fn has_settled(&mut self, now: Instant, pool: &Pool, ready: &[&Instance]) -> bool {
        let lives: BTreeSet<Life> = ready.iter().map(|i| i.life()).collect();
        match self.seen.get(&pool.name) {
            Some(seen) if seen.lives == lives => now >= seen.until,
            before => {
                let lost = match before {
                    Some(seen) => lives.is_subset(&seen.lives),
                    // A new leader: these were placed before its time.
                    None => ready.iter().any(|i| !i.layers.is_empty()),
                };
                let until = now + if lost { SETTLE_LOST } else { SETTLE };
                let seen = Seen { lives, until };
                self.seen.insert(pool.name.clone(), seen);
                false
            }
        }
    }

    fn work_of_pool(
        &mut self,
        now: Instant,
        pool: &str,
        model: &EngineModel,
        ready: &[&Instance],
        work: &mut PlaceWork,
    ) {
        let cards: Vec<Card> = ready.iter().filter_map(|i| card_of(model, i)).collect();
        let is_whole = |group: &[Card]| is_whole(model.layers, group.iter().map(|c| c.held));
        let groups = self.groups(pool, model, cards);
        let whole_in = |dc: &DataCentre| {
            let there = groups.iter().filter(|g| g[0].data_centre == *dc);
            there.filter(|g| is_whole(g)).count()
        };
        for (number, group) in groups.iter().enumerate() {
            let whole = is_whole(group);
            let others = whole_in(&group[0].data_centre) - usize::from(whole);
            let mend = match others {
                0 => Mend::Soon,
                _ => Mend::Well,
            };
            let calm_at = self.whole_since(now, (pool, number), group, whole) + CALM;
            let good = whole && (now < calm_at || !group.iter().any(|c| is_scarce(model, c)));
            let under_way = |c: &Card| self.under_way.get(&c.id).map(|u| u.doing);
            let blocked = match whole {
                true => group.iter().any(|c| under_way(c).is_some()),
                false => group.iter().any(|c| under_way(c) == Some(Doing::Loading)),
            };
            if good || blocked {
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
            self.order(now, ready, steps, give_up, work);
        }
    }

    /// The chains of a pool, worked out anew when its cards have changed.
    fn groups(&mut self, pool: &str, model: &EngineModel, cards: Vec<Card>) -> Vec<Vec<Card>> {
        if let Some(grouped) = self.grouped.get(pool)
            && grouped.cards == cards
        {
            return grouped.groups.clone();
        }
        let groups = chain_groups(model, &cards);
        let grouped = Grouped {
            cards,
            groups: groups.clone(),
        };
        self.grouped.insert(pool.to_string(), grouped);
        groups
    }

    /// Since when a chain is whole; `now` if it is not.
    fn whole_since(
        &mut self,
        now: Instant,
        (pool, number): (&str, usize),
        group: &[Card],
        whole: bool,
    ) -> Instant {
        let key = (pool.to_string(), number, group[0].data_centre.clone());
        if !whole {
            self.whole_since.remove(&key);
            return now;
        }
        *self.whole_since.entry(key).or_insert(now)
    }

    fn order(
        &mut self,
        now: Instant,
        ready: &[&Instance],
        steps: impl IntoIterator<Item = (Card, LayerRange)>,
        give_up: GiveUp,
        work: &mut PlaceWork,
    ) {
        for (card, want) in steps {
            if card.held == want || want.is_empty() {
                continue;
            }
            let Some(instance) = ready.iter().find(|i| i.id == card.id) else {
                continue;
            };
            let life = instance.life();
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
            work.changes.push(InstanceChange::Holds {
                life,
                layers: kept,
                in_memory: in_memory(card.held, want, give_up),
            });
            work.orders.push(PlaceOrder {
                id: card.id.clone(),
                address: instance.address,
                layers: want,
                believed: card.held,
                give_up,
                within: WITHIN,
                born: instance.born,
            });
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

fn is_usable(instance: &Instance, pool: &Pool) -> bool {
    instance.pool == pool.name && instance.state == InstanceState::Ready
}

fn card_of(model: &EngineModel, instance: &Instance) -> Option<Card> {
    let kind = model.kind(instance.accelerator.as_deref()?)?;
    Some(Card {
        id: instance.id.clone(),
        data_centre: instance.data_centre.clone(),
        memory_mb: kind.memory_mb,
        step_factor: kind.step_factor,
        held: common(instance.layers, LayerRange::new(0, model.layers)),
    })
}
