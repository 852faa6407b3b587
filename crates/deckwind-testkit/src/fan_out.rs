//! Simulation of one leader and hundreds of routers in virtual time, with the leader's
//! network link.
//!
//! The control node is the daemon's own; a router consists of a lease and a renewal in
//! flight. Every answer is sent over the simulated link byte by byte, to measure what a
//! change costs there and how long the send queue becomes.

use crate::synthetic_fleet::{DATA_CENTRES, POOL};
pub use crate::synthetic_fleet::{engine, engine_fleet, engine_release, release};
use anyhow::{Context, Result, ensure};
use deckwind_core::control::{
    ControlEvent, ControlLimits, ControlReply, ControlRequest, CutReport, EngineLoadVersion,
    EngineStreamLoad, LimitReport, OperatorRequest, PeerListVersion, PlacementOrder,
    PoolRetryReport, RelayedReplies, RelayedRequest, Renewal, RetryReport, ScanCounts,
};
use deckwind_core::membership::{LeaseTiming, RouterLeaseState};
use deckwind_core::replication::{Index, ReplicaConfig, ReplicaId};
use deckwind_core::routing::paths::StreamLoad;
use deckwind_core::state::{
    Instance, LayerRange, PublishedRelease, Release, Revision, RouterProcess, SuspectChange,
    SuspectList,
};
use deckwind_core::time::Instant;
use deckwind_store::{MemoryDisk, Store};
use deckwind_wire::encode;
use deckwindd::control::{ControlNode, Effect, Now};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// One-way delay between a router and the leader.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// Time for which a replica collects requests before it relays them.
const RELAY_INTERVAL_MICROS: u64 = 20_000;
const RELAY_INTERVAL: Duration = Duration::from_micros(RELAY_INTERVAL_MICROS);

/// Bytes of IP, UDP and QUIC headers per packet.
const HEADER_BYTES: usize = 60;

/// Bytes of a message that fit into one packet.
const PACKET_PAYLOAD: usize = 1_200;

/// Time that an engine takes to load layers.
const LOAD_TIME: Duration = Duration::from_millis(30);

/// Duration of a lease.
const LEASE_DURATION: Duration = Duration::from_millis(2_800);

fn lease_timing() -> LeaseTiming {
    LeaseTiming {
        ttl: LEASE_DURATION,
        ..LeaseTiming::default()
    }
}

struct Router {
    lease: RouterLeaseState,
    /// Time at which the renewal in flight was sent.
    sent_at: Option<Instant>,
    was_live: bool,
    /// Last update of the engines' load that the router has received.
    use_known: Option<EngineLoadVersion>,
}

enum Arrival {
    Renewal(usize, Box<Renewal>),
    Reply(usize, Box<ControlReply>),
    /// An engine has completed an order.
    Placed(PlacementOrder),
}

/// Traffic of the leader's link and time that the leader worked.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkTraffic {
    /// Renewals received.
    pub renewals: u64,
    /// Messages with answers sent.
    pub messages: u64,
    /// Bytes of these messages, headers included.
    pub bytes: u64,
    /// Longest time that bytes waited in the link's queue.
    pub longest_queue: Duration,
    /// Leases that expired.
    pub leases_lost: u64,
    /// Leases that were cut short, since their router lacked a change.
    pub leases_cut_short: u64,
    /// Time that the leader spent on batches, by this machine's clock.
    pub work_time: Duration,
    /// Time spent on the longest batch, by this machine's clock: the longest delay that a
    /// heartbeat may see.
    pub longest_batch: Duration,
}

/// The leader and its routers.
pub struct FanOut {
    node: ControlNode,
    now: Instant,
    start: Instant,
    routers: Vec<Router>,
    engines_in_use: usize,
    /// Number of replicas that relay the routers' requests; 0 if routers call the leader
    /// directly.
    relays: u32,
    /// Maximum number of retries that all routers may be granted; `None` if they request
    /// none.
    retry_limit: Option<u64>,
    bytes_per_s: f64,
    link_free_at: Instant,
    in_flight: BTreeMap<(Instant, u64), Arrival>,
    requesting_routers: BTreeMap<u64, usize>,
    next_number: u64,
    operator_events: Vec<ControlEvent>,
    /// Reports of crashed runs that the leader has not answered.
    unanswered_reports: BTreeSet<u64>,
    /// Number of reports that the leader had no room for.
    refused_reports: usize,
    traffic: LinkTraffic,
}

