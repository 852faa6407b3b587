//! Retries that the leader has granted to this router.
//!
//! The router may use granted retries for one lease time after it sent the request for
//! them, measured by its own monotonic clock. Each answer that names the retry allowance
//! renews that time. The router reports what it has used and what it returns, both counted
//! from the start of the allowance, and never uses what it has returned.
//!
//! A retry allowance is remembered until the process ends, and a router never goes
//! back to an older one: otherwise a late answer could restore an allowance that was
//! already spent.

use super::choice::RequestClass;
use crate::control::{PoolRetryReport, RetryGrant};
use crate::state::RetryAllowanceId;
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// Time window over which retry requests determine how many retries a router wants to hold.
/// Three times the time that a report, a log entry and an answer take.
const REQUEST_WINDOW: Duration = Duration::from_secs(1);

/// Minimum part of the bound that the leader must still be able to issue, in percent,
/// before a retry is used for a stream that has not begun, or for one that is already late.
/// Callers of such streams may come back, which counts as a new request; a stream that has
/// begun loses all its work.
const MIN_FREE_PERCENT_NEW: u64 = 40;
const MIN_FREE_PERCENT_LATE: u64 = 60;

/// Maximum number of recent retry requests remembered per pool. A router is never granted
/// more retries than this.
const MAX_REQUESTS: usize = 1_000;

/// Whether a stream may use a retry when `left` are available and the leader can still
/// issue `free_percent` of the bound. The last retries are reserved for streams that have
/// begun, then for those that can still be on time.
pub fn may_use_retry(left: u64, free_percent: u64, claim: RequestClass) -> bool {
    let min_free = match claim {
        RequestClass::Begun => 0,
        RequestClass::New => MIN_FREE_PERCENT_NEW,
        RequestClass::Late => MIN_FREE_PERCENT_LATE,
    };
    left > 0 && free_percent >= min_free
}

/// Granted retries of one pool.
#[derive(Clone, Debug, Default)]
pub struct GrantedRetries {
    allowance: Option<RetryAllowanceId>,
    issued: u64,
    spent: u64,
    /// Times at which recent retries were used.
    spent_at: VecDeque<Instant>,
    returned: u64,
    min_held: u64,
    /// Part of the bound that the leader can still issue, in percent.
    free_percent: u64,
    valid_until: Instant,
    /// Requests that recently asked for a retry, whether one was available or not, with the
    /// time at which each last asked.
    requests: VecDeque<(Instant, u64)>,
}

impl GrantedRetries {
    /// The number of retries that may be used now.
    pub fn available(&self, now: Instant) -> u64 {
        match now < self.valid_until {
            true => self.unused(),
            false => 0,
        }
    }

    /// Whether the leader has ever granted a retry allowance.
    pub fn has_allowance(&self) -> bool {
        self.allowance.is_some()
    }

    fn unused(&self) -> u64 {
        self.issued.saturating_sub(self.spent + self.returned)
    }

    /// Uses a retry for a stream with this claim, if one is available for it. `request`
    /// identifies the request, so that repeated attempts of one request count once in the
    /// wanted level. A claim for which the leader would issue none is not counted.
    pub fn spend(&mut self, now: Instant, claim: RequestClass, request: u64) -> bool {
        if !self.may_be_granted(claim) {
            return false;
        }
        self.requests.retain(|(_, r)| *r != request);
        self.requests.push_back((now, request));
        self.remove_old_requests(now);
        let is_granted = may_use_retry(self.available(now), self.free_percent, claim);
        if is_granted {
            self.spent += 1;
            self.spent_at.push_back(now);
        }
        is_granted
    }

    fn remove_old_requests(&mut self, now: Instant) {
        let old = |(at, _): &(Instant, u64)| now.since(*at) >= REQUEST_WINDOW;
        while self.requests.front().is_some_and(old) || self.requests.len() > MAX_REQUESTS {
            self.requests.pop_front();
        }
    }

    /// The number of retries that the router wants to hold.
    fn level(&self) -> u64 {
        self.requests.len() as u64
    }

    /// Whether the leader may issue a retry for a stream with this claim.
    pub fn may_be_granted(&self, claim: RequestClass) -> bool {
        may_use_retry(1, self.free_percent, claim)
    }

    /// Whether more retries are needed soon.
    pub fn needs_more(&self, now: Instant) -> bool {
        self.available(now) * 2 < self.level().max(self.min_held)
    }

    /// Builds the report for the leader. A used retry counts for `retry_lifetime`.
    pub fn report(
        &mut self,
        now: Instant,
        pool: &str,
        serves: bool,
        retry_lifetime: Duration,
    ) -> PoolRetryReport {
        self.remove_old_requests(now);
        let old = |at: &Instant| now.since(*at) >= retry_lifetime;
        while self.spent_at.front().is_some_and(old) {
            self.spent_at.pop_front();
        }
        PoolRetryReport {
            pool: pool.to_string(),
            allowance: self.allowance,
            spent: self.spent,
            over: self.spent - self.spent_at.len() as u64,
            back: self.returned,
            level: self.level(),
            serves,
        }
    }

    /// Applies the leader's answer to a report sent at `asked`. Returns whether more
    /// retries were granted.
    pub fn apply_grant(&mut self, asked: Instant, validity: Duration, grant: &RetryGrant) -> bool {
        if self.allowance.is_some_and(|mine| grant.allowance < mine) {
            return false;
        }
        if self.allowance != Some(grant.allowance) {
            *self = Self {
                allowance: Some(grant.allowance),
                requests: std::mem::take(&mut self.requests),
                ..Self::default()
            };
        }
        self.valid_until = self.valid_until.max(asked + validity);
        let more = grant.issued > self.issued;
        self.issued = self.issued.max(grant.issued);
        self.min_held = grant.keep;
        self.free_percent = grant.free_percent;
        let wanted = self.min_held.max(self.level());
        self.returned += self.unused().saturating_sub(wanted);
        more
    }
}
