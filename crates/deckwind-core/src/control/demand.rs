//! Demand of client accounts, summed over all routers.
//!
//! A renewal lists only a few accounts; the router's last report for any other account
//! stays valid. The cost of a renewal is therefore proportional to the accounts that it
//! lists, not to accounts × routers.

use crate::membership::{AccountDemand, AccountShare, account_share};
use crate::state::{AccountName, Configuration, VmName};
use std::collections::BTreeMap;

/// Demand by router and client account, in requests per second.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    by_router: BTreeMap<VmName, BTreeMap<AccountName, f64>>,
    totals: BTreeMap<AccountName, f64>,
}

impl DemandTable {
    /// Updates the demand of the accounts that a router reported.
    pub fn put(&mut self, vm: &VmName, demand: &[(AccountName, AccountDemand)]) {
        let router_demand = self.by_router.entry(vm.clone()).or_default();
        for (account, d) in demand {
            let before = router_demand
                .insert(account.clone(), d.per_s)
                .unwrap_or(0.0);
            let total = self.totals.entry(account.clone()).or_default();
            *total = (*total + d.per_s - before).max(0.0);
            if d.per_s == 0.0 {
                router_demand.remove(account);
            }
        }
    }

    /// Removes a router whose lease ended.
    pub fn remove(&mut self, vm: &VmName) {
        for (account, per_s) in self.by_router.remove(vm).unwrap_or_default() {
            if let Some(total) = self.totals.get_mut(&account) {
                *total = (*total - per_s).max(0.0);
            }
        }
    }

    /// Returns a router's share of the rate limit of each account in its `demand`.
    pub fn shares(
        &self,
        demand: &[(AccountName, AccountDemand)],
        routers: u32,
        cfg: &Configuration,
    ) -> Vec<(AccountName, AccountShare)> {
        let share = |(name, d): &(AccountName, AccountDemand)| {
            let limit = cfg.account(name)?.limits.requests_per_s;
            let total = self.totals.get(name).copied().unwrap_or(d.per_s);
            Some((name.clone(), account_share(limit, *d, total, routers)))
        };
        demand.iter().filter_map(share).collect()
    }
}
