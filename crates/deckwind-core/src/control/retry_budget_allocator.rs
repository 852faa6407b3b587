//! Issues retry allowances to routers from the retry budget of each pool, partly ahead of
//! need.
//!
//! Retries of requests are called repeats in the protocol.
//!
//! ```text
//!  router: held, spent, returned, wanted ──► RetryBudgetAllocator ──► changes ──► log
//!                                                     ▲                            │
//!  router ◄── issued so far (with its lease) ─────────┴───────── ledger ◄── committed
//! ```
//!
//! Guarantee: within a window all routers together use no more than `most` retries of a
//! pool beyond the share of their own requests. Every issued retry counts from the moment
//! it is proposed until one of these:
//!
//! - its router has returned it
//! - a window has passed since its router reported it as used, or the router reports that
//!   the use is older than the window
//! - a window has passed since its router can't use it any more, which is one lease
//!   duration after the last grant of it
//!
//! Whatever was used within the last window is therefore counted now, and the count never
//! exceeds `most`. A new leader counts everything in the ledger as issued at the moment
//! it begins to lead.

use super::retry_messages::{PoolRetryReport, RetryGrant, RetryReport};
use super::tracked_allowance::{TrackedAllowance, divide_proportionally};
use crate::membership::LeaseTiming;
use crate::state::{
    PoolName, RetryAllowanceId, RetryAllowanceKey, RetryChange, RetryLedger, RouterProcess, VmName,
};
use crate::time::Instant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Minimum time between two log entries. One entry serves all routers that want retries.
/// Routers hold a reserve, so that the first retries need not wait for an entry.
const MIN_ENTRY_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between two scans for what routers lack.
const MIN_SCAN_INTERVAL: Duration = Duration::from_millis(10);

/// Additional time between scans for each router. A scan goes through all routers, so this
/// keeps its processor time at the same fraction for any number of them.
const SCAN_INTERVAL_PER_ROUTER: Duration = Duration::from_micros(50);

/// Minimum time between two log entries that only expire retries.
const EXPIRY_ENTRY_INTERVAL: Duration = Duration::from_secs(1);

/// Percentage of the budget that routers hold in reserve. What a router holds when it is
/// killed is lost for a window.
const RESERVE_PERCENT: u64 = 30;

/// Maximum number of retries that a router holds in reserve: what the loss of an engine
/// requires of one router until the next entry is applied and its answer received.
const MAX_RESERVE_PER_ROUTER: u64 = 4;

/// Fraction of the budget, as a divisor, that is kept for routers that hold no retries.
const HOLDBACK_DIVISOR: u64 = 8;

/// Fraction of the budget, as a divisor: with less than this left, routers return what
/// they don't need.
const SCARCE_DIVISOR: u64 = 4;

/// Fraction of the window, as a divisor, for which a use counts longer than the window,
/// because it is reported some time after it was counted.
const REPORT_DELAY_DIVISOR: u32 = 20;

/// Last report of a router.
#[derive(Clone, Debug)]
struct LastReport {
    at: Instant,
    pools: Vec<PoolRetryReport>,
}

/// Retries of one pool as counted by the leader, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryCounts {
    /// Name of the pool.
    pub pool: PoolName,
    /// Maximum number of retries that may count.
    pub most: u64,
    /// Number of issued retries that still count.
    pub counts: u64,
    /// Number of these that routers hold unused.
    pub unused: u64,
    /// Number of retries that routers lack.
    pub wanted: u64,
    /// Number of routers that may use retries.
    pub routers: usize,
}

/// Retry budget of all pools, as the leader issues it to routers.
#[derive(Clone, Debug)]
pub struct RetryBudgetAllocator {
    timing: LeaseTiming,
    /// Smallest maximum and longest window that any router reported.
    budget: Option<(u64, Duration)>,
    allowances: BTreeMap<RetryAllowanceId, TrackedAllowance>,
    /// Allowances of each router process.
    ids_by_holder: BTreeMap<RouterProcess, Vec<RetryAllowanceId>>,
    /// Number of retries that count, by pool.
    outstanding: BTreeMap<PoolName, u64>,
    last_reports: BTreeMap<RouterProcess, LastReport>,
    /// Router process of each VM that reported last.
    current_holders: BTreeMap<VmName, RouterProcess>,
    /// Number of routers that serve each pool.
    serving: BTreeMap<PoolName, u64>,
    /// Whether an entry was proposed and is not yet applied. Only one may be pending, so
    /// that the ledger holds everything that was issued.
    is_entry_pending: bool,
    last_entry_at: Option<Instant>,
    last_scan_at: Option<Instant>,
    /// Rotation of the routers, so that another one is served first each time when there
    /// are too few retries.
    rotation: usize,
    /// Routers that were issued more than was announced to them. Checked for each waiting
    /// renewal at every round of answers.
    unannounced: BTreeSet<RouterProcess>,
    /// Time of the last check for retries that no longer count.
    last_expiry_at: Option<Instant>,
    rows_scanned: u64,
}

