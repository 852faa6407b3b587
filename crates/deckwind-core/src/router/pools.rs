//! The pools of a router: how many places each has, and who holds them.

use super::denied::{Denied, DeniedCode};
use super::router_core::{ELSEWHERE, RouterCore};
use super::work::{Admitted, Entered, Placed, Work};
use crate::admission::{Admission, Offer, Refused, RefusedWhy, Ticket, TicketId};
use crate::routing::GroupKey;
use crate::state::{Priority, TemplateName, Workload};
use crate::time::Instant;
use std::collections::BTreeMap;
use std::time::Duration;

/// Targets that serve the same requests, with their places.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum PoolKey {
    Chat(GroupKey),
    Service(TemplateName),
}

/// A ticket's pool and priority, and when it got its place.
#[derive(Clone, Debug)]
pub(super) struct HeldPlace {
    pub pool: PoolKey,
    pub priority: Priority,
    pub since: Instant,
}

/// Between two sizings of the pools by the health of their targets.
const SIZE_EVERY: Duration = Duration::from_secs(1);

impl RouterCore {
    /// Gives each pool this router's part of its targets' places: those of the
    /// least provided layer. Targets that are suspended have none.
    pub(super) fn size_pools(&mut self, now: Instant) {
        self.sized_at = now;
        let mut places: BTreeMap<PoolKey, u32> = BTreeMap::new();
        for (template, _) in self.lease.configuration().templates() {
            let pools: Vec<PoolKey> = match &template.workload {
                Workload::Service { .. } => vec![PoolKey::Service(template.name.clone())],
                Workload::Chat { model, .. } => self.chat_pools(model),
            };
            for pool in pools {
                let total = self.places_of(now, &pool);
                let mine = total.div_ceil(self.routers).max(1);
                places.insert(pool, mine);
            }
        }
        for (pool, mine) in places {
            let admission = self.cfg.admission;
            self.pools
                .entry(pool)
                .or_insert_with(|| Admission::new(admission, mine))
                .set_places(mine);
        }
    }

    fn chat_pools(&self, model: &str) -> Vec<PoolKey> {
        let of_model = |g: &&GroupKey| g.model == model;
        let groups = self.fleet.groups().filter(of_model);
        groups.map(|g| PoolKey::Chat(g.clone())).collect()
    }

    fn places_of(&self, now: Instant, pool: &PoolKey) -> u32 {
        match pool {
            PoolKey::Chat(group) => self.fleet.chain_places(now, group),
            PoolKey::Service(template) => self.fleet.service_places(now, template),
        }
    }

    /// Asks for a place in the request's pool.
    pub fn place(&mut self, now: Instant, entered: &Entered) -> Result<Placed, Denied> {
        let pool = match &entered.work {
            Work::Chat(chat) => PoolKey::Chat(chat.group.clone()),
            Work::Service(_) => PoolKey::Service(entered.template.clone()),
        };
        let account = self.configuration().account(&entered.account);
        let ticket = Ticket {
            id: entered.id,
            account: entered.account.clone(),
            weight: account.map_or(1, |a| a.limits.weight),
            priority: entered.priority,
            start_by: entered.start_by,
            cost: 1.0,
        };
        let Some(admission) = self.pools.get_mut(&pool) else {
            return Err(Denied::for_now(DeniedCode::NoTargets, ELSEWHERE));
        };
        match admission.offer(now, ticket) {
            Offer::Refused(refused) => Err(denied(refused)),
            offer => {
                let place = HeldPlace {
                    pool,
                    priority: entered.priority,
                    since: now,
                };
                self.tickets.insert(entered.id, place);
                let start = offer == Offer::Start;
                Ok(if start { Placed::Start } else { Placed::Wait })
            }
        }
    }

    /// A request that had its place is over; others may start.
    pub fn leave(&mut self, now: Instant, id: TicketId) -> Vec<Admitted> {
        let Some(place) = self.tickets.remove(&id) else {
            return Vec::new();
        };
        let Some(admission) = self.pools.get_mut(&place.pool) else {
            return Vec::new();
        };
        if !admission.cancel(id) {
            admission.finished(place.priority, now.since(place.since));
        }
        let started = start_waiting(admission, now);
        self.note_started(now, started)
    }

    /// Counts the time of those that have just got their place from now on.
    fn note_started(&mut self, now: Instant, admitted: Vec<Admitted>) -> Vec<Admitted> {
        for one in &admitted {
            if let Admitted::Start(id) = one
                && let Some(place) = self.tickets.get_mut(id)
            {
                place.since = now;
            }
        }
        admitted
    }

    /// Refuses what waits and can no longer start in time; call it ten times a
    /// second.
    pub fn tick(&mut self, now: Instant) -> Vec<Admitted> {
        if now.since(self.sized_at) >= SIZE_EVERY {
            self.size_pools(now);
        }
        let mut out = Vec::new();
        for admission in self.pools.values_mut() {
            out.extend(start_waiting(admission, now));
            for (ticket, refused) in admission.expire(now) {
                self.tickets.remove(&ticket.id);
                out.push(Admitted::Denied(ticket.id, denied(refused)));
            }
        }
        self.note_started(now, out)
    }
}

fn denied(refused: Refused) -> Denied {
    let code = match refused.why {
        RefusedWhy::Deadline => DeniedCode::Deadline,
        RefusedWhy::QueueFull => DeniedCode::QueueFull,
    };
    Denied::for_now(code, refused.retry_after)
}

fn start_waiting(admission: &mut Admission, now: Instant) -> Vec<Admitted> {
    let mut out = Vec::new();
    while let Some(ticket) = admission.next(now) {
        out.push(Admitted::Start(ticket.id));
    }
    out
}
