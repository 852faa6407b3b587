//! Control replicas in virtual time: the real core and store, on disks in
//! memory, over a network that loses, doubles, delays and cuts.
//!
//! Every run repeats by its seed. After each step the invariants of `lab_checks`
//! are checked.

use crate::lab_net::{Asked, Flying};
use crate::lab_routers::LabRouter;
use deckwind_core::control::{ControlEvent, ControlLimits, OperatorReply, OperatorRequest};
use deckwind_core::membership::{InForce, LeaseTiming};
use deckwind_core::replication::{Entry, Index, ReplicaConfig, ReplicaId, Term};
use deckwind_core::state::{
    ApplyRequest, Change, ClaimLimits, Instance, Life, Revision, TargetName,
};
use deckwind_core::time::Instant;
use deckwind_store::{MemoryDisk, Store};
use deckwindd::control::{ControlNode, Now};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the network does, in parts of 1,000.
#[derive(Clone, Copy, Debug)]
pub struct NetFaults {
    /// Messages lost.
    pub lost: u32,
    /// Messages that come twice.
    pub doubled: u32,
    /// Orders whose answer is lost: they are given again.
    pub orders_unanswered: u32,
    /// Longest delay.
    pub max_delay: Duration,
}

impl NetFaults {
    /// A quiet network.
    pub const NONE: NetFaults = NetFaults {
        lost: 0,
        doubled: 0,
        orders_unanswered: 0,
        max_delay: Duration::from_millis(1),
    };

    /// A bad one.
    pub const BAD: NetFaults = NetFaults {
        lost: 100,
        doubled: 50,
        orders_unanswered: 900,
        max_delay: Duration::from_millis(60),
    };
}

/// A control VM.
pub(crate) struct LabNode {
    disk: MemoryDisk,
    pub(crate) node: Option<ControlNode>,
    frozen: bool,
    pub(crate) inbox: Vec<ControlEvent>,
    /// Entries whose agreement was checked.
    pub(crate) checked: Index,
    /// Its clock runs this much faster, parts in 1,000.
    fast_per_mille: i64,
}

impl LabNode {
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

/// The laboratory.
pub struct Lab {
    pub(crate) now: Instant,
    pub(crate) rng: StdRng,
    pub(crate) faults: NetFaults,
    pub(crate) nodes: Vec<LabNode>,
    /// Routers; see [`LabRouter`].
    pub routers: Vec<LabRouter>,
    pub(crate) cut: BTreeSet<(u32, u32)>,
    pub(crate) flying: BTreeMap<(Instant, u64), Flying>,
    pub(crate) sequence: u64,
    pub(crate) asked: BTreeMap<u64, Asked>,
    pub(crate) next_token: u64,
    pub(crate) leaders: BTreeMap<Term, ReplicaId>,
    pub(crate) committed: BTreeMap<Index, Entry>,
    pub(crate) accepted: Revision,
    pub(crate) ordered: BTreeMap<TargetName, Term>,
    /// Operators' replies, by request id.
    pub replies: BTreeMap<String, Vec<OperatorReply>>,
    limits: ControlLimits,
    lease: LeaseTiming,
}

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(5);

impl Lab {
    /// So many replicas and routers.
    pub fn new(replicas: usize, routers: usize, seed: u64, faults: NetFaults) -> Self {
        let period = ControlLimits::default().announce_every;
        Self::with_period(replicas, routers, seed, faults, period)
    }

