//! Decides which layers each engine should hold and orders the changes.
//!
//! A complete chain stays as it is. A chain that lacks layers is planned again over the
//! engines that are present, once they have stayed the same for a while. An engine first
//! holds its old and new layers together as far as its memory allows: loading need not
//! wait for requests, but unloading waits for the requests that use the layers. Surplus
//! layers are unloaded later, when the chain has been complete for a while. Layers that
//! an engine is to unload are removed from the replicated state before the order is sent,
//! so that no router relies on them.

use super::placement_groups::{PlacementGroup, PlacementGroups};
use crate::routing::placement::{
    EngineCard, RepairMode, covers_model, merged_range, overlap, plan_chain, token_capacity,
};
use crate::state::{
    EngineModel, Incarnation, InstanceChange, InstanceId, Instances, LayerRange, Release,
};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Delay after a failed order before the same engine gets another.
const RETRY_DELAY: Duration = Duration::from_millis(800);

/// Time for which a chain must have been complete before it is improved, since an engine
/// that failed may come back or fail again.
const MIN_COMPLETE_TIME: Duration = Duration::from_millis(1_000);

/// Fraction of an engine's maximum number of tokens. An engine with memory for fewer
/// unloads layers that other engines hold as well.
const SCARCE_TOKENS_FRACTION: f64 = 0.75;

/// Interval, for each engine of the group, between two checks of a group with an
/// unfinished chain. A check scans all engines of the group, so checks take the same
/// fraction of processor time for any number of engines.
const CHECK_INTERVAL_PER_ENGINE: Duration = Duration::from_millis(1);

/// Number of orders in flight from which on no further chain is started. Each order is a
/// connection from the leader and delays its heartbeats. These take some 0.1 s of a core.
const MAX_IN_FLIGHT_ORDERS: usize = 256;

/// Maximum time that an order may take. Loads are much shorter.
const ORDER_TIMEOUT: Duration = Duration::from_secs(15);

/// Treatment of requests that use layers which an engine unloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnloadMode {
    /// The engine waits until the requests end, however long that takes.
    WhenUnused,
    /// The requests are aborted. Their chain can't serve requests until more layers are loaded.
    AtOnce,
}

/// Order for an engine to hold exactly the given layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementOrder {
    /// Id of the engine.
    pub id: InstanceId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Layers to hold.
    pub layers: LayerRange,
    /// Layers that the engine is expected to hold. If it holds others, nothing is done,
    /// since an order of another leader was carried out in the meantime.
    pub expected_layers: LayerRange,
    /// Treatment of requests that use layers which the engine unloads.
    pub unload_mode: UnloadMode,
    /// Timeout of the order.
    pub order_timeout: Duration,
    /// Start time of the incarnation that the order is for. If the engine has restarted
    /// since, the order is void.
    pub born: Option<u64>,
}

impl PlacementOrder {
    /// Returns the incarnation that the order is for.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            born: self.born,
        }
    }
}

/// Changes and orders that the placement requires.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementStep {
    /// Changes to commit before the orders are sent.
    pub changes: Vec<InstanceChange>,
    /// Orders to send.
    pub orders: Vec<PlacementOrder>,
}

/// Effect of an order in flight on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderEffect {
    /// The engine loads layers.
    Loading,
    /// The engine waits until the layers to unload are unused.
    Unloading,
}

/// An order in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InFlightOrder {
    /// Start time of the incarnation that got the order.
    born: Option<u64>,
    effect: OrderEffect,
    /// Layers that the engine holds once the order is done.
    layers: LayerRange,
}

/// Orders in flight and the delays after failed ones.
#[derive(Clone, Debug, Default)]
struct IssuedOrders {
    in_flight: BTreeMap<InstanceId, InFlightOrder>,
    not_before: BTreeMap<Incarnation, Instant>,
}

impl IssuedOrders {
    fn is_in_flight(&self, incarnation: &Incarnation) -> bool {
        let in_flight = self.in_flight.get(&incarnation.id);
        in_flight.is_some_and(|order| order.born == incarnation.born)
    }

    fn effect_on(&self, card: &EngineCard) -> Option<OrderEffect> {
        self.in_flight.get(&card.id).map(|order| order.effect)
    }

    /// Removes orders to incarnations that ended, and delays that are over.
    fn prune(&mut self, now: Instant, instances: &Instances) {
        self.in_flight.retain(|id, order| {
            let known = instances.get(id);
            known.is_none_or(|i| i.born == order.born)
        });
        self.not_before.retain(|_, at| *at > now);
    }

