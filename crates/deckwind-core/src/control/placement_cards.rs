//! Engines as the placement sees them: kept up to date by what changes, by pool and
//! data centre, each with when it is to be looked at.

use crate::routing::chains::{chains_within, holds_chain};
use crate::routing::placement::{Card, common};
use crate::state::{
    DataCentre, EngineModel, Instance, InstanceId, InstanceState, Instances, LayerRange, Life,
    Release, Revision,
};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long the engines of a data centre must have been the same before layers are
/// placed: announcements of engines that start together come within a second.
const SETTLE: Duration = Duration::from_millis(700);

/// The same after one was lost: nothing more is waited for than the loss of
/// others at the same moment.
const SETTLE_LOST: Duration = Duration::from_millis(100);

/// Longest wait where engines come all the time, and where none holds layers yet: a chain
/// that is laid out without the fastest engine is slow for good.
const SETTLE_MOST: Duration = Duration::from_secs(2);
const SETTLE_FIRST_MOST: Duration = Duration::from_secs(10);

/// Engines that one look goes through, beyond the first data centre: heartbeats wait for
/// a look.
const MOST_A_LOOK: usize = 1_000;

/// An engine that may hold layers.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Engine {
    pub address: SocketAddr,
    born: Option<u64>,
    card: Card,
}

impl Engine {
    /// The life that is meant.
    pub fn life(&self) -> Life {
        Life {
            id: self.card.id.clone(),
            born: self.born,
        }
    }
}

/// Engines of one pool in one data centre; or in all of them, where none can hold a
/// chain alone.
#[derive(Clone, Debug, Default)]
pub(super) struct CentreCards {
    engines: BTreeMap<InstanceId, Engine>,
    /// The chains that they make, until something changes.
    groups: Option<Vec<Vec<Card>>>,
    /// By number of the chain.
    whole_since: BTreeMap<usize, Instant>,
    /// Whether the data centres together hold one chain.
    together: bool,
    /// When engines began to come and go, and until when more are waited for.
    unsettled: Option<(Instant, Instant)>,
    look_at: Option<Instant>,
}

impl CentreCards {
    /// How many engines there are.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// The engine with this id.
    pub fn engine(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// The chains that the engines make.
    pub fn groups(&mut self, model: &EngineModel) -> Vec<Vec<Card>> {
        if let Some(groups) = &self.groups {
            return groups.clone();
        }
        let cards: Vec<Card> = self.engines.values().map(|e| e.card.clone()).collect();
        let groups = match self.together {
            true if cards.is_empty() => Vec::new(),
            true => vec![cards],
            false => chains_within(model, cards),
        };
        self.groups = Some(groups.clone());
        groups
    }

    /// Since when a chain is whole; `now` if it is not.
    pub fn whole_since(&mut self, now: Instant, number: usize, whole: bool) -> Instant {
        if !whole {
            self.whole_since.remove(&number);
            return now;
        }
        *self.whole_since.entry(number).or_insert(now)
    }

    /// It is to be looked at then, if not before.
    pub fn look_by(&mut self, at: Instant) {
        self.look_at = Some(self.look_at.map_or(at, |earlier| earlier.min(at)));
    }

    fn changed(&mut self, now: Instant) {
        self.groups = None;
        self.look_by(now);
    }

    /// Engines have come or gone.
    fn unsettle(&mut self, now: Instant, wait: Duration) {
        let since = self.unsettled.map_or(now, |(since, _)| since);
        let most = match self.holds_nothing() {
            true => SETTLE_FIRST_MOST,
            false => SETTLE_MOST,
        };
        let until = (now + wait).min(since + most);
        self.unsettled = Some((since, until));
        self.changed(until);
    }

    fn holds_nothing(&self) -> bool {
        self.engines.values().all(|e| e.card.held.is_empty())
    }

    fn is_due(&self, now: Instant) -> bool {
        let settled = self.unsettled.is_none_or(|(_, until)| until <= now);
        settled && self.look_at.is_some_and(|at| at <= now)
    }
}

/// Names the engines that are looked at together: the pool, and the data centre
/// unless they are those of all.
pub(super) type CardsKey = (String, Option<DataCentre>);

/// Data centres whose engines have come or gone, and whether some have come.
type Moves = BTreeMap<CardsKey, bool>;

/// All engines of pools whose engines hold layers.
#[derive(Clone, Debug, Default)]
pub(super) struct PoolCards {
    models: BTreeMap<String, EngineModel>,
    /// Up to where changes are followed; nothing before the first look.
    seen: Option<Revision>,
    /// Where each engine counts.
    place_of: BTreeMap<InstanceId, (String, DataCentre)>,
    centres: BTreeMap<CardsKey, CentreCards>,
    /// Whose turn was last.
    last: Option<CardsKey>,
    looks: u64,
}

impl PoolCards {
    /// Takes over what has changed since the last look.
    pub fn follow(&mut self, now: Instant, release: &Release, instances: &Instances) {
        let layered = release.pools.iter().filter_map(|pool| {
            let model = pool.engine.clone().filter(|m| m.layers > 0)?;
            Some((pool.name.clone(), model))
        });
        let models: BTreeMap<String, EngineModel> = layered.collect();
        let since = self.seen.filter(|_| models == self.models);
        let mut moves = Moves::new();
        if since.is_none() {
            self.models = models;
            self.place_of.clear();
            self.centres.clear();
        }
        let changed = instances.written_since(since.unwrap_or(Revision::ZERO));
        for id in changed {
            self.looks += 1;
            self.take_one(now, id, instances.get(id), &mut moves);
        }
        self.seen = Some(instances.written_upto());
        self.settle(now, since.is_none(), &moves);
    }

