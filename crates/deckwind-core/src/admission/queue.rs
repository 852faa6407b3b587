//! One pool of targets and the requests that wait for it.

use crate::state::{AccountName, Priority};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Names a request while it waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// A request as admission sees it.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Its name.
    pub id: TicketId,
    /// Whose.
    pub account: AccountName,
    /// Weight of that account.
    pub weight: u32,
    /// Order of service.
    pub priority: Priority,
    /// When it must have started.
    pub start_by: Instant,
    /// What it costs, in any unit that is the same for all.
    pub cost: f64,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusedWhy {
    /// It could not start before its deadline.
    Deadline,
    /// The queue is full.
    QueueFull,
}

/// A refusal. The request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub why: RefusedWhy,
    /// When another try helps.
    pub retry_after: Duration,
}

/// What became of a request that asked to be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Serve it now.
    Start,
    /// It waits; [`Admission::next`] or [`Admission::expire`] names it later.
    Queued,
    /// It was refused.
    Refused(Refused),
}

/// Bounds of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Most requests that wait, over all priorities.
    pub max_queued: usize,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self { max_queued: 2_048 }
    }
}

/// Weight of a new measurement in the time that a request holds its place.
const HOLD_GAIN: f64 = 0.05;

/// An estimated wait times this must fit before the deadline at entry. Estimates
/// drift; whoever is let in should not have to be sent away later.
const ENTRY_MARGIN: f64 = 1.25;

/// Arrivals are averaged over this time.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(5);

/// Part of the places that requests of higher priority may be expected to take;
/// above it a request is told that it does not start in time.
const MOST_TAKEN: f64 = 0.98;

/// Shortest time that a caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest such time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Order inside a priority: by virtual finish time, then by arrival.
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

/// Requests of one priority, fair between accounts: self-clocked fair queueing
/// (Golestani, INFOCOM 1994).
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

    /// Place that a new ticket of this account would take.
    fn place_of(&self, ticket: &Ticket) -> usize {
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

/// Arrivals a second, averaged with exponential decay.
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

/// Admission to one pool: a number of places, and queues before them.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    places: u32,
    in_use: u32,
    queues: [FairQueue; Priority::ALL.len()],
    arrivals: u64,
    /// Mean time that a request holds its place, seconds, by priority.
    hold_s: [f64; Priority::ALL.len()],
    rates: [ArrivalRate; Priority::ALL.len()],
    /// Came up for a place too late; [`Admission::expire`] names them.
    lapsed: Vec<Ticket>,
}

impl Admission {
    /// A pool with `places` places.
    pub fn new(cfg: AdmissionConfig, places: u32) -> Self {
        Self {
            cfg,
            places,
            in_use: 0,
            queues: Default::default(),
            arrivals: 0,
            hold_s: Default::default(),
            rates: Default::default(),
            lapsed: Vec::new(),
        }
    }

    /// Changes the number of places.
    pub fn set_places(&mut self, places: u32) {
        self.places = places;
    }

    /// Places in use.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(|q| q.waiting.len()).sum()
    }

    /// Time until a request of a priority starts, with work for `ahead_s`
    /// seconds of one place before it.
    ///
    /// Places free up at places ÷ holding time (Little's law); what comes at a
    /// higher priority in the meantime takes its part of that.
    fn wait(&self, now: Instant, priority: usize, ahead_s: f64) -> Duration {
        let places = f64::from(self.places.max(1));
        let higher = self.rates[..priority].iter().zip(&self.hold_s);
        let taken: f64 = higher
            .map(|(rate, hold)| rate.per_s(now) * hold)
            .sum::<f64>()
            / places;
        if taken >= MOST_TAKEN {
            return MAX_RETRY_AFTER;
        }
        let wait_s = (ahead_s + self.hold_s[priority]) / places / (1.0 - taken);
        Duration::from_secs_f64(wait_s)
    }

    /// Work that goes before a new ticket, in seconds of one place.
    fn ahead_of(&self, ticket: &Ticket) -> f64 {
        let p = ticket.priority.index();
        let waiting = |q: usize| self.queues[q].waiting.len() as f64 * self.hold_s[q];
        let before: f64 = (0..p).map(waiting).sum();
        before + self.queues[p].place_of(ticket) as f64 * self.hold_s[p]
    }

    /// Whether a ticket of this priority would be the first to start.
    fn is_next(&self, ticket: &Ticket) -> bool {
        let p = ticket.priority.index();
        let before = self.queues[..p].iter().all(|q| q.waiting.is_empty());
        before && self.queues[p].place_of(ticket) == 0
    }

    /// Asks for a place.
    pub fn offer(&mut self, now: Instant, ticket: Ticket) -> Offer {
        let p = ticket.priority.index();
        self.rates[p].arrived(now);
        let free = self.in_use < self.places;
        if free && self.is_next(&ticket) {
            self.in_use += 1;
            return Offer::Start;
        }
        let wait = self.wait(now, p, self.ahead_of(&ticket));
        if wait.mul_f64(ENTRY_MARGIN) > ticket.start_by.since(now) {
            return Offer::Refused(self.refusal(RefusedWhy::Deadline, now, wait, ticket.start_by));
        }
        if self.queued() >= self.cfg.max_queued {
            return Offer::Refused(self.refusal(RefusedWhy::QueueFull, now, wait, ticket.start_by));
        }
        self.arrivals += 1;
        self.queues[p].push(self.arrivals, ticket);
        Offer::Queued
    }

    fn refusal(&self, why: RefusedWhy, now: Instant, wait: Duration, start_by: Instant) -> Refused {
        let budget = start_by.since(now);
        let retry_after = wait.saturating_sub(budget);
        Refused {
            why,
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// The next waiting request that has a place; call until there is none.
    pub fn next(&mut self, now: Instant) -> Option<Ticket> {
        while self.in_use < self.places {
            let ticket = self.queues.iter_mut().find_map(FairQueue::pop)?;
            if ticket.start_by >= now {
                self.in_use += 1;
                return Some(ticket);
            }
            self.lapsed.push(ticket);
        }
        None
    }

    /// A request that had its place for `held` is over.
    pub fn finished(&mut self, priority: Priority, held: Duration) {
        self.in_use = self.in_use.saturating_sub(1);
        let mean = &mut self.hold_s[priority.index()];
        let held_s = held.as_secs_f64();
        if *mean == 0.0 {
            *mean = held_s;
        }
        *mean += (held_s - *mean) * HOLD_GAIN;
    }

    /// Takes out a request whose caller went away.
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

    /// Takes out the requests that can no longer start in time. Call this about
    /// ten times a second: their callers then hear it at once, not at the end.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refused)> {
        let mut out = Vec::new();
        for ticket in std::mem::take(&mut self.lapsed) {
            let refused = self.refusal(RefusedWhy::Deadline, now, MIN_RETRY_AFTER, ticket.start_by);
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
                let refused = self.refusal(RefusedWhy::Deadline, now, wait, start_by);
                if let Some(ticket) = self.queues[p].remove(&rank) {
                    out.push((ticket, refused));
                }
            }
        }
        out
    }
}
