//! A bound on what is sent again, kept by all routers together without a word.
//!
//! Within any window all routers may repeat at most a share of the requests and
//! some more. Each router keeps the share of its own requests, and its part of
//! the rest: then all together keep it too. A start forgets what the one before
//! it has sent, so it uses no part of the rest for a window (see
//! [`RouterCount`](super::RouterCount)).

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

/// Spans that a window is counted in.
const SPANS: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// One router's part of the bound.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    limits: RepeatLimits,
    spans: VecDeque<Span>,
}

impl RepeatBudget {
    /// Nothing has been sent.
    pub fn new(limits: RepeatLimits) -> Self {
        Self {
            limits,
            spans: VecDeque::new(),
        }
    }

    /// A request came.
    pub fn requested(&mut self, now: Instant) {
        self.span(now).requests += 1;
    }

    /// Spends one repeat if there is one. `sharers` are the routers that share
    /// what is allowed beyond the share of the requests; without them none of it
    /// is used.
    pub fn spend(&mut self, now: Instant, sharers: Option<u32>) -> bool {
        self.span(now);
        let requests: u32 = self.spans.iter().map(|s| s.requests).sum();
        let repeats: u32 = self.spans.iter().map(|s| s.repeats).sum();
        let part = |routers: u32| self.limits.beyond / f64::from(routers.max(1));
        let beyond = sharers.map_or(0.0, part);
        let most = USED * (self.limits.share * f64::from(requests) + beyond);
        if f64::from(repeats + 1) > most {
            return false;
        }
        self.span(now).repeats += 1;
        true
    }

    fn span(&mut self, now: Instant) -> &mut Span {
        let length = (self.limits.window.as_micros() as u64 / u64::from(SPANS)).max(1);
        let number = now.as_micros() / length;
        // One span more than the window has: the oldest is only part of it.
        let oldest = number.saturating_sub(u64::from(SPANS));
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
    by_pool: HashMap<String, RepeatBudget>,
}

impl RepeatBudgets {
    /// Nothing has been sent.
    pub fn new(limits: RepeatLimits) -> Self {
        Self {
            limits,
            by_pool: HashMap::new(),
        }
    }

    /// The budget of a pool.
    pub fn of_pool(&mut self, pool: &str) -> &mut RepeatBudget {
        if !self.by_pool.contains_key(pool) {
            let fresh = RepeatBudget::new(self.limits);
            self.by_pool.insert(pool.to_string(), fresh);
        }
        self.by_pool.get_mut(pool).expect("just put there")
    }

    /// Forgets pools that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_pool.retain(|pool, _| keep(pool));
    }
}
