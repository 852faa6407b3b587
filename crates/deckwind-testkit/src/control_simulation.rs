//! Simulation of control replicas in virtual time: the real core and store, on in-memory
//! disks, over a network that loses, duplicates and delays messages and can be
//! partitioned.
//!
//! A seed reproduces its run. The invariants of `simulation_checks` are checked during the run.

use crate::heartbeat_gaps::HeartbeatGaps;
use crate::simulated_network::{InFlight, Requester};
use crate::simulated_routers::SimulatedRouter;
use crate::work_costs::{CostStopwatch, TimedOutbox, WorkCosts, WorkedTime};
use deckwind_core::control::{ControlEvent, ControlLimits, OperatorReply, OperatorRequest};
use deckwind_core::membership::{InForce, LeaseTiming};
use deckwind_core::replication::{Entry, Index, ReplicaConfig, ReplicaId, Term, Timing};
use deckwind_core::state::{
    ApplyRequest, Change, ClaimLimits, Incarnation, Instance, Revision, TargetName,
};
use deckwind_core::time::Instant;
use deckwind_store::{MemoryDisk, Store};
use deckwindd::control::{ControlNode, Effect, MAX_OTHER_INPUTS, Now, SLICE};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Faults of the network; rates are in parts per 1,000.
#[derive(Clone, Copy, Debug)]
pub struct NetFaults {
    /// Rate of lost messages.
    pub lost: u32,
    /// Rate of duplicated messages.
    pub duplicated: u32,
    /// Rate of orders whose confirmation is lost, so that the leader repeats them.
    pub orders_unanswered: u32,
    /// Maximum delay of a message.
    pub max_delay: Duration,
}

impl NetFaults {
    /// A network without faults.
    pub const NONE: NetFaults = NetFaults {
        lost: 0,
        duplicated: 0,
        orders_unanswered: 0,
        max_delay: Duration::from_millis(1),
    };

    /// A network with many faults.
    pub const BAD: NetFaults = NetFaults {
        lost: 100,
        duplicated: 50,
        orders_unanswered: 900,
        max_delay: Duration::from_millis(60),
    };
}

/// A control VM of the simulation.
pub(crate) struct SimulatedNode {
    disk: MemoryDisk,
    pub(crate) node: Option<ControlNode>,
    frozen: bool,
    pub(crate) inbox: Vec<ControlEvent>,
    /// Index up to which committed entries were checked.
    pub(crate) checked_up_to: Index,
    /// Drift of the VM's clock in parts per 1,000; positive if it runs fast.
    drift_per_mille: i64,
    /// Time that the replica has worked, if work takes time.
    worked: WorkedTime,
    /// Time until which the replica is at work: until then it reads nothing.
    busy_until: Instant,
    /// Effects and the times at which they leave, in order.
    outbox: VecDeque<(Instant, Effect)>,
}

impl SimulatedNode {
    fn stop(&mut self) {
        self.node = None;
        self.outbox.clear();
        self.busy_until = Instant::ZERO;
    }

    /// Takes the inputs of the next batch, as the daemon does: the messages of the log, and a
    /// bounded number of others. A message with any number of forwarded requests is one input,
    /// so these are not counted here.
    fn take_batch(&mut self) -> Vec<ControlEvent> {
        let is_of_log = |e: &ControlEvent| matches!(e, ControlEvent::Replica(_));
        let inbox = std::mem::take(&mut self.inbox);
        let (mut batch, others): (Vec<_>, Vec<_>) = inbox.into_iter().partition(is_of_log);
        let mut counted = 0;
        for event in others {
            counted += usize::from(!matches!(event, ControlEvent::Relayed { .. }));
            match counted <= MAX_OTHER_INPUTS {
                true => batch.push(event),
                false => self.inbox.push(event),
            }
        }
        batch
    }

    fn describe(&self) -> String {
        let Some(node) = &self.node else {
            return "down".to_string();
        };
        let r = node.core().replica();
        format!(
            "{} {} term {} last {:?} commit {:?} members {:?} frozen {}",
            r.id(),
            r.role(),
            r.term().0,
            r.log().last(),
            r.commit(),
            r.members(),
            self.frozen
        )
    }
}

