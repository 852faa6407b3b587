//! A release: routes, pools, keys and limits, published as one whole.
//!
//! Operators who keep their configuration as one numbered document publish it
//! whole. The highest version holds, so a resend or an old version changes
//! nothing. Single objects ([`super::objects`]) stay beside it.

use super::names::AccountName;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Whether and how a route's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once for each request.
    Once,
    /// A series of events.
    Stream {
        /// Whether another target may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        match self {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }

    /// Whether answers are series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A pool's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// Name of the pool.
    pub pool: PoolName,
    /// Its weight among the route's pools.
    pub weight: f64,
}

/// Requests of one host below one path, and where they go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Host, in lower case, without a port.
    pub host: String,
    /// Path that its requests begin with.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Pools by weight.
    pub split: Vec<Split>,
    /// Longest time that a request may be held, milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is on time, milliseconds; for streams the
    /// time to the first event.
    pub objective_ms: u64,
    /// Longest pause between two events that is still on time, milliseconds.
    pub pause_ms: Option<u64>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most targets that one request may be sent to.
    pub attempts: u32,
    /// Whether it needs no key.
    pub open: bool,
}

/// Name of a pool of targets.
pub type PoolName = String;

/// A kind of accelerator of an engine pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorKind {
    /// Its name.
    pub name: String,
    /// Memory, MB.
    pub memory_mb: f64,
    /// How many times longer a step takes than on the reference.
    pub step_factor: f64,
    /// How many times longer reading takes than on the reference.
    pub read_factor: f64,
}

/// What the engines of a pool run. Times are those of the reference
/// accelerator with all layers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Layers of the model; 0 where every engine holds all of it.
    pub layers: u32,
    /// Size of one layer, MB.
    pub layer_mb: f64,
    /// Bytes of cache that one token takes over all layers.
    pub token_bytes: f64,
    /// Most tokens that one engine keeps, whatever its memory.
    pub max_tokens: u64,
    /// Requests that one engine takes at once.
    pub slots: u32,
    /// Time of one step, milliseconds.
    pub step_ms: f64,
    /// Time to load all layers, milliseconds.
    pub load_ms: f64,
    /// Loads at once before each slows the others.
    pub loads_at_once: u32,
    /// Mean tokens of a prompt.
    pub usual_prompt: u64,
    /// Mean tokens of an answer.
    pub usual_answer: u64,
    /// Kinds of accelerators.
    pub kinds: Vec<AcceleratorKind>,
}

impl EngineModel {
    /// The kind of this name.
    pub fn kind(&self, name: &str) -> Option<&AcceleratorKind> {
        self.kinds.iter().find(|k| k.name == name)
    }

    /// Bytes of cache of one token at one layer.
    pub fn layer_token_bytes(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1))
    }
}

/// Targets that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub name: PoolName,
    /// Connections that one target takes from all callers together.
    pub max_connections: u32,
    /// What its engines run; nothing for plain services.
    pub engine: Option<EngineModel>,
}

impl Pool {
    /// Idle connections that each of so many routers may keep to one target, at least
    /// one: all of them together leave half of what the target takes to those in use.
    pub fn most_idle(&self, routers: u32) -> usize {
        let share = self.max_connections / 2 / routers.max(1);
        share.max(1) as usize
    }
}

/// SHA-256 of a key. The key itself goes to no router.
pub type KeyDigest = [u8; 32];

/// A client account with its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyHolder {
    /// The account.
    pub account: AccountName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank before that of the route; 0 goes first.
    pub priority: Option<u8>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head, bytes.
    pub head_bytes: u64,
    /// Longest body, bytes.
    pub body_bytes: u64,
    /// Longest wait for a head, milliseconds.
    pub head_ms: u64,
    /// Longest rest of a connection, milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// What is served before any release says otherwise: common defaults of
    /// HTTP servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 << 20,
            head_ms: 10_000,
            idle_ms: 60_000,
        }
    }
}

/// All that operators publish as one whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// Its version; the highest holds.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Accounts with their keys; nothing where no keys are asked for.
    pub key_holders: Option<Vec<KeyHolder>>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl Release {
    /// The pool of this name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name == name)
    }

    /// Whether the engines of this pool hold layers, and are chosen by them.
    pub fn is_layered(&self, pool: &str) -> bool {
        let engine = self.pool(pool).and_then(|p| p.engine.as_ref());
        engine.is_some_and(|model| model.layers > 0)
    }

    /// Why it contradicts itself, if it does.
    pub fn check(&self) -> Result<(), String> {
        let pools: BTreeSet<&str> = self.pools.iter().map(|p| p.name.as_str()).collect();
        if pools.len() < self.pools.len() {
            return Err("two pools have the same name".to_string());
        }
        let mut places = BTreeSet::new();
        for route in &self.routes {
            check_route(route, &pools)?;
            if !places.insert((&route.host, &route.path_prefix)) {
                return Err(format!(
                    "route {}: another route has the same host and path prefix",
                    route.name
                ));
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), String> {
        let mut owner: BTreeMap<KeyDigest, &AccountName> = BTreeMap::new();
        for holder in self.key_holders.iter().flatten() {
            for key in &holder.keys {
                let other = owner.insert(*key, &holder.account);
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

/// A release with the document that it was read from, which operators read
/// back as they sent it. Routers never get the document.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// The release.
    pub release: Release,
    /// The document, byte for byte.
    pub document: Vec<u8>,
}

impl Route {
    /// How long one of its requests may be held.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