impl FanOut {
    /// Creates an elected leader and routers with valid leases. Each router reports load
    /// at a quarter of `engines_in_use` engines.
    pub fn new(routers: usize, engines_in_use: usize, link_mbps: f64) -> Result<Self> {
        let id = ReplicaId {
            slot: 0,
            identity: 1,
        };
        let (store, opened) = Store::open(Box::new(MemoryDisk::default()), id)?;
        let start = Instant::from_millis(1_000);
        let lease = lease_timing();
        let limits = ControlLimits {
            state_bytes_per_s: ControlLimits::state_rate_for_link(link_mbps),
            ..ControlLimits::default()
        };
        let replica_config = ReplicaConfig::new(id, [0], 1);
        let router = |_| Router {
            lease: RouterLeaseState::new(lease),
            sent_at: None,
            was_live: false,
            use_known: None,
        };
        let mut fan_out = Self {
            node: ControlNode::new(replica_config, lease, limits, store, opened, start)?,
            now: start,
            start,
            routers: (0..routers).map(router).collect(),
            engines_in_use,
            relays: 0,
            retry_limit: None,
            bytes_per_s: link_mbps * 125_000.0,
            link_free_at: start,
            in_flight: BTreeMap::new(),
            requesting_routers: BTreeMap::new(),
            next_number: 1,
            operator_events: Vec::new(),
            unanswered_reports: BTreeSet::new(),
            refused_reports: 0,
            traffic: LinkTraffic::default(),
        };
        fan_out.run_for(Duration::from_secs(5))?;
        ensure!(
            fan_out.routers.iter().all(|r| r.was_live),
            "not all routers hold a lease"
        );
        fan_out.traffic = LinkTraffic::default();
        Ok(fan_out)
    }

    /// Has this number of replicas relay the routers' requests from now on.
    pub fn relay_through(&mut self, relays: u32) {
        self.relays = relays;
    }

    /// Has each router report load at a quarter of this number of engines from now on.
    pub fn set_engines_in_use(&mut self, engines: usize) {
        self.engines_in_use = engines;
    }

    /// Returns the rows that the leader has scanned so far.
    pub fn scan_counts(&self) -> ScanCounts {
        self.node.core().scan_counts()
    }

    /// Has all routers serve the pool and hold retries in reserve from now on; they may
    /// be granted this number of retries.
    pub fn enable_retries(&mut self, retry_limit: u64) {
        self.retry_limit = Some(retry_limit);
    }

    /// Returns the traffic since the last call and resets it.
    pub fn take_traffic(&mut self) -> LinkTraffic {
        std::mem::take(&mut self.traffic)
    }

    /// Restarts all routers at once, without leases and state.
    pub fn restart_routers(&mut self) {
        self.in_flight.clear();
        self.requesting_routers.clear();
        for r in &mut self.routers {
            r.lease = RouterLeaseState::new(lease_timing());
            r.sent_at = None;
            r.was_live = false;
            r.use_known = None;
        }
    }

    /// Publishes a release.
    pub fn publish(&mut self, release: Release) {
        let document = Vec::new();
        let published = PublishedRelease { release, document };
        let request = OperatorRequest::Publish(Box::new(published));
        self.operator_events
            .push(ControlEvent::Operator { token: 0, request });
    }

    /// Announces a target.
    pub fn announce(&mut self, instance: Instance) {
        let request = OperatorRequest::Announce(Box::new(instance));
        self.operator_events
            .push(ControlEvent::Operator { token: 0, request });
    }

    /// Sends the leader a router's report of crashed runs.
    pub fn report_crashes(&mut self, changes: Vec<SuspectChange>) {
        self.next_number += 1;
        let token = self.next_number;
        self.unanswered_reports.insert(token);
        let request = ControlRequest::CutRuns(CutReport {
            broke: Vec::new(),
            changes,
        });
        self.operator_events
            .push(ControlEvent::Request { token, request });
    }

    /// Returns the number of reports of crashed runs that the leader has not answered.
    pub fn unanswered_reports(&self) -> usize {
        self.unanswered_reports.len()
    }

    /// Returns the number of rounds in which the leader has answered all renewals.
    pub fn reply_rounds(&self) -> u64 {
        self.node.core().reply_rounds()
    }

    /// Returns the number of reports of crashed runs that the leader had no room for.
    pub fn refused_reports(&self) -> usize {
        self.refused_reports
    }

    /// Returns whether the leader's evidence contains this change.
    pub fn has_evidence(&self, change: &SuspectChange) -> bool {
        let state_machine = self.node.core().state_machine();
        state_machine.quarantine().contains(change)
    }

    /// Returns the index of the last log entry that the leader has applied.
    pub fn applied(&self) -> Index {
        self.node.core().applied()
    }

    /// Returns the committed list of suspects.
    pub fn suspects(&self) -> Arc<SuspectList> {
        let state_machine = self.node.core().state_machine();
        state_machine.configuration().suspects()
    }

