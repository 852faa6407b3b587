//! Releases that an operator publishes, and how each says that a probe is handled.

use super::size::{KEY, Size};
use deckwind_fakes::HOST;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Pools of the targets that only probes reach.
pub const PROBE_POOLS: [&str; 2] = ["probe-a", "probe-b"];

/// Timeout of the routes of probes.
pub const PROBE_TIMEOUT_MS: u64 = 5_000;

/// Route of every release.
pub const FIXED_PATH: &str = "/fixed/";

/// Route that moves between the two pools.
pub const MOVED_PATH: &str = "/moved/";

/// How a router handled a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handling {
    /// A target of this pool ran it.
    Ran(&'static str),
    /// The router answered that there is no such route.
    NoRoute,
    /// The router answered that there is no such key.
    NoKey,
}

/// A route of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRoute {
    /// Pool that runs its requests.
    pub pool: &'static str,
    /// Timeout of its requests.
    pub timeout_ms: u64,
}

impl Default for ProbeRoute {
    fn default() -> Self {
        Self {
            pool: PROBE_POOLS[0],
            timeout_ms: PROBE_TIMEOUT_MS,
        }
    }
}

/// The part of a release that an operator changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Release {
    /// Version.
    pub version: u64,
    /// Routes by their prefix.
    pub routes: BTreeMap<String, ProbeRoute>,
    /// Keys of the account.
    pub keys: BTreeSet<String>,
}

impl Release {
    /// A release with the callers' routes and key only.
    pub fn without_probes(version: u64) -> Self {
        Self {
            version,
            routes: BTreeMap::new(),
            keys: BTreeSet::from([KEY.to_string()]),
        }
    }

    /// Returns how a request with this path prefix and key is handled.
    pub fn handling(&self, path: &str, key: &str) -> Handling {
        match self.routes.get(path) {
            None => Handling::NoRoute,
            Some(_) if !self.keys.contains(key) => Handling::NoKey,
            Some(route) => Handling::Ran(route.pool),
        }
    }

    /// Returns the whole document of a deployment of this size.
    pub fn document(&self, size: &Size) -> Value {
        let mut document = size.release(self.version);
        let routes = self.routes.iter().map(|(path, route)| {
            json!({
                "name": path.trim_matches('/'), "host": HOST, "pathPrefix": path, "kind": "safe",
                "timeoutMs": route.timeout_ms, "sloMs": 300, "priority": 1, "backend": route.pool,
                "maxAttempts": 2, "public": false,
            })
        });
        let services =
            PROBE_POOLS.map(|p| json!({"name": p, "healthPath": "/health", "maxConns": 1200}));
        extend(&mut document["routes"], routes);
        extend(&mut document["services"], services);
        document["tenants"][0]["apiKeys"] = json!(self.keys);
        document
    }
}

/// Appends values to a list in a document.
pub fn extend(list: &mut Value, more: impl IntoIterator<Item = Value>) {
    if let Some(list) = list.as_array_mut() {
        list.extend(more);
    }
}

/// Returns the path of the route that a version adds.
pub fn marker(version: u64) -> String {
    format!("/is-{version}/")
}