impl RetryBudgetAllocator {
    /// Creates the state of a leader that begins now and whose log is applied up to the
    /// first entry of its term.
    pub fn new(now: Instant, timing: LeaseTiming, ledger: &RetryLedger) -> Self {
        let mut allocator = Self {
            timing,
            budget: None,
            allowances: BTreeMap::new(),
            ids_by_holder: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            last_reports: BTreeMap::new(),
            current_holders: BTreeMap::new(),
            serving: BTreeMap::new(),
            is_entry_pending: false,
            last_entry_at: None,
            last_scan_at: None,
            rotation: 0,
            unannounced: BTreeSet::new(),
            last_expiry_at: None,
            rows_scanned: 0,
        };
        allocator.ledger_applied(now, ledger);
        allocator.close_superseded(now);
        allocator
    }

    /// Closes all but the last of several allowances of a router for one pool. They were
    /// closed before, and the router can't use them.
    fn close_superseded(&mut self, now: Instant) {
        let mut newest = BTreeSet::new();
        for tracked in self.allowances.values_mut().rev() {
            if !newest.insert(tracked.key.clone()) {
                tracked.close(now);
            }
        }
        self.recount();
    }

    /// Recomputes the number of retries that count for each pool.
    fn recount(&mut self) {
        self.outstanding.clear();
        for tracked in self.allowances.values() {
            let pool = tracked.key.pool.clone();
            *self.outstanding.entry(pool).or_default() += tracked.outstanding();
        }
    }

    fn lease_duration(&self) -> Duration {
        self.timing.ttl_with_drift()
    }

    fn counting_period(&self) -> Duration {
        let window = self.budget.map_or(Duration::ZERO, |(_, window)| window);
        let period = window + window / REPORT_DELAY_DIVISOR;
        period * (1_000 + self.timing.drift_per_mille) / 1_000
    }

    /// Updates the allowances after an entry was applied to the ledger. Returns the
    /// routers that were issued more than was announced to them.
    pub fn ledger_applied(&mut self, now: Instant, ledger: &RetryLedger) -> Vec<RouterProcess> {
        self.is_entry_pending = false;
        let usable_until = now + self.lease_duration();
        for (id, allowance) in ledger.iter() {
            let tracked = self
                .allowances
                .entry(id)
                .or_insert_with(|| TrackedAllowance {
                    key: allowance.key.clone(),
                    issued: 0,
                    expired: allowance.spent_over,
                    spent: allowance.spent_over,
                    returned: allowance.back,
                    recent_uses: VecDeque::new(),
                    usable_until,
                    open: true,
                    announced: 0,
                });
            tracked.issued = allowance.issued;
        }
        self.allowances.retain(|id, _| ledger.get(*id).is_some());
        let allowances = self.allowances.values();
        let unannounced = allowances.filter(|a| a.open && a.announced < a.issued);
        self.unannounced = unannounced.map(|a| a.key.holder.clone()).collect();
        self.ids_by_holder.clear();
        for (id, tracked) in &self.allowances {
            let holder = tracked.key.holder.clone();
            self.ids_by_holder.entry(holder).or_default().push(*id);
        }
        self.recount();
        self.unannounced.iter().cloned().collect()
    }

