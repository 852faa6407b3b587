//! Lookup indexes over a release and the announced targets.

use crate::state::{
    AccountName, Configuration, Incarnation, Instance, InstanceState, KeyDigest, Pool, Release,
    Revision, Route,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Rights that an API key grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRights {
    /// The client account that owns the key.
    pub account: AccountName,
    /// Priority of the account. Takes precedence over that of the route.
    pub priority: Option<u8>,
}

/// Index of a release by host, path and API key.
#[derive(Clone, Debug, Default)]
pub struct ReleaseIndex {
    release: Arc<Release>,
    revision: Revision,
    /// Indexes of the routes of each host, longest path prefix first.
    by_host: HashMap<String, Vec<usize>>,
    keys: HashMap<KeyDigest, KeyRights>,
}

impl ReleaseIndex {
    /// Builds the index of the release in force, or returns `None` if there is none.
    pub fn new(cfg: &Configuration) -> Option<Self> {
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

    /// The revision that wrote the release.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The indexed release.
    pub fn release(&self) -> &Release {
        &self.release
    }

    /// Returns the route of a request: the longest matching path prefix of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or_default();
        let host = host.to_ascii_lowercase();
        let routes = self.by_host.get(&host)?.iter();
        let mut routes = routes.map(|i| &self.release.routes[*i]);
        routes.find(|r| path.starts_with(&r.path_prefix))
    }

    /// Checks whether a request may use a route and returns the rights of its key, if it
    /// has a known one.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownKey`] if the route requires a key and the key is missing or
    /// unknown.
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

    /// Picks the pool for a request by the weights of the route. `draw` is a random number
    /// in 0..1.
    pub fn pool(&self, route: &Route, draw: f64) -> Option<&Pool> {
        let total: f64 = route.split.iter().map(|s| s.weight).sum();
        let mut remaining = draw * total;
        let weighted = route.split.iter().filter(|s| s.weight > 0.0);
        let mut chosen = None;
        for split in weighted {
            chosen = Some(split);
            remaining -= split.weight;
            if remaining < 0.0 {
                break;
            }
        }
        self.release.pool(&chosen?.pool)
    }
}

/// Error: the API key is missing or unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// An incarnation that has ended at an address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedIncarnation {
    /// Address of the incarnation.
    pub address: SocketAddr,
    /// The incarnation that has ended.
    pub incarnation: Incarnation,
    /// The incarnation that is now at the address. Engines that hold no layers yet are not
    /// known here.
    pub by: Option<Incarnation>,
}

/// Announced targets by pool.
#[derive(Clone, Debug, Default)]
pub struct InstanceIndex {
    by_pool: BTreeMap<String, Vec<Instance>>,
}

impl InstanceIndex {
    /// Builds the index of all targets that have not left.
    pub fn new(cfg: &Configuration) -> Self {
        let mut by_pool: BTreeMap<String, Vec<Instance>> = BTreeMap::new();
        for i in cfg.instances().iter() {
            by_pool.entry(i.pool.clone()).or_default().push(i.clone());
        }
        Self { by_pool }
    }

    /// Returns the targets of a pool.
    pub fn of_pool(&self, pool: &str) -> &[Instance] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Whether the incarnation at this address has certainly ended: the target has
    /// restarted, or another target has the address. A target that is draining, silent or
    /// has left may still run requests.
    pub fn has_ended(&self, address: SocketAddr, incarnation: &Incarnation) -> bool {
        let is_another = |i: &Instance| i.id != incarnation.id || i.born != incarnation.born;
        let mut at_address = self.iter().filter(|i| i.address == address);
        at_address.any(is_another)
    }

    /// Returns the incarnations known to `before` that have ended: another one has the
    /// address, or they had been silent and are gone. State kept for the address belongs to
    /// them.
    pub fn ended_incarnations(&self, before: &InstanceIndex) -> Vec<EndedIncarnation> {
        let current: HashMap<SocketAddr, &Instance> = self.iter().map(|i| (i.address, i)).collect();
        let ended = |old: &Instance| {
            let new = current.get(&old.address);
            let has_ended = match new {
                Some(new) => new.id != old.id || new.born != old.born,
                None => old.state == InstanceState::Silent,
            };
            has_ended.then(|| EndedIncarnation {
                address: old.address,
                incarnation: old.incarnation(),
                by: new.map(|new| new.incarnation()),
            })
        };
        before.iter().filter_map(ended).collect()
    }

    /// Returns the incarnations that were ready in `before` and crashed: they fell silent,
    /// or another one has the address. A target that is merely missing has left as planned.
    pub fn crashed_incarnations(&self, before: &InstanceIndex) -> Vec<Incarnation> {
        let current: HashMap<SocketAddr, &Instance> = self.iter().map(|i| (i.address, i)).collect();
        let cut = |old: &&Instance| match current.get(&old.address) {
            Some(new) if new.id == old.id && new.born == old.born => {
                new.state == InstanceState::Silent
            }
            Some(_) => true,
            None => false,
        };
        let ready = before.iter().filter(|i| i.state == InstanceState::Ready);
        ready.filter(cut).map(Instance::incarnation).collect()
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.by_pool.values().flatten()
    }
}
