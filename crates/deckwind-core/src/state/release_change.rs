//! What changed in a release, for a receiver that holds an earlier one.
//!
//! A release of thousands of routes is published again for every change of one
//! of them. Whoever holds the release of a known revision needs only the
//! routes, pools and keys that were written or removed since.

use super::configuration::Versioned;
use super::names::{AccountName, Revision};
use super::release::{CallerLimits, KeyHolder, Pool, PoolName, Release, Route};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Host and path prefix: no two routes of a release share them.
pub type RoutePlace = (String, String);

/// A release for a receiver that holds an earlier one, or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReleaseDelta {
    /// All of it.
    Whole(Versioned<Arc<Release>>),
    /// What changed.
    Changes(ReleaseChange),
}

/// Parts of a release that were written or removed after `base`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReleaseChange {
    /// The receiver holds the release as of this revision or a later one.
    pub base: Revision,
    /// Revision that wrote the release.
    pub revision: Revision,
    /// Version of the release.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Whether keys are asked for at all.
    pub asks_keys: bool,
    /// Routes.
    pub routes: Changed<RoutePlace, Route>,
    /// Pools.
    pub pools: Changed<PoolName, Pool>,
    /// Accounts with their keys.
    pub key_holders: Changed<AccountName, KeyHolder>,
}

/// Items of one kind that were written, and keys of those that were removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changed<K, T> {
    /// As they are now.
    pub written: Vec<T>,
    /// Those that are gone.
    pub removed: Vec<K>,
}

impl<K: Ord, T> Changed<K, T> {
    /// Brings `items` up to date. Doing so twice changes nothing.
    fn apply(self, items: &mut Vec<T>, key_of: impl Fn(&T) -> K) {
        let replaced: BTreeSet<K> = self.written.iter().map(&key_of).collect();
        let removed: BTreeSet<K> = self.removed.into_iter().collect();
        items.retain(|item| {
            let key = key_of(item);
            !replaced.contains(&key) && !removed.contains(&key)
        });
        items.extend(self.written);
    }

    fn is_empty(&self) -> bool {
        self.written.is_empty() && self.removed.is_empty()
    }
}

fn route_place(route: &Route) -> RoutePlace {
    (route.host.clone(), route.path_prefix.clone())
}

fn pool_name(pool: &Pool) -> PoolName {
    pool.name.clone()
}

fn account_name(holder: &KeyHolder) -> AccountName {
    holder.account.clone()
}

impl ReleaseChange {
    /// Brings a release that is at least that of `base` up to date.
    pub(super) fn apply(self, release: &mut Release) {
        release.version = self.version;
        release.limits = self.limits;
        if !self.routes.is_empty() {
            self.routes.apply(&mut release.routes, route_place);
        }
        if !self.pools.is_empty() {
            self.pools.apply(&mut release.pools, pool_name);
        }
        let mut holders = release.key_holders.take().unwrap_or_default();
        if !self.key_holders.is_empty() {
            self.key_holders.apply(&mut holders, account_name);
        }
        release.key_holders = self.asks_keys.then_some(holders);
    }
}

/// Removed items that are remembered. Beyond them a receiver that lies far
/// behind gets the whole release: some 100 bytes each, so 0.4 MB at most.
const MOST_REMOVED: usize = 4_096;

/// Which revision wrote or removed each item of one kind.
#[derive(Clone, Debug)]
struct Marks<K> {
    written: BTreeMap<K, Revision>,
    removed: BTreeMap<K, Revision>,
}