    /// Returns the number of routers that haven't applied the committed revision.
    pub fn routers_behind(&self) -> usize {
        let committed = self.revision();
        let is_lagging = |r: &&Router| r.lease.applied() < committed;
        self.routers.iter().filter(is_lagging).count()
    }

    /// Returns the committed revision.
    pub fn revision(&self) -> Revision {
        self.node.core().state_machine().configuration().revision()
    }

    /// Returns the releases that routers have applied.
    pub fn releases(&self) -> impl Iterator<Item = &Release> {
        let configurations = self.routers.iter().map(|r| r.lease.configuration());
        configurations.filter_map(|cfg| cfg.release().map(|r| &**r))
    }

    /// Returns the number of routers that may serve though they haven't applied the
    /// committed revision.
    pub fn serving_stale(&self) -> usize {
        let committed = self.revision();
        let is_serving_behind =
            |r: &&Router| r.lease.is_live(self.now) && r.lease.applied() < committed;
        self.routers.iter().filter(is_serving_behind).count()
    }

    /// Returns the layers that an engine holds according to the committed state.
    pub fn layers_of(&self, id: &str) -> LayerRange {
        let instances = self.node.core().state_machine().configuration().instances();
        instances.get(id).map(|i| i.layers).unwrap_or_default()
    }

    /// Returns the number of engines that hold layers.
    pub fn engines_with_layers(&self) -> usize {
        let instances = self.node.core().state_machine().configuration().instances();
        instances.iter().filter(|i| !i.layers.is_empty()).count()
    }

    /// Runs until all routers have applied the committed revision; returns the time that
    /// this took.
    ///
    /// # Errors
    ///
    /// Fails if routers still lag after `timeout`.
    pub fn run_until_applied(&mut self, timeout: Duration) -> Result<Duration> {
        let begun = self.now;
        self.step()?;
        while self.routers_behind() > 0 {
            ensure!(
                self.now.since(begun) < timeout,
                "{} routers still lag",
                self.routers_behind()
            );
            self.step()?;
        }
        Ok(self.now.since(begun))
    }

    /// Advances the virtual time.
    pub fn run_for(&mut self, time: Duration) -> Result<()> {
        let until = self.now + time;
        while self.now < until {
            self.step()?;
        }
        Ok(())
    }