/// Control replicas, routers and the network between them.
pub struct ControlSimulation {
    pub(crate) now: Instant,
    pub(crate) rng: StdRng,
    pub(crate) faults: NetFaults,
    pub(crate) nodes: Vec<SimulatedNode>,
    /// The routers.
    pub routers: Vec<SimulatedRouter>,
    pub(crate) partitions: BTreeSet<(u32, u32)>,
    pub(crate) in_flight: BTreeMap<(Instant, u64), InFlight>,
    pub(crate) sequence: u64,
    pub(crate) pending: BTreeMap<u64, Requester>,
    pub(crate) next_token: u64,
    pub(crate) leaders: BTreeMap<Term, ReplicaId>,
    pub(crate) committed: BTreeMap<Index, Entry>,
    pub(crate) accepted: Revision,
    /// Accepted changes with the times of their replies, oldest first.
    pub(crate) accepted_at: VecDeque<(Instant, Revision)>,
    /// Revision of the latest accepted change that must be in force.
    pub(crate) due_revision: Revision,
    pub(crate) newest_terms: BTreeMap<TargetName, Term>,
    /// Replies to operators and targets, by request or instance id.
    pub replies: BTreeMap<String, Vec<OperatorReply>>,
    limits: ControlLimits,
    pub(crate) lease: LeaseTiming,
    timing: Timing,
    /// Cost of the replicas' work; none if it takes no time.
    costs: Option<WorkCosts>,
    /// Longest time for other work than the log in one turn, if work takes time.
    slice: Duration,
    pub(crate) heartbeats: HeartbeatGaps,
}

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(5);

impl ControlSimulation {
    /// Creates a simulation with this number of replicas and routers, and the default
    /// interval of announcements.
    pub fn new(replicas: usize, routers: usize, seed: u64, faults: NetFaults) -> Self {
        let period = ControlLimits::default().announce_every;
        Self::with_announce_interval(replicas, routers, seed, faults, period)
    }

    /// Creates a simulation with targets that announce themselves at this interval.
    pub fn with_announce_interval(
        replicas: usize,
        routers: usize,
        seed: u64,
        faults: NetFaults,
        announce_every: Duration,
    ) -> Self {
        let limits = ControlLimits {
            compact_after: 24,
            claims: ClaimLimits::default(),
            announce_every,
            ..ControlLimits::default()
        };
        let mut sim = Self::empty(seed, faults, limits);
        sim.add_processes(replicas, routers);
        sim
    }

    /// Creates a simulation of a large fleet whose control VMs are small: their work takes
    /// time, and the replicas have the daemon's default limits and these intervals.
    pub fn with_costs(
        replicas: usize,
        routers: usize,
        seed: u64,
        timing: Timing,
        costs: WorkCosts,
    ) -> Self {
        let mut sim = Self::empty(seed, NetFaults::NONE, ControlLimits::default());
        sim.timing = timing;
        sim.costs = Some(costs);
        sim.add_processes(replicas, routers);
        sim
    }

    fn empty(seed: u64, faults: NetFaults, limits: ControlLimits) -> Self {
        Self {
            now: Instant::from_millis(1_000),
            rng: StdRng::seed_from_u64(seed),
            faults,
            nodes: Vec::new(),
            routers: Vec::new(),
            partitions: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            pending: BTreeMap::new(),
            next_token: 1,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            accepted: Revision::ZERO,
            accepted_at: VecDeque::new(),
            due_revision: Revision::ZERO,
            newest_terms: BTreeMap::new(),
            replies: BTreeMap::new(),
            limits,
            lease: LeaseTiming::default(),
            timing: Timing::default(),
            costs: None,
            slice: SLICE,
            heartbeats: HeartbeatGaps::default(),
        }
    }

    fn add_processes(&mut self, replicas: usize, routers: usize) {
        for _ in 0..replicas {
            let drift_per_mille = self.rng.random_range(-10..=10);
            self.nodes.push(SimulatedNode {
                disk: MemoryDisk::default(),
                node: None,
                frozen: false,
                inbox: Vec::new(),
                checked_up_to: Index(0),
                drift_per_mille,
                worked: WorkedTime::default(),
                busy_until: Instant::ZERO,
                outbox: VecDeque::new(),
            });
        }
        for slot in 0..replicas {
            self.start(slot);
        }
        for i in 0..routers {
            self.routers
                .push(SimulatedRouter::new(i, replicas, self.lease));
        }
    }

    /// Takes the longest time that a leader in office was silent towards a member since the
    /// last call.
    pub fn take_longest_silence(&mut self) -> Duration {
        self.heartbeats.take_longest()
    }

    /// Returns the number of leaders elected so far.
    pub fn elections(&self) -> usize {
        self.leaders.len()
    }

    /// The current virtual time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Random number generator with the run's seed.
    pub fn rng(&mut self) -> &mut StdRng {
        &mut self.rng
    }

    /// Returns a replica's disk.
    pub fn disk(&self, slot: usize) -> &MemoryDisk {
        &self.nodes[slot].disk
    }

    /// Returns the replica in a slot, if it runs.
    pub fn node(&self, slot: usize) -> Option<&ControlNode> {
        self.nodes[slot].node.as_ref()
    }

