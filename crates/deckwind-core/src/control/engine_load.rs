//! Load that the streams of all routers put on each engine, kept as totals.
//!
//! The cost of a renewal is proportional to the streams that the router began and ended
//! since its last one. The cost of a grant is proportional to the engines whose total
//! changed by a significant part of their capacity since that router was last updated: a
//! fine step for engines of its own data centre, a coarse one for others. Neither grows
//! with routers × engines.
//!
//! ```text
//!  total ──changed by a step──► published under the next sequence number ──► routers that know less
//! ```

use super::messages::{EngineLoadUpdate, EngineLoadVersion, EngineStreamLoad};
use crate::replication::Term;
use crate::routing::paths::StreamLoad;
use crate::state::{DataCentre, VmName};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Number of routers from which on a fine step is a twentieth of an engine's capacity.
/// With fewer routers the step is proportionally smaller, since each step is sent to
/// every router.
const FULL_STEP_ROUTERS: u64 = 250;

/// Number of fine steps in an engine's capacity when a step has its full size.
const FINE_STEPS_PER_CAPACITY: u64 = 20;

/// Number of fine steps in a coarse one. Other data centres are chosen by their total
/// free capacity, so less precision is needed.
const FINE_STEPS_PER_COARSE: u64 = 5;

/// Capacity of an engine for streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EngineCapacity {
    /// Data centre of the engine.
    pub data_centre: DataCentre,
    /// Capacity of the engine's memory, in tokens times the layers that keep them.
    pub token_capacity: u64,
    /// Number of streams that may begin at the engine.
    pub slots: u32,
}

/// A total as last published, with its sequence number.
#[derive(Clone, Copy, Debug, Default)]
struct Published {
    held: StreamLoad,
    sequence: u64,
}

/// Load on one engine, as it is now and as published at each step size.
#[derive(Clone, Debug)]
struct EngineTotal {
    total: StreamLoad,
    room: EngineCapacity,
    fine: Published,
    coarse: Published,
}

/// Load of the streams of all routers, by engine.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineLoadTable {
    by_router: BTreeMap<VmName, Vec<EngineStreamLoad>>,
    totals: BTreeMap<SocketAddr, EngineTotal>,
    /// Engines by data centre and by the sequence number under which their total was last
    /// published to that data centre.
    fine: BTreeMap<DataCentre, BTreeSet<(u64, SocketAddr)>>,
    /// The same for routers of all other data centres.
    coarse: BTreeSet<(u64, SocketAddr)>,
    sequence: u64,
}

impl EngineLoadTable {
    /// Replaces the load that a router's streams put on engines. `room` returns the
    /// capacity of an engine if it is known.
    pub fn put(
        &mut self,
        vm: &VmName,
        uses: &[EngineStreamLoad],
        room: impl Fn(SocketAddr) -> Option<EngineCapacity>,
    ) {
        if self.by_router.get(vm).is_some_and(|before| before == uses) {
            return;
        }
        let before = self.by_router.insert(vm.clone(), uses.to_vec());
        let mut changed = BTreeSet::new();
        for engine_use in before.into_iter().flatten() {
            if let Some(entry) = self.totals.get_mut(&engine_use.address) {
                entry.total = subtract(entry.total, engine_use.held());
                changed.insert(engine_use.address);
            }
        }
        for engine_use in uses {
            if let Some(entry) = self.total_of(engine_use.address, &room) {
                entry.total.layer_tokens += engine_use.layer_tokens;
                entry.total.begun += engine_use.begun;
                changed.insert(engine_use.address);
            }
        }
        self.publish(changed);
    }

    fn total_of(
        &mut self,
        address: SocketAddr,
        room: &impl Fn(SocketAddr) -> Option<EngineCapacity>,
    ) -> Option<&mut EngineTotal> {
        let room = room(address);
        if let Some(entry) = self.totals.get_mut(&address) {
            if let Some(room) = room {
                update_capacity(&mut self.fine, address, entry, room);
            }
        } else {
            let entry = EngineTotal {
                total: StreamLoad::default(),
                room: room?,
                fine: Published::default(),
                coarse: Published::default(),
            };
            self.totals.insert(address, entry);
        }
        self.totals.get_mut(&address)
    }

    /// Removes a router whose lease ended.
    pub fn remove(&mut self, vm: &VmName) {
        let before = self.by_router.remove(vm).unwrap_or_default();
        for engine_use in &before {
            if let Some(entry) = self.totals.get_mut(&engine_use.address) {
                entry.total = subtract(entry.total, engine_use.held());
            }
        }
        self.publish(before.iter().map(|engine_use| engine_use.address));
    }

