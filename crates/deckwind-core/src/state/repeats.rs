//! Repeats that routers were given, as far as they may still count.
//!
//! Entries carry no clock that a later leader could trust. So what was given
//! counts until a leader, who saw enough time pass, wrote that it is over.

use super::claims::Holder;
use super::release::PoolName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Names an allowance; no number is used twice.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AllowanceId(pub u64);

/// Whose repeats these are, and of which pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AllowanceKey {
    /// The router's process.
    pub holder: Holder,
    /// The pool.
    pub pool: PoolName,
}

/// Repeats of one pool that one process of a router was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Whose.
    pub key: AllowanceKey,
    /// How many it was given, from its first on.
    pub issued: u64,
    /// How many of them were used longer ago than the window.
    pub spent_over: u64,
    /// How many of them were given back.
    pub back: u64,
}

impl Allowance {
    /// How many still count.
    pub fn counts(&self) -> u64 {
        self.issued.saturating_sub(self.spent_over + self.back)
    }
}

/// A change of what routers were given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatChange {
    /// A new allowance of so many.
    Open {
        /// Whose.
        key: AllowanceKey,
        /// How many.
        count: u64,
    },
    /// So many more.
    Issue {
        /// For this allowance.
        id: AllowanceId,
        /// How many.
        count: u64,
    },
    /// So many of all that were given no longer count.
    Over {
        /// Of this allowance.
        id: AllowanceId,
        /// Used.
        spent: u64,
        /// Given back.
        back: u64,
    },
    /// Nothing of it counts any more, and nobody may use it.
    Close(AllowanceId),
}

/// All allowances that may still count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatLedger {
    last: u64,
    changes: u64,
    allowances: BTreeMap<AllowanceId, Allowance>,
}

impl RepeatLedger {
    /// Applies changes.
    pub fn apply(&mut self, changes: Vec<RepeatChange>) {
        self.changes += 1;
        for change in changes {
            self.apply_one(change);
        }
    }

    /// Entries that have changed it.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    fn apply_one(&mut self, change: RepeatChange) {
        match change {
            RepeatChange::Open { key, count } => {
                self.last += 1;
                let allowance = Allowance {
                    key,
                    issued: count,
                    spent_over: 0,
                    back: 0,
                };
                self.allowances.insert(AllowanceId(self.last), allowance);
            }
            RepeatChange::Issue { id, count } => {
                if let Some(allowance) = self.allowances.get_mut(&id) {
                    allowance.issued += count;
                }
            }
            RepeatChange::Over { id, spent, back } => {
                if let Some(allowance) = self.allowances.get_mut(&id) {
                    allowance.spent_over = allowance.spent_over.max(spent);
                    allowance.back = allowance.back.max(back);
                }
            }
            RepeatChange::Close(id) => {
                self.allowances.remove(&id);
            }
        }
    }

    /// All allowances.
    pub fn iter(&self) -> impl Iterator<Item = (AllowanceId, &Allowance)> {
        self.allowances.iter().map(|(id, a)| (*id, a))
    }

    /// One allowance.
    pub fn get(&self, id: AllowanceId) -> Option<&Allowance> {
        self.allowances.get(&id)
    }
}