    fn local_time(&self, slot: usize) -> Now {
        let micros = self.now.as_micros() as i64;
        let drift = micros * self.nodes[slot].drift_per_mille / 1_000;
        let reading = (micros + drift) as u64;
        Now {
            at: Instant::from_micros(reading),
            wall_ms: reading / 1_000,
        }
    }

    /// Sets the rate, in bytes per second, at which the replicas that start from now on
    /// send state while they lead.
    pub fn set_state_rate(&mut self, bytes_per_s: f64) {
        self.limits.state_bytes_per_s = bytes_per_s;
    }

    /// Starts a replica from the contents of its disk.
    pub fn start(&mut self, slot: usize) {
        let now = self.local_time(slot).at;
        let fresh = ReplicaId {
            slot: slot as u32,
            identity: self.rng.random(),
        };
        let disk = Box::new(self.nodes[slot].disk.clone());
        let opened = Store::open(disk, fresh);
        let (store, opened) = opened.expect("the store can be opened after any crash");
        let seed = self.rng.random();
        let mut cfg = ReplicaConfig::new(opened.id, 0..self.nodes.len() as u32, seed);
        cfg.timing = self.timing;
        let node = ControlNode::new(cfg, self.lease, self.limits, store, opened, now);
        let mut node = node.expect("the snapshot can be read");
        let node_state = &mut self.nodes[slot];
        if let Some(costs) = self.costs {
            let worked = node_state.worked.clone();
            node.set_stopwatch(Box::new(CostStopwatch { costs, worked }));
            node.set_slice(self.slice);
        }
        node_state.node = Some(node);
        node_state.checked_up_to = Index(0);
        node_state.inbox.clear();
    }

    /// Simulates a power loss: data that wasn't synced is lost, except for `torn` bytes.
    pub fn crash(&mut self, slot: usize, torn: usize) {
        self.nodes[slot].stop();
        self.nodes[slot].frozen = false;
        self.nodes[slot].disk.crash(torn);
    }

    /// Simulates the loss of a VM with its disk.
    pub fn lose_disk(&mut self, slot: usize) {
        self.crash(slot, 0);
        self.nodes[slot].disk.wipe();
    }

    /// Suspends or resumes a VM. Messages to a suspended VM wait until it is resumed.
    pub fn freeze(&mut self, slot: usize, frozen: bool) {
        self.nodes[slot].frozen = frozen;
    }

    /// Partitions a replica from the others, or removes the partition.
    pub fn set_partitioned(&mut self, slot: usize, is_partitioned: bool) {
        for other in 0..self.nodes.len() as u32 {
            let slot = slot as u32;
            for pair in [(slot, other), (other, slot)] {
                if is_partitioned {
                    self.partitions.insert(pair);
                } else {
                    self.partitions.remove(&pair);
                }
            }
        }
    }

    /// Removes all partitions and disk failures, and starts the replicas that are down.
    pub fn heal(&mut self) {
        self.partitions.clear();
        for slot in 0..self.nodes.len() {
            self.nodes[slot].frozen = false;
            self.nodes[slot].disk.clear_failure();
            if self.nodes[slot].node.is_none() {
                self.nodes[slot].disk.crash(0);
                self.start(slot);
            }
        }
    }

