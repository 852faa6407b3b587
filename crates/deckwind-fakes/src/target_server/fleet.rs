//! A fleet of fake targets: streams pass through a path of engines, and stall or break
//! if an engine on the path is down. Records the requests that all targets of the fleet
//! receive.

use super::answers::format_event;
use super::{CutAnswer, State};
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Speed and capacity of a fleet's engines.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Mean number of events of a stream; streams have between 0.5 and 1.5 times as many.
    pub mean_events: u64,
    /// Time between two events.
    pub event_interval: Duration,
    /// Time after which a stream that is stalled by a down engine is broken off.
    pub stall_timeout: Duration,
    /// Maximum number of streams that pass through one engine.
    pub max_streams: usize,
}

/// A request that a target of the fleet received.
#[derive(Clone, Debug)]
pub struct FleetArrival {
    /// Request ID.
    pub request: String,
    /// Pool of the target that received it.
    pub pool: String,
    /// Address of the target that received it.
    pub address: SocketAddr,
    /// Time of receipt.
    pub at: Instant,
    /// Whether the target started to run it.
    pub has_run: bool,
}

/// Start of an outage of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Time at which the engine went down.
    pub at: Instant,
}

/// Stage of a path: an engine and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PathStage {
    pub address: SocketAddr,
    layers: (u32, u32),
}

/// Parses a path in the notation of requests: `ADDRESS=FIRST-END`, separated by commas.
pub(super) fn parse_path(text: &str) -> Option<Vec<PathStage>> {
    let stage = |stage: &str| {
        let (address, layers) = stage.trim().split_once('=')?;
        let (first, end) = layers.split_once('-')?;
        Some(PathStage {
            address: address.parse().ok()?,
            layers: (first.parse().ok()?, end.parse().ok()?),
        })
    };
    text.split(',').map(stage).collect()
}

/// Reason why a stream can't use a path, with the address of the engine at fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PathError {
    NotHeld(SocketAddr),
    Down(SocketAddr),
    Full(SocketAddr),
}

impl PathError {
    pub(super) fn address(self) -> SocketAddr {
        match self {
            Self::NotHeld(a) | Self::Down(a) | Self::Full(a) => a,
        }
    }
}

/// Streams that are running and the engines that they pass through.
#[derive(Default)]
struct ActiveStreams {
    /// Path of each stream, by first engine and request ID.
    paths: HashMap<(SocketAddr, String), Vec<PathStage>>,
    /// Number of streams by engine.
    streams: HashMap<SocketAddr, usize>,
}

impl ActiveStreams {
    fn reserve(&mut self, path: &[PathStage]) {
        for stage in path {
            *self.streams.entry(stage.address).or_default() += 1;
        }
    }

    fn release(&mut self, path: &[PathStage]) {
        for stage in path {
            if let Some(count) = self.streams.get_mut(&stage.address) {
                *count = count.saturating_sub(1);
            }
        }
    }
}

struct Inner {
    pace: FleetConfig,
    targets: Mutex<BTreeMap<SocketAddr, Arc<Mutex<State>>>>,
    active: Mutex<ActiveStreams>,
    arrivals: Mutex<Vec<FleetArrival>>,
    outages: Mutex<Vec<Outage>>,
}

/// A group of targets that pass streams on to each other. Clones share its state.
#[derive(Clone)]
pub struct FakeFleet(Arc<Inner>);

impl FakeFleet {
    /// Creates a fleet without targets.
    pub fn new(pace: FleetConfig) -> Self {
        Self(Arc::new(Inner {
            pace,
            targets: Mutex::default(),
            active: Mutex::default(),
            arrivals: Mutex::default(),
            outages: Mutex::default(),
        }))
    }

    /// Returns all requests that were received, in order.
    pub fn arrivals(&self) -> Vec<FleetArrival> {
        lock(&self.0.arrivals).clone()
    }

    /// Returns all outages, in order.
    pub fn outages(&self) -> Vec<Outage> {
        lock(&self.0.outages).clone()
    }

    /// Returns the answers to a request that targets of the fleet began and did not finish.
    pub fn cut_answers(&self, request: &str) -> Vec<CutAnswer> {
        let targets = lock(&self.0.targets);
        let cut_at = |state: &Arc<Mutex<State>>| {
            let state = lock(state);
            let cut = state.cut_answers.iter().filter(|c| c.request == request);
            cut.cloned().collect::<Vec<_>>()
        };
        targets.values().flat_map(cut_at).collect()
    }

    /// Returns the speed and capacity of the fleet's engines.
    pub(super) fn pace(&self) -> FleetConfig {
        self.0.pace
    }

