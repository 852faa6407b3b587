//! Replicas that find each other by a few addresses: forming once, taking in
//! what comes at other addresses, letting go what never comes back.

use deckwind_core::replication::{
    Action, BySeeds, Event, Index, Message, Replica, ReplicaConfig, ReplicaId, Role, Stored,
};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use yare::parameterized;

const SEEDS: [u32; 3] = [10, 20, 30];
const TICK_MS: u64 = 10;

/// Replicas by slot over a network that takes a millisecond.
struct Net {
    replicas: BTreeMap<u32, Replica>,
    silent: BTreeSet<u32>,
    flying: Vec<(u64, Message)>,
    now_ms: u64,
    identity: u64,
}

impl Net {
    fn new(slots: &[u32]) -> Self {
        let mut net = Self {
            replicas: BTreeMap::new(),
            silent: BTreeSet::new(),
            flying: Vec::new(),
            now_ms: 1,
            identity: 0,
        };
        for slot in slots {
            net.start_empty(*slot, true);
        }
        net
    }

    /// A replica with an empty disk.
    fn start_empty(&mut self, slot: u32, first_start: bool) {
        self.identity += 1;
        let id = ReplicaId {
            slot,
            identity: self.identity,
        };
        let slots = SEEDS.into_iter().chain([slot]);
        let mut cfg = ReplicaConfig::new(id, slots, u64::from(slot) + self.identity);
        cfg.by_seeds = Some(BySeeds {
            may_form: first_start && SEEDS.contains(&slot),
            voters_wanted: 5,
        });
        let now = Instant::from_millis(self.now_ms);
        let replica = Replica::new(cfg, Stored::default(), now);
        self.replicas.insert(slot, replica);
        self.silent.remove(&slot);
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
                Action::Send { message, .. } => self.flying.push((self.now_ms + 1, message)),
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
            let (due, later) = self.flying.drain(..).partition(|(at, _)| *at <= now);
            self.flying = later;
            let due: Vec<(u64, Message)> = due;
            for (_, message) in due {
                let (from, to) = (message.from.slot, message.to_slot);
                if !self.silent.contains(&from) && !self.silent.contains(&to) {
                    self.step(to, Event::Receive(message));
                }
            }
            if now.is_multiple_of(TICK_MS) {
                for slot in self.replicas.keys().copied().collect::<Vec<_>>() {
                    if !self.silent.contains(&slot) {
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
            .filter(|(s, _)| !self.silent.contains(s));
        let mut leaders = live.filter(|(_, r)| r.role() == Role::Leader);
        leaders.next().map(|(_, r)| r)
    }

    fn voters(&self) -> Vec<u32> {
        let leader = self.leader().expect("somebody leads");
        leader.members().voters.iter().map(|id| id.slot).collect()
    }

    fn propose(&mut self, token: u64) {
        let slot = self.leader().expect("somebody leads").id().slot;
        let command = token.to_le_bytes().to_vec();
        self.step(slot, Event::Propose { token, command });
    }
}

#[test]
fn the_seeds_form_one_cluster_and_take_the_others_in() {
    let mut net = Net::new(&[10, 20, 30, 40, 50]);
    net.run(6_000);
    assert_eq!(net.voters(), [10, 20, 30, 40, 50]);
    let clusters = net.replicas.values().filter(|r| r.role() == Role::Leader);
    assert_eq!(clusters.count(), 1);
}

#[test]
fn two_of_three_seeds_form_none_until_the_third_comes() {
    let mut net = Net::new(&[10, 20, 40, 50]);
    net.run(6_000);
    assert!(net.leader().is_none());
    net.start_empty(30, true);
    net.run(6_000);
    assert_eq!(net.voters(), [10, 20, 30, 40, 50]);
}

#[test]
fn replicas_that_start_again_with_empty_disks_never_form_a_second_cluster() {
    let mut net = Net::new(&[10, 20, 30, 40, 50]);
    net.run(6_000);
    net.silent.extend([40, 50]);
    for slot in SEEDS {
        net.start_empty(slot, false);
    }
    net.run(10_000);
    assert!(
        net.leader().is_none(),
        "all seeds have forgotten; nobody may lead"
    );
}

#[test]
fn a_successor_at_another_address_takes_the_place_of_one_that_is_gone() {
    let mut net = Net::new(&[10, 20, 30, 40, 50]);
    net.run(6_000);
    for (gone, new) in [(40, 60), (10, 70), (60, 80)] {
        net.silent.insert(gone);
        net.start_empty(new, false);
        net.run(8_000);
        let voters = net.voters();
        assert_eq!(voters.len(), 5, "{voters:?}");
        assert!(
            voters.contains(&new) && !voters.contains(&gone),
            "{voters:?}"
        );
    }
}

#[parameterized(
    two_lost_disks = { &[10, 50] },
    two_seeds = { &[10, 20] },
    two_others = { &[40, 50] },
)]
fn with_two_disks_lost_what_was_agreed_is_kept(lost: &[u32]) {
    let mut net = Net::new(&[10, 20, 30, 40, 50]);
    net.run(6_000);
    for token in 0..20 {
        net.propose(token);
    }
    net.run(500);
    let agreed = net.leader().expect("somebody leads").commit();
    assert!(agreed > Index(20));
    for slot in lost {
        net.start_empty(*slot, false);
    }
    net.run(10_000);
    let leader = net.leader().expect("three of five are enough");
    assert!(leader.commit() >= agreed);
    assert_eq!(net.voters(), [10, 20, 30, 40, 50]);
    assert!(net.replicas.values().all(|r| r.commit() >= agreed));
}

#[test]
fn a_voter_that_was_taken_out_while_it_was_cut_off_comes_back() {
    let mut net = Net::new(&[10, 20, 30, 40, 50]);
    net.run(6_000);
    // One is cut off while another is replaced: with six voters the silent one
    // that has been so longest goes.
    net.silent.insert(20);
    net.run(3_000);
    net.start_empty(60, false);
    net.run(6_000);
    net.silent.remove(&20);
    net.run(10_000);
    let voters = net.voters();
    assert!(voters.contains(&60) && voters.contains(&20), "{voters:?}");
}
