//! Admission pools of a router: their capacities and the tickets in them.

use super::denied::{Denied, DeniedCode};
use super::router_core::{RETRY_ELSEWHERE_AFTER, RouterCore};
use super::work::{CheckedRequest, QueueOutcome, SlotOutcome, Work};
use crate::admission::{Admission, AdmissionRefusal, Offer, Refused, Ticket, TicketId};
use crate::routing::GroupKey;
use crate::state::{Priority, TemplateName, Workload};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies the targets that serve the same requests and share their capacity.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum PoolKey {
    Chat(GroupKey),
    Service(TemplateName),
}

/// The pool and priority of a ticket, and when it got its slot; while it is queued,
/// when it was offered.
#[derive(Clone, Debug)]
pub(super) struct TicketState {
    pub pool: PoolKey,
    pub priority: Priority,
    pub since: Instant,
}

/// Interval at which pool capacities are recomputed from the health of targets.
const RESIZE_INTERVAL: Duration = Duration::from_secs(1);

impl RouterCore {
    /// Sets each pool's capacity to this router's share of its targets' slots. For a
    /// chain, the boundary with the fewest slots counts. Suspended targets do not
    /// count.
    pub(super) fn resize_pools(&mut self, now: Instant) {
        self.pools_resized_at = now;
        let mut shares: BTreeMap<PoolKey, u32> = BTreeMap::new();
        for (template, _) in self.lease.configuration().templates() {
            let pools: Vec<PoolKey> = match &template.workload {
                Workload::Service { .. } => vec![PoolKey::Service(template.name.clone())],
                Workload::Chat { model, .. } => self.chat_pools(model),
            };
            for pool in pools {
                let total = self.pool_capacity(now, &pool);
                let own_share = total.div_ceil(self.routers).max(1);
                shares.insert(pool, own_share);
            }
        }
        for (pool, own_share) in shares {
            let admission = self.cfg.admission;
            self.pools
                .entry(pool)
                .or_insert_with(|| Admission::new(admission, own_share))
                .set_slots(own_share);
        }
    }

    fn chat_pools(&self, model: &str) -> Vec<PoolKey> {
        let of_model = |g: &&GroupKey| g.model == model;
        let groups = self.fleet.groups().filter(of_model);
        groups.map(|g| PoolKey::Chat(g.clone())).collect()
    }

    fn pool_capacity(&self, now: Instant, pool: &PoolKey) -> u32 {
        match pool {
            PoolKey::Chat(group) => self.fleet.chain_capacity(now, group),
            PoolKey::Service(template) => self.fleet.service_capacity(now, template),
        }
    }

    /// Requests a slot in the request's pool.
    ///
    /// # Errors
    ///
    /// Returns [`DeniedCode::NoTargets`] if the pool does not exist, and the refusal of
    /// admission control if the request can't be queued.
    pub fn request_slot(
        &mut self,
        now: Instant,
        checked_request: &CheckedRequest,
    ) -> Result<SlotOutcome, Denied> {
        let pool = match &checked_request.work {
            Work::Chat(chat) => PoolKey::Chat(chat.group.clone()),
            Work::Service(_) => PoolKey::Service(checked_request.template.clone()),
        };
        let account = self.configuration().account(&checked_request.account);
        let ticket = Ticket {
            id: checked_request.id,
            account: checked_request.account.clone(),
            weight: account.map_or(1, |a| a.limits.weight),
            priority: checked_request.priority,
            start_by: checked_request.start_by,
            cost: 1.0,
        };
        let Some(admission) = self.pools.get_mut(&pool) else {
            return Err(Denied::retryable(
                DeniedCode::NoTargets,
                RETRY_ELSEWHERE_AFTER,
            ));
        };
        match admission.offer(now, ticket) {
            Offer::Refused(refused) => Err(denied(refused)),
            offer => {
                let state = TicketState {
                    pool,
                    priority: checked_request.priority,
                    since: now,
                };
                self.tickets.insert(checked_request.id, state);
                let start = offer == Offer::Start;
                Ok(if start {
                    SlotOutcome::Start
                } else {
                    SlotOutcome::Wait
                })
            }
        }
    }

    /// Releases the slot or the queue position of a request. Returns the requests that
    /// can start now.
    pub fn release_slot(&mut self, now: Instant, id: TicketId) -> Vec<QueueOutcome> {
        let Some(state) = self.tickets.remove(&id) else {
            return Vec::new();
        };
        let Some(admission) = self.pools.get_mut(&state.pool) else {
            return Vec::new();
        };
        if !admission.cancel(id) {
            admission.finished(state.priority, now.since(state.since));
        }
        let started = start_waiting(admission, now);
        self.record_started(now, started)
    }

    /// Restarts the slot time of the requests that have just started.
    fn record_started(&mut self, now: Instant, admitted: Vec<QueueOutcome>) -> Vec<QueueOutcome> {
        for one in &admitted {
            if let QueueOutcome::Start(id) = one
                && let Some(state) = self.tickets.get_mut(id)
            {
                state.since = now;
            }
        }
        admitted
    }

    /// Starts queued requests that have a slot and refuses those that can no longer
    /// start before their deadline. To be called ten times a second.
    pub fn tick(&mut self, now: Instant) -> Vec<QueueOutcome> {
        if now.since(self.pools_resized_at) >= RESIZE_INTERVAL {
            self.resize_pools(now);
        }
        let mut out = Vec::new();
        for admission in self.pools.values_mut() {
            out.extend(start_waiting(admission, now));
            for (ticket, refused) in admission.expire(now) {
                self.tickets.remove(&ticket.id);
                out.push(QueueOutcome::Denied(ticket.id, denied(refused)));
            }
        }
        self.record_started(now, out)
    }
}

fn denied(refused: Refused) -> Denied {
    let code = match refused.reason {
        AdmissionRefusal::Deadline => DeniedCode::Deadline,
        AdmissionRefusal::QueueFull => DeniedCode::QueueFull,
    };
    Denied::retryable(code, refused.retry_after)
}

fn start_waiting(admission: &mut Admission, now: Instant) -> Vec<QueueOutcome> {
    let mut out = Vec::new();
    while let Some(ticket) = admission.next(now) {
        out.push(QueueOutcome::Start(ticket.id));
    }
    out
}
