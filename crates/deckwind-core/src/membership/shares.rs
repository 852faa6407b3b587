//! A client account's limit over all routers: shares that follow demand.
//!
//! Each router says how many requests a second it was asked for since its last
//! renewal; the leader gives each a part of the limit in proportion, and keeps
//! a floor so that a router which sees the account for the first time has
//! something to give before its next renewal.

use serde::{Deserialize, Serialize};

/// What one router was asked for by one account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountDemand {
    /// Requests a second.
    pub per_s: f64,
}

/// What one router may let through for one account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Requests a second.
    pub per_s: f64,
}

/// Part of the limit that is spread evenly, whatever the demand.
const FLOOR: f64 = 0.05;

/// One router's share of `limit`, where all `routers` together were asked for
/// `total` a second. The shares of all routers add up to `limit`.
pub fn share_of(limit: f64, demand: AccountDemand, total: f64, routers: u32) -> AccountShare {
    let even = limit / f64::from(routers.max(1));
    if total <= 0.0 {
        return AccountShare { per_s: even };
    }
    let part = (demand.per_s / total).min(1.0);
    AccountShare {
        per_s: FLOOR * even + (1.0 - FLOOR) * limit * part,
    }
}