    /// Has data centres wait whose engines have come or gone; and, as engines of a pool
    /// start together, those that hold nothing yet while engines come to another one.
    fn settle(&mut self, now: Instant, first: bool, moves: &Moves) {
        let came = |pool: &str| moves.iter().any(|(key, came)| *came && key.0 == pool);
        let growing: Vec<String> = self.models.keys().filter(|p| came(p)).cloned().collect();
        for (key, cards) in self.centres.iter_mut().filter(|(key, _)| key.1.is_some()) {
            let lost = match (moves.get(key), first) {
                // A new leader: these were placed before its time.
                (Some(_), true) => !cards.holds_nothing(),
                (Some(came), false) => !came,
                (None, _) if growing.contains(&key.0) && cards.holds_nothing() => false,
                (None, _) => continue,
            };
            let wait = if lost { SETTLE_LOST } else { SETTLE };
            cards.unsettle(now, wait);
        }
    }

    fn take_one(
        &mut self,
        now: Instant,
        id: &InstanceId,
        instance: Option<&Instance>,
        moves: &mut Moves,
    ) {
        let new = instance.and_then(|i| Some((i, self.engine_of(i)?)));
        let place = new
            .as_ref()
            .map(|(i, _)| (i.pool.clone(), i.data_centre.clone()));
        let old = self.place_of.get(id).cloned();
        if let Some((pool, dc)) = old.clone().filter(|_| old != place) {
            let key = (pool, Some(dc));
            if let Some(cards) = self.centres.get_mut(&key) {
                cards.engines.remove(id);
            }
            self.place_of.remove(id);
            moves.entry(key).or_default();
        }
        let (Some((pool, dc)), Some((_, engine))) = (place, new) else {
            return;
        };
        self.place_of.insert(id.clone(), (pool.clone(), dc.clone()));
        let key = (pool, Some(dc));
        let cards = self.centres.entry(key.clone()).or_default();
        let known = cards.engines.insert(id.clone(), engine.clone());
        match known {
            Some(known) if known == engine => {}
            Some(known) if known.born == engine.born => cards.changed(now),
            _ => *moves.entry(key).or_default() = true,
        }
    }