    /// Records a router's report of the retries that it holds and wants.
    pub fn record_report(&mut self, now: Instant, holder: &RouterProcess, report: &RetryReport) {
        let (most, window) = self.budget.unwrap_or((report.most, report.window));
        self.budget = Some((most.min(report.most), window.max(report.window)));
        for pool in &report.pools {
            let tracked = pool.allowance.and_then(|id| self.allowances.get_mut(&id));
            if let Some(tracked) = tracked.filter(|a| a.key.holder == *holder) {
                let before = tracked.outstanding();
                tracked.apply_report(now, pool);
                tracked.open &= pool.serves || tracked.outstanding() > 0;
                let outstanding = self
                    .outstanding
                    .entry(tracked.key.pool.clone())
                    .or_default();
                *outstanding = (*outstanding + tracked.outstanding()).saturating_sub(before);
            }
        }
        let older = self
            .current_holders
            .insert(holder.vm.clone(), holder.clone());
        if let Some(older) = older.filter(|older| older != holder) {
            self.remove_report(&older);
        }
        let last_report = LastReport {
            at: now,
            pools: report.pools.clone(),
        };
        update_serving(&mut self.serving, &last_report, true);
        if let Some(before) = self.last_reports.insert(holder.clone(), last_report) {
            update_serving(&mut self.serving, &before, false);
        }
    }

    /// Removes the report of a router process.
    fn remove_report(&mut self, holder: &RouterProcess) {
        if let Some(last_report) = self.last_reports.remove(holder) {
            update_serving(&mut self.serving, &last_report, false);
        }
    }

    /// Returns the allowances that a router process may use.
    fn open_allowances(
        &self,
        holder: &RouterProcess,
    ) -> impl Iterator<Item = (RetryAllowanceId, &TrackedAllowance)> {
        let ids = self.ids_by_holder.get(holder).into_iter().flatten();
        let allowances = ids.filter_map(|id| Some((*id, self.allowances.get(id)?)));
        allowances.filter(|(_, a)| a.open)
    }

    /// Returns the number of unused retries that a router process holds.
    pub fn unused_of(&self, holder: &RouterProcess) -> u64 {
        self.open_allowances(holder).map(|(_, a)| a.unused()).sum()
    }

    /// Returns the retries that a router may use, for an answer that is sent to it now.
    pub fn grants(&mut self, now: Instant, holder: &RouterProcess) -> Vec<RetryGrant> {
        let until = now + self.lease_duration();
        self.expire(now);
        let levels_to_keep = self.levels_to_keep(holder);
        self.unannounced.remove(holder);
        let open = self.open_allowances(holder);
        let grant = |(id, tracked): (RetryAllowanceId, &TrackedAllowance)| {
            let pool = tracked.key.pool.clone();
            RetryGrant {
                keep: levels_to_keep.get(&pool).copied().unwrap_or_default(),
                free_percent: self.available(&pool) * 100 / self.max_outstanding().max(1),
                pool,
                allowance: id,
                issued: tracked.issued,
            }
        };
        let grants: Vec<RetryGrant> = open.map(grant).collect();
        for grant in &grants {
            if let Some(tracked) = self.allowances.get_mut(&grant.allowance) {
                tracked.usable_until = until;
                tracked.announced = tracked.issued;
            }
        }
        grants
    }

    /// Returns whether a router was issued more than was announced to it.
    pub fn has_unannounced(&self, holder: &RouterProcess) -> bool {
        self.unannounced.contains(holder)
    }

    /// Returns the minimum time between two scans of all routers.
    fn scan_interval(&self) -> Duration {
        MIN_SCAN_INTERVAL.max(SCAN_INTERVAL_PER_ROUTER * self.last_reports.len() as u32)
    }

    /// Returns the number of rows scanned so far.
    pub fn rows_scanned(&self) -> u64 {
        self.rows_scanned
    }

    /// Removes retries that no longer count, at most once per [`Self::scan_interval`]. A
    /// later check only makes them count longer.
    fn expire(&mut self, now: Instant) {
        let interval = self.scan_interval();
        if self
            .last_expiry_at
            .is_some_and(|at| now.since(at) < interval)
        {
            return;
        }
        self.last_expiry_at = Some(now);
        self.rows_scanned += (self.allowances.len() + self.last_reports.len()) as u64;
        let counting_period = self.counting_period();
        for tracked in self.allowances.values_mut() {
            tracked.expire(now, counting_period);
        }
        self.recount();
        let lease_duration = self.lease_duration();
        let stale = self
            .last_reports
            .iter()
            .filter(|(_, t)| now.since(t.at) >= lease_duration);
        let stale: Vec<RouterProcess> = stale.map(|(holder, _)| holder.clone()).collect();
        for holder in stale {
            self.remove_report(&holder);
            if self.current_holders.get(&holder.vm) == Some(&holder) {
                self.current_holders.remove(&holder.vm);
            }
        }
    }

