//! Per-target state of one router: requests in flight, load of streams at engines, and
//! failures.

use super::limits::TargetLimits;
use super::notices::TargetNotices;
use super::silence_evidence::SilenceEvidence;
use crate::control::{EngineFull, EngineLoadUpdate, EngineLoadVersion, EngineStreamLoad};
use crate::routing::paths::{EngineLookup, Stage, StreamLoad};
use crate::state::{Instance, InstanceState};
use crate::time::Instant;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Backoff after the first failure of a target. Doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff after a failure. Kept short so that a recovered target is soon used
/// again.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Successful answers that cancel one failure. A target that fails more than a third of its
/// requests is avoided for increasing periods.
const FAULTS_PER_FAILURE: u32 = 2;

/// Maximum number of faults that are remembered, which corresponds to four failures.
const MAX_FAULTS: u32 = 4 * FAULTS_PER_FAILURE;

/// Time for which a router avoids an engine that refused one of its requests for lack of
/// capacity. A few answers end in that time.
const FULL_ENGINE_BACKOFF: Duration = Duration::from_millis(300);

/// Time for which a refusal caps the load that the engine is assumed to accept. The cap is
/// the load of the engine when it refused. The router's count is outdated after this time;
/// with a longer time, more requests would find no path at all.
const REFUSED_LOAD_TTL: Duration = Duration::from_millis(250);

/// The kind of a target failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// The target can't be reached, or streams that pass through it have stalled.
    Down,
    /// The target returned a bad answer or broke one off. Its other answers may be
    /// complete.
    Answer,
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetRecord {
    in_flight: u32,
    /// End of the backoff that applies to any kind of fault.
    avoided_until: Instant,
    /// Time until which the target counts as down.
    down_until: Instant,
    /// Time until which the target counts as unconfirmed: another router reported a
    /// failure.
    unconfirmed_until: Instant,
    /// Time until which the target is suspected because streams through it stalled
    /// together.
    suspected_until: Instant,
    /// Fault score: rises with failures, falls with successful answers.
    faults: u32,
}

/// Load and failure records that one router keeps for targets.
#[derive(Clone, Debug, Default)]
pub struct TargetRecords {
    targets: HashMap<SocketAddr, TargetRecord>,
    /// Load of this router's own streams by engine.
    own: HashMap<SocketAddr, StreamLoad>,
    /// Load of all routers' streams by engine, as last reported by the leader.
    fleet: HashMap<SocketAddr, StreamLoad>,
    /// Position up to which the leader's load updates have been applied.
    load_position: Option<EngineLoadVersion>,
    /// Load of this router's streams in its last report. Included in `fleet`.
    reported: HashMap<SocketAddr, StreamLoad>,
    /// Engines that recently refused a request for lack of capacity.
    refused: HashMap<SocketAddr, CapacityRefusal>,
    /// Slow engines as last reported by the leader. Valid until `slow_until`.
    slow: HashSet<SocketAddr>,
    slow_until: Instant,
    /// Rest periods and shutdown announcements received from targets.
    pub notices: TargetNotices,
    /// Request limits that targets have set.
    pub limits: TargetLimits,
    /// Evidence about targets that the control replicas don't hear.
    pub evidence: SilenceEvidence,
}

/// A refusal by an engine for lack of capacity.
#[derive(Clone, Copy, Debug)]
struct CapacityRefusal {
    /// Load of the engine at the refusal, in tokens times layers.
    layer_tokens: u64,
    until: Instant,
}

/// View of a [`TargetRecords`] at one moment, for one request.
pub struct TargetRecordsAt<'a> {
    records: &'a TargetRecords,
    now: Instant,
    /// Targets through which this request must not be sent.
    avoid: &'a HashSet<SocketAddr>,
    /// Whether targets that recently gave bad answers may be used.
    allow_faulty: bool,
    /// Targets whose rest period ends by this time may be used.
    rested_by: Instant,
    /// Whether silent targets may be used, also without evidence that they run.
    allow_silent: bool,
}

