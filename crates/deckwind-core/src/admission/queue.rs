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

/// Weight of a new measurement in the time between two starts.
const DRAIN_GAIN: f64 = 0.1;

/// Longest gap that counts as one: a pool that stood idle says nothing of how
/// fast it drains.
const MAX_GAP: Duration = Duration::from_secs(1);

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

/// Admission to one pool: a number of places, and queues before them.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    places: u32,
    in_use: u32,
    queues: [FairQueue; Priority::ALL.len()],
    arrivals: u64,
    gap_s: f64,
    last_end: Option<Instant>,
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
            gap_s: 0.0,
            last_end: None,
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

    /// Time until a request with `ahead` others before it starts.
    fn wait(&self, ahead: usize) -> Duration {
        Duration::from_secs_f64(self.gap_s * (ahead + 1) as f64)
    }

    fn ahead_of(&self, ticket: &Ticket) -> usize {
        let p = ticket.priority.index();
        let before: usize = self.queues[..p].iter().map(|q| q.waiting.len()).sum();
        before + self.queues[p].place_of(ticket)
    }

    /// Asks for a place.
    pub fn offer(&mut self, now: Instant, ticket: Ticket) -> Offer {
        let free = self.in_use < self.places;
        let ahead = self.ahead_of(&ticket);
        if free && ahead == 0 {
            self.in_use += 1;
            return Offer::Start;
        }
        let wait = self.wait(ahead);
        if now + wait > ticket.start_by {
            return Offer::Refused(self.refusal(RefusedWhy::Deadline, now, wait, ticket.start_by));
        }
        if self.queued() >= self.cfg.max_queued {
            return Offer::Refused(self.refusal(RefusedWhy::QueueFull, now, wait, ticket.start_by));
        }
        self.arrivals += 1;
        let p = ticket.priority.index();
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

    /// A request that had started is over.
    pub fn finished(&mut self, now: Instant) {
        self.in_use = self.in_use.saturating_sub(1);
        if let Some(last) = self.last_end {
            let gap = now.since(last).min(MAX_GAP).as_secs_f64();
            let seen = if self.gap_s == 0.0 { gap } else { self.gap_s };
            self.gap_s = seen + (gap - seen) * DRAIN_GAIN;
        }
        self.last_end = Some(now);
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
            let refused = self.refusal(RefusedWhy::Deadline, now, self.wait(0), ticket.start_by);
            out.push((ticket, refused));
        }
        let mut ahead = 0;
        for p in 0..self.queues.len() {
            let ranks: Vec<Rank> = self.queues[p].waiting.keys().copied().collect();
            for rank in ranks {
                let wait = self.wait(ahead);
                let start_by = self.queues[p].waiting[&rank].start_by;
                if now + wait <= start_by {
                    ahead += 1;
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