    /// Issues orders for these steps and returns whether there were any.
    fn issue(
        &mut self,
        now: Instant,
        group: &PlacementGroup,
        steps: impl IntoIterator<Item = (EngineCard, LayerRange)>,
        unload_mode: UnloadMode,
        work: &mut PlacementStep,
    ) -> bool {
        let before = work.orders.len();
        for (card, want) in steps {
            if card.held == want || want.is_empty() {
                continue;
            }
            let Some(engine) = group.engine(&card.id) else {
                continue;
            };
            let life = engine.incarnation();
            let failed = self.not_before.get(&life).is_some_and(|at| *at > now);
            if failed || self.is_in_flight(&life) {
                continue;
            }
            let kept = overlap(card.held, want);
            let effect = match kept == want {
                true => OrderEffect::Unloading,
                false => OrderEffect::Loading,
            };
            let order = InFlightOrder {
                born: life.born,
                effect,
                layers: want,
            };
            self.in_flight.insert(card.id.clone(), order);
            work.orders.push(PlacementOrder {
                id: card.id.clone(),
                address: engine.address,
                layers: want,
                expected_layers: card.held,
                unload_mode,
                order_timeout: ORDER_TIMEOUT,
                born: life.born,
            });
            work.changes.push(InstanceChange::Holds {
                life,
                layers: kept,
                in_memory: layers_in_memory(card.held, want, unload_mode),
            });
        }
        work.orders.len() > before
    }
}

/// The leader's placement of layers: groups of engines and the orders issued to them.
#[derive(Clone, Debug, Default)]
pub struct PlacementManager {
    orders: IssuedOrders,
    groups: PlacementGroups,
}

impl PlacementManager {
    /// Returns whether an order to this incarnation is in flight. The layers that it
    /// announces meanwhile may be out of date.
    pub fn is_order_in_flight(&self, incarnation: &Incarnation) -> bool {
        self.orders.is_in_flight(incarnation)
    }

    /// Returns the layers that an engine is ordered to hold while the order is in flight.
    pub fn ordered_layers(&self, id: &str) -> Option<LayerRange> {
        self.orders.in_flight.get(id).map(|order| order.layers)
    }

    /// Records the end of an order to this incarnation.
    pub fn order_ended(&mut self, now: Instant, incarnation: &Incarnation, ok: bool) {
        if self.is_order_in_flight(incarnation) {
            self.orders.in_flight.remove(&incarnation.id);
        }
        if !ok {
            let retry_at = now + RETRY_DELAY;
            self.orders.not_before.insert(incarnation.clone(), retry_at);
            self.groups.schedule_check(&incarnation.id, retry_at);
        }
        self.groups.schedule_check(&incarnation.id, now);
    }

    /// Returns the number of engines scanned so far.
    pub fn rows_scanned(&self) -> u64 {
        self.groups.engines_scanned()
    }

    /// Returns the changes and orders that are required now. Scans only groups in which
    /// something has changed or a scheduled check is due.
    pub fn next_step(
        &mut self,
        now: Instant,
        release: &Release,
        instances: &Instances,
    ) -> PlacementStep {
        let mut work = PlacementStep::default();
        self.orders.prune(now, instances);
        self.groups.apply_changes(now, release, instances);
        for due in self.groups.take_due(now) {
            let Some((model, mut group)) = self.groups.take(&due) else {
                continue;
            };
            self.plan_group(now, &model, &mut group, &mut work);
            self.groups.put_back(due, group);
        }
        work
    }