impl EngineLookup for TargetRecordsAt<'_> {
    fn is_available(&self, instance: &Instance) -> bool {
        let is_silent = instance.state == InstanceState::Silent;
        is_silent && self.allow_silent || self.records.is_available(self.now, instance)
    }

    fn is_avoided(&self, instance: &Instance) -> bool {
        let address = instance.address;
        let avoided = match self.allow_faulty {
            true => self.records.is_down(self.now, address),
            false => self.records.is_in_backoff(self.now, address),
        };
        let notices = &self.records.notices;
        let is_blocked = notices.leaves(instance)
            || self
                .records
                .rest_ends_at(self.rested_by, instance)
                .is_some();
        avoided || is_blocked || self.avoid.contains(&address)
    }

    fn load(&self, address: SocketAddr) -> StreamLoad {
        self.records.load(address)
    }

    fn load_when_refused(&self, address: SocketAddr) -> Option<u64> {
        let refused = self.records.refused.get(&address);
        let lately = refused.filter(|r| r.until > self.now);
        lately.map(|r| r.layer_tokens)
    }

    fn is_suspected(&self, address: SocketAddr) -> bool {
        self.records.is_suspected(self.now, address) || self.records.is_slow(self.now, address)
    }
}

impl TargetRecordsAt<'_> {
    /// Also allows silent targets, without evidence that they run.
    pub fn with_silent(self) -> Self {
        Self {
            allow_silent: true,
            ..self
        }
    }
}

impl TargetRecords {
    /// Returns a view as of `now`, for a request that must not be sent through the targets
    /// in `avoid`.
    pub fn at<'a>(&'a self, now: Instant, avoid: &'a HashSet<SocketAddr>) -> TargetRecordsAt<'a> {
        TargetRecordsAt {
            records: self,
            now,
            avoid,
            allow_faulty: false,
            rested_by: now,
            allow_silent: false,
        }
    }

    /// Whether a target takes new requests as far as its state is known: it is ready, or
    /// silent with recent evidence that it runs.
    pub fn is_available(&self, now: Instant, instance: &Instance) -> bool {
        match instance.state {
            InstanceState::Ready => true,
            InstanceState::Silent => self.evidence.is_alive(now, instance.address),
            InstanceState::Draining => false,
        }
    }