    fn step(&mut self) -> Result<()> {
        self.now = self.now + STEP;
        let mut batch = std::mem::take(&mut self.operator_events);
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Arrival::Renewal(router, renewal) => {
                    batch.push(self.receive_renewal(router, *renewal))
                }
                Arrival::Reply(router, reply) => self.handle_reply(router, *reply)?,
                Arrival::Placed(order) => batch.push(ControlEvent::PlacementDone {
                    incarnation: order.incarnation(),
                    held: Some(order.layers),
                }),
            }
        }
        let mut effects = Vec::new();
        let now = Now {
            at: self.now,
            wall_ms: self.now.since(self.start).as_millis() as u64,
        };
        let begun = std::time::Instant::now();
        self.node.process_batch(now, batch, &mut effects)?;
        let took = begun.elapsed();
        self.traffic.work_time += took;
        self.traffic.longest_batch = self.traffic.longest_batch.max(took);
        let mut relayed: BTreeMap<u32, Vec<(u64, ControlReply)>> = BTreeMap::new();
        for effect in effects {
            match effect {
                Effect::Reply(token, reply) if self.unanswered_reports.remove(&token) => {
                    self.refused_reports += usize::from(reply == ControlReply::Busy);
                }
                Effect::Reply(token, reply) => match self.relay_of(token) {
                    Some(relay) => relayed.entry(relay).or_default().push((token, reply)),
                    None => self.send_answers(vec![(token, reply)])?,
                },
                Effect::DeriveSuspects(evidence) => {
                    let event = ControlEvent::SuspectsDerived(evidence.derive());
                    self.operator_events.push(event);
                }
                Effect::Place(order) => self.schedule(self.now + LOAD_TIME, Arrival::Placed(order)),
                _ => {}
            }
        }
        for (_, answers) in relayed {
            self.send_answers(answers)?;
        }
        for router in 0..self.routers.len() {
            self.renew(router);
        }
        Ok(())
    }

    /// Returns the replica that relayed this request, if one did.
    fn relay_of(&self, token: u64) -> Option<u32> {
        let router = self.requesting_routers.get(&token)?;
        (self.relays > 0).then(|| *router as u32 % self.relays)
    }

    fn receive_renewal(&mut self, router: usize, renewal: Renewal) -> ControlEvent {
        self.next_number += 1;
        let token = self.next_number;
        self.requesting_routers.insert(token, router);
        self.traffic.renewals += 1;
        let request = ControlRequest::Renew(Box::new(renewal));
        let Some(relay) = self.relay_of(token) else {
            return ControlEvent::Request { token, request };
        };
        let waited = Duration::ZERO;
        let request = RelayedRequest {
            token,
            waited,
            request,
        };
        // The leader has slot 0.
        let from = relay + 1;
        ControlEvent::Relayed {
            token,
            from,
            request,
        }
    }

    fn renew(&mut self, router: usize) {
        let in_use = self.engine_load_of(router);
        let r = &mut self.routers[router];
        let is_live = r.lease.is_live(self.now);
        self.traffic.leases_lost += u64::from(r.was_live && !is_live);
        r.was_live = is_live;
        if r.sent_at.is_some() {
            return;
        }
        r.sent_at = Some(self.now);
        let renewal = Renewal {
            holder: RouterProcess {
                vm: format!("router-{router}").as_str().into(),
                boot: 1,
            },
            applied: r.lease.applied(),
            admin: SocketAddr::from(([127, 0, 0, 1], 1)),
            demand: Vec::new(),
            tunnels: None,
            peers_known: PeerListVersion::default(),
            data_centre: DATA_CENTRES[router % DATA_CENTRES.len()].into(),
            in_use,
            use_known: r.use_known,
            failing: Vec::new(),
            held_bytes: 0,
            repeats: self.retry_limit.map(retry_report),
            limits: LimitReport::default(),
        };
        let arrival = Arrival::Renewal(router, Box::new(renewal));
        let departure = match self.relays {
            0 => self.now,
            _ => {
                self.now + RELAY_INTERVAL
                    - Duration::from_micros(self.now.as_micros() % RELAY_INTERVAL_MICROS)
            }
        };
        self.schedule(departure + ONE_WAY_DELAY, arrival);
    }

    fn engine_load_of(&self, router: usize) -> Vec<EngineStreamLoad> {
        let held = StreamLoad {
            layer_tokens: 40_000,
            begun: 1,
        };
        let engine = |e: usize| {
            let address = SocketAddr::from(([127, 0, 1, 1], e as u16 + 1));
            EngineStreamLoad::new(address, held)
        };
        let own_engines = (0..self.engines_in_use).filter(|e| e % 4 == router % 4);
        own_engines.map(engine).collect()
    }

    /// Sends answers in one message: to one router, or to the replica that relayed the
    /// requests.
    fn send_answers(&mut self, answers: Vec<(u64, ControlReply)>) -> Result<()> {
        let bytes = match &answers[..] {
            [(_, reply)] if self.relays == 0 => encode(reply).len(),
            answers => {
                let mut relayed = RelayedReplies::new(0);
                for (token, reply) in answers {
                    relayed.push(*token, reply.clone());
                }
                encode(&relayed).len()
            }
        };
        let link_bytes = bytes + HEADER_BYTES * (1 + bytes / PACKET_PAYLOAD);
        let transfer_start = self.link_free_at.max(self.now);
        let transfer_time = Duration::from_secs_f64(link_bytes as f64 / self.bytes_per_s);
        self.link_free_at = transfer_start + transfer_time;
        let queue_time = self.link_free_at.since(self.now);
        self.traffic.longest_queue = self.traffic.longest_queue.max(queue_time);
        self.traffic.messages += 1;
        self.traffic.bytes += link_bytes as u64;
        for (token, reply) in answers {
            // Answers to requests from before a restart are dropped.
            if let Some(router) = self.requesting_routers.remove(&token) {
                let arrival = Arrival::Reply(router, Box::new(reply));
                self.schedule(self.link_free_at + ONE_WAY_DELAY, arrival);
            }
        }
        Ok(())
    }

    fn handle_reply(&mut self, router: usize, reply: ControlReply) -> Result<()> {
        let r = &mut self.routers[router];
        let sent_at = r
            .sent_at
            .take()
            .context("a reply without a renewal in flight")?;
        if let ControlReply::Granted(grant) = reply {
            self.traffic.leases_cut_short += u64::from(grant.lasts.is_some());
            let delta = grant.changes(r.lease.applied())?;
            r.lease.apply_grant(grant.lease(sent_at), delta);
            r.use_known = grant.in_use.map(|update| update.upto).or(r.use_known);
        }
        Ok(())
    }

    fn schedule(&mut self, at: Instant, arrival: Arrival) {
        self.next_number += 1;
        self.in_flight.insert((at, self.next_number), arrival);
    }
}

/// Report of a router that serves the pool and has used no retries.
fn retry_report(max_retries: u64) -> RetryReport {
    RetryReport {
        most: max_retries,
        window: Duration::from_secs(10),
        pools: vec![PoolRetryReport {
            pool: POOL.to_string(),
            allowance: None,
            spent: 0,
            over: 0,
            back: 0,
            level: 1,
            serves: true,
        }],
    }
}
