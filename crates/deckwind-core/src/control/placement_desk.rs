//! When the leader has engines hold other layers.
//!
//! A chain that is whole stays as it is. One that lacks layers is planned anew
//! over the engines that are there, once they have been the same for a while.
//! What an engine is to give up is taken from the agreed state before the order
//! leaves, so that no router counts on it any more.

use crate::routing::placement::{Card, chain_groups, is_whole, plan_chain};
use crate::state::{
    EngineModel, Instance, InstanceChange, InstanceId, InstanceState, Instances, LayerRange, Pool,
    Release,
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

/// Longest time that one order may take; loads are much shorter.
const WITHIN: Duration = Duration::from_secs(15);

/// Have an engine hold exactly these layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceOrder {
    /// The engine.
    pub id: InstanceId,
    /// Where it is.
    pub address: SocketAddr,
    /// Layers.
    pub layers: LayerRange,
    /// Given up after this time.
    pub within: Duration,
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
    ids: BTreeSet<InstanceId>,
    until: Instant,
}

/// What the leader knows of its orders to place layers.
#[derive(Clone, Debug, Default)]
pub struct PlacementDesk {
    seen: BTreeMap<String, Seen>,
    under_way: BTreeMap<InstanceId, LayerRange>,
    not_before: BTreeMap<InstanceId, Instant>,
}

impl PlacementDesk {
    /// Whether an order to this engine is under way: what it announces of its
    /// layers meanwhile may be old.
    pub fn is_under_way(&self, id: &str) -> bool {
        self.under_way.contains_key(id)
    }

    /// An order has ended.
    pub fn ended(&mut self, now: Instant, id: &str, ok: bool) {
        self.under_way.remove(id);
        if !ok {
            self.not_before.insert(id.to_string(), now + AGAIN_AFTER);
        }
    }

    /// What is to be done now.
    pub fn work(&mut self, now: Instant, release: &Release, instances: &Instances) -> PlaceWork {
        let mut work = PlaceWork::default();
        for pool in &release.pools {
            let Some(model) = pool.engine.as_ref().filter(|m| m.layers > 0) else {
                continue;
            };
            let ready = instances.iter().filter(|i| is_usable(i, pool));
            let ready: Vec<&Instance> = ready.collect();
            if self.has_settled(now, pool, &ready) {
                self.work_of_pool(now, model, &ready, &mut work);
            }
        }
        work
    }

    fn has_settled(&mut self, now: Instant, pool: &Pool, ready: &[&Instance]) -> bool {
        let ids: BTreeSet<InstanceId> = ready.iter().map(|i| i.id.clone()).collect();
        match self.seen.get(&pool.name) {
            Some(seen) if seen.ids == ids => now >= seen.until,
            before => {
                let lost = before.is_some_and(|seen| ids.is_subset(&seen.ids));
                let until = now + if lost { SETTLE_LOST } else { SETTLE };
                let seen = Seen { ids, until };
                self.seen.insert(pool.name.clone(), seen);
                false
            }
        }
    }

    fn work_of_pool(
        &mut self,
        now: Instant,
        model: &EngineModel,
        ready: &[&Instance],
        work: &mut PlaceWork,
    ) {
        let cards: Vec<Card> = ready.iter().filter_map(|i| card_of(model, i)).collect();
        for group in chain_groups(model, &cards) {
            let whole = is_whole(model.layers, group.iter().map(|c| c.held));
            let busy = group.iter().any(|c| self.is_under_way(&c.id));
            if whole || busy {
                continue;
            }
            if let Some(plan) = plan_chain(model, &group) {
                self.order_group(now, ready, &group, &plan, work);
            }
        }
    }

    fn order_group(
        &mut self,
        now: Instant,
        ready: &[&Instance],
        group: &[Card],
        plan: &[LayerRange],
        work: &mut PlaceWork,
    ) {
        for (card, want) in group.iter().zip(plan) {
            let waits = self.not_before.get(&card.id).is_some_and(|at| *at > now);
            if card.held == *want || want.is_empty() || waits {
                continue;
            }
            let Some(instance) = ready.iter().find(|i| i.id == card.id) else {
                continue;
            };
            self.under_way.insert(card.id.clone(), *want);
            let kept = common(card.held, *want);
            if kept != card.held {
                let less = InstanceChange::Holds(card.id.clone(), kept);
                work.changes.push(less);
            }
            work.orders.push(PlaceOrder {
                id: card.id.clone(),
                address: instance.address,
                layers: *want,
                within: WITHIN,
            });
        }
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
        held: instance.layers,
    })
}

/// Layers in both ranges; empty if there is none.
fn common(a: LayerRange, b: LayerRange) -> LayerRange {
    let range = LayerRange::new(a.first.max(b.first), a.last.min(b.last));
    match range.is_empty() {
        true => LayerRange::new(0, 0),
        false => range,
    }
}