    /// Like [`TargetRecords::at`], but also allows targets that recently gave bad answers.
    pub fn with_faulty_at<'a>(
        &'a self,
        now: Instant,
        avoid: &'a HashSet<SocketAddr>,
    ) -> TargetRecordsAt<'a> {
        TargetRecordsAt {
            allow_faulty: true,
            ..self.at(now, avoid)
        }
    }

    /// Like [`TargetRecords::with_faulty_at`], but also allows targets whose rest period ends
    /// by `then`.
    pub fn rested_by<'a>(
        &'a self,
        now: Instant,
        then: Instant,
        avoid: &'a HashSet<SocketAddr>,
    ) -> TargetRecordsAt<'a> {
        TargetRecordsAt {
            rested_by: then,
            ..self.with_faulty_at(now, avoid)
        }
    }

    /// Returns the time until which nothing may be sent to a target, or `None` if requests
    /// may be sent now. A target is blocked while it asks for a rest period or while the
    /// leader grants no permits for it.
    pub fn rest_ends_at(&self, now: Instant, instance: &Instance) -> Option<Instant> {
        let rests = self.notices.rest_ends_at(now, instance);
        rests.max(self.limits.denied_until(now, instance))
    }

    /// The number of requests in flight at a target.
    pub fn in_flight(&self, address: SocketAddr) -> u32 {
        self.targets.get(&address).map_or(0, |a| a.in_flight)
    }

    /// Whether a target is in backoff after a recent failure.
    pub fn is_in_backoff(&self, now: Instant, address: SocketAddr) -> bool {
        let record = self.targets.get(&address);
        record.is_some_and(|a| a.avoided_until > now)
    }

    /// Whether a target was recently unreachable or stalled.
    pub fn is_down(&self, now: Instant, address: SocketAddr) -> bool {
        let record = self.targets.get(&address);
        record.is_some_and(|a| a.down_until > now)
    }

    /// Records targets that other routers report as down.
    pub fn mark_unconfirmed(&mut self, until: Instant, addresses: &[SocketAddr]) {
        for address in addresses {
            self.targets.entry(*address).or_default().unconfirmed_until = until;
        }
    }

    /// Marks a target as suspected because streams through it stalled together.
    pub fn mark_suspected(&mut self, until: Instant, address: SocketAddr) {
        self.targets.entry(address).or_default().suspected_until = until;
    }

    /// Replaces the set of slow engines, as reported by the leader.
    pub fn set_slow(&mut self, until: Instant, slow: impl Iterator<Item = SocketAddr>) {
        self.slow = slow.collect();
        self.slow_until = until;
    }

    /// Whether an engine is slow. New requests avoid it, which gives them a faster path and
    /// reduces its load.
    pub fn is_slow(&self, now: Instant, address: SocketAddr) -> bool {
        self.slow_until > now && self.slow.contains(&address)
    }

    /// Clears the suspected and unconfirmed states, after an event came through the target.
    pub fn clear_suspicion(&mut self, address: SocketAddr) {
        if let Some(record) = self.targets.get_mut(&address) {
            record.suspected_until = Instant::ZERO;
            record.unconfirmed_until = Instant::ZERO;
        }
    }

    /// Whether a target is suspected because streams through it recently stalled together.
    pub fn is_suspected(&self, now: Instant, address: SocketAddr) -> bool {
        let record = self.targets.get(&address);
        record.is_some_and(|a| a.suspected_until > now)
    }

    /// Whether stalled streams should leave a target: it was recently down for this router
    /// or another one, or is suspected.
    pub fn is_unconfirmed(&self, now: Instant, address: SocketAddr) -> bool {
        let until = |a: &TargetRecord| a.down_until.max(a.unconfirmed_until).max(a.suspected_until);
        let record = self.targets.get(&address);
        record.is_some_and(|a| until(a) > now)
    }

    /// Counts a request as in flight at these targets.
    pub fn record_start(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.targets.entry(*address).or_default().in_flight += 1;
        }
    }

    /// Counts a request at these targets as ended.
    pub fn record_end(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            let record = self.targets.entry(*address).or_default();
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Records a target failure and returns how long the target is avoided.
    pub fn record_failure(
        &mut self,
        now: Instant,
        address: SocketAddr,
        fault: TargetFault,
    ) -> Duration {
        let record = self.targets.entry(address).or_default();
        let until = match fault {
            TargetFault::Down => record.down_until,
            TargetFault::Answer => record.avoided_until,
        };
        if until > now {
            return until.since(now);
        }
        let doublings = record.faults / FAULTS_PER_FAILURE;
        let wait = (INITIAL_BACKOFF * 2u32.pow(doublings)).min(MAX_BACKOFF);
        record.faults = (record.faults + FAULTS_PER_FAILURE).min(MAX_FAULTS);
        record.avoided_until = record.avoided_until.max(now + wait);
        if fault == TargetFault::Down {
            record.down_until = now + wait;
        }
        wait
    }

    /// Records that a target had no free capacity: this router avoids it briefly. Returns
    /// the report for the other routers.
    pub fn record_refusal(&mut self, now: Instant, address: SocketAddr) -> EngineFull {
        self.avoid_full_engine(now, address);
        let full = EngineFull {
            address,
            layer_tokens: self.load(address).layer_tokens,
        };
        self.record_full_engines(now, &[full]);
        full
    }

    /// Avoids an engine without free capacity for a short time.
    pub fn avoid_full_engine(&mut self, now: Instant, address: SocketAddr) {
        let record = self.targets.entry(address).or_default();
        record.avoided_until = record.avoided_until.max(now + FULL_ENGINE_BACKOFF);
    }

    /// Records that engines have just refused a request of this router or another one. The
    /// engines are healthy, so they are expected to accept the same load again as at the
    /// refusal.
    pub fn record_full_engines(&mut self, now: Instant, full: &[EngineFull]) {
        self.refused.retain(|_, r| r.until > now);
        for engine in full {
            let refused = CapacityRefusal {
                layer_tokens: engine.layer_tokens,
                until: now + REFUSED_LOAD_TTL,
            };
            self.refused.insert(engine.address, refused);
        }
    }

    /// Records a successful answer of a target.
    pub fn record_success(&mut self, address: SocketAddr) {
        if let Some(record) = self.targets.get_mut(&address) {
            record.faults = record.faults.saturating_sub(1);
        }
    }

    /// Adds the tokens of a stream to the load of the engines on its path.
    pub fn add_load(&mut self, stages: &[Stage], tokens: u64) {
        for stage in stages {
            let held = self.own.entry(stage.address).or_default();
            held.layer_tokens += tokens * u64::from(stage.layers.len());
        }
        if let Some(first) = stages.first() {
            self.own.entry(first.address).or_default().begun += 1;
        }
    }

    /// Removes the tokens of a stream from the load of the engines on its path.
    pub fn remove_load(&mut self, stages: &[Stage], tokens: u64) {
        for stage in stages {
            let held = self.own.entry(stage.address).or_default();
            let less = tokens * u64::from(stage.layers.len());
            held.layer_tokens = held.layer_tokens.saturating_sub(less);
        }
        if let Some(first) = stages.first() {
            let held = self.own.entry(first.address).or_default();
            held.begun = held.begun.saturating_sub(1);
        }
        self.own.retain(|_, held| *held != StreamLoad::default());
    }

    /// Replaces the load of all other routers' streams.
    pub fn set_others_load(&mut self, uses: &[EngineStreamLoad]) {
        self.fleet = uses.iter().map(|u| (u.address, u.held())).collect();
        self.reported.clear();
    }

    /// Applies the answer to a lease renewal: `own` is the load that the renewal reported,
    /// `news` the leader's updates of the load of all routers, if any.
    pub fn apply_load_update(&mut self, own: &[EngineStreamLoad], news: Option<&EngineLoadUpdate>) {
        self.reported = own.iter().map(|u| (u.address, u.held())).collect();
        let Some(news) = news else {
            return;
        };
        if news.all {
            self.fleet.clear();
        }
        for engine in &news.engines {
            match engine.held() == StreamLoad::default() {
                true => self.fleet.remove(&engine.address),
                false => self.fleet.insert(engine.address, engine.held()),
            };
        }
        self.load_position = Some(news.upto);
    }

    /// Returns the position up to which the leader's load updates have been applied.
    pub fn load_position(&self) -> Option<EngineLoadVersion> {
        self.load_position
    }

    /// Returns the load of this router's streams for the report to the leader, sorted by
    /// address.
    pub fn own_engine_load(&self) -> Vec<EngineStreamLoad> {
        let own = self.own.iter();
        let own = own.map(|(address, held)| EngineStreamLoad::new(*address, *held));
        let mut own: Vec<EngineStreamLoad> = own.collect();
        own.sort_unstable_by_key(|u| u.address);
        own
    }

    /// Returns the load of all routers' streams at an engine.
    pub fn load(&self, address: SocketAddr) -> StreamLoad {
        let of =
            |map: &HashMap<SocketAddr, StreamLoad>| map.get(&address).copied().unwrap_or_default();
        let (own, fleet, reported) = (of(&self.own), of(&self.fleet), of(&self.reported));
        let others = fleet.layer_tokens.saturating_sub(reported.layer_tokens);
        StreamLoad {
            layer_tokens: own.layer_tokens + others,
            begun: own.begun + fleet.begun.saturating_sub(reported.begun),
        }
    }

    /// Resets the failure record of an address after its incarnation has ended, since
    /// earlier failures say nothing about the next incarnation. Streams that still pass
    /// through the old one have stalled, so the address counts as unconfirmed for streams
    /// until `until`.
    pub fn reset_target(&mut self, until: Instant, address: SocketAddr) {
        let record = self.targets.entry(address).or_default();
        *record = TargetRecord {
            in_flight: record.in_flight,
            unconfirmed_until: until,
            ..TargetRecord::default()
        };
    }

    /// Returns the targets that are down at `now`.
    pub fn down_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let failing = self.targets.iter().filter(|(_, t)| t.down_until > now);
        failing.map(|(a, _)| *a).collect()
    }

    /// Removes targets that `keep` rejects and that have no requests in flight.
    pub fn retain(&mut self, now: Instant, keep: impl Fn(&SocketAddr) -> bool) {
        self.notices.forget(now, &keep);
        self.limits.forget(&keep);
        self.targets.retain(|a, t| t.in_flight > 0 || keep(a));
    }
}
