//! Control replicas that find each other through seeds, over a simulated network in virtual
//! time: no sockets, no state machine, syncs that take no time.

use deckwind_core::replication::{
    Action, Event, Message, Replica, ReplicaConfig, ReplicaId, Role, SeedDiscovery, Stored, Timing,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Slots of the seeds.
pub const SEEDS: [u32; 3] = [10, 20, 30];

/// Slots of a whole cluster: the seeds and two others.
pub const ALL: [u32; 5] = [10, 20, 30, 40, 50];

/// Number of voters that a whole cluster has.
pub const VOTERS: usize = 5;

/// Interval between two ticks of a replica, ms.
const TICK_MS: u64 = 10;

/// Timing of the deploy file.
pub const DEPLOYED: Timing = Timing {
    heartbeat: Duration::from_millis(80),
    election_min: Duration::from_millis(400),
    election_max: Duration::from_millis(800),
    drift_per_mille: 50,
};

/// Contents of a replica's data folder.
struct Disk {
    id: ReplicaId,
    stored: Stored,
    /// Slots of the seeds, if the folder was created at the first start of the whole system.
    first_seeds: Option<BTreeSet<u32>>,
}

impl Disk {
    fn write(&mut self, action: &Action) {
        match action {
            Action::SaveHardState(h) => self.stored.hard_state = *h,
            Action::Append(entries) => {
                let first = entries.first().map(|e| e.at.index);
                let kept = |index| first.is_none_or(|f| index < f);
                self.stored.entries.retain(|e| kept(e.at.index));
                self.stored.entries.extend(entries.iter().cloned());
            }
            _ => {}
        }
    }
}

/// Replicas by slot over a network that delivers after one millisecond.
pub struct SeedCluster {
    /// Replicas that run, also those that are unreachable.
    pub replicas: BTreeMap<u32, Replica>,
    /// Slots that have crashed or are partitioned from the others.
    pub unreachable: BTreeSet<u32>,
    /// Directed pairs of slots between which messages are lost.
    pub cuts: BTreeSet<(u32, u32)>,
    /// Additional delay of messages from and to a slot, ms.
    pub delays: BTreeMap<u32, u64>,
    /// Slots that stand still; messages to them wait.
    frozen: BTreeSet<u32>,
    disks: BTreeMap<u32, Disk>,
    timing: Timing,
    /// Messages under way, each with the time of its delivery in milliseconds.
    in_flight: Vec<(u64, Message)>,
    now_ms: u64,
    identity: u64,
}

impl SeedCluster {
    /// Starts replicas with empty disks, for the first time.
    pub fn new(slots: &[u32], timing: Timing) -> Self {
        let mut cluster = Self::empty(timing);
        for slot in slots {
            cluster.start_empty(*slot, true);
        }
        cluster
    }

    /// Creates a cluster without any replica.
    pub fn empty(timing: Timing) -> Self {
        Self {
            replicas: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            cuts: BTreeSet::new(),
            delays: BTreeMap::new(),
            frozen: BTreeSet::new(),
            disks: BTreeMap::new(),
            timing,
            in_flight: Vec::new(),
            now_ms: 1,
            identity: 0,
        }
    }

    /// Starts a whole cluster with the timing of the deploy file and waits until all vote.
    pub fn formed() -> Self {
        let mut cluster = Self::new(&ALL, DEPLOYED);
        cluster.run(6_000);
        assert_eq!(cluster.voters(), ALL);
        cluster
    }

    /// Starts a replica with an empty disk and a new identity.
    pub fn start_empty(&mut self, slot: u32, first_start: bool) {
        self.identity += 1;
        let id = ReplicaId {
            slot,
            identity: self.identity,
        };
        let disk = Disk {
            id,
            stored: Stored::default(),
            first_seeds: first_start.then(|| SEEDS.into_iter().collect()),
        };
        self.disks.insert(slot, disk);
        self.start(slot, first_start);
    }

    /// Starts a replica that was killed, with its disk.
    pub fn restart(&mut self, slot: u32) {
        self.start(slot, false);
    }

    fn start(&mut self, slot: u32, first_start: bool) {
        let disk = &self.disks[&slot];
        let seeds: BTreeSet<u32> = SEEDS.into_iter().collect();
        let slots = seeds.iter().copied().chain([slot]);
        let seed = u64::from(slot) + self.identity + self.now_ms;
        let mut cfg = ReplicaConfig::new(disk.id, slots, seed);
        cfg.timing = self.timing;
        let first_seeds = disk.first_seeds.as_ref();
        let discovery = SeedDiscovery::new(slot, &seeds, first_start, first_seeds, VOTERS);
        cfg.seed_discovery = Some(discovery);
        let now = Instant::from_millis(self.now_ms);
        let replica = Replica::new(cfg, disk.stored.clone(), now);
        self.replicas.insert(slot, replica);
        self.unreachable.remove(&slot);
        self.frozen.remove(&slot);
    }

    /// Kills a replica. Its disk stays.
    pub fn kill(&mut self, slot: u32) {
        self.replicas.remove(&slot);
        self.unreachable.insert(slot);
    }

    /// Stops or resumes a replica that stands still.
    pub fn freeze(&mut self, slot: u32, is_frozen: bool) {
        match is_frozen {
            true => self.frozen.insert(slot),
            false => self.frozen.remove(&slot),
        };
    }

    /// Loses the messages between two groups of slots, in both directions.
    pub fn cut(&mut self, side: &[u32], other: &[u32]) {
        for a in side {
            for b in other {
                self.cuts.extend([(*a, *b), (*b, *a)]);
            }
        }
    }

    fn step(&mut self, slot: u32, event: Event) {
        let now = Instant::from_millis(self.now_ms);
        let Some(replica) = self.replicas.get_mut(&slot) else {
            return;
        };
        let mut out = Vec::new();
        replica.step(now, event, &mut out);
        replica.flush(now, &mut out);
        let mut synced = None;
        for action in out {
            if let Some(disk) = self.disks.get_mut(&slot) {
                disk.write(&action);
            }
            match action {
                Action::Append(entries) => synced = entries.last().map(|e| e.at),
                Action::Send { message, .. } => {
                    let delay = |slot| self.delays.get(&slot).copied().unwrap_or(0);
                    let takes = 1 + delay(slot) + delay(message.to_slot);
                    self.in_flight.push((self.now_ms + takes, message));
                }
                _ => {}
            }
        }
        if let Some(at) = synced {
            self.step(slot, Event::Synced(at));
        }
    }

    /// Runs for this number of milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.deliver();
            if self.now_ms.is_multiple_of(TICK_MS) {
                self.tick();
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now_ms;
        let frozen = &self.frozen;
        let is_due = |(at, m): &(u64, Message)| *at <= now && !frozen.contains(&m.to_slot);
        let (due, later): (Vec<_>, Vec<_>) = self.in_flight.drain(..).partition(is_due);
        self.in_flight = later;
        for (_, message) in due {
            let (from, to) = (message.from.slot, message.to_slot);
            let is_lost = self.unreachable.contains(&from)
                || self.unreachable.contains(&to)
                || self.cuts.contains(&(from, to));
            if !is_lost {
                self.step(to, Event::Receive(message));
            }
        }
    }

    fn tick(&mut self) {
        for slot in self.replicas.keys().copied().collect::<Vec<_>>() {
            if !self.unreachable.contains(&slot) && !self.frozen.contains(&slot) {
                self.step(slot, Event::Tick);
            }
        }
    }

    /// Runs until all wanted replicas vote, `limit_ms` at most. Returns the time that it
    /// took, ms, or `None` if they do not by then.
    pub fn run_until_all_vote(&mut self, limit_ms: u64) -> Option<u64> {
        let begun = self.now_ms;
        while self.now_ms - begun < limit_ms {
            if self.all_vote() {
                return Some(self.now_ms - begun);
            }
            self.run(TICK_MS);
        }
        None
    }

    /// Returns whether a leader has committed members that are all running replicas, as many
    /// as wanted or more, without a learner.
    fn all_vote(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let members = leader.members_at(leader.commit());
        let runs = |id: &ReplicaId| {
            let replica = self.replicas.get(&id.slot);
            replica.is_some_and(|r| r.id() == *id) && !self.unreachable.contains(&id.slot)
        };
        members.voters.len() >= VOTERS
            && members.voters.iter().all(runs)
            && members.learners.is_empty()
            && leader.members() == &members
    }

    /// Returns the leader of the highest term among the replicas that are reachable.
    pub fn leader(&self) -> Option<&Replica> {
        let live = self
            .replicas
            .iter()
            .filter(|(s, _)| !self.unreachable.contains(s) && !self.frozen.contains(s));
        let leaders = live.filter(|(_, r)| r.role() == Role::Leader);
        leaders.map(|(_, r)| r).max_by_key(|r| r.term())
    }

    /// Returns the slot of the leader.
    pub fn leader_slot(&self) -> u32 {
        self.leader().expect("there is a leader").id().slot
    }

    /// Returns the slots of the voters, by the leader's log.
    pub fn voters(&self) -> Vec<u32> {
        let leader = self.leader().expect("there is a leader");
        leader.members().voters.iter().map(|id| id.slot).collect()
    }

    /// Returns whether the leader's log names the replica that runs at this slot as a voter.
    pub fn identity_votes(&self, slot: u32) -> bool {
        let leader = self.leader().expect("there is a leader");
        let running = self.replicas.get(&slot);
        running.is_some_and(|r| leader.members().voters.contains(&r.id()))
    }

    /// Describes the members for messages of failed tests.
    pub fn describe(&self) -> String {
        let describe = |r: &Replica| {
            let members = r.members();
            format!(
                "{} {} term {} commit {} voters {:?} learners {:?}",
                r.id(),
                r.role(),
                r.term().0,
                r.commit().0,
                members.voters.iter().map(|v| v.slot).collect::<Vec<_>>(),
                members.learners.iter().map(|v| v.slot).collect::<Vec<_>>()
            )
        };
        let all: Vec<String> = self.replicas.values().map(describe).collect();
        all.join("\n")
    }

    /// Proposes a command to the leader.
    pub fn propose(&mut self, token: u64) {
        let slot = self.leader_slot();
        let command = token.to_le_bytes().to_vec();
        self.step(slot, Event::Propose { token, command });
    }
}
