//! What routers and the leader tell each other of repeats.
//!
//! All counts run from the start of an allowance on and only grow: a message
//! that is lost, late or doubled changes nothing.

use crate::state::{AllowanceId, PoolName};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a router holds and wants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RepeatReport {
    /// Most repeats of one pool that all routers may be given within a window, as
    /// its settings say.
    pub most: u64,
    /// The window.
    pub window: Duration,
    /// Pools that it serves.
    pub pools: Vec<PoolReport>,
}

/// Of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolReport {
    /// The pool.
    pub pool: PoolName,
    /// The allowance that the counts are of; nothing if it has none.
    pub allowance: Option<AllowanceId>,
    /// Repeats that it has used.
    pub spent: u64,
    /// Of these, used longer ago than the window, by its own clock.
    pub over: u64,
    /// Repeats that it has given back: it will never use them.
    pub back: u64,
    /// How many it wants to hold.
    pub level: u64,
    /// Whether requests for the pool came to it within the window.
    pub serves: bool,
}

/// What a router may use of one pool, until a lease's time after it asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RepeatGrant {
    /// The pool.
    pub pool: PoolName,
    /// The allowance.
    pub allowance: AllowanceId,
    /// Repeats, from its first on.
    pub issued: u64,
    /// Unused ones beyond these are better given back.
    pub keep: u64,
    /// What the leader may still issue to anybody, in hundredths of the bound.
    pub free_percent: u64,
}
