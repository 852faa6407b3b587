//! Distribution of a client account's rate limit over the routers.
//!
//! Each router reports the rate of requests that it received since its last lease
//! renewal. The leader divides the limit in proportion, except for a part that is
//! spread evenly: a router that receives the first requests of an account can admit
//! some of them before its next renewal.

use serde::{Deserialize, Serialize};

/// Rate of requests that one router received for one account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountDemand {
    /// Requests per second.
    pub per_s: f64,
}

/// Rate of requests that one router may admit for one account.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Requests per second.
    pub per_s: f64,
}

/// Fraction of the limit that is spread evenly, independent of demand.
const EVEN_FRACTION: f64 = 0.05;

/// Returns the share of `limit` for a router with `demand`. `total` is the total
/// demand of all `routers`, in requests per second. The shares of all routers add up
/// to `limit`.
pub fn account_share(limit: f64, demand: AccountDemand, total: f64, routers: u32) -> AccountShare {
    let even = limit / f64::from(routers.max(1));
    if total <= 0.0 {
        return AccountShare { per_s: even };
    }
    let fraction = (demand.per_s / total).min(1.0);
    AccountShare {
        per_s: EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * limit * fraction,
    }
}
