//! Rate limit of client accounts at one router.
//!
//! Implements the generic cell rate algorithm (ITU-T I.371), which needs one timestamp per
//! account and no timers.

use crate::membership::AccountDemand;
use crate::state::AccountName;
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum time by which an account may run ahead of its rate.
const BURST: Duration = Duration::from_secs(1);

/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct AccountRate {
    per_s: f64,
    /// Time at which the bucket would be empty again.
    empty_at: Instant,
    requests: u32,
    window_start: Instant,
    demand_per_s: f64,
    /// Demand as last reported to the leader, at `reported_at`.
    reported_per_s: f64,
    reported_at: Instant,
}

impl AccountRate {
    fn update_demand(&mut self, now: Instant) {
        let span = now.since(self.window_start);
        if span >= DEMAND_WINDOW {
            self.demand_per_s = f64::from(self.requests) / span.as_secs_f64();
            self.requests = 0;
            self.window_start = now;
        }
    }

    /// Whether the demand known to the leader is wrong by more than a fifth.
    fn is_outdated(&self) -> bool {
        let error = (self.demand_per_s - self.reported_per_s).abs();
        error > self.reported_per_s.max(self.demand_per_s) * 0.2
    }
}

/// Rate limits of all accounts at one router.
#[derive(Clone, Debug, Default)]
pub struct AccountLimiter {
    accounts: HashMap<AccountName, AccountRate>,
}

impl AccountLimiter {
    /// Sets an account's rate at this router, in requests per second.
    pub fn set_rate(&mut self, now: Instant, account: &AccountName, per_s: f64) {
        let rate = self.accounts.entry(account.clone()).or_insert(AccountRate {
            per_s,
            empty_at: now,
            requests: 0,
            window_start: now,
            demand_per_s: 0.0,
            reported_per_s: 0.0,
            reported_at: Instant::ZERO,
        });
        rate.per_s = per_s;
    }

    /// Removes accounts that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) {
        self.accounts.retain(|account, _| keep(account));
    }

    /// Takes one request from an account's rate. An account without a rate is not limited.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry can succeed if the account is over its rate.
    pub fn take(&mut self, now: Instant, account: &AccountName) -> Result<(), Duration> {
        let Some(rate) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        rate.requests += 1;
        let interval = Duration::from_secs_f64(1.0 / rate.per_s.max(1e-6));
        let empty_at = rate.empty_at.max(now) + interval;
        let burst = BURST.max(interval);
        if empty_at > now + burst {
            return Err((empty_at - burst).since(now));
        }
        rate.empty_at = empty_at;
        Ok(())
    }

    /// Clears the reported demand after a change of leader, since the new leader has no
    /// reports.
    pub fn reset_reported(&mut self) {
        for rate in self.accounts.values_mut() {
            rate.reported_per_s = 0.0;
        }
    }

    /// Returns the demand of at most `max` accounts for the report to the leader: first
    /// those for which the leader's value is wrong, then those reported longest ago. An
    /// account without demand is reported once, as zero.
    pub fn report_demand(&mut self, now: Instant, max: usize) -> Vec<(AccountName, AccountDemand)> {
        let mut due: Vec<(&AccountName, &mut AccountRate)> = Vec::new();
        for (account, rate) in &mut self.accounts {
            rate.update_demand(now);
            if rate.demand_per_s > 0.0 || rate.reported_per_s > 0.0 {
                due.push((account, rate));
            }
        }
        due.sort_by_key(|(name, rate)| (!rate.is_outdated(), rate.reported_at, (*name).clone()));
        due.truncate(max);
        due.into_iter()
            .map(|(account, rate)| {
                rate.reported_per_s = rate.demand_per_s;
                rate.reported_at = now;
                let per_s = rate.demand_per_s;
                (account.clone(), AccountDemand { per_s })
            })
            .collect()
    }
}
