//! Demand of all accounts over all routers, kept as totals.
//!
//! A renewal names a few accounts; what a router said of the others stands. It
//! costs the accounts that it names, not accounts × routers.

use crate::membership::{AccountDemand, AccountShare, share_of};
use crate::state::{AccountName, Configuration, VmName};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    by_router: BTreeMap<VmName, BTreeMap<AccountName, f64>>,
    totals: BTreeMap<AccountName, f64>,
}

impl DemandTable {
    /// Takes what a router says of some accounts.
    pub fn put(&mut self, vm: &VmName, demand: &[(AccountName, AccountDemand)]) {
        let own = self.by_router.entry(vm.clone()).or_default();
        for (account, d) in demand {
            let before = own.insert(account.clone(), d.per_s).unwrap_or(0.0);
            let total = self.totals.entry(account.clone()).or_default();
            *total = (*total + d.per_s - before).max(0.0);
            if d.per_s == 0.0 {
                own.remove(account);
            }
        }
    }

    /// Forgets a router that is gone.
    pub fn remove(&mut self, vm: &VmName) {
        for (account, per_s) in self.by_router.remove(vm).unwrap_or_default() {
            if let Some(total) = self.totals.get_mut(&account) {
                *total = (*total - per_s).max(0.0);
            }
        }
    }

    /// A router's part of the limits of the accounts that it named.
    pub fn shares(
        &self,
        demand: &[(AccountName, AccountDemand)],
        routers: u32,
        cfg: &Configuration,
    ) -> Vec<(AccountName, AccountShare)> {
        let share = |(name, d): &(AccountName, AccountDemand)| {
            let limit = cfg.account(name)?.limits.requests_per_s;
            let total = self.totals.get(name).copied().unwrap_or(d.per_s);
            Some((name.clone(), share_of(limit, *d, total, routers)))
        };
        demand.iter().filter_map(share).collect()
    }
}
