//! Releases: routes, pools, keys and limits, published together as one document.
//!
//! Operators that keep their configuration as one versioned document publish it as a
//! whole. The highest version is current, so publishing the same or an older version
//! again has no effect. Individually written objects ([`super::objects`]) exist beside
//! the release.

use super::names::AccountName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Retry semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Repeatable,
    /// Each request runs at most once.
    Once,
    /// Answers are streams of events.
    Stream {
        /// Whether another target can resume the stream after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be retried.
    pub fn is_retryable(self) -> bool {
        match self {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Returns whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Share of a route's requests that goes to one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// Name of the pool.
    pub pool: PoolName,
    /// Weight among the route's pools.
    pub weight: f64,
}

/// A route: requests to one host below one path prefix, and their pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host name in lower case, without a port.
    pub host: String,
    /// Path prefix of the requests.
    pub path_prefix: String,
    /// Retry semantics.
    pub kind: RouteKind,
    /// Pools with their weights.
    pub split: Vec<Split>,
    /// Timeout of a request, milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, milliseconds: time to the answer, or for streams to the first
    /// event.
    pub objective_ms: u64,
    /// Maximum time between two events of a stream that meets the objective,
    /// milliseconds.
    pub pause_ms: Option<u64>,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub open: bool,
}

/// Name of a pool.
pub type PoolName = String;

/// An accelerator kind of an engine pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorKind {
    /// Name of the kind.
    pub name: String,
    /// Memory size, MB.
    pub memory_mb: f64,
    /// Duration of a step relative to the reference accelerator.
    pub step_factor: f64,
    /// Duration of reading a prompt relative to the reference accelerator.
    pub read_factor: f64,
}

/// Model that the engines of a pool run. Times apply to the reference accelerator
/// with all layers loaded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Number of layers of the model; 0 if every engine holds the whole model.
    pub layers: u32,
    /// Size of one layer, MB.
    pub layer_mb: f64,
    /// Cache size of one token over all layers, bytes.
    pub token_bytes: f64,
    /// Maximum number of tokens cached by one engine, independent of its memory.
    pub max_tokens: u64,
    /// Maximum number of concurrent requests of one engine.
    pub slots: u32,
    /// Duration of one step, milliseconds.
    pub step_ms: f64,
    /// Duration of loading all layers, milliseconds.
    pub load_ms: f64,
    /// Number of concurrent loads above which they slow each other down.
    pub loads_at_once: u32,
    /// Mean prompt length, tokens.
    pub usual_prompt: u64,
    /// Mean answer length, tokens.
    pub usual_answer: u64,
    /// Accelerator kinds of the pool.
    pub kinds: Vec<AcceleratorKind>,
}

impl EngineModel {
    /// Returns the accelerator kind with this name.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|k| k.name == name)
    }

    /// Returns the cache size of one token at one layer, bytes.
    pub fn layer_token_bytes(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1))
    }
}

/// A pool of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Maximum number of connections to one target, summed over all routers.
    pub max_connections: u32,
    /// Model that the engines run; `None` for plain services.
    pub engine: Option<EngineModel>,
}

impl Pool {
    /// Returns the maximum number of idle connections, at least one, that each of
    /// `routers` routers may keep to one target. All idle connections together use at
    /// most half of the target's connections; the rest is left to active ones.
    pub fn max_idle_connections(&self, routers: u32) -> usize {
        let share = self.max_connections / 2 / routers.max(1);
        share.max(1) as usize
    }
}

/// SHA-256 of a key. The key itself is never sent to routers.
pub type KeyDigest = [u8; 32];

/// A client account with its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// Name of the account.
    pub account: AccountName,
    /// Digests of the account's keys.
    pub keys: Vec<KeyDigest>,
    /// Scheduling priority, which takes precedence over that of the route; 0 is the
    /// highest.
    pub priority: Option<u8>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, bytes.
    pub head_bytes: u64,
    /// Maximum size of a request body, bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request head, milliseconds.
    pub head_ms: u64,
    /// Idle timeout of a connection, milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before the first release: common defaults of HTTP
    /// servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            head_ms: 10_000,
            idle_ms: 60_000,
        }
    }
}

/// A release: the configuration that operators publish as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Version of the release; the highest is current.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Accounts with their keys; `None` if requests need no keys.
    pub key_holders: Option<Vec<KeyHolder>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl Release {
    /// Returns the pool with this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name == name)
    }

    /// Returns whether the engines of this pool hold layers and are selected by them.
    pub fn is_layered(&self, pool: &str) -> bool {
        let engine = self.pool(pool).and_then(|p| p.engine.as_ref());
        engine.is_some_and(|model| model.layers > 0)
    }

    /// Checks the release for consistency.
    ///
    /// # Errors
    ///
    /// Returns the violated rule: pool names, pairs of host and path prefix, and keys
    /// of accounts must be unique, and the values of each route valid.
    pub fn check(&self) -> Result<(), String> {
        let pools: BTreeSet<&str> = self.pools.iter().map(|p| p.name.as_str()).collect();
        if pools.len() < self.pools.len() {
            return Err("two pools have the same name".to_string());
        }
        let mut seen = BTreeSet::new();
        for route in &self.routes {
            check_route(route, &pools)?;
            if !seen.insert((&route.host, &route.path_prefix)) {
                return Err(format!(
                    "route {}: another route has the same host and path prefix",
                    route.name
                ));
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), String> {
        let mut owners: BTreeMap<KeyDigest, &AccountName> = BTreeMap::new();
        for holder in self.key_holders.iter().flatten() {
            for key in &holder.keys {
                let other = owners.insert(*key, &holder.account);
                if let Some(other) = other.filter(|o| **o != holder.account) {
                    return Err(format!(
                        "accounts {other} and {} share a key",
                        holder.account
                    ));
                }
            }
        }
        Ok(())
    }
}

fn check_route(route: &Route, pools: &BTreeSet<&str>) -> Result<(), String> {
    let fail = |why: &str| Err(format!("route {}: {why}", route.name));
    if route.timeout_ms == 0 {
        return fail("its time-out must be 1 ms or more");
    }
    if route
        .split
        .iter()
        .any(|s| !s.weight.is_finite() || s.weight < 0.0)
    {
        return fail("weights must be 0 or more");
    }
    if route.split.iter().map(|s| s.weight).sum::<f64>() <= 0.0 {
        return fail("its weights sum to 0");
    }
    if let Some(s) = route
        .split
        .iter()
        .find(|s| !pools.contains(s.pool.as_str()))
    {
        return fail(&format!("there is no pool {}", s.pool));
    }
    Ok(())
}

/// A release with the document that it was read from. Operators can read the document
/// back unchanged; it is never sent to routers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PublishedRelease {
    /// The release.
    pub release: Release,
    /// The unchanged bytes of the document.
    pub document: Vec<u8>,
}

impl Route {
    /// Returns the timeout of a request.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
