//! Messages between routers and the leader about retries, which the protocol calls
//! repeats.
//!
//! All counts of an allowance start at zero when it is opened and only grow, so a message
//! that is lost, late or duplicated does no harm.

use crate::state::{PoolName, RetryAllowanceId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Retries that a router holds and wants.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RetryReport {
    /// Maximum number of retries of one pool that all routers together may be given
    /// within a window, according to the router's settings.
    pub most: u64,
    /// Length of the window.
    pub window: Duration,
    /// Retries by pool.
    pub pools: Vec<PoolRetryReport>,
}

/// Retries of one pool that a router holds and wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolRetryReport {
    /// Name of the pool.
    pub pool: PoolName,
    /// Allowance to which the counts belong, or `None` if the router has none.
    pub allowance: Option<RetryAllowanceId>,
    /// Number of retries used.
    pub spent: u64,
    /// Number of the used retries that are older than the window by the router's own
    /// clock.
    pub over: u64,
    /// Number of retries that the router returned and will never use.
    pub back: u64,
    /// Number of unused retries that the router wants to hold.
    pub level: u64,
    /// Whether the router received requests for the pool within the window.
    pub serves: bool,
}

/// Retries of one pool that a router may use, until one lease duration after it asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryGrant {
    /// Name of the pool.
    pub pool: PoolName,
    /// Allowance to which the counts belong.
    pub allowance: RetryAllowanceId,
    /// Number of retries issued since the allowance was opened.
    pub issued: u64,
    /// Number of unused retries to keep; the router should return any others.
    pub keep: u64,
    /// Number of retries that the leader may still issue to any router, in percent of the
    /// maximum.
    pub free_percent: u64,
}
