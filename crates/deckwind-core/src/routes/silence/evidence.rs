//! What routers tell the leader of silent streams, and what it makes of it.
//!
//! A router has some fifteen streams. Where several engines die at once nearly
//! all of them are silent, and too few are lively to clear the others; the
//! routers of a data centre together have hundreds.

use super::explain::{Candidates, explain};
use super::past_it;
use crate::state::{DataCentre, VmName};
use crate::time::Instant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// How long silent streams count that a router told of: until its next telling.
const SILENT_FOR: Duration = Duration::from_millis(30);

/// How long an event through an engine is remembered: longer than any stream is
/// silent before it is told.
const ALIVE_FOR: Duration = Duration::from_millis(300);

/// Usual gap that the leader allows for what is past a dead engine; see
/// [`past_it`].
const USUAL: Duration = Duration::from_millis(50);

/// A silent stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SilentPath {
    /// How long ago its event was due.
    pub due_ago: Duration,
    /// Engines that may be why, by their place in [`Evidence::engines`].
    pub candidates: Vec<u16>,
}

/// An engine as one router sees it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineEvidence {
    /// The engine.
    pub address: SocketAddr,
    /// How long ago an event last came through it.
    pub alive_ago: Duration,
    /// Streams through it, silent or not.
    pub streams: u32,
}

/// What one router knows of silent streams in one data centre, as ages: its clock
/// is not the leader's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Engines on the way of all its streams there.
    pub engines: Vec<EngineEvidence>,
    /// Silent streams that no suspected engine explains.
    pub silent: Vec<SilentPath>,
    /// Streams there that are not silent.
    pub lively: u32,
}

#[derive(Clone, Debug)]
struct Told {
    at: Instant,
    evidence: Evidence,
}

/// The evidence of all routers, at the leader.
#[derive(Clone, Debug, Default)]
pub struct EvidenceDesk {
    told: BTreeMap<(VmName, DataCentre), Told>,
    /// Last event through each engine, for all routers.
    alive: HashMap<SocketAddr, Instant>,
}

impl EvidenceDesk {
    /// A router tells. The engines that are suspected now, by all that is known.
    pub fn hear(&mut self, now: Instant, vm: &VmName, evidence: Evidence) -> Vec<SocketAddr> {
        self.told.retain(|_, t| now.since(t.at) < SILENT_FOR);
        self.alive.retain(|_, at| now.since(*at) < ALIVE_FOR);
        for engine in &evidence.engines {
            let alive = self.alive.entry(engine.address).or_insert(Instant::ZERO);
            *alive = (*alive).max(now - engine.alive_ago);
        }
        let centre = evidence.data_centre.clone();
        let key = (vm.clone(), centre.clone());
        self.told.insert(key, Told { at: now, evidence });
        self.suspects(&centre)
    }

    fn suspects(&self, centre: &DataCentre) -> Vec<SocketAddr> {
        let told = self.told.values();
        let told: Vec<&Told> = told.filter(|t| t.evidence.data_centre == *centre).collect();
        let silent: Vec<Candidates<SocketAddr>> = told
            .iter()
            .flat_map(|t| t.evidence.silent.iter().map(|s| self.candidates(t, s)))
            .collect();
        let lively: u32 = told.iter().map(|t| t.evidence.lively).sum();
        let mut through: HashMap<SocketAddr, usize> = HashMap::new();
        for engine in told.iter().flat_map(|t| &t.evidence.engines) {
            *through.entry(engine.address).or_default() += engine.streams as usize;
        }
        let through = |a: SocketAddr| through.get(&a).copied().unwrap_or_default();
        explain(&silent, lively as usize, through)
    }

    /// Engines through which no router has had an event since the stream's was due.
    fn candidates(&self, told: &Told, silent: &SilentPath) -> Candidates<SocketAddr> {
        let since = told.at - silent.due_ago + past_it(USUAL);
        let named = silent.candidates.iter();
        let named = named.filter_map(|i| told.evidence.engines.get(usize::from(*i)));
        let addresses = named.map(|e| e.address);
        let quiet = |a: &SocketAddr| self.alive.get(a).is_none_or(|at| *at <= since);
        addresses.filter(quiet).collect()
    }
}
