//! A bound on what is sent again, kept by all routers together.
//!
//! Within any window all routers may repeat at most a share of the requests and
//! some more. Each router keeps the share of its own requests by itself. What is
//! beyond it the leader gives out (see [`LeasedRepeats`]): then all together keep
//! the bound too.
//!
//! Requests that are new to a router, since their callers went to another one before or
//! it has just started, earn little until they have come for a window: elsewhere, or in
//! the process before, what they earned may just have been used.

use super::choice::Claim;
use super::leased::LeasedRepeats;
use crate::control::{RepeatGrant, RepeatReport};
use crate::time::Instant;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The bound over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimits {
    /// Share of the requests.
    pub share: f64,
    /// Repeats beyond it.
    pub beyond: f64,
    /// The window.
    pub window: Duration,
}

/// Part of the bound that is used: a window is counted in whole spans, and what
/// a caller counts as a request may never have come here.
const USED: f64 = 0.8;

/// How long a repeat counts: the window, a twentieth for the time in which it is
/// sent, and a twentieth for a clock that runs fast.
fn counts_for(window: Duration) -> Duration {
    (window + window / 20) * 21 / 20
}

/// Spans that a window is counted in.
const SPANS: u32 = 20;

/// Part of the share that requests earn by which a router gets more than in the window
/// before: half of all callers may have come from other routers.
const MORE_EARN: f64 = 0.5;

/// The same where it had none before since its process has started: all routers may have.
const FIRST_EARN: f64 = 0.25;

/// When a router's process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Started {
    /// The moment.
    pub at: Instant,
    /// Whether the whole system started then for the first time: nothing was sent before.
    pub first: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// What a repeat was paid with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paid {
    /// The share of this router's own requests.
    Share,
    /// What the leader gave.
    Leased,
}

/// One router's part of the bound.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    limits: RepeatLimits,
    started: Started,
    spans: VecDeque<Span>,
    leased: LeasedRepeats,
}

impl RepeatBudget {
    /// Nothing has been sent.
    pub fn new(limits: RepeatLimits, started: Started) -> Self {
        Self {
            limits,
            started,
            spans: VecDeque::new(),
            leased: LeasedRepeats::default(),
        }
    }

    /// A request came.
    pub fn requested(&mut self, now: Instant) {
        self.span(now).requests += 1;
    }

    /// Spends one repeat for such a stream, if there is one: of the share first,
    /// which nobody else could use. `request` tells requests apart.
    pub fn spend(&mut self, now: Instant, claim: Claim, request: u64) -> Option<Paid> {
        if self.spend_share(now) {
            return Some(Paid::Share);
        }
        let leased = self.limits.beyond > 0.0 && self.leased.spend(now, claim, request);
        leased.then_some(Paid::Leased)
    }

    fn spend_share(&mut self, now: Instant) -> bool {
        self.span(now);
        let (_, repeats) = self.counts(now);
        let most = USED * self.limits.share * self.earning(now);
        if f64::from(repeats + 1) > most {
            return false;
        }
        self.span(now).repeats += 1;
        true
    }

    /// Requests and repeats of the share within the window.
    pub fn counts(&self, now: Instant) -> (u32, u32) {
        let oldest = self.oldest_of_window(now);
        let within = || self.spans.iter().filter(|s| s.number >= oldest);
        let requests = within().map(|s| s.requests);
        let repeats = within().map(|s| s.repeats);
        (requests.sum(), repeats.sum())
    }

    /// Requests that earn the share, where those that are new count for less.
    fn earning(&self, now: Instant) -> f64 {
        let requests = f64::from(self.counts(now).0);
        let steady = requests.min(self.before_window(now));
        let age = now.since(self.started.at);
        let part = match self.started.first || age >= 2 * self.limits.window {
            true => MORE_EARN,
            false => FIRST_EARN,
        };
        steady + (requests - steady) * part
    }

