//! Retry budget that all routers share.
//!
//! Within any window all routers together may send at most a share of the requests again,
//! plus a fixed number. Each router applies the share to its own requests. The fixed number
//! is granted by the leader (see [`GrantedRetries`]), so that the total also keeps within
//! the bound.
//!
//! Requests that are new to a router, because their callers used another router before or
//! the process has just started, earn a reduced share until they have come for a whole
//! window: the share they earned at the other router, or in the previous process, may just
//! have been used.

use super::choice::RequestClass;
use super::granted_retries::GrantedRetries;
use crate::control::{RetryGrant, RetryReport};
use crate::time::Instant;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Limits on retries over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries as a share of the requests.
    pub share: f64,
    /// Retries beyond the share.
    pub extra: f64,
    /// The window over which retries are counted.
    pub window: Duration,
}

/// Fraction of the bound that is used. The window is counted in whole buckets, and a caller
/// may count requests that never reached a router.
const BOUND_FRACTION: f64 = 0.8;

/// Returns the time for which a retry counts: the window, plus a twentieth for the time in
/// which it is sent, plus a twentieth for a fast clock.
fn retry_lifetime(window: Duration) -> Duration {
    (window + window / 20) * 21 / 20
}

/// Number of buckets per window.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Fraction of the share earned by requests in excess of the previous window's: half of all
/// callers may have come from other routers.
const INCREASE_FRACTION: f64 = 0.5;

/// The same fraction in the first two windows after the process has started, since all
/// routers may have started together.
const STARTUP_FRACTION: f64 = 0.25;

/// Start of a router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStart {
    /// Start time of the process.
    pub at: Instant,
    /// Whether the whole system started for the first time, so that nothing was sent
    /// before.
    pub first: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Source from which a retry was paid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySource {
    /// The share of this router's own requests.
    Share,
    /// Retries granted by the leader.
    Granted,
}

/// Retry budget of one router for one pool.
#[derive(Clone, Debug)]
pub struct PoolRetryBudget {
    limits: RetryLimits,
    started: ProcessStart,
    buckets: VecDeque<Bucket>,
    granted: GrantedRetries,
}

