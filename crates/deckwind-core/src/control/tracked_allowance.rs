//! Retry allowance of one router process for one pool, as the leader tracks it.

use super::retry_messages::PoolRetryReport;
use crate::state::RetryAllowanceKey;
use crate::time::Instant;
use std::collections::VecDeque;
use std::time::Duration;

/// A retry allowance with the leader's count of how much of it still counts.
#[derive(Clone, Debug)]
pub(super) struct TrackedAllowance {
    /// Router and pool of the allowance.
    pub key: RetryAllowanceKey,
    /// Number of retries issued.
    pub issued: u64,
    /// Number of retries used so long ago that they no longer count.
    pub expired: u64,
    /// Number of retries that the router reported as used. A new leader starts with the
    /// expired ones.
    pub spent: u64,
    /// Number of retries that the router returned, which no longer count.
    pub returned: u64,
    /// Retries used, with the time at which the leader learned of it, oldest first.
    pub recent_uses: VecDeque<(Instant, u64)>,
    /// Time from which the router can't use the allowance any more, unless a grant
    /// announces it again.
    pub usable_until: Instant,
    /// Whether the grants of the router still include the allowance.
    pub open: bool,
    /// Number of issued retries that the router was last granted.
    pub announced: u64,
}

impl TrackedAllowance {
    /// Returns the number of retries that still count.
    pub fn outstanding(&self) -> u64 {
        self.issued.saturating_sub(self.expired + self.returned)
    }

    /// Returns the number of retries that the router may still use.
    pub fn unused(&self) -> u64 {
        match self.open {
            true => self.issued.saturating_sub(self.spent + self.returned),
            false => 0,
        }
    }

    /// Applies a report of the router.
    pub fn apply_report(&mut self, now: Instant, report: &PoolRetryReport) {
        let (spent, returned) = (report.spent, report.back);
        if !self.open || spent + returned > self.issued {
            return;
        }
        self.record_use(now, spent.saturating_sub(self.spent));
        self.spent = self.spent.max(spent);
        self.returned = self.returned.max(returned);
        self.expire_oldest(report.over.saturating_sub(self.expired));
    }

    /// Marks the `count` oldest uses as expired.
    fn expire_oldest(&mut self, mut count: u64) {
        while let Some((_, used)) = self.recent_uses.front_mut().filter(|_| count > 0) {
            let newly_expired = count.min(*used);
            *used -= newly_expired;
            self.expired += newly_expired;
            count -= newly_expired;
            if *used == 0 {
                self.recent_uses.pop_front();
            }
        }
    }

    fn record_use(&mut self, now: Instant, count: u64) {
        if count > 0 {
            self.recent_uses.push_back((now, count));
        }
    }

    /// Closes the allowance, which its router can't use any more. Retries that aren't
    /// reported as used may have been used, so they count as used now.
    pub fn close(&mut self, now: Instant) {
        let unused = self.unused();
        self.record_use(now, unused);
        self.open = false;
    }

    /// Closes the allowance if its time is over, and expires uses that are older than
    /// `counting_period`.
    pub fn expire(&mut self, now: Instant, counting_period: Duration) {
        if self.open && self.usable_until <= now {
            self.close(now);
        }
        while let Some((at, count)) = self.recent_uses.front().copied() {
            if now.since(at) < counting_period {
                break;
            }
            self.recent_uses.pop_front();
            self.expired += count;
        }
    }
}

/// Divides `free` in proportion to the `shortfalls`. The remainder is given out one by
/// one, from the first entry on.
pub(super) fn divide_proportionally(free: u64, shortfalls: &[u64]) -> Vec<u64> {
    let total: u64 = shortfalls.iter().sum();
    if total <= free {
        return shortfalls.to_vec();
    }
    let proportional =
        |shortfall: &u64| (u128::from(*shortfall) * u128::from(free) / u128::from(total)) as u64;
    let mut parts: Vec<u64> = shortfalls.iter().map(proportional).collect();
    let mut remainder = free - parts.iter().sum::<u64>();
    for (part, shortfall) in parts.iter_mut().zip(shortfalls) {
        if remainder > 0 && *part < *shortfall {
            *part += 1;
            remainder -= 1;
        }
    }
    parts
}
