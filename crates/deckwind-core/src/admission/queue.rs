//! Admission queue of one pool of targets.

use crate::state::{AccountName, Priority};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Id of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A request as seen by admission control.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Id of the request.
    pub id: TicketId,
    /// Client account of the request.
    pub account: AccountName,
    /// Weight of that account.
    pub weight: u32,
    /// Priority class of the request.
    pub priority: Priority,
    /// Latest time at which the request must start.
    pub start_by: Instant,
    /// Cost of the request, in any unit that is the same for all requests.
    pub cost: f64,
}

/// The reason why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionRefusal {
    /// The request could not start before its deadline.
    Deadline,
    /// The queue is full.
    QueueFull,
}

/// A refusal of a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason for the refusal.
    pub reason: AdmissionRefusal,
    /// Time after which a retry can succeed.
    pub retry_after: Duration,
}

/// Result of offering a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The request starts now.
    Start,
    /// The request waits. [`Admission::next`] or [`Admission::expire`] returns it later.
    Queued,
    /// The request was refused.
    Refused(Refused),
}

/// Limits of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Maximum number of waiting requests over all priorities.
    pub max_queued: usize,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self { max_queued: 2_048 }
    }
}

/// Weight of a new measurement in the mean time that a request holds its slot.
const HOLD_TIME_WEIGHT: f64 = 0.05;

/// Factor by which the estimated wait must fit before the deadline on entry. Estimates
/// drift, and an admitted request should not have to be refused later.
const ENTRY_MARGIN: f64 = 1.25;

/// Time over which arrivals are averaged.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(5);

/// Maximum fraction of the slots that requests of higher priority may be expected to take.
/// Above this fraction a request is refused as unable to start in time.
const MAX_HIGHER_PRIORITY_LOAD: f64 = 0.98;

/// Minimum retry-after time.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum retry-after time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Order within a priority: by virtual finish time, then by arrival.
#[derive(Clone, Copy, Debug)]
struct Rank {
    finish: f64,
    arrival: u64,
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let by_finish = self.finish.total_cmp(&other.finish);
        by_finish.then(self.arrival.cmp(&other.arrival))
    }
}

/// Queue of one priority, fair between accounts: self-clocked fair queueing (Golestani,
/// INFOCOM 1994).
#[derive(Clone, Debug, Default)]
struct FairQueue {
    waiting: BTreeMap<Rank, Ticket>,
    virtual_time: f64,
    finish: HashMap<AccountName, f64>,
}

impl FairQueue {
    fn push(&mut self, arrival: u64, ticket: Ticket) {
        let last = self.finish.get(&ticket.account).copied().unwrap_or(0.0);
        let start = last.max(self.virtual_time);
        let finish = start + ticket.cost / f64::from(ticket.weight.max(1));
        self.finish.insert(ticket.account.clone(), finish);
        self.waiting.insert(Rank { finish, arrival }, ticket);
    }

    fn pop(&mut self) -> Option<Ticket> {
        let (rank, ticket) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(rank.finish);
        if self.waiting.is_empty() {
            self.finish.clear();
            self.virtual_time = 0.0;
        }
        Some(ticket)
    }

    fn remove(&mut self, rank: &Rank) -> Option<Ticket> {
        self.waiting.remove(rank)
    }

    /// Returns the position that a new ticket of this account would take.
    fn position_of(&self, ticket: &Ticket) -> usize {
        let last = self.finish.get(&ticket.account).copied().unwrap_or(0.0);
        let start = last.max(self.virtual_time);
        let finish = start + ticket.cost / f64::from(ticket.weight.max(1));
        let probe = Rank {
            finish,
            arrival: u64::MAX,
        };
        self.waiting.range(..probe).count()
    }
}

/// Arrivals per second, averaged with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    per_s: f64,
    at: Instant,
}

impl ArrivalRate {
    fn per_s(&self, now: Instant) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.per_s * (-age / ARRIVAL_WINDOW.as_secs_f64()).exp()
    }

    fn arrived(&mut self, now: Instant) {
        self.per_s = self.per_s(now) + 1.0 / ARRIVAL_WINDOW.as_secs_f64();
        self.at = now;
    }
}

/// Admission control of one pool: a number of slots and queues in front of them.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    slots: u32,
    in_use: u32,
    queues: [FairQueue; Priority::ALL.len()],
    arrivals: u64,
    /// Mean time that a request holds its slot, in seconds, by priority.
    hold_s: [f64; Priority::ALL.len()],
    rates: [ArrivalRate; Priority::ALL.len()],
    /// Requests that reached a slot too late. [`Admission::expire`] returns them.
    expired: Vec<Ticket>,
}

impl Admission {
    /// Creates a pool with `slots` slots.
    pub fn new(cfg: AdmissionConfig, slots: u32) -> Self {
        Self {
            cfg,
            slots,
            in_use: 0,
            queues: Default::default(),
            arrivals: 0,
            hold_s: Default::default(),
            rates: Default::default(),
            expired: Vec::new(),
        }
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// The number of slots in use.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// The number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(|q| q.waiting.len()).sum()
    }