    /// Adds a target to the fleet.
    pub(super) fn join(&self, address: SocketAddr, state: Arc<Mutex<State>>) {
        lock(&self.0.targets).insert(address, state);
    }

    /// Records that an engine goes down now.
    pub(super) fn record_outage(&self, address: SocketAddr) {
        let at = Instant::now();
        lock(&self.0.outages).push(Outage { address, at });
    }

    /// Returns the number of events of the stream for a request. It depends only on the
    /// request ID, so it is the same on every target.
    pub(super) fn events(&self, request: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        request.hash(&mut hasher);
        let mean = self.0.pace.mean_events;
        mean / 2 + hasher.finish() % mean.max(1)
    }

    /// Returns the body of the whole stream for a request.
    pub fn stream(&self, request: &str) -> String {
        (1..=self.events(request)).map(format_event).collect()
    }

    /// Records that a target received a request, and returns the index of the record.
    pub(super) fn record_arrival(&self, request: &str, pool: &str, address: SocketAddr) -> usize {
        let mut arrivals = lock(&self.0.arrivals);
        arrivals.push(FleetArrival {
            request: request.to_string(),
            pool: pool.to_string(),
            address,
            at: Instant::now(),
            has_run: false,
        });
        arrivals.len() - 1
    }

    /// Records that the target started to run a request.
    pub(super) fn record_start(&self, arrival: usize) {
        lock(&self.0.arrivals)[arrival].has_run = true;
    }

    /// Checks whether a stream can use a path. Stages in `held` belong to the stream
    /// already and need no free capacity.
    fn check(&self, path: &[PathStage], held: &[PathStage]) -> Result<(), PathError> {
        let targets = lock(&self.0.targets);
        for stage in path {
            let target = targets.get(&stage.address);
            let state = target.ok_or(PathError::Down(stage.address))?;
            let state = lock(state);
            if state.is_down() {
                return Err(PathError::Down(stage.address));
            }
            let (first, end) = state.layers;
            if stage.layers.0 < first || stage.layers.1 > end {
                return Err(PathError::NotHeld(stage.address));
            }
        }
        drop(targets);
        let active = lock(&self.0.active);
        let count = |a: &SocketAddr| active.streams.get(a).copied().unwrap_or_default();
        let is_new = |p: &&PathStage| !held.contains(p);
        let mut new = path.iter().filter(is_new);
        match new.find(|p| count(&p.address) >= self.0.pace.max_streams) {
            Some(full) => Err(PathError::Full(full.address)),
            None => Ok(()),
        }
    }

    /// Starts a stream over a path; `first` is the engine that received the request.
    pub(super) fn start_stream(
        &self,
        first: SocketAddr,
        request: &str,
        path: Vec<PathStage>,
    ) -> Result<FleetStream, PathError> {
        self.check(&path, &[])?;
        let mut active = lock(&self.0.active);
        active.reserve(&path);
        let key = (first, request.to_string());
        let previous = active.paths.insert(key.clone(), path);
        if let Some(previous) = previous {
            active.release(&previous);
        }
        Ok(FleetStream {
            fleet: self.clone(),
            key,
        })
    }

    /// Moves a running stream to another path. Returns `None` if there is no such stream.
    pub(super) fn change_path(
        &self,
        first: SocketAddr,
        request: &str,
        path: Vec<PathStage>,
    ) -> Option<Result<(), PathError>> {
        let key = (first, request.to_string());
        let previous = lock(&self.0.active).paths.get(&key).cloned()?;
        if let Err(error) = self.check(&path, &previous) {
            return Some(Err(error));
        }
        let mut active = lock(&self.0.active);
        active.release(&previous);
        active.reserve(&path);
        active.paths.insert(key, path);
        Some(Ok(()))
    }
}

/// Guard of a running stream; dropping it releases the capacity of the path.
pub(super) struct FleetStream {
    fleet: FakeFleet,
    key: (SocketAddr, String),
}

impl FleetStream {
    /// Returns the first engine on the path that is down, if any.
    pub(super) fn down_engine(&self) -> Option<SocketAddr> {
        let path = lock(&self.fleet.0.active).paths.get(&self.key).cloned()?;
        let targets = lock(&self.fleet.0.targets);
        let is_down = |p: &&PathStage| {
            let target = targets.get(&p.address);
            target.is_none_or(|state| lock(state).is_down())
        };
        path.iter().find(is_down).map(|p| p.address)
    }
}

impl Drop for FleetStream {
    fn drop(&mut self) {
        let mut active = lock(&self.fleet.0.active);
        if let Some(path) = active.paths.remove(&self.key) {
            active.release(&path);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
