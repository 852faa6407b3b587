//! When the leader has engines hold other layers.
//!
//! A chain that is whole stays as it is. One that lacks layers is planned anew
//! over the engines that are there, once they have been the same for a while.
//! An engine first holds what it has and what it is to have together, as far as
//! its memory goes: giving layers up waits for the requests that pass through
//! them, loading more does not. What is too much is given up later, when the
//! chain has been whole for a while. What an engine is to give up is taken from
//! the agreed state before the order leaves, so that no router counts on it.

use super::placement_steps::{additions, improvement, in_memory, is_scarce, with_what_is_held};
use crate::routing::chains::chain_groups;
use crate::routing::placement::{Card, Mend, common, is_whole, plan_chain};
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

/// How long a chain must have been broken, while several others of its data centre
/// serve, before engines give layers up to mend it. They wait for the requests
/// that pass through them, eight to twelve seconds, and serve nobody meanwhile; an
/// engine that failed is often back after three to five, and an empty one is of
/// use a second after it has come.
const SHIFT_AFTER: Duration = Duration::from_secs(6);

/// Chains of a data centre that are several: with fewer there is no time to lose.
const SEVERAL: usize = 2;

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

/// Words for logs.
impl std::fmt::Display for GiveUp {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            GiveUp::WhenUnused => "when-unused",
            GiveUp::AtOnce => "at-once",
        })
    }
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

/// An order under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnderWay {
    /// Start of the life that it is for.
    born: Option<u64>,
    /// Layers that its engine holds once it is done.
    layers: LayerRange,
    /// Whether any of them is loaded; else it only gives some up.
    loads: bool,
}

/// What the leader knows of its orders to place layers.
#[derive(Clone, Debug, Default)]
pub struct PlacementDesk {
    seen: BTreeMap<String, Seen>,
    under_way: BTreeMap<InstanceId, UnderWay>,
    /// By pool, number of the chain and data centre.
    whole_since: BTreeMap<(String, usize, DataCentre), Instant>,
    /// By pool and data centre: since when a chain lacks layers beside others.
    broken_since: BTreeMap<(String, DataCentre), Instant>,
    not_before: BTreeMap<Life, Instant>,
    grouped: BTreeMap<String, Grouped>,
}