    /// Returns the number of retries of a pool that may still be issued.
    fn available(&self, pool: &str) -> u64 {
        let outstanding = self.outstanding.get(pool).copied().unwrap_or_default();
        self.max_outstanding().saturating_sub(outstanding)
    }

    fn max_outstanding(&self) -> u64 {
        self.budget.map_or(0, |(most, _)| most)
    }

    /// Returns the number of retries that each router that serves a pool holds in
    /// reserve.
    fn reserve_per_router(&self, pool: &str) -> u64 {
        let routers = self.serving.get(pool).copied().unwrap_or_default();
        let part = self.max_outstanding() * RESERVE_PERCENT / 100 / routers.max(1);
        part.min(MAX_RESERVE_PER_ROUTER)
    }

    fn levels_to_keep(&self, holder: &RouterProcess) -> BTreeMap<PoolName, u64> {
        let pools = self.last_reports.get(holder).map_or(&[][..], |t| &t.pools);
        let keep = |p: &PoolRetryReport| {
            let reserve = match self.available(&p.pool) < self.max_outstanding() / SCARCE_DIVISOR {
                true => self.reserve_per_router(&p.pool).min(1),
                false => self.reserve_per_router(&p.pool),
            };
            (p.pool.clone(), p.level.max(reserve))
        };
        let served = pools.iter().filter(|p| p.serves);
        served.map(keep).collect()
    }

    /// Returns the changes to propose now, if any.
    pub fn propose(&mut self, now: Instant, ledger: &RetryLedger) -> Option<Vec<RetryChange>> {
        let since_entry = self.last_entry_at.map(|at| now.since(at));
        let since_scan = self.last_scan_at.map(|at| now.since(at));
        let interval = self.scan_interval();
        let must_wait = since_entry.is_some_and(|s| s < MIN_ENTRY_INTERVAL)
            || since_scan.is_some_and(|s| s < interval);
        if self.is_entry_pending || self.budget.is_none() || must_wait {
            return None;
        }
        self.last_scan_at = Some(now);
        self.rows_scanned += self.last_reports.len() as u64;
        self.expire(now);
        let mut changes = self.issue_all();
        let expired = self.expired_changes(ledger);
        let unrecorded: u64 = expired.iter().map(|(_, more)| more).sum();
        let is_expiry_due =
            unrecorded > 0 && since_entry.is_none_or(|s| s >= EXPIRY_ENTRY_INTERVAL);
        if changes.is_empty() && !is_expiry_due {
            return None;
        }
        changes.extend(expired.into_iter().map(|(change, _)| change));
        self.is_entry_pending = true;
        self.last_entry_at = Some(now);
        Some(changes)
    }

    /// Returns the pools that at least one router serves.
    fn served_pools(&self) -> BTreeSet<PoolName> {
        self.serving.keys().cloned().collect()
    }

    fn issue_all(&mut self) -> Vec<RetryChange> {
        let mut changes = Vec::new();
        for pool in self.served_pools() {
            changes.extend(self.issue_for_pool(&pool));
        }
        if !changes.is_empty() {
            self.rotation += 1;
        }
        changes
    }

    /// Issues retries of one pool: first a reserve for routers that hold none, then to
    /// all routers in proportion to what they lack, except for the part that is held
    /// back.
    fn issue_for_pool(&self, pool: &str) -> Vec<RetryChange> {
        let mut shortfalls = self.shortfalls(pool);
        let available = self.available(pool);
        if shortfalls.is_empty() || available == 0 {
            return Vec::new();
        }
        let first = self.rotation % shortfalls.len();
        shortfalls.rotate_left(first);
        let reserve = self.reserve_per_router(pool).max(1);
        let first_need = |s: &Shortfall| {
            if s.unused == 0 {
                s.missing.min(reserve)
            } else {
                0
            }
        };
        let first_needs: Vec<u64> = shortfalls.iter().map(first_need).collect();
        let mut parts = divide_proportionally(available, &first_needs);
        let remaining = available - parts.iter().sum::<u64>();
        let remaining = remaining.saturating_sub(self.max_outstanding() / HOLDBACK_DIVISOR);
        let more = shortfalls
            .iter()
            .zip(&parts)
            .map(|(s, part)| s.missing - part);
        let more = divide_proportionally(remaining, &more.collect::<Vec<_>>());
        parts
            .iter_mut()
            .zip(more)
            .for_each(|(part, more)| *part += more);
        let issued = shortfalls
            .into_iter()
            .zip(parts)
            .filter(|(_, count)| *count > 0);
        issued
            .map(|(shortfall, count)| shortfall.issue(pool, count))
            .collect()
    }

