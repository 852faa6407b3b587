//! Demand of all accounts over all routers, kept as totals.
//!
//! A renewal costs the accounts that this router was asked for, not accounts ×
//! routers: its old demand goes out of the totals, its new demand goes in.

use crate::membership::{AccountDemand, AccountShare, share_of};
use crate::state::{AccountName, Configuration, VmName};
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    by_router: BTreeMap<VmName, Vec<(AccountName, AccountDemand)>>,
    totals: BTreeMap<AccountName, f64>,
}

impl DemandTable {
    /// Replaces a router's demand.
    pub fn put(&mut self, vm: &VmName, demand: Vec<(AccountName, AccountDemand)>) {
        self.remove(vm);
        for (account, d) in &demand {
            *self.totals.entry(account.clone()).or_default() += d.per_s;
        }
        self.by_router.insert(vm.clone(), demand);
    }

    /// Forgets a router that is gone.
    pub fn remove(&mut self, vm: &VmName) {
        for (account, d) in self.by_router.remove(vm).unwrap_or_default() {
            if let Some(total) = self.totals.get_mut(&account) {
                *total = (*total - d.per_s).max(0.0);
            }
        }
    }

    /// A router's part of each limit that it was asked for.
    pub fn shares(
        &self,
        vm: &VmName,
        routers: u32,
        cfg: &Configuration,
    ) -> Vec<(AccountName, AccountShare)> {
        let Some(demand) = self.by_router.get(vm) else {
            return Vec::new();
        };
        let share = |(name, d): &(AccountName, AccountDemand)| {
            let limit = cfg.account(name)?.limits.requests_per_s;
            let total = self.totals.get(name).copied().unwrap_or(d.per_s);
            Some((name.clone(), share_of(limit, *d, total, routers)))
        };
        demand.iter().filter_map(share).collect()
    }
}
