//! Engines that have just refused requests for want of room, for all routers.

use super::messages::EngineFull;
use crate::state::VmName;
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long routers are told of a refusal: they use it for 250 ms, and an answer
/// to each comes within 100 ms.
const TOLD_FOR: Duration = Duration::from_millis(200);

/// The last refusal of each engine, and who was told up to when.
#[derive(Clone, Debug, Default)]
pub(super) struct FullTable {
    last: BTreeMap<SocketAddr, Refusal>,
    told: BTreeMap<VmName, Instant>,
}

#[derive(Clone, Debug)]
struct Refusal {
    at: Instant,
    by: VmName,
    full: EngineFull,
}

impl FullTable {
    /// A router told of refusals.
    pub fn told(&mut self, now: Instant, by: &VmName, full: &[EngineFull]) {
        self.last.retain(|_, r| now.since(r.at) < TOLD_FOR);
        for one in full {
            let refusal = Refusal {
                at: now,
                by: by.clone(),
                full: *one,
            };
            self.last.insert(one.address, refusal);
        }
    }

    /// What a router has not heard, of the others.
    pub fn news_for(&mut self, now: Instant, vm: &VmName) -> Vec<EngineFull> {
        let told = self.told.insert(vm.clone(), now);
        let news = |r: &&Refusal| {
            let fresh = now.since(r.at) < TOLD_FOR && r.by != *vm;
            fresh && told.is_none_or(|told| told < r.at)
        };
        self.last.values().filter(news).map(|r| r.full).collect()
    }

    /// Forgets a router that is gone.
    pub fn remove(&mut self, vm: &VmName) {
        self.told.remove(vm);
    }
}