    /// Returns the routers that want to hold more retries than they do.
    fn shortfalls(&self, pool: &str) -> Vec<Shortfall> {
        let reserve = self.reserve_per_router(pool);
        let open = self.allowances.iter();
        let open = open.filter(|(_, a)| a.open && a.key.pool == pool);
        let open: BTreeMap<&RouterProcess, (&RetryAllowanceId, &TrackedAllowance)> =
            open.map(|(id, a)| (&a.key.holder, (id, a))).collect();
        let mut shortfalls = Vec::new();
        for (holder, last_report) in &self.last_reports {
            let Some(report) = last_report
                .pools
                .iter()
                .find(|p| p.serves && p.pool == pool)
            else {
                continue;
            };
            let open = open.get(holder);
            let unused = open.map_or(0, |(_, a)| a.unused());
            shortfalls.push(Shortfall {
                holder: holder.clone(),
                id: open.map(|(id, _)| **id),
                unused,
                missing: report.level.max(reserve).saturating_sub(unused),
            });
        }
        shortfalls.retain(|s| s.missing > 0);
        shortfalls
    }

    /// Returns the expired retries that the ledger doesn't know of yet, with their
    /// number.
    fn expired_changes(&mut self, ledger: &RetryLedger) -> Vec<(RetryChange, u64)> {
        let mut changes = Vec::new();
        for (id, tracked) in &self.allowances {
            let recorded = ledger.get(*id).map_or(0, |a| a.spent_over + a.back);
            let more = (tracked.expired + tracked.returned).saturating_sub(recorded);
            let change = match !tracked.open && tracked.outstanding() == 0 {
                true => RetryChange::Close(*id),
                false if more > 0 => RetryChange::Over {
                    id: *id,
                    spent: tracked.expired,
                    back: tracked.returned,
                },
                false => continue,
            };
            changes.push((change, more.max(1)));
        }
        changes
    }

    /// Returns the counts of each pool, for operators.
    pub fn counts(&self) -> Vec<RetryCounts> {
        let counts = |pool: PoolName| {
            let of_pool = self.allowances.values().filter(|a| a.key.pool == pool);
            let of_pool: Vec<&TrackedAllowance> = of_pool.collect();
            RetryCounts {
                most: self.max_outstanding(),
                counts: of_pool.iter().map(|a| a.outstanding()).sum(),
                unused: of_pool.iter().map(|a| a.unused()).sum(),
                wanted: self.shortfalls(&pool).iter().map(|s| s.missing).sum(),
                routers: of_pool.iter().filter(|a| a.open).count(),
                pool,
            }
        };
        let mut pools = self.served_pools();
        pools.extend(self.outstanding.keys().cloned());
        pools.into_iter().map(counts).collect()
    }
}

/// Adds a router's report to the number of routers that serve its pools, or removes it.
fn update_serving(serving: &mut BTreeMap<PoolName, u64>, report: &LastReport, is_added: bool) {
    for pool in report.pools.iter().filter(|p| p.serves) {
        let routers = serving.entry(pool.pool.clone()).or_default();
        *routers = match is_added {
            true => *routers + 1,
            false => routers.saturating_sub(1),
        };
        if *routers == 0 {
            serving.remove(&pool.pool);
        }
    }
}

/// A router that wants to hold more retries.
struct Shortfall {
    holder: RouterProcess,
    id: Option<RetryAllowanceId>,
    unused: u64,
    missing: u64,
}

impl Shortfall {
    fn issue(self, pool: &str, count: u64) -> RetryChange {
        match self.id {
            Some(id) => RetryChange::Issue { id, count },
            None => {
                let key = RetryAllowanceKey {
                    holder: self.holder,
                    pool: pool.to_string(),
                };
                RetryChange::Open { key, count }
            }
        }
    }
}