    /// Requests of the window before; as if it had been as long, where the whole system
    /// started within it.
    fn before_window(&self, now: Instant) -> f64 {
        let oldest = self.oldest_of_window(now);
        let older = self.spans.iter().filter(|s| s.number < oldest);
        let requests: u32 = older.map(|s| s.requests).sum();
        if !self.started.first {
            return f64::from(requests);
        }
        let window = self.limits.window;
        let age = now.since(self.started.at);
        let known = age.saturating_sub(window).min(window);
        match known.is_zero() {
            true => f64::INFINITY,
            false => f64::from(requests) * window.as_secs_f64() / known.as_secs_f64(),
        }
    }

    fn oldest_of_window(&self, now: Instant) -> u64 {
        // One span more than the window has: the oldest is only part of it.
        self.number(now).saturating_sub(u64::from(SPANS))
    }

    fn number(&self, now: Instant) -> u64 {
        let length = (self.limits.window.as_micros() as u64 / u64::from(SPANS)).max(1);
        now.as_micros() / length
    }

    /// What the leader gave.
    pub fn leased(&mut self) -> &mut LeasedRepeats {
        &mut self.leased
    }

    /// Whether something came for it within the window.
    fn serves(&self, now: Instant) -> bool {
        self.counts(now).0 > 0
    }

    fn span(&mut self, now: Instant) -> &mut Span {
        let number = self.number(now);
        // The window and the one before.
        let oldest = number.saturating_sub(2 * u64::from(SPANS));
        self.spans.retain(|s| s.number >= oldest);
        if self.spans.back().is_none_or(|s| s.number != number) {
            let span = Span {
                number,
                ..Span::default()
            };
            self.spans.push_back(span);
        }
        self.spans.back_mut().expect("one was just pushed")
    }
}

/// The budgets of all pools: the bound holds for each pool by itself, and the
/// requests for one earn nothing for another.
#[derive(Clone, Debug)]
pub struct RepeatBudgets {
    limits: RepeatLimits,
    started: Started,
    by_pool: HashMap<String, RepeatBudget>,
}

impl RepeatBudgets {
    /// Nothing has been sent.
    pub fn new(limits: RepeatLimits, started: Started) -> Self {
        Self {
            limits,
            started,
            by_pool: HashMap::new(),
        }
    }

    /// The budget of a pool.
    pub fn of_pool(&mut self, pool: &str) -> &mut RepeatBudget {
        if !self.by_pool.contains_key(pool) {
            let fresh = RepeatBudget::new(self.limits, self.started);
            self.by_pool.insert(pool.to_string(), fresh);
        }
        self.by_pool.get_mut(pool).expect("just put there")
    }

    /// Forgets the requests of pools that `keep` does not name. What the leader gave
    /// is remembered: an answer that comes late must not give it again.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_pool
            .retain(|pool, b| keep(pool) || b.leased.has_allowance());
        for (pool, budget) in &mut self.by_pool {
            if !keep(pool) {
                budget.spans.clear();
            }
        }
    }

    /// What the leader is to hear; nothing if nothing is allowed beyond the share.
    pub fn report(&mut self, now: Instant) -> Option<RepeatReport> {
        if self.limits.beyond <= 0.0 {
            return None;
        }
        let mut pools = Vec::new();
        for (pool, budget) in &mut self.by_pool {
            let serves = budget.serves(now);
            if serves || budget.leased.has_allowance() {
                let counts_for = counts_for(self.limits.window);
                pools.push(budget.leased.report(now, pool, serves, counts_for));
            }
        }
        Some(RepeatReport {
            most: (USED * self.limits.beyond) as u64,
            window: self.limits.window,
            pools,
        })
    }

    /// The leader told what may be used, when asked at `asked`. Whether it gave more.
    pub fn told(&mut self, asked: Instant, lasts: Duration, grants: &[RepeatGrant]) -> bool {
        let mut more = false;
        for grant in grants {
            let budget = self.of_pool(&grant.pool);
            more |= budget.leased.told(asked, lasts, grant);
        }
        more
    }

    /// Whether some pool runs short of what the leader gave.
    pub fn runs_short(&self, now: Instant) -> bool {
        let mut budgets = self.by_pool.values();
        self.limits.beyond > 0.0 && budgets.any(|b| b.leased.runs_short(now))
    }
}