    /// Estimates the time until a request of a priority starts, with `ahead_s` slot-seconds
    /// of work ahead of it.
    ///
    /// Slots become free at the rate slots ÷ holding time (Little's law). Arrivals of
    /// higher priority in the meantime take their part of that.
    fn wait(&self, now: Instant, priority: usize, ahead_s: f64) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let higher = self.rates[..priority].iter().zip(&self.hold_s);
        let taken: f64 = higher
            .map(|(rate, hold)| rate.per_s(now) * hold)
            .sum::<f64>()
            / slots;
        if taken >= MAX_HIGHER_PRIORITY_LOAD {
            return MAX_RETRY_AFTER;
        }
        let wait_s = (ahead_s + self.hold_s[priority]) / slots / (1.0 - taken);
        Duration::from_secs_f64(wait_s)
    }

    /// Returns the work ahead of a new ticket, in slot-seconds.
    fn work_ahead_of(&self, ticket: &Ticket) -> f64 {
        let p = ticket.priority.index();
        let waiting = |q: usize| self.queues[q].waiting.len() as f64 * self.hold_s[q];
        let before: f64 = (0..p).map(waiting).sum();
        before + self.queues[p].position_of(ticket) as f64 * self.hold_s[p]
    }

    /// Whether this ticket would be the first to start.
    fn is_next(&self, ticket: &Ticket) -> bool {
        let p = ticket.priority.index();
        let before = self.queues[..p].iter().all(|q| q.waiting.is_empty());
        before && self.queues[p].position_of(ticket) == 0
    }

    /// Offers a request for admission.
    pub fn offer(&mut self, now: Instant, ticket: Ticket) -> Offer {
        let p = ticket.priority.index();
        self.rates[p].arrived(now);
        let free = self.in_use < self.slots;
        if free && self.is_next(&ticket) {
            self.in_use += 1;
            return Offer::Start;
        }
        let wait = self.wait(now, p, self.work_ahead_of(&ticket));
        if wait.mul_f64(ENTRY_MARGIN) > ticket.start_by.since(now) {
            return Offer::Refused(self.refusal(
                AdmissionRefusal::Deadline,
                now,
                wait,
                ticket.start_by,
            ));
        }
        if self.queued() >= self.cfg.max_queued {
            return Offer::Refused(self.refusal(
                AdmissionRefusal::QueueFull,
                now,
                wait,
                ticket.start_by,
            ));
        }
        self.arrivals += 1;
        self.queues[p].push(self.arrivals, ticket);
        Offer::Queued
    }

    fn refusal(
        &self,
        reason: AdmissionRefusal,
        now: Instant,
        wait: Duration,
        start_by: Instant,
    ) -> Refused {
        let budget = start_by.since(now);
        let retry_after = wait.saturating_sub(budget);
        Refused {
            reason,
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Returns the next waiting request that gets a slot. Call until it returns `None`.
    pub fn next(&mut self, now: Instant) -> Option<Ticket> {
        while self.in_use < self.slots {
            let ticket = self.queues.iter_mut().find_map(FairQueue::pop)?;
            if ticket.start_by >= now {
                self.in_use += 1;
                return Some(ticket);
            }
            self.expired.push(ticket);
        }
        None
    }

    /// Records that a request that held its slot for `held` has finished.
    pub fn finished(&mut self, priority: Priority, held: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        let mean = &mut self.hold_s[priority.index()];
        let held_s = held.as_secs_f64();
        if *mean == 0.0 {
            *mean = held_s;
        }
        *mean += (held_s - *mean) * HOLD_TIME_WEIGHT;
    }

    /// Removes a request whose caller has left. Returns whether it was waiting.
    pub fn cancel(&mut self, id: TicketId) -> bool {
        for queue in &mut self.queues {
            let found = queue.waiting.iter().find(|(_, t)| t.id == id);
            if let Some((rank, _)) = found {
                let rank = *rank;
                queue.remove(&rank);
                return true;
            }
        }
        false
    }

    /// Removes the requests that can no longer start in time. Should be called about ten
    /// times a second, so that callers are refused promptly instead of at their deadline.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refused)> {
        let mut out = Vec::new();
        for ticket in std::mem::take(&mut self.expired) {
            let refused = self.refusal(
                AdmissionRefusal::Deadline,
                now,
                MIN_RETRY_AFTER,
                ticket.start_by,
            );
            out.push((ticket, refused));
        }
        let mut ahead_s = 0.0;
        for p in 0..self.queues.len() {
            let ranks: Vec<Rank> = self.queues[p].waiting.keys().copied().collect();
            for rank in ranks {
                let wait = self.wait(now, p, ahead_s);
                let start_by = self.queues[p].waiting[&rank].start_by;
                if now + wait <= start_by {
                    ahead_s += self.hold_s[p];
                    continue;
                }
                let refused = self.refusal(AdmissionRefusal::Deadline, now, wait, start_by);
                if let Some(ticket) = self.queues[p].remove(&rank) {
                    out.push((ticket, refused));
                }
            }
        }
        out
    }
}
