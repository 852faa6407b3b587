//! Replicas that discover each other through seed addresses: they form one cluster
//! once, admit replicas at other addresses, and remove voters that never return.

use deckwind_core::replication::{
    Action, Event, Index, Message, Replica, ReplicaConfig, ReplicaId, Role, SeedDiscovery, Stored,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use yare::parameterized;

const SEEDS: [u32; 3] = [10, 20, 30];
const TICK_MS: u64 = 10;

/// Replicas by slot over a simulated network that delivers after one millisecond.
struct SimulatedCluster {
    replicas: BTreeMap<u32, Replica>,
    /// Slots that have crashed or are partitioned from the others.
    unreachable: BTreeSet<u32>,
    /// Messages under way, each with the time of its delivery in milliseconds.
    in_flight: Vec<(u64, Message)>,
    now_ms: u64,
    identity: u64,
}

impl SimulatedCluster {
    fn new(slots: &[u32]) -> Self {
        let mut cluster = Self {
            replicas: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            in_flight: Vec::new(),
            now_ms: 1,
            identity: 0,
        };
        for slot in slots {
            cluster.start_empty(*slot, true);
        }
        cluster
    }

    /// Starts a replica with an empty disk and a new identity.
    fn start_empty(&mut self, slot: u32, first_start: bool) {
        self.identity += 1;
        let id = ReplicaId {
            slot,
            identity: self.identity,
        };
        let slots = SEEDS.into_iter().chain([slot]);
        let mut cfg = ReplicaConfig::new(id, slots, u64::from(slot) + self.identity);
        cfg.seed_discovery = Some(SeedDiscovery {
            may_form: first_start && SEEDS.contains(&slot),
            desired_voters: 5,
        });
        let now = Instant::from_millis(self.now_ms);
        let replica = Replica::new(cfg, Stored::default(), now);
        self.replicas.insert(slot, replica);
        self.unreachable.remove(&slot);
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
            match action {
                Action::Append(entries) => synced = entries.last().map(|e| e.at),
                Action::Send { message, .. } => self.in_flight.push((self.now_ms + 1, message)),
                _ => {}
            }
        }
        if let Some(at) = synced {
            self.step(slot, Event::Synced(at));
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            let now = self.now_ms;
            let (due, later) = self.in_flight.drain(..).partition(|(at, _)| *at <= now);
            self.in_flight = later;
            let due: Vec<(u64, Message)> = due;
            for (_, message) in due {
                let (from, to) = (message.from.slot, message.to_slot);
                if !self.unreachable.contains(&from) && !self.unreachable.contains(&to) {
                    self.step(to, Event::Receive(message));
                }
            }
            if now.is_multiple_of(TICK_MS) {
                for slot in self.replicas.keys().copied().collect::<Vec<_>>() {
                    if !self.unreachable.contains(&slot) {
                        self.step(slot, Event::Tick);
                    }
                }
            }
        }
    }

    fn leader(&self) -> Option<&Replica> {
        let live = self
            .replicas
            .iter()
            .filter(|(s, _)| !self.unreachable.contains(s));
        let mut leaders = live.filter(|(_, r)| r.role() == Role::Leader);
        leaders.next().map(|(_, r)| r)
    }

    fn voters(&self) -> Vec<u32> {
        let leader = self.leader().expect("there is a leader");
        leader.members().voters.iter().map(|id| id.slot).collect()
    }

    fn propose(&mut self, token: u64) {
        let slot = self.leader().expect("there is a leader").id().slot;
        let command = token.to_le_bytes().to_vec();
        self.step(slot, Event::Propose { token, command });
    }
}

#[test]
fn the_seeds_form_one_cluster_and_take_the_others_in() {
    let mut cluster = SimulatedCluster::new(&[10, 20, 30, 40, 50]);
    cluster.run(6_000);
    assert_eq!(cluster.voters(), [10, 20, 30, 40, 50]);
    let clusters = cluster
        .replicas
        .values()
        .filter(|r| r.role() == Role::Leader);
    assert_eq!(clusters.count(), 1);
}

#[test]
fn two_of_three_seeds_form_none_until_the_third_comes() {
    let mut cluster = SimulatedCluster::new(&[10, 20, 40, 50]);
    cluster.run(6_000);
    assert!(cluster.leader().is_none());
    cluster.start_empty(30, true);
    cluster.run(6_000);
    assert_eq!(cluster.voters(), [10, 20, 30, 40, 50]);
}

#[test]
fn replicas_that_start_again_with_empty_disks_never_form_a_second_cluster() {
    let mut cluster = SimulatedCluster::new(&[10, 20, 30, 40, 50]);
    cluster.run(6_000);
    cluster.unreachable.extend([40, 50]);
    for slot in SEEDS {
        cluster.start_empty(slot, false);
    }
    cluster.run(10_000);
    assert!(
        cluster.leader().is_none(),
        "all seeds lost their state, so no replica may lead"
    );
}

#[test]
fn a_replica_at_another_address_replaces_a_lost_voter() {
    let mut cluster = SimulatedCluster::new(&[10, 20, 30, 40, 50]);
    cluster.run(6_000);
    for (lost, new) in [(40, 60), (10, 70), (60, 80)] {
        cluster.unreachable.insert(lost);
        cluster.start_empty(new, false);
        cluster.run(8_000);
        let voters = cluster.voters();
        assert_eq!(voters.len(), 5, "{voters:?}");
        assert!(
            voters.contains(&new) && !voters.contains(&lost),
            "{voters:?}"
        );
    }
}

#[parameterized(
    two_lost_disks = { &[10, 50] },
    two_seeds = { &[10, 20] },
    two_others = { &[40, 50] },
)]
fn committed_entries_survive_the_loss_of_two_disks(lost: &[u32]) {
    let mut cluster = SimulatedCluster::new(&[10, 20, 30, 40, 50]);
    cluster.run(6_000);
    for token in 0..20 {
        cluster.propose(token);
    }
    cluster.run(500);
    let committed = cluster.leader().expect("there is a leader").commit();
    assert!(committed > Index(20));
    for slot in lost {
        cluster.start_empty(*slot, false);
    }
    cluster.run(10_000);
    let leader = cluster
        .leader()
        .expect("three of five replicas are a quorum");
    assert!(leader.commit() >= committed);
    assert_eq!(cluster.voters(), [10, 20, 30, 40, 50]);
    assert!(cluster.replicas.values().all(|r| r.commit() >= committed));
}

#[test]
fn a_voter_removed_while_partitioned_joins_again() {
    let mut cluster = SimulatedCluster::new(&[10, 20, 30, 40, 50]);
    cluster.run(6_000);
    // One voter is partitioned while another replica joins: with six voters, one more
    // than wanted, the leader removes the voter that has been silent longest.
    cluster.unreachable.insert(20);
    cluster.run(3_000);
    cluster.start_empty(60, false);
    cluster.run(6_000);
    cluster.unreachable.remove(&20);
    cluster.run(10_000);
    let voters = cluster.voters();
    assert!(voters.contains(&60) && voters.contains(&20), "{voters:?}");
}