impl PoolRetryBudget {
    /// Creates a budget without any requests or retries.
    pub fn new(limits: RetryLimits, started: ProcessStart) -> Self {
        Self {
            limits,
            started,
            buckets: VecDeque::new(),
            granted: GrantedRetries::default(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Uses a retry for a stream with this claim, if one is available. The router's own
    /// share is used first, since no other router can use it. `request` identifies the
    /// request.
    pub fn spend(
        &mut self,
        now: Instant,
        claim: RequestClass,
        request: u64,
    ) -> Option<RetrySource> {
        if self.spend_share(now) {
            return Some(RetrySource::Share);
        }
        let leased = self.limits.extra > 0.0 && self.granted.spend(now, claim, request);
        leased.then_some(RetrySource::Granted)
    }

    fn spend_share(&mut self, now: Instant) -> bool {
        self.current_bucket(now);
        let (_, retries) = self.window_counts(now);
        let max_retries = BOUND_FRACTION * self.limits.share * self.earning_requests(now);
        if f64::from(retries + 1) > max_retries {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    /// The number of requests, and of retries paid from the share, within the window.
    pub fn window_counts(&self, now: Instant) -> (u32, u32) {
        let oldest = self.oldest_bucket_of_window(now);
        let within = || self.buckets.iter().filter(|s| s.number >= oldest);
        let requests = within().map(|s| s.requests);
        let retries = within().map(|s| s.retries);
        (requests.sum(), retries.sum())
    }

    /// Requests that earn the share. New requests count for less.
    fn earning_requests(&self, now: Instant) -> f64 {
        let requests = f64::from(self.window_counts(now).0);
        let steady = requests.min(self.previous_window_requests(now));
        let age = now.since(self.started.at);
        let fraction = match self.started.first || age >= 2 * self.limits.window {
            true => INCREASE_FRACTION,
            false => STARTUP_FRACTION,
        };
        steady + (requests - steady) * fraction
    }

    /// Requests of the previous window, scaled up to a whole window if the whole system
    /// started within it.
    fn previous_window_requests(&self, now: Instant) -> f64 {
        let oldest = self.oldest_bucket_of_window(now);
        let older = self.buckets.iter().filter(|s| s.number < oldest);
        let requests: u32 = older.map(|s| s.requests).sum();
        if !self.started.first {
            return f64::from(requests);
        }
        let window = self.limits.window;
        let age = now.since(self.started.at);
        let observed = age.saturating_sub(window).min(window);
        match observed.is_zero() {
            true => f64::INFINITY,
            false => f64::from(requests) * window.as_secs_f64() / observed.as_secs_f64(),
        }
    }

    fn oldest_bucket_of_window(&self, now: Instant) -> u64 {
        // One bucket more than the window has, since the oldest is only partly inside it.
        self.bucket_number(now)
            .saturating_sub(u64::from(BUCKETS_PER_WINDOW))
    }

    fn bucket_number(&self, now: Instant) -> u64 {
        let length = (self.limits.window.as_micros() as u64 / u64::from(BUCKETS_PER_WINDOW)).max(1);
        now.as_micros() / length
    }

    /// Retries granted by the leader.
    pub fn granted(&mut self) -> &mut GrantedRetries {
        &mut self.granted
    }

    /// Whether a request came within the window.
    fn serves(&self, now: Instant) -> bool {
        self.window_counts(now).0 > 0
    }

    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        let number = self.bucket_number(now);
        // Keeps the current window and the previous one.
        let oldest = number.saturating_sub(2 * u64::from(BUCKETS_PER_WINDOW));
        self.buckets.retain(|s| s.number >= oldest);
        if self.buckets.back().is_none_or(|s| s.number != number) {
            let bucket = Bucket {
                number,
                ..Bucket::default()
            };
            self.buckets.push_back(bucket);
        }
        self.buckets.back_mut().expect("a bucket was pushed above")
    }
}

/// Retry budgets of all pools. The bound holds for each pool separately, and requests for
/// one pool earn nothing for another.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    limits: RetryLimits,
    started: ProcessStart,
    by_pool: HashMap<String, PoolRetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets without any requests or retries.
    pub fn new(limits: RetryLimits, started: ProcessStart) -> Self {
        Self {
            limits,
            started,
            by_pool: HashMap::new(),
        }
    }

    /// Returns the budget of a pool.
    pub fn of_pool(&mut self, pool: &str) -> &mut PoolRetryBudget {
        if !self.by_pool.contains_key(pool) {
            let fresh = PoolRetryBudget::new(self.limits, self.started);
            self.by_pool.insert(pool.to_string(), fresh);
        }
        self.by_pool
            .get_mut(pool)
            .expect("the budget was inserted above")
    }

    /// Clears the requests of pools that `keep` rejects. Granted retries are remembered,
    /// since a late answer must not grant them again.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_pool
            .retain(|pool, b| keep(pool) || b.granted.has_allowance());
        for (pool, budget) in &mut self.by_pool {
            if !keep(pool) {
                budget.buckets.clear();
            }
        }
    }

    /// Builds the report for the leader, or returns `None` if no retries are allowed beyond
    /// the share.
    pub fn report(&mut self, now: Instant) -> Option<RetryReport> {
        if self.limits.extra <= 0.0 {
            return None;
        }
        let mut pools = Vec::new();
        for (pool, budget) in &mut self.by_pool {
            let serves = budget.serves(now);
            if serves || budget.granted.has_allowance() {
                let retry_lifetime = retry_lifetime(self.limits.window);
                pools.push(budget.granted.report(now, pool, serves, retry_lifetime));
            }
        }
        Some(RetryReport {
            most: (BOUND_FRACTION * self.limits.extra) as u64,
            window: self.limits.window,
            pools,
        })
    }

    /// Applies the leader's grants, requested at `asked`. Returns whether more retries were
    /// granted.
    pub fn apply_grants(
        &mut self,
        asked: Instant,
        validity: Duration,
        grants: &[RetryGrant],
    ) -> bool {
        let mut more = false;
        for grant in grants {
            let budget = self.of_pool(&grant.pool);
            more |= budget.granted.apply_grant(asked, validity, grant);
        }
        more
    }

    /// Whether some pool needs more granted retries soon.
    pub fn needs_more(&self, now: Instant) -> bool {
        let mut budgets = self.by_pool.values();
        self.limits.extra > 0.0 && budgets.any(|b| b.granted.needs_more(now))
    }
}
