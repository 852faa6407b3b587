//! A client account's part of its limit at one router.
//!
//! The generic cell rate algorithm (ITU-T I.371): one instant of state for each
//! account, no timers.

use crate::membership::AccountDemand;
use crate::state::AccountName;
use crate::time::Instant;
use std::collections::HashMap;
use std::time::Duration;

/// How far ahead of its rate an account may run.
const BURST: Duration = Duration::from_secs(1);

/// Demand is averaged over this time.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Cell {
    per_s: f64,
    /// When the bucket would be empty again.
    empty_at: Instant,
    asked: u32,
    asked_since: Instant,
    demand_per_s: f64,
    /// Demand as last told to the leader, and when.
    told_per_s: f64,
    told_at: Instant,
}

impl Cell {
    fn count(&mut self, now: Instant) {
        let span = now.since(self.asked_since);
        if span >= DEMAND_WINDOW {
            self.demand_per_s = f64::from(self.asked) / span.as_secs_f64();
            self.asked = 0;
            self.asked_since = now;
        }
    }

    /// Whether what the leader knows is wrong by more than a fifth.
    fn is_off(&self) -> bool {
        let off = (self.demand_per_s - self.told_per_s).abs();
        off > self.told_per_s.max(self.demand_per_s) * 0.2
    }
}

/// Rates of all accounts at one router.
#[derive(Clone, Debug, Default)]
pub struct AccountLimiter {
    cells: HashMap<AccountName, Cell>,
}

impl AccountLimiter {
    /// Sets an account's rate here, requests a second.
    pub fn set_rate(&mut self, now: Instant, account: &AccountName, per_s: f64) {
        let cell = self.cells.entry(account.clone()).or_insert(Cell {
            per_s,
            empty_at: now,
            asked: 0,
            asked_since: now,
            demand_per_s: 0.0,
            told_per_s: 0.0,
            told_at: Instant::ZERO,
        });
        cell.per_s = per_s;
    }

    /// Forgets accounts that `keep` does not know.
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) {
        self.cells.retain(|account, _| keep(account));
    }

    /// Takes one request, or says after what time another try helps.
    pub fn take(&mut self, now: Instant, account: &AccountName) -> Result<(), Duration> {
        let Some(cell) = self.cells.get_mut(account) else {
            return Ok(());
        };
        cell.asked += 1;
        let interval = Duration::from_secs_f64(1.0 / cell.per_s.max(1e-6));
        let empty_at = cell.empty_at.max(now) + interval;
        let burst = BURST.max(interval);
        if empty_at > now + burst {
            return Err((empty_at - burst).since(now));
        }
        cell.empty_at = empty_at;
        Ok(())
    }

    /// The leader is a new one and knows nothing yet.
    pub fn forget_told(&mut self) {
        for cell in self.cells.values_mut() {
            cell.told_per_s = 0.0;
        }
    }

    /// What accounts ask for, at most `most` of them: those first of which the
    /// leader knows something wrong, then those told longest ago. An account
    /// without demand is told once, as zero.
    pub fn demand(&mut self, now: Instant, most: usize) -> Vec<(AccountName, AccountDemand)> {
        let mut due: Vec<(&AccountName, &mut Cell)> = Vec::new();
        for (account, cell) in &mut self.cells {
            cell.count(now);
            if cell.demand_per_s > 0.0 || cell.told_per_s > 0.0 {
                due.push((account, cell));
            }
        }
        due.sort_by_key(|(account, cell)| (!cell.is_off(), cell.told_at, (*account).clone()));
        due.truncate(most);
        due.into_iter()
            .map(|(account, cell)| {
                cell.told_per_s = cell.demand_per_s;
                cell.told_at = now;
                let per_s = cell.demand_per_s;
                (account.clone(), AccountDemand { per_s })
            })
            .collect()
    }
}
