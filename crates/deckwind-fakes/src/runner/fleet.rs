//! Engines that hand streams on to each other: what becomes of a stream depends on each
//! engine on its path. Counts what all targets of a fleet are sent.

use super::State;
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// How a fleet's engines run streams.
#[derive(Clone, Copy, Debug)]
pub struct FleetPace {
    /// Events of a stream, about: between half and one and a half of it.
    pub events: u64,
    /// Between two events.
    pub gap: Duration,
    /// How long a stream stands still behind an engine that is down before it is cut.
    pub stall: Duration,
    /// Streams that pass through one engine at most.
    pub room: usize,
}

/// A request that came to a target of the fleet.
#[derive(Clone, Debug)]
pub struct FleetArrival {
    /// Its id.
    pub request: String,
    /// Pool of the target.
    pub pool: String,
    /// Where.
    pub address: SocketAddr,
    /// When.
    pub at: Instant,
    /// Whether the target began to run it.
    pub ran: bool,
}

/// An engine that was down for a while.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Which.
    pub address: SocketAddr,
    /// From when on.
    pub at: Instant,
}

/// Part of a path: an engine and the layers that it is to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PathPart {
    pub address: SocketAddr,
    layers: (u32, u32),
}

/// Reads a path as it is written in requests.
pub(super) fn read_path(text: &str) -> Option<Vec<PathPart>> {
    let part = |part: &str| {
        let (address, layers) = part.trim().split_once('=')?;
        let (first, end) = layers.split_once('-')?;
        Some(PathPart {
            address: address.parse().ok()?,
            layers: (first.parse().ok()?, end.parse().ok()?),
        })
    };
    text.split(',').map(part).collect()
}

/// Why a path can't be taken, and the engine at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoPath {
    NotHeld(SocketAddr),
    Down(SocketAddr),
    Full(SocketAddr),
}

impl NoPath {
    pub(super) fn address(self) -> SocketAddr {
        match self {
            Self::NotHeld(a) | Self::Down(a) | Self::Full(a) => a,
        }
    }
}

#[derive(Default)]
struct Passing {
    /// Paths of the streams that run, by first engine and request.
    paths: HashMap<(SocketAddr, String), Vec<PathPart>>,
    /// Streams by engine.
    streams: HashMap<SocketAddr, usize>,
}

impl Passing {
    fn take(&mut self, path: &[PathPart]) {
        for part in path {
            *self.streams.entry(part.address).or_default() += 1;
        }
    }

    fn give_back(&mut self, path: &[PathPart]) {
        for part in path {
            if let Some(count) = self.streams.get_mut(&part.address) {
                *count = count.saturating_sub(1);
            }
        }
    }
}

struct Inner {
    pace: FleetPace,
    targets: Mutex<BTreeMap<SocketAddr, Arc<Mutex<State>>>>,
    passing: Mutex<Passing>,
    arrivals: Mutex<Vec<FleetArrival>>,
    outages: Mutex<Vec<Outage>>,
}

/// Targets that know of each other; clones share it.
#[derive(Clone)]
pub struct Fleet(Arc<Inner>);

impl Fleet {
    /// Without targets.
    pub fn new(pace: FleetPace) -> Self {
        Self(Arc::new(Inner {
            pace,
            targets: Mutex::default(),
            passing: Mutex::default(),
            arrivals: Mutex::default(),
            outages: Mutex::default(),
        }))
    }

    /// All requests that came, in their order.
    pub fn arrivals(&self) -> Vec<FleetArrival> {
        lock(&self.0.arrivals).clone()
    }

    /// All outages, in their order.
    pub fn outages(&self) -> Vec<Outage> {
        lock(&self.0.outages).clone()
    }

    /// How its engines run streams.
    pub(super) fn pace(&self) -> FleetPace {
        self.0.pace
    }

    /// A target is of this fleet from now on.
    pub(super) fn join(&self, address: SocketAddr, state: Arc<Mutex<State>>) {
        lock(&self.0.targets).insert(address, state);
    }

