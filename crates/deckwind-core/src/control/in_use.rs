//! What the streams of all routers hold at engines, kept as totals.
//!
//! A renewal costs what the router holds, and a grant what all hold: neither
//! grows with routers times engines.

use super::messages::EngineUse;
use crate::routing::paths::Held;
use crate::state::VmName;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Debug, Default)]
pub(super) struct UseTable {
    by_router: BTreeMap<VmName, Vec<EngineUse>>,
    totals: BTreeMap<SocketAddr, Held>,
}

impl UseTable {
    /// What a router's streams hold now.
    pub fn put(&mut self, vm: &VmName, uses: &[EngineUse]) {
        self.remove(vm);
        for one in uses {
            let total = self.totals.entry(one.address).or_default();
            total.layer_tokens += one.layer_tokens;
            total.begun += one.begun;
        }
        self.by_router.insert(vm.clone(), uses.to_vec());
    }

    /// Forgets a router that is gone.
    pub fn remove(&mut self, vm: &VmName) {
        for one in self.by_router.remove(vm).unwrap_or_default() {
            let Some(total) = self.totals.get_mut(&one.address) else {
                continue;
            };
            *total = without(*total, one.held());
            if *total == Held::default() {
                self.totals.remove(&one.address);
            }
        }
    }

    /// What the streams of all routers hold at one engine, tokens times layers;
    /// nothing if there is none.
    pub fn at(&self, address: SocketAddr) -> Option<u64> {
        self.totals.get(&address).map(|h| h.layer_tokens)
    }

    /// What the streams of all routers but one hold.
    pub fn of_others(&self, vm: &VmName) -> Vec<EngineUse> {
        let mut totals = self.totals.clone();
        for one in self.by_router.get(vm).into_iter().flatten() {
            if let Some(total) = totals.get_mut(&one.address) {
                *total = without(*total, one.held());
            }
        }
        let held = totals.into_iter().filter(|(_, h)| *h != Held::default());
        held.map(|(address, held)| EngineUse::new(address, held))
            .collect()
    }
}

fn without(total: Held, part: Held) -> Held {
    Held {
        layer_tokens: total.layer_tokens.saturating_sub(part.layer_tokens),
        begun: total.begun.saturating_sub(part.begun),
    }
}