    fn engine_of(&self, instance: &Instance) -> Option<Engine> {
        let model = self.models.get(&instance.pool)?;
        let kind = model.kind(instance.accelerator.as_deref()?)?;
        let usable = instance.state == InstanceState::Ready;
        usable.then(|| Engine {
            address: instance.address,
            born: instance.born,
            card: Card {
                id: instance.id.clone(),
                data_centre: instance.data_centre.clone(),
                memory_mb: kind.memory_mb,
                step_factor: kind.step_factor,
                held: common(instance.layers, LayerRange::new(0, model.layers)),
            },
        })
    }

    /// An engine is to be looked at then, if not before.
    pub fn look_by(&mut self, id: &str, at: Instant) {
        if let Some((pool, dc)) = self.place_of.get(id) {
            let key = (pool.clone(), Some(dc.clone()));
            if let Some(cards) = self.centres.get_mut(&key) {
                cards.look_by(at);
            }
        }
    }

    /// Engines that were gone through so far.
    pub fn looks(&self) -> u64 {
        self.looks
    }

    /// What is to be looked at now: after whose turn was last, up to so many engines.
    pub fn take_due(&mut self, now: Instant) -> Vec<CardsKey> {
        for pool in self.models.keys().cloned().collect::<Vec<_>>() {
            self.put_together(now, &pool);
        }
        let due = self.centres.iter().filter(|(_, c)| c.is_due(now));
        let mut due: Vec<CardsKey> = due.map(|(key, _)| key.clone()).collect();
        let after = self.last.as_ref().map_or(0, |last| {
            let later = due.iter().position(|key| key > last);
            later.unwrap_or(0)
        });
        due.rotate_left(after);
        let mut engines = 0;
        due.retain(|key| {
            let turn = engines == 0 || engines <= MOST_A_LOOK;
            engines += self.centres[key].engines.len();
            turn
        });
        self.last = due.last().cloned().or(self.last.take());
        due
    }

    /// Where no data centre of a pool can hold a chain alone, all of them are one. Looked
    /// at only when something has changed.
    fn put_together(&mut self, now: Instant, pool: &str) {
        let of_pool = |key: &CardsKey| key.0 == pool && key.1.is_some();
        let due = |(key, cards): (&CardsKey, &CentreCards)| of_pool(key) && cards.is_due(now);
        let changed = self.centres.iter().any(due);
        if !changed {
            return;
        }
        let model = &self.models[pool];
        let holds = |cards: &CentreCards| {
            let cards: Vec<&Card> = cards.engines.values().map(|e| &e.card).collect();
            holds_chain(model, &cards)
        };
        let centres = self.centres.iter().filter(|(key, _)| of_pool(key));
        let key = (pool.to_string(), None);
        if centres.clone().any(|(_, cards)| holds(cards)) {
            self.centres.remove(&key);
            return;
        }
        let engines = centres.flat_map(|(_, cards)| cards.engines.clone());
        let engines: BTreeMap<InstanceId, Engine> = engines.collect();
        for (_, cards) in self.centres.iter_mut().filter(|(key, _)| of_pool(key)) {
            cards.look_at = None;
            cards.unsettled = None;
        }
        let all = self.centres.entry(key).or_default();
        all.together = true;
        all.engines = engines;
        all.changed(now);
    }

    /// Takes the engines of a data centre, to work with them; with their model.
    pub fn take(&mut self, key: &CardsKey) -> Option<(EngineModel, CentreCards)> {
        let model = self.models.get(&key.0)?.clone();
        let mut cards = self.centres.remove(key)?;
        cards.look_at = None;
        cards.unsettled = None;
        self.looks += cards.engines.len() as u64;
        Some((model, cards))
    }

    /// Puts them back.
    pub fn put_back(&mut self, key: CardsKey, cards: CentreCards) {
        self.centres.insert(key, cards);
    }
}
