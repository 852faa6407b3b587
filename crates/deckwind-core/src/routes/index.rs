//! A release and the announced targets, ready to be looked up.

use crate::state::{
    AccountName, Configuration, Instance, InstanceState, KeyDigest, Life, Pool, Release, Revision,
    Route,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// What a key gives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRights {
    /// Whose it is.
    pub account: AccountName,
    /// Rank of the account, before that of the route.
    pub priority: Option<u8>,
}

/// A release by host and path, and by key.
#[derive(Clone, Debug, Default)]
pub struct ReleaseIndex {
    release: Arc<Release>,
    revision: Revision,
    /// Routes of a host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    keys: HashMap<KeyDigest, KeyRights>,
}

impl ReleaseIndex {
    /// Of the release that holds; nothing if there is none.
    pub fn of(cfg: &Configuration) -> Option<Self> {
        let release = cfg.release()?.clone();
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, route) in release.routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().push(i);
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|i| std::cmp::Reverse(release.routes[*i].path_prefix.len()));
        }
        let mut keys = HashMap::new();
        for holder in release.key_holders.iter().flatten() {
            for key in &holder.keys {
                let rights = KeyRights {
                    account: holder.account.clone(),
                    priority: holder.priority,
                };
                keys.insert(*key, rights);
            }
        }
        Some(Self {
            revision: cfg.release_revision(),
            release,
            by_host,
            keys,
        })
    }

    /// Revision that wrote the release.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The release.
    pub fn release(&self) -> &Release {
        &self.release
    }

    /// The route of a request: of those of its host, the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default();
        let host = host.to_ascii_lowercase();
        let routes = self.by_host.get(&host)?.iter();
        let mut routes = routes.map(|i| &self.release.routes[*i]);
        routes.find(|r| path.starts_with(&r.path_prefix))
    }

    /// Whether a request may take a route, and for whom. An error means that
    /// the key is missing or not known.
    pub fn admit(
        &self,
        route: &Route,
        key: Option<&KeyDigest>,
    ) -> Result<Option<&KeyRights>, UnknownKey> {
        let rights = key.and_then(|k| self.keys.get(k));
        if route.open || self.release.key_holders.is_none() {
            return Ok(rights);
        }
        rights.map(Some).ok_or(UnknownKey)
    }

    /// The pool of one request of a route; `at` is a random number in 0..1.
    pub fn pool(&self, route: &Route, at: f64) -> Option<&Pool> {
        let total: f64 = route.split.iter().map(|s| s.weight).sum();
        let mut left = at * total;
        let weighted = route.split.iter().filter(|s| s.weight > 0.0);
        let mut chosen = None;
        for split in weighted {
            chosen = Some(split);
            left -= split.weight;
            if left < 0.0 {
                break;
            }
        }
        self.release.pool(&chosen?.pool)
    }
}

/// The key is missing or not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// A life that is over at an address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LifeOver {
    /// Where it was.
    pub address: SocketAddr,
    /// It.
    pub life: Life,
    /// Who is there now. An engine that holds no layers yet isn't known here.
    pub by: Option<Life>,
}

/// Announced targets by pool.
#[derive(Clone, Debug, Default)]
pub struct InstanceIndex {
    by_pool: BTreeMap<String, Vec<Instance>>,
}

impl InstanceIndex {
    /// Of the targets that have not left.
    pub fn of(cfg: &Configuration) -> Self {
        let mut by_pool: BTreeMap<String, Vec<Instance>> = BTreeMap::new();
        for i in cfg.instances().iter() {
            by_pool.entry(i.pool.clone()).or_default().push(i.clone());
        }
        Self { by_pool }
    }

    /// Targets of a pool.
    pub fn of_pool(&self, pool: &str) -> &[Instance] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Whether the target at this address has certainly ended: it started again since,
    /// or another one is there. One that drains, has left or is silent may still run
    /// what it was sent.
    pub fn has_ended(&self, address: SocketAddr, life: &Life) -> bool {
        let is_another = |i: &Instance| i.id != life.id || i.born != life.born;
        let mut there = self.iter().filter(|i| i.address == address);
        there.any(is_another)
    }

    /// Lives known before that are over: another one is at their address, or they
    /// had been silent and are gone. What is known of the address is of them.
    pub fn lives_over(&self, before: &InstanceIndex) -> Vec<LifeOver> {
        let there: HashMap<SocketAddr, &Instance> = self.iter().map(|i| (i.address, i)).collect();
        let over = |old: &Instance| {
            let new = there.get(&old.address);
            let is_over = match new {
                Some(new) => new.id != old.id || new.born != old.born,
                None => old.state == InstanceState::Silent,
            };
            is_over.then(|| LifeOver {
                address: old.address,
                life: old.life(),
                by: new.map(|new| new.life()),
            })
        };
        before.iter().filter_map(over).collect()
    }

    /// Lives that were ready before and are over, and that nobody had planned to end:
    /// they fell silent, or another life is at their address. One that is just gone
    /// has left.
    pub fn lives_cut(&self, before: &InstanceIndex) -> Vec<Life> {
        let there: HashMap<SocketAddr, &Instance> = self.iter().map(|i| (i.address, i)).collect();
        let cut = |old: &&Instance| match there.get(&old.address) {
            Some(new) if new.id == old.id && new.born == old.born => {
                new.state == InstanceState::Silent
            }
            Some(_) => true,
            None => false,
        };
        let ready = before.iter().filter(|i| i.state == InstanceState::Ready);
        ready.filter(cut).map(Instance::life).collect()
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.by_pool.values().flatten()
    }
}