/// A chain that lacks layers.
struct Broken<'a> {
    group: &'a [Card],
    /// Whole chains of its data centre.
    others: usize,
    /// Chains that its data centre is to hold, this one included.
    planned: usize,
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

    /// Whether an order is under way to an engine, in the life that it now has.
    fn is_ordered(&self, id: &str) -> bool {
        self.under_way.contains_key(id)
    }

    /// Layers that an engine is ordered to hold, while the order is under way.
    pub fn ordered(&self, id: &str) -> Option<LayerRange> {
        self.under_way.get(id).map(|u| u.layers)
    }

    fn is_loading(&self, id: &str) -> bool {
        self.under_way.get(id).is_some_and(|u| u.loads)
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
        self.under_way.retain(|id, u| {
            let known = instances.get(id);
            known.is_none_or(|i| i.born == u.born)
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
                    // Also where others came with it, as an engine that starts again.
                    Some(seen) => !seen.lives.is_subset(&lives),
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
        let groups = self.groups(pool, model, cards);
        let whole_in = |dc: &DataCentre| {
            let there = groups.iter().filter(|g| g[0].data_centre == *dc);
            there.filter(|g| is_whole_group(model, g)).count()
        };
        let mut chains: Vec<Broken> = Vec::new();
        let mut whole_ones = Vec::new();
        let mut broken_in = BTreeSet::new();
        for (number, group) in groups.iter().enumerate() {
            let dc = &group[0].data_centre;
            let whole = is_whole_group(model, group);
            let since = self.whole_since(now, (pool, number), group, whole);
            if whole {
                whole_ones.push((group, since));
                continue;
            }
            let others = whole_in(dc);
            if others > 0 {
                broken_in.insert(dc.clone());
            }
            let planned = groups.iter().filter(|g| g[0].data_centre == *dc).count();
            chains.push(Broken {
                group,
                others,
                planned,
            });
        }
        self.note_broken(now, pool, &broken_in);
        // What serves nobody is loaded first: others load beside it only as far as
        // that does not slow the store.
        let (first, then): (Vec<_>, Vec<_>) = chains.into_iter().partition(|c| c.others == 0);
        for chain in &first {
            self.mend(now, (pool, model, ready), chain, usize::MAX, work);
        }
        let loads = |c: &Broken| c.group.iter().any(|card| self.is_loading(&card.id));
        let stands_still = first.iter().any(loads);
        for chain in &then {
            let most = match stands_still {
                true => self.loads_left(model, ready),
                false => usize::MAX,
            };
            self.mend(now, (pool, model, ready), chain, most, work);
        }
        if stands_still {
            return;
        }
        for (group, since) in whole_ones {
            self.improve(now, (model, ready), group, since, work);
        }
    }

    /// Loads that the store bears beside those under way without any taking longer.
    fn loads_left(&self, model: &EngineModel, ready: &[&Instance]) -> usize {
        let loading = ready.iter().filter(|i| self.is_loading(&i.id)).count();
        (model.loads_at_once as usize).saturating_sub(loading)
    }

    /// Gives a whole chain more memory for requests once it has been whole for a
    /// while.
    fn improve(
        &mut self,
        now: Instant,
        (model, ready): (&EngineModel, &[&Instance]),
        group: &[Card],
        since: Instant,
        work: &mut PlaceWork,
    ) {
        let calm = now >= since + CALM;
        let good = !calm || !group.iter().any(|c| is_scarce(model, c));
        if good || group.iter().any(|c| self.is_ordered(&c.id)) {
            return;
        }
        let Some(plan) = plan_chain(model, group, Mend::Well) else {
            return;
        };
        let steps = group.iter().cloned().zip(plan).collect();
        let steps = improvement(model, steps);
        self.order(now, ready, steps, GiveUp::WhenUnused, work);
    }

    /// Has a chain that lacks layers hold them. Orders under way count as carried
    /// out, so that an engine that comes meanwhile is not kept waiting for them.
    fn mend(
        &mut self,
        now: Instant,
        (pool, model, ready): (&str, &EngineModel, &[&Instance]),
        chain: &Broken<'_>,
        most: usize,
        work: &mut PlaceWork,
    ) {
        let coming: Vec<Card> = chain.group.iter().map(|c| self.coming(c)).collect();
        let loading = coming.iter().any(|c| self.is_loading(&c.id));
        if loading && is_whole_group(model, &coming) {
            return;
        }
        let mend = match chain.others {
            0 => Mend::Soon,
            _ => Mend::Well,
        };
        // A new chain that is to have others beside it will be mended beside them.
        let is_new = coming.iter().all(|c| c.held.is_empty());
        let later = match is_new && chain.planned > 1 {
            true => Mend::Well,
            false => mend,
        };
        let Some(plan) = plan_chain(model, &coming, later) else {
            return;
        };
        let steps: Vec<(Card, LayerRange)> = coming.into_iter().zip(plan).collect();
        let (steps, give_up) = match mend {
            // Requests go over the other chains, and over what this one's
            // engines hold: none of it is taken from them.
            Mend::Well => {
                let may_shift = self.may_shift(now, pool, chain);
                (additions(model, steps, may_shift), GiveUp::WhenUnused)
            }
            Mend::Soon => (with_what_is_held(model, steps), GiveUp::AtOnce),
        };
        let changes = |(card, want): &(Card, LayerRange)| {
            !want.is_empty() && *want != card.held && !self.is_ordered(&card.id)
        };
        let steps: Vec<_> = steps.into_iter().filter(changes).take(most).collect();
        self.order(now, ready, steps, give_up, work);
    }

    /// A card as it will be once an order under way is carried out.
    fn coming(&self, card: &Card) -> Card {
        let held = self.under_way.get(&card.id).map(|u| u.layers);
        Card {
            held: held.unwrap_or(card.held),
            ..card.clone()
        }
    }

    fn note_broken(&mut self, now: Instant, pool: &str, broken_in: &BTreeSet<DataCentre>) {
        self.broken_since
            .retain(|(p, dc), _| p != pool || broken_in.contains(dc));
        for dc in broken_in {
            let key = (pool.to_string(), dc.clone());
            self.broken_since.entry(key).or_insert(now);
        }
    }

    /// Whether engines that hold layers of this chain may give them up for it.
    fn may_shift(&self, now: Instant, pool: &str, chain: &Broken<'_>) -> bool {
        let key = (pool.to_string(), chain.group[0].data_centre.clone());
        let since = self.broken_since.get(&key);
        chain.others < SEVERAL || since.is_some_and(|at| now >= *at + SHIFT_AFTER)
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
            let under_way = UnderWay {
                born: life.born,
                layers: want,
                loads: kept != want,
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

fn is_whole_group(model: &EngineModel, group: &[Card]) -> bool {
    is_whole(model.layers, group.iter().map(|c| c.held))
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
