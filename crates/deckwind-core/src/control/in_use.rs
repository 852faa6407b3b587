//! What the streams of all routers hold at engines, kept as totals.
//!
//! A renewal costs what the router's streams have begun and ended since the last
//! one. A grant costs the engines whose total has moved by a good part of what they
//! keep since that router last heard: of its own data centre at a fine step, of
//! others at a coarse one. Neither grows with routers times engines.
//!
//! ```text
//!  total ──moved by a step──► told, with the next number ──► routers that know less
//! ```

use super::messages::{EngineUse, UseNews, UseNumber};
use crate::replication::Term;
use crate::routing::paths::Held;
use crate::state::{DataCentre, VmName};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Routers from which on a fine step is a twentieth of what an engine keeps. With
/// fewer of them it is as much smaller, since each step is told to every router.
const FULL_STEP_FROM: u64 = 250;

/// Fine steps, at their largest, in what an engine keeps.
const FINE_STEPS: u64 = 20;

/// How many fine steps a coarse one has: other data centres are chosen by their room
/// as a whole.
const COARSE: u64 = 5;

/// What an engine has for streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EngineRoom {
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Tokens times layers that it keeps.
    pub keeps: u64,
    /// Streams that may begin there.
    pub slots: u32,
}

/// A total as it was last told, and the number under which.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    held: Held,
    number: u64,
}

#[derive(Clone, Debug)]
struct Row {
    total: Held,
    room: EngineRoom,
    fine: Told,
    coarse: Told,
}

#[derive(Clone, Debug, Default)]
pub(super) struct UseTable {
    by_router: BTreeMap<VmName, Vec<EngineUse>>,
    rows: BTreeMap<SocketAddr, Row>,
    /// Engines by data centre and by the number under which they were last told there.
    fine: BTreeMap<DataCentre, BTreeSet<(u64, SocketAddr)>>,
    /// The same for all other data centres.
    coarse: BTreeSet<(u64, SocketAddr)>,
    number: u64,
}

impl UseTable {
    /// What a router's streams hold now; `room` tells what an engine has, if it is
    /// known.
    pub fn put(
        &mut self,
        vm: &VmName,
        uses: &[EngineUse],
        room: impl Fn(SocketAddr) -> Option<EngineRoom>,
    ) {
        if self.by_router.get(vm).is_some_and(|before| before == uses) {
            return;
        }
        let before = self.by_router.insert(vm.clone(), uses.to_vec());
        let mut moved = BTreeSet::new();
        for one in before.into_iter().flatten() {
            if let Some(row) = self.rows.get_mut(&one.address) {
                row.total = without(row.total, one.held());
                moved.insert(one.address);
            }
        }
        for one in uses {
            if let Some(row) = self.row(one.address, &room) {
                row.total.layer_tokens += one.layer_tokens;
                row.total.begun += one.begun;
                moved.insert(one.address);
            }
        }
        self.tell(moved);
    }

    fn row(
        &mut self,
        address: SocketAddr,
        room: &impl Fn(SocketAddr) -> Option<EngineRoom>,
    ) -> Option<&mut Row> {
        let room = room(address);
        if let Some(row) = self.rows.get_mut(&address) {
            if let Some(room) = room {
                move_to(&mut self.fine, address, row, room);
            }
        } else {
            let row = Row {
                total: Held::default(),
                room: room?,
                fine: Told::default(),
                coarse: Told::default(),
            };
            self.rows.insert(address, row);
        }
        self.rows.get_mut(&address)
    }

    /// Forgets a router that is gone.
    pub fn remove(&mut self, vm: &VmName) {
        let before = self.by_router.remove(vm).unwrap_or_default();
        for one in &before {
            if let Some(row) = self.rows.get_mut(&one.address) {
                row.total = without(row.total, one.held());
            }
        }
        self.tell(before.iter().map(|one| one.address));
    }

    /// Has totals told that have moved far enough.
    fn tell(&mut self, moved: impl IntoIterator<Item = SocketAddr>) {
        let routers = (self.by_router.len() as u64).min(FULL_STEP_FROM);
        for address in moved {
            let Some(row) = self.rows.get_mut(&address) else {
                continue;
            };
            let step = |of: u64| of * routers / (FULL_STEP_FROM * FINE_STEPS);
            let steps = Held {
                layer_tokens: step(row.room.keeps),
                begun: step(u64::from(row.room.slots)) as u32,
            };
            if has_moved(row.total, row.fine.held, steps) {
                self.number += 1;
                let centre = self.fine.entry(row.room.data_centre.clone()).or_default();
                centre.remove(&(row.fine.number, address));
                centre.insert((self.number, address));
                row.fine = Told {
                    held: row.total,
                    number: self.number,
                };
            }
            let steps = Held {
                layer_tokens: steps.layer_tokens * COARSE,
                begun: steps.begun * COARSE as u32,
            };
            if has_moved(row.total, row.coarse.held, steps) {
                self.number += 1;
                self.coarse.remove(&(row.coarse.number, address));
                self.coarse.insert((self.number, address));
                row.coarse = Told {
                    held: row.total,
                    number: self.number,
                };
            }
        }
    }

    /// What the streams of all routers hold at one engine, tokens times layers;
    /// nothing if there is none.
    pub fn at(&self, address: SocketAddr) -> Option<u64> {
        let total = self.rows.get(&address).map(|row| row.total.layer_tokens);
        total.filter(|tokens| *tokens > 0)
    }

    /// What a router in this data centre lacks that knows so much of what this leader
    /// told; nothing if that is all.
    pub fn news(
        &self,
        term: Term,
        data_centre: &DataCentre,
        known: Option<UseNumber>,
    ) -> Option<UseNews> {
        let known = known.filter(|known| known.term == term);
        let number = known.map_or(0, |known| known.number);
        if known.is_some() && number == self.number {
            return None;
        }
        let from = (number + 1, SocketAddr::from(([0, 0, 0, 0], 0)));
        let fine = self.fine.get(data_centre).into_iter();
        let fine = fine.flat_map(|there| there.range(from..));
        let fine = fine.filter_map(|(_, address)| {
            let row = self.rows.get(address)?;
            Some(EngineUse::new(*address, row.fine.held))
        });
        let coarse = self.coarse.range(from..).filter_map(|(_, address)| {
            let row = self.rows.get(address)?;
            let elsewhere = row.room.data_centre != *data_centre;
            elsewhere.then(|| EngineUse::new(*address, row.coarse.held))
        });
        Some(UseNews {
            upto: UseNumber {
                term,
                number: self.number,
            },
            all: known.is_none(),
            engines: fine.chain(coarse).collect(),
        })
    }
}

/// Takes over what an engine has now. In another data centre nothing was told of it.
fn move_to(
    fine: &mut BTreeMap<DataCentre, BTreeSet<(u64, SocketAddr)>>,
    address: SocketAddr,
    row: &mut Row,
    room: EngineRoom,
) {
    if row.room.data_centre != room.data_centre {
        if let Some(there) = fine.get_mut(&row.room.data_centre) {
            there.remove(&(row.fine.number, address));
        }
        row.fine = Told::default();
    }
    row.room = room;
}

/// Whether a total has moved by more than these steps since it was told.
fn has_moved(total: Held, told: Held, steps: Held) -> bool {
    total.layer_tokens.abs_diff(told.layer_tokens) > steps.layer_tokens
        || total.begun.abs_diff(told.begun) > steps.begun
}

fn without(total: Held, part: Held) -> Held {
    Held {
        layer_tokens: total.layer_tokens.saturating_sub(part.layer_tokens),
        begun: total.begun.saturating_sub(part.begun),
    }
}