    /// Publishes the totals that changed by more than a step.
    fn publish(&mut self, changed: impl IntoIterator<Item = SocketAddr>) {
        let routers = (self.by_router.len() as u64).min(FULL_STEP_ROUTERS);
        for address in changed {
            let Some(entry) = self.totals.get_mut(&address) else {
                continue;
            };
            let step = |of: u64| of * routers / (FULL_STEP_ROUTERS * FINE_STEPS_PER_CAPACITY);
            let steps = StreamLoad {
                layer_tokens: step(entry.room.token_capacity),
                begun: step(u64::from(entry.room.slots)) as u32,
            };
            if exceeds_step(entry.total, entry.fine.held, steps) {
                self.sequence += 1;
                let centre = self.fine.entry(entry.room.data_centre.clone()).or_default();
                centre.remove(&(entry.fine.sequence, address));
                centre.insert((self.sequence, address));
                entry.fine = Published {
                    held: entry.total,
                    sequence: self.sequence,
                };
            }
            let steps = StreamLoad {
                layer_tokens: steps.layer_tokens * FINE_STEPS_PER_COARSE,
                begun: steps.begun * FINE_STEPS_PER_COARSE as u32,
            };
            if exceeds_step(entry.total, entry.coarse.held, steps) {
                self.sequence += 1;
                self.coarse.remove(&(entry.coarse.sequence, address));
                self.coarse.insert((self.sequence, address));
                entry.coarse = Published {
                    held: entry.total,
                    sequence: self.sequence,
                };
            }
        }
    }

    /// Returns the tokens times layers that the streams of all routers hold at an engine,
    /// or `None` if they hold nothing.
    pub fn layer_tokens_at(&self, address: SocketAddr) -> Option<u64> {
        let total = self
            .totals
            .get(&address)
            .map(|entry| entry.total.layer_tokens);
        total.filter(|tokens| *tokens > 0)
    }

    /// Returns the totals published since `known` that matter to a router in this data
    /// centre, or `None` if it is up to date. A router that knows nothing of this
    /// leader's term gets all of them.
    pub fn updates_since(
        &self,
        term: Term,
        data_centre: &DataCentre,
        known: Option<EngineLoadVersion>,
    ) -> Option<EngineLoadUpdate> {
        let known = known.filter(|known| known.term == term);
        let known_sequence = known.map_or(0, |known| known.number);
        if known.is_some() && known_sequence == self.sequence {
            return None;
        }
        let from = (known_sequence + 1, SocketAddr::from(([0, 0, 0, 0], 0)));
        let fine = self.fine.get(data_centre).into_iter();
        let fine = fine.flat_map(|engines| engines.range(from..));
        let fine = fine.filter_map(|(_, address)| {
            let entry = self.totals.get(address)?;
            Some(EngineStreamLoad::new(*address, entry.fine.held))
        });
        let coarse = self.coarse.range(from..).filter_map(|(_, address)| {
            let entry = self.totals.get(address)?;
            let elsewhere = entry.room.data_centre != *data_centre;
            elsewhere.then(|| EngineStreamLoad::new(*address, entry.coarse.held))
        });
        Some(EngineLoadUpdate {
            upto: EngineLoadVersion {
                term,
                number: self.sequence,
            },
            all: known.is_none(),
            engines: fine.chain(coarse).collect(),
        })
    }
}

/// Updates the capacity of an engine. If the engine is now in another data centre,
/// nothing was published there yet.
fn update_capacity(
    fine: &mut BTreeMap<DataCentre, BTreeSet<(u64, SocketAddr)>>,
    address: SocketAddr,
    entry: &mut EngineTotal,
    room: EngineCapacity,
) {
    if entry.room.data_centre != room.data_centre {
        if let Some(engines) = fine.get_mut(&entry.room.data_centre) {
            engines.remove(&(entry.fine.sequence, address));
        }
        entry.fine = Published::default();
    }
    entry.room = room;
}

/// Returns whether a total differs from the published one by more than these steps.
fn exceeds_step(total: StreamLoad, published: StreamLoad, steps: StreamLoad) -> bool {
    total.layer_tokens.abs_diff(published.layer_tokens) > steps.layer_tokens
        || total.begun.abs_diff(published.begun) > steps.begun
}

fn subtract(total: StreamLoad, part: StreamLoad) -> StreamLoad {
    StreamLoad {
        layer_tokens: total.layer_tokens.saturating_sub(part.layer_tokens),
        begun: total.begun.saturating_sub(part.begun),
    }
}