    fn plan_group(
        &mut self,
        now: Instant,
        model: &EngineModel,
        group: &mut PlacementGroup,
        work: &mut PlacementStep,
    ) {
        let chains = group.chains(model);
        let complete =
            |chain: &[EngineCard]| covers_model(model.layers, chain.iter().map(|c| c.held));
        let complete_count = chains.iter().filter(|chain| complete(chain)).count();
        let (mut any_unfinished, mut any_ordered) = (false, false);
        for (index, chain) in chains.iter().enumerate() {
            let is_complete = complete(chain);
            let other_complete = complete_count - usize::from(is_complete);
            let mend = match other_complete {
                0 => RepairMode::Fast,
                _ => RepairMode::ForCapacity,
            };
            let improve_at = group.complete_since(now, index, is_complete) + MIN_COMPLETE_TIME;
            let scarce = chain.iter().any(|c| is_scarce(model, c));
            if is_complete && scarce && now < improve_at {
                group.schedule_check(improve_at);
            }
            let is_done = is_complete && (now < improve_at || !scarce);
            let effect = |c: &EngineCard| self.orders.effect_on(c);
            let blocked = match is_complete {
                true => chain.iter().any(|c| effect(c).is_some()),
                false => chain
                    .iter()
                    .any(|c| effect(c) == Some(OrderEffect::Loading)),
            };
            any_unfinished |= !is_done;
            if is_done || blocked {
                continue;
            }
            if self.orders.in_flight.len() >= MAX_IN_FLIGHT_ORDERS {
                group.schedule_check(now);
                continue;
            }
            let Some(plan) = plan_chain(model, chain, mend) else {
                continue;
            };
            let steps: Vec<(EngineCard, LayerRange)> = chain.iter().cloned().zip(plan).collect();
            let (steps, unload_mode) = match (is_complete, mend) {
                (true, _) => (improvement_steps(model, steps), UnloadMode::WhenUnused),
                // The other chains and the layers that this chain's engines already hold
                // serve requests, so none of these layers are unloaded at once.
                (false, RepairMode::ForCapacity) => {
                    (addition_steps(model, steps), UnloadMode::WhenUnused)
                }
                (false, RepairMode::Fast) => (keep_held_layers(model, steps), UnloadMode::AtOnce),
            };
            any_ordered |= self.orders.issue(now, group, steps, unload_mode, work);
        }
        match (any_unfinished, any_ordered) {
            (_, true) => group.schedule_check(now),
            (true, false) => {
                group.schedule_check(now + CHECK_INTERVAL_PER_ENGINE * group.len() as u32)
            }
            (false, false) => {}
        }
    }
}

/// Returns the number of layers that take memory on an engine while it changes from one
/// range to another.
fn layers_in_memory(held: LayerRange, want: LayerRange, unload_mode: UnloadMode) -> u32 {
    let both = held.len() + want.len() - overlap(held, want).len();
    match unload_mode {
        UnloadMode::AtOnce => want.len(),
        UnloadMode::WhenUnused => both,
    }
}

/// Returns whether an engine has memory for too few tokens beside its layers.
fn is_scarce(model: &EngineModel, card: &EngineCard) -> bool {
    let free_tokens = token_capacity(model, card.memory_mb, card.held.len());
    !card.held.is_empty() && free_tokens < SCARCE_TOKENS_FRACTION * model.max_tokens as f64
}

/// Returns the steps that let a complete chain with scarce memory keep more requests:
/// first more layers on engines with free memory, and once nothing is left to load, fewer
/// layers on engines with little.
fn improvement_steps(
    model: &EngineModel,
    plan: Vec<(EngineCard, LayerRange)>,
) -> Vec<(EngineCard, LayerRange)> {
    let loads = |(card, want): &(EngineCard, LayerRange)| overlap(card.held, *want) != *want;
    if !plan.iter().any(loads) {
        return plan
            .into_iter()
            .filter(|(c, _)| is_scarce(model, c))
            .collect();
    }
    let loading_step = |(card, want): (EngineCard, LayerRange)| {
        let step = match card.held.is_empty() {
            true => want,
            false => merged_range(model, &card, want)?,
        };
        Some((card, step))
    };
    plan.into_iter().filter_map(loading_step).collect()
}

/// Returns the plan with each engine's current layers added to its new ones where there
/// is memory for both.
fn keep_held_layers(
    model: &EngineModel,
    plan: Vec<(EngineCard, LayerRange)>,
) -> Vec<(EngineCard, LayerRange)> {
    let step = |(card, want): (EngineCard, LayerRange)| {
        let step = merged_range(model, &card, want).unwrap_or(want);
        (card, step)
    };
    plan.into_iter().map(step).collect()
}

/// Returns the steps of those engines that can hold their new layers beside the current
/// ones. If there are none, returns the steps of all engines, which unload layers once
/// they are unused.
fn addition_steps(
    model: &EngineModel,
    plan: Vec<(EngineCard, LayerRange)>,
) -> Vec<(EngineCard, LayerRange)> {
    let adds = |(card, want): &(EngineCard, LayerRange)| {
        let step = match card.held.is_empty() {
            true => *want,
            false => merged_range(model, card, *want)?,
        };
        (step != card.held).then(|| (card.clone(), step))
    };
    let added: Vec<(EngineCard, LayerRange)> = plan.iter().filter_map(adds).collect();
    match added.is_empty() {
        true => keep_held_layers(model, plan),
        false => added,
    }
}