    /// Returns the slot of the replica that may answer now.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|slot| self.can_serve_reads(*slot))
    }

    pub(crate) fn can_serve_reads(&self, slot: usize) -> bool {
        let node = self.nodes[slot].node.as_ref();
        node.is_some_and(|n| n.core().replica().can_serve_reads(self.local_time(slot).at))
    }

    /// Runs until a replica may answer; returns its slot.
    pub fn run_until_leader(&mut self) -> usize {
        const MAX_STEPS: usize = 8_000;
        for _ in 0..MAX_STEPS {
            self.step();
            if let Some(slot) = self.leader() {
                return slot;
            }
        }
        let states: Vec<String> = self.nodes.iter().map(SimulatedNode::describe).collect();
        panic!("no replica became leader: {states:#?}");
    }

    /// Advances the virtual time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Sends an operator's change to a replica.
    pub fn apply(&mut self, slot: usize, id: &str, expected: Option<Revision>, change: Change) {
        let request = Box::new(ApplyRequest {
            request_id: id.into(),
            expected,
            change,
        });
        let wait = Duration::from_secs(10);
        let request = OperatorRequest::Apply { request, wait };
        let token = self.next_token;
        self.next_token += 1;
        self.pending
            .insert(token, Requester::Operator(id.to_string()));
        self.nodes[slot]
            .inbox
            .push(ControlEvent::Operator { token, request });
    }

    /// Announces a target at a replica; replies are recorded under the target's id.
    pub fn announce(&mut self, slot: usize, instance: Instance) {
        let id = instance.id.clone();
        self.request(slot, &id, OperatorRequest::Announce(Box::new(instance)));
    }

    /// Sends an operator's request to a replica; replies are recorded under `id`.
    pub fn request(&mut self, slot: usize, id: &str, request: OperatorRequest) {
        let token = self.next_token;
        self.next_token += 1;
        self.pending
            .insert(token, Requester::Operator(id.to_string()));
        self.nodes[slot]
            .inbox
            .push(ControlEvent::Operator { token, request });
    }

    /// Reports at a replica that an incarnation of a target leaves; replies are recorded
    /// under the incarnation's id.
    pub fn leave(&mut self, slot: usize, life: Incarnation) {
        let token = self.next_token;
        self.next_token += 1;
        self.pending
            .insert(token, Requester::Operator(life.id.clone()));
        let request = OperatorRequest::Leave(life);
        self.nodes[slot]
            .inbox
            .push(ControlEvent::Operator { token, request });
    }

    /// Adds an event to a replica's inbox.
    pub fn push_event(&mut self, slot: usize, event: ControlEvent) {
        self.nodes[slot].inbox.push(event);
    }

    /// Returns the last reply to a target or operator.
    pub fn last_reply(&self, id: &str) -> Option<&OperatorReply> {
        self.replies.get(id)?.last()
    }

    /// Applies a change at the current leader. Retries with the same id, as operators do,
    /// until the change is accepted or rejected.
    pub fn apply_and_wait(
        &mut self,
        id: &str,
        expected: Option<Revision>,
        change: Change,
    ) -> OperatorReply {
        const MAX_ATTEMPTS: usize = 10;
        const STEPS_PER_ATTEMPT: usize = 2_500;
        for _ in 0..MAX_ATTEMPTS {
            let slot = self.run_until_leader();
            let before = self.replies.get(id).map_or(0, Vec::len);
            self.apply(slot, id, expected, change.clone());
            for _ in 0..STEPS_PER_ATTEMPT {
                self.step();
                let replies = self.replies.get(id).map_or(&[][..], Vec::as_slice);
                match replies.get(before) {
                    Some(OperatorReply::Unknown | OperatorReply::NotLeader { .. }) => break,
                    Some(reply) => return reply.clone(),
                    None => {}
                }
            }
        }
        panic!("no reply to {id}");
    }

    /// Advances the time by one step: delivers messages, then lets routers and replicas
    /// act.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.deliver();
        self.step_routers();
        for slot in 0..self.nodes.len() {
            self.step_node(slot);
        }
        self.check();
    }

    fn step_node(&mut self, slot: usize) {
        let now = self.local_time(slot);
        let has_costs = self.costs.is_some();
        let node_state = &mut self.nodes[slot];
        if node_state.node.is_none() {
            node_state.inbox.clear();
            return;
        }
        if node_state.frozen {
            return;
        }
        self.send_effects(slot);
        let node_state = &mut self.nodes[slot];
        if node_state.busy_until > self.now {
            return;
        }
        let batch = match has_costs {
            true => node_state.take_batch(),
            false => std::mem::take(&mut node_state.inbox),
        };
        let Some(node) = &mut node_state.node else {
            return;
        };
        let mut outbox = TimedOutbox {
            turn_began: self.now,
            worked_before: node_state.worked.get(),
            worked: node_state.worked.clone(),
            effects: std::mem::take(&mut node_state.outbox),
        };
        if node.process_batch(now, batch, &mut outbox).is_err() {
            node_state.node = None;
        }
        node_state.busy_until = outbox.time();
        node_state.outbox = outbox.effects;
        self.send_effects(slot);
    }

    /// Sends the effects of a replica that have left it by now.
    fn send_effects(&mut self, slot: usize) {
        while let Some((at, effect)) = self.nodes[slot].outbox.pop_front() {
            if at > self.now {
                self.nodes[slot].outbox.push_front((at, effect));
                return;
            }
            self.apply_effect(slot, effect);
        }
    }

    /// Newest leader term of the orders that each target has received.
    pub fn newest_terms(&self) -> &BTreeMap<TargetName, Term> {
        &self.newest_terms
    }

    pub(crate) fn record_reply(&mut self, id: &str, reply: OperatorReply) {
        if let OperatorReply::Accepted { revision, in_force } = &reply {
            self.accepted = self.accepted.max(*revision);
            self.accepted_at.push_back((self.now, *revision));
            if *in_force == InForce::Yes {
                self.check_in_force(*revision);
            }
        }
        self.replies.entry(id.to_string()).or_default().push(reply);
    }
}
