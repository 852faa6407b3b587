//! Log lines and metrics of the router's lease.

use super::shared::RouterShared;
use deckwind_core::membership::LeaseGrant;
use deckwind_core::time::Instant;
use std::time::Duration;

/// What was last logged of the lease.
#[derive(Default)]
pub struct LeaseLog {
    was_live: bool,
    /// The leases without the newest state that this router was granted in a row.
    without_state: Option<LeasesWithoutState>,
}

/// Leases in a row that were granted without changes that the router lacks.
struct LeasesWithoutState {
    since: Instant,
    count: u64,
}

impl LeaseLog {
    /// Logs the first of several leases in a row that came without the newest state, and the
    /// first one after them.
    pub fn record_grant(&mut self, shared: &RouterShared, grant: LeaseGrant) {
        let now = shared.clock.now();
        let (vm, revision) = (&shared.vm, shared.revision());
        let Some(lasts) = grant.duration else {
            if let Some(ended) = self.without_state.take() {
                log::info!(
                    "event=state_caught_up vm={vm} revision={revision} leases={} after_ms={}",
                    ended.count,
                    now.since(ended.since).as_millis()
                );
            }
            return;
        };
        metrics::counter!("deckwind_router_leases_without_state_total").increment(1);
        let first = LeasesWithoutState {
            since: now,
            count: 0,
        };
        let leases = self.without_state.get_or_insert(first);
        if leases.count == 0 {
            log_first(shared, grant, lasts);
        }
        leases.count += 1;
    }

    /// Logs that the lease is live or has expired, if that has changed.
    pub fn record_lease(&mut self, shared: &RouterShared) {
        let (live, revision) = {
            let core = shared.core();
            (
                core.lease().is_live(shared.clock.now()),
                core.lease().applied(),
            )
        };
        if live != self.was_live {
            self.was_live = live;
            let event = if live { "lease_held" } else { "lease_lost" };
            log::info!("event={event} vm={} revision={revision}", shared.vm);
        }
    }
}

fn log_first(shared: &RouterShared, grant: LeaseGrant, lasts: Duration) {
    log::info!(
        "event=lease_without_state vm={} revision={} term={} lasts_ms={}",
        shared.vm,
        shared.revision(),
        grant.term.0,
        lasts.as_millis()
    );
}