    /// The same with targets that announce themselves this often.
    pub fn with_period(
        replicas: usize,
        routers: usize,
        seed: u64,
        faults: NetFaults,
        announce_every: Duration,
    ) -> Self {
        let mut lab = Self {
            now: Instant::from_millis(1_000),
            rng: StdRng::seed_from_u64(seed),
            faults,
            nodes: Vec::new(),
            routers: Vec::new(),
            cut: BTreeSet::new(),
            flying: BTreeMap::new(),
            sequence: 0,
            asked: BTreeMap::new(),
            next_token: 1,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            accepted: Revision::ZERO,
            ordered: BTreeMap::new(),
            replies: BTreeMap::new(),
            limits: ControlLimits {
                compact_after: 24,
                claims: ClaimLimits::default(),
                announce_every,
                ..ControlLimits::default()
            },
            lease: LeaseTiming::default(),
        };
        for _ in 0..replicas {
            let fast_per_mille = lab.rng.random_range(-10..=10);
            lab.nodes.push(LabNode {
                disk: MemoryDisk::default(),
                node: None,
                frozen: false,
                inbox: Vec::new(),
                checked: Index(0),
                fast_per_mille,
            });
        }
        for slot in 0..replicas {
            lab.start(slot);
        }
        for i in 0..routers {
            lab.routers.push(LabRouter::new(i, replicas, lab.lease));
        }
        lab
    }

    /// Now.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Random numbers of the run's seed.
    pub fn rng(&mut self) -> &mut StdRng {
        &mut self.rng
    }

    /// Disk of a replica.
    pub fn disk(&self, slot: usize) -> &MemoryDisk {
        &self.nodes[slot].disk
    }

    /// Replica at a slot, if it is up.
    pub fn node(&self, slot: usize) -> Option<&ControlNode> {
        self.nodes[slot].node.as_ref()
    }

    fn local(&self, slot: usize) -> Now {
        let micros = self.now.as_micros() as i64;
        let fast = micros * self.nodes[slot].fast_per_mille / 1_000;
        let local = (micros + fast) as u64;
        Now {
            at: Instant::from_micros(local),
            wall_ms: local / 1_000,
        }
    }

    /// Starts a replica on whatever its disk holds.
    pub fn start(&mut self, slot: usize) {
        let now = self.local(slot).at;
        let fresh = ReplicaId {
            slot: slot as u32,
            identity: self.rng.random(),
        };
        let disk = Box::new(self.nodes[slot].disk.clone());
        let opened = Store::open(disk, fresh);
        let (store, opened) = opened.expect("a crash never leaves a folder that can't be opened");
        let seed = self.rng.random();
        let cfg = ReplicaConfig::new(opened.id, 0..self.nodes.len() as u32, seed);
        let node = ControlNode::new(cfg, self.lease, self.limits, store, opened, now);
        let lab_node = &mut self.nodes[slot];
        lab_node.node = Some(node.expect("the snapshot can be read"));
        lab_node.checked = Index(0);
        lab_node.inbox.clear();
    }

    /// Power goes: what was not synced is lost, but for `torn` bytes.
    pub fn crash(&mut self, slot: usize, torn: usize) {
        self.nodes[slot].node = None;
        self.nodes[slot].frozen = false;
        self.nodes[slot].disk.crash(torn);
    }

    /// The disk is lost with the VM.
    pub fn lose_disk(&mut self, slot: usize) {
        self.crash(slot, 0);
        self.nodes[slot].disk.wipe();
    }

    /// The VM stops or goes on without noticing; messages wait for it.
    pub fn freeze(&mut self, slot: usize, frozen: bool) {
        self.nodes[slot].frozen = frozen;
    }

    /// Cuts a replica off from the others, or heals that.
    pub fn cut_off(&mut self, slot: usize, cut: bool) {
        for other in 0..self.nodes.len() as u32 {
            let slot = slot as u32;
            for pair in [(slot, other), (other, slot)] {
                if cut {
                    self.cut.insert(pair);
                } else {
                    self.cut.remove(&pair);
                }
            }
        }
    }

    /// Heals all cuts and starts whatever is down.
    pub fn heal(&mut self) {
        self.cut.clear();
        for slot in 0..self.nodes.len() {
            self.nodes[slot].frozen = false;
            self.nodes[slot].disk.mend();
            if self.nodes[slot].node.is_none() {
                self.nodes[slot].disk.crash(0);
                self.start(slot);
            }
        }
    }

