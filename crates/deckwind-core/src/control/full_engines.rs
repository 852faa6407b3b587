//! Engines that recently refused requests for lack of capacity, shared with all routers.

use super::messages::EngineFull;
use crate::state::VmName;
use crate::time::Instant;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a refusal is sent to routers. They apply it for 250 ms, and each
/// router gets an answer within 100 ms.
const REFUSAL_TTL: Duration = Duration::from_millis(200);

/// The last refusal of each engine, and when refusals were last sent to each router.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusalTable {
    latest: BTreeMap<SocketAddr, Refusal>,
    told_at: BTreeMap<VmName, Instant>,
}

#[derive(Clone, Debug)]
struct Refusal {
    at: Instant,
    reported_by: VmName,
    full: EngineFull,
}

impl RefusalTable {
    /// Records refusals that the router `by` reported.
    pub fn record_refusals(&mut self, now: Instant, by: &VmName, full: &[EngineFull]) {
        self.latest.retain(|_, r| now.since(r.at) < REFUSAL_TTL);
        for engine in full {
            let refusal = Refusal {
                at: now,
                reported_by: by.clone(),
                full: *engine,
            };
            self.latest.insert(engine.address, refusal);
        }
    }

    /// Returns the refusals that other routers reported and that weren't sent to this router
    /// yet.
    pub fn refusals_for(&mut self, now: Instant, vm: &VmName) -> Vec<EngineFull> {
        let told_at = self.told_at.insert(vm.clone(), now);
        let news = |r: &&Refusal| {
            let fresh = now.since(r.at) < REFUSAL_TTL && r.reported_by != *vm;
            fresh && told_at.is_none_or(|told_at| told_at < r.at)
        };
        self.latest.values().filter(news).map(|r| r.full).collect()
    }

    /// Removes a router whose lease ended.
    pub fn remove(&mut self, vm: &VmName) {
        self.told_at.remove(vm);
    }
}
