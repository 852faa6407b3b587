//! The retry ledger: retry allowances of router processes, as far as they may still
//! count against the retry budget of a pool.
//!
//! Log entries carry no clock that a later leader could rely on. A granted retry
//! therefore counts until a leader that observed enough time pass has recorded its
//! expiry.

use super::claims::RouterProcess;
use super::release::PoolName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identifier of a retry allowance. Numbers are never reused.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RetryAllowanceId(pub u64);

/// Router process and pool that a retry allowance belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RetryAllowanceKey {
    /// The router process.
    pub holder: RouterProcess,
    /// Pool whose requests may be retried.
    pub pool: PoolName,
}

/// A retry allowance: retries for one pool granted to one router process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryAllowance {
    /// Router process and pool.
    pub key: RetryAllowanceKey,
    /// Total number of granted retries.
    pub issued: u64,
    /// Number of retries that were used before the start of the current window.
    pub spent_over: u64,
    /// Number of retries that were returned unused.
    pub back: u64,
}

impl RetryAllowance {
    /// Returns the number of retries that still count against the retry budget.
    pub fn outstanding(&self) -> u64 {
        self.issued.saturating_sub(self.spent_over + self.back)
    }
}

/// A change of the retry ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryChange {
    /// Creates a retry allowance.
    Open {
        /// Router process and pool.
        key: RetryAllowanceKey,
        /// Number of granted retries.
        count: u64,
    },
    /// Adds retries to an allowance.
    Issue {
        /// The allowance.
        id: RetryAllowanceId,
        /// Number of additional retries.
        count: u64,
    },
    /// Updates the totals of retries that no longer count. Lower totals than recorded
    /// have no effect.
    Over {
        /// The allowance.
        id: RetryAllowanceId,
        /// Total number of retries used before the current window.
        spent: u64,
        /// Total number of returned retries.
        back: u64,
    },
    /// Removes an allowance of which no retry counts any more and none may be used.
    Close(RetryAllowanceId),
}

/// The retry ledger: all retry allowances that may still count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryLedger {
    last: u64,
    changes: u64,
    allowances: BTreeMap<RetryAllowanceId, RetryAllowance>,
}

impl RetryLedger {
    /// Applies the changes of one log entry.
    pub fn apply(&mut self, changes: Vec<RetryChange>) {
        self.changes += 1;
        for change in changes {
            self.apply_one(change);
        }
    }

    /// Returns the number of log entries applied so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    fn apply_one(&mut self, change: RetryChange) {
        match change {
            RetryChange::Open { key, count } => {
                self.last += 1;
                let allowance = RetryAllowance {
                    key,
                    issued: count,
                    spent_over: 0,
                    back: 0,
                };
                self.allowances
                    .insert(RetryAllowanceId(self.last), allowance);
            }
            RetryChange::Issue { id, count } => {
                if let Some(allowance) = self.allowances.get_mut(&id) {
                    allowance.issued += count;
                }
            }
            RetryChange::Over { id, spent, back } => {
                if let Some(allowance) = self.allowances.get_mut(&id) {
                    allowance.spent_over = allowance.spent_over.max(spent);
                    allowance.back = allowance.back.max(back);
                }
            }
            RetryChange::Close(id) => {
                self.allowances.remove(&id);
            }
        }
    }

    /// Iterates over all allowances.
    pub fn iter(&self) -> impl Iterator<Item = (RetryAllowanceId, &RetryAllowance)> {
        self.allowances.iter().map(|(id, a)| (*id, a))
    }

    /// Returns the allowance with this id.
    pub fn get(&self, id: RetryAllowanceId) -> Option<&RetryAllowance> {
        self.allowances.get(&id)
    }
}