    /// An engine goes down now.
    pub(super) fn note_outage(&self, address: SocketAddr) {
        let at = Instant::now();
        lock(&self.0.outages).push(Outage { address, at });
    }

    /// Events of a stream for this request: the same wherever it runs.
    pub(super) fn events(&self, request: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        let mean = self.0.pace.events;
        mean / 2 + hasher.finish() % mean.max(1)
    }

    /// A request came; its number.
    pub(super) fn arrived(&self, request: &str, pool: &str, address: SocketAddr) -> usize {
        let mut arrivals = lock(&self.0.arrivals);
        arrivals.push(FleetArrival {
            request: request.to_string(),
            pool: pool.to_string(),
            address,
            at: Instant::now(),
            ran: false,
        });
        arrivals.len() - 1
    }

    /// The target began to run a request.
    pub(super) fn began(&self, arrival: usize) {
        lock(&self.0.arrivals)[arrival].ran = true;
    }

    /// Whether a stream can take a path; it passes through `held` already.
    fn check(&self, path: &[PathPart], held: &[PathPart]) -> Result<(), NoPath> {
        let targets = lock(&self.0.targets);
        for part in path {
            let target = targets.get(&part.address);
            let state = target.ok_or(NoPath::Down(part.address))?;
            let state = lock(state);
            if state.is_down() {
                return Err(NoPath::Down(part.address));
            }
            let (first, end) = state.layers;
            if part.layers.0 < first || part.layers.1 > end {
                return Err(NoPath::NotHeld(part.address));
            }
        }
        drop(targets);
        let passing = lock(&self.0.passing);
        let count = |a: &SocketAddr| passing.streams.get(a).copied().unwrap_or_default();
        let is_new = |p: &&PathPart| !held.contains(p);
        let mut new = path.iter().filter(is_new);
        match new.find(|p| count(&p.address) >= self.0.pace.room) {
            Some(full) => Err(NoPath::Full(full.address)),
            None => Ok(()),
        }
    }

    /// A stream begins over this path; its first engine is `first`.
    pub(super) fn enter(
        &self,
        first: SocketAddr,
        request: &str,
        path: Vec<PathPart>,
    ) -> Result<FleetStream, NoPath> {
        self.check(&path, &[])?;
        let mut passing = lock(&self.0.passing);
        passing.take(&path);
        let key = (first, request.to_string());
        let before = passing.paths.insert(key.clone(), path);
        if let Some(before) = before {
            passing.give_back(&before);
        }
        Ok(FleetStream {
            fleet: self.clone(),
            key,
        })
    }

    /// A stream that runs takes another path. Nothing where there is no such stream.
    pub(super) fn change_path(
        &self,
        first: SocketAddr,
        request: &str,
        path: Vec<PathPart>,
    ) -> Option<Result<(), NoPath>> {
        let key = (first, request.to_string());
        let before = lock(&self.0.passing).paths.get(&key).cloned()?;
        if let Err(refused) = self.check(&path, &before) {
            return Some(Err(refused));
        }
        let mut passing = lock(&self.0.passing);
        passing.give_back(&before);
        passing.take(&path);
        passing.paths.insert(key, path);
        Some(Ok(()))
    }
}

/// A stream that runs, for as long as this lives.
pub(super) struct FleetStream {
    fleet: Fleet,
    key: (SocketAddr, String),
}

impl FleetStream {
    /// The engine on its path that is down, if one is.
    pub(super) fn waits_for(&self) -> Option<SocketAddr> {
        let path = lock(&self.fleet.0.passing).paths.get(&self.key).cloned()?;
        let targets = lock(&self.fleet.0.targets);
        let is_down = |p: &&PathPart| {
            let target = targets.get(&p.address);
            target.is_none_or(|state| lock(state).is_down())
        };
        path.iter().find(is_down).map(|p| p.address)
    }
}

impl Drop for FleetStream {
    fn drop(&mut self) {
        let mut passing = lock(&self.fleet.0.passing);
        if let Some(path) = passing.paths.remove(&self.key) {
            passing.give_back(&path);
        }
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().expect("no holder panics")
}