impl<K> Default for Marks<K> {
    fn default() -> Self {
        Self {
            written: BTreeMap::new(),
            removed: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> Marks<K> {
    fn note<T: PartialEq>(
        &mut self,
        old: &[T],
        new: &[T],
        key_of: impl Fn(&T) -> K,
        revision: Revision,
    ) {
        let mut before: BTreeMap<K, &T> = old.iter().map(|t| (key_of(t), t)).collect();
        for item in new {
            let key = key_of(item);
            if before.remove(&key) == Some(item) {
                continue;
            }
            self.removed.remove(&key);
            self.written.insert(key, revision);
        }
        let now: BTreeSet<K> = new.iter().map(key_of).collect();
        for key in before.into_keys().filter(|k| !now.contains(k)) {
            self.written.remove(&key);
            self.removed.insert(key, revision);
        }
    }

    fn since<T: Clone>(
        &self,
        since: Revision,
        items: &[T],
        key_of: impl Fn(&T) -> K,
    ) -> Changed<K, T> {
        let later = |(k, r): (&K, &Revision)| (*r > since).then(|| k.clone());
        let keys: BTreeSet<K> = self.written.iter().filter_map(later).collect();
        let items = items.iter().filter(|_| !keys.is_empty());
        Changed {
            written: items
                .filter(|t| keys.contains(&key_of(t)))
                .cloned()
                .collect(),
            removed: self.removed.iter().filter_map(later).collect(),
        }
    }
}

/// Which revision wrote each part of the release that holds, since this process
/// first handed state out.
///
/// It follows from the history, not from the state: it is in no snapshot, and
/// two equal configurations may know it differently well. Only a leader keeps
/// it: to apply a release of 1,640 routes takes 1.5 ms with it and 0.5 ms without
/// (mean of 100), and a replica that starts applies all in its log before it can
/// serve anybody.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseHistory {
    /// All changes after this revision are known; nothing while none are noted.
    known_after: Option<Revision>,
    routes: Marks<RoutePlace>,
    pools: Marks<PoolName>,
    key_holders: Marks<AccountName>,
}

impl PartialEq for ReleaseHistory {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl ReleaseHistory {
    /// Notes changes from now on; `held` wrote the release that holds.
    pub fn begin(&mut self, held: Revision) {
        self.known_after.get_or_insert(held);
    }

    /// Forgets what it knows, and notes nothing until it begins again.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// A release takes the place of another one.
    pub fn replaced(&mut self, old: &Release, new: &Release, revision: Revision) {
        if self.known_after.is_none() {
            return;
        }
        if self.removed_items() > MOST_REMOVED || holders_repeat(old) || holders_repeat(new) {
            *self = Self {
                known_after: Some(revision),
                ..Self::default()
            };
            return;
        }
        self.routes
            .note(&old.routes, &new.routes, route_place, revision);
        self.pools.note(&old.pools, &new.pools, pool_name, revision);
        let (old, new) = (holders_of(old), holders_of(new));
        self.key_holders.note(old, new, account_name, revision);
    }

    fn removed_items(&self) -> usize {
        self.routes.removed.len() + self.pools.removed.len() + self.key_holders.removed.len()
    }

    /// What a receiver lacks that has applied all up to `since`.
    pub fn delta(&self, since: Revision, held: &Versioned<Arc<Release>>) -> Option<ReleaseDelta> {
        if held.revision <= since {
            return None;
        }
        let release = held.value.as_ref();
        let known = self.known_after.is_some_and(|after| after <= since);
        let (Some(release), true) = (release, known && since > Revision::ZERO) else {
            return Some(ReleaseDelta::Whole(held.clone()));
        };
        Some(ReleaseDelta::Changes(ReleaseChange {
            base: since,
            revision: held.revision,
            version: release.version,
            limits: release.limits,
            asks_keys: release.key_holders.is_some(),
            routes: self.routes.since(since, &release.routes, route_place),
            pools: self.pools.since(since, &release.pools, pool_name),
            key_holders: self
                .key_holders
                .since(since, holders_of(release), account_name),
        }))
    }
}

fn holders_of(release: &Release) -> &[KeyHolder] {
    release.key_holders.as_deref().unwrap_or_default()
}

/// Whether an account is listed twice: its keys are then told apart by place,
/// not by name.
fn holders_repeat(release: &Release) -> bool {
    let holders = holders_of(release);
    let names: BTreeSet<&AccountName> = holders.iter().map(|h| &h.account).collect();
    names.len() < holders.len()
}