    /// Slot of the replica that may answer now.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|slot| self.may_answer(*slot))
    }

    pub(crate) fn may_answer(&self, slot: usize) -> bool {
        let node = self.nodes[slot].node.as_ref();
        node.is_some_and(|n| n.core().replica().may_answer(self.local(slot).at))
    }

    /// Runs until some replica may answer.
    pub fn run_until_led(&mut self) -> usize {
        const PATIENCE: usize = 8_000;
        for _ in 0..PATIENCE {
            self.step();
            if let Some(slot) = self.leader() {
                return slot;
            }
        }
        let states: Vec<String> = self.nodes.iter().map(LabNode::describe).collect();
        panic!("no replica ever led: {states:#?}");
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
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
        self.asked.insert(token, Asked::Operator(id.to_string()));
        self.nodes[slot]
            .inbox
            .push(ControlEvent::Operator { token, request });
    }

    /// A target announces itself at a replica; the reply is found under its id.
    pub fn announce(&mut self, slot: usize, instance: Instance) {
        let id = instance.id.clone();
        self.ask(slot, &id, OperatorRequest::Announce(Box::new(instance)));
    }

    /// Sends an operator's request to a replica; the reply is found under `id`.
    pub fn ask(&mut self, slot: usize, id: &str, request: OperatorRequest) {
        let token = self.next_token;
        self.next_token += 1;
        self.asked.insert(token, Asked::Operator(id.to_string()));
        self.nodes[slot]
            .inbox
            .push(ControlEvent::Operator { token, request });
    }

    /// A life of a target leaves, at a replica; the reply is found under its id.
    pub fn leave(&mut self, slot: usize, life: Life) {
        let token = self.next_token;
        self.next_token += 1;
        self.asked.insert(token, Asked::Operator(life.id.clone()));
        let request = OperatorRequest::Leave(life);
        self.nodes[slot]
            .inbox
            .push(ControlEvent::Operator { token, request });
    }

    /// Something happens at a replica.
    pub fn happens(&mut self, slot: usize, event: ControlEvent) {
        self.nodes[slot].inbox.push(event);
    }

    /// The last reply to a target or operator.
    pub fn last_reply(&self, id: &str) -> Option<&OperatorReply> {
        self.replies.get(id)?.last()
    }

    /// Applies a change at whichever replica leads, as an operator does: sent
    /// again with the same id until it is accepted or rejected.
    pub fn apply_and_wait(
        &mut self,
        id: &str,
        expected: Option<Revision>,
        change: Change,
    ) -> OperatorReply {
        const TRIES: usize = 10;
        const STEPS: usize = 2_500;
        for _ in 0..TRIES {
            let slot = self.run_until_led();
            let before = self.replies.get(id).map_or(0, Vec::len);
            self.apply(slot, id, expected, change.clone());
            for _ in 0..STEPS {
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

    /// One step of time: messages arrive, routers act, replicas take batches.
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
        let now = self.local(slot);
        let lab_node = &mut self.nodes[slot];
        let Some(node) = &mut lab_node.node else {
            lab_node.inbox.clear();
            return;
        };
        if lab_node.frozen {
            return;
        }
        let batch = std::mem::take(&mut lab_node.inbox);
        let mut effects = Vec::new();
        if node.take(now, batch, &mut effects).is_err() {
            lab_node.node = None;
        }
        for effect in effects {
            self.take_effect(slot, effect);
        }
    }

    /// Newest term whose order each target has got.
    pub fn ordered(&self) -> &BTreeMap<TargetName, Term> {
        &self.ordered
    }

    pub(crate) fn note_reply(&mut self, id: &str, reply: OperatorReply) {
        if let OperatorReply::Accepted { revision, in_force } = &reply {
            self.accepted = self.accepted.max(*revision);
            if *in_force == InForce::Yes {
                self.check_in_force(*revision);
            }
        }
        self.replies.entry(id.to_string()).or_default().push(reply);
    }
}
