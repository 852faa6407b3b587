//! Replicas that discover each other through seed addresses: they form one cluster
//! once, admit replicas at other addresses, and remove voters that never return.

use crate::seed_cluster::{ALL, DEPLOYED, SEEDS, SeedCluster};
use deckwind_core::replication::{
    Action, Body, ClusterId, Event, Index, Message, Position, Replica, ReplicaConfig, ReplicaId,
    Role, SeedDiscovery, Stored, Term, Timing,
};
use deckwind_core::time::Instant;
use std::collections::BTreeSet;
use yare::parameterized;

#[test]
fn the_seeds_form_one_cluster_and_take_the_others_in() {
    let mut cluster = SeedCluster::new(&[10, 20, 30, 40, 50], Timing::default());
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
    let mut cluster = SeedCluster::new(&[10, 20, 40, 50], Timing::default());
    cluster.run(6_000);
    assert!(cluster.leader().is_none());
    cluster.start_empty(30, true);
    cluster.run(6_000);
    assert_eq!(cluster.voters(), [10, 20, 30, 40, 50]);
}

#[test]
fn replicas_that_start_again_with_empty_disks_never_form_a_second_cluster() {
    let mut cluster = SeedCluster::new(&[10, 20, 30, 40, 50], Timing::default());
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
    let mut cluster = SeedCluster::new(&[10, 20, 30, 40, 50], Timing::default());
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
    let mut cluster = SeedCluster::new(&[10, 20, 30, 40, 50], Timing::default());
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

/// Time after which a replica that is back no longer counts as lost, ms.
const CATCH_UP_MS: u64 = 4_000;

/// Replaces replicas, one after the other, by others at new addresses, each of which joins
/// while its predecessor still runs.
fn replace(cluster: &mut SeedCluster, replacements: &[(u32, u32)]) {
    for (gone, successor) in replacements {
        cluster.start_empty(*successor, false);
        cluster.run(CATCH_UP_MS);
        assert!(cluster.identity_votes(*successor), "{}", cluster.describe());
        cluster.kill(*gone);
        let took = cluster.run_until_all_vote(CATCH_UP_MS);
        assert!(took.is_some(), "{}", cluster.describe());
    }
}

/// Loses the power of these replicas at once, and the disks of some of them with it.
fn lose_power(cluster: &mut SeedCluster, slots: &[u32], lost_disks: &[u32]) {
    for slot in slots {
        cluster.kill(*slot);
    }
    cluster.run(500);
    for slot in slots {
        match lost_disks.contains(slot) {
            true => cluster.start_empty(*slot, false),
            false => cluster.restart(*slot),
        }
    }
}

/// Guards against replicas with empty disks that never join: each seed was replaced at
/// another address before or is as empty as they are.
#[parameterized(
    last_seed_and_another = { &[(10, 60), (20, 70)], &[30, 40] },
    last_seed_and_a_successor = { &[(10, 60), (20, 70)], &[30, 60] },
    last_seed_alone = { &[(10, 60), (20, 70)], &[30] },
    no_seed_left = { &[(10, 60), (20, 70), (30, 80)], &[60, 50] },
    two_seeds = { &[(10, 60)], &[20, 30] },
)]
fn empty_replicas_join_although_no_seed_knows_the_cluster(
    replacements: &[(u32, u32)],
    lost_disks: &[u32],
) {
    let mut cluster = SeedCluster::formed();
    replace(&mut cluster, replacements);
    let is_gone = |slot: &u32| replacements.iter().any(|(gone, _)| gone == slot);
    let mut running: Vec<u32> = ALL.into_iter().filter(|s| !is_gone(s)).collect();
    running.extend(replacements.iter().map(|(_, successor)| *successor));
    lose_power(&mut cluster, &running, lost_disks);
    let took = cluster.run_until_all_vote(CATCH_UP_MS);
    assert!(took.is_some(), "{}", cluster.describe());
}

/// Cluster whose members send to an earlier identity at the slot of [`empty_replica`].
const CLUSTER: ClusterId = ClusterId(7);

/// Creates a replica with an empty log at the last seed.
fn empty_replica(cluster: Option<ClusterId>, first_start: bool) -> Replica {
    let seeds: BTreeSet<u32> = SEEDS.into_iter().collect();
    let id = ReplicaId {
        slot: 30,
        identity: 2,
    };
    let mut cfg = ReplicaConfig::new(id, SEEDS, 1);
    cfg.seed_discovery = Some(SeedDiscovery::new(30, &seeds, first_start, None, 5));
    let mut stored = Stored::default();
    stored.hard_state.cluster = cluster;
    Replica::new(cfg, stored, Instant::from_millis(1))
}

/// Delivers a vote request for an earlier identity at the slot of [`empty_replica`].
fn request_vote_of_predecessor(replica: &mut Replica, from: u32) {
    let message = Message {
        cluster: Some(CLUSTER),
        from: ReplicaId {
            slot: from,
            identity: 1,
        },
        to_slot: 30,
        to_identity: Some(1),
        term: Term(5),
        body: Body::Vote {
            last: Position::default(),
        },
    };
    let mut out = Vec::new();
    let now = Instant::from_millis(5_000);
    replica.step(now, Event::Receive(message), &mut out);
    assert!(out.is_empty(), "{out:?}");
}

/// Returns the slots that a replica asks to join at its next tick.
fn asked_slots(replica: &mut Replica) -> BTreeSet<u32> {
    let mut out = Vec::new();
    replica.step(Instant::from_millis(6_000), Event::Tick, &mut out);
    let asked = out.iter().filter_map(|action| match action {
        Action::Send { message, .. } if matches!(message.body, Body::Join { .. }) => {
            Some(message.to_slot)
        }
        _ => None,
    });
    asked.collect()
}

/// Guards against messages for an earlier identity that count for the replica which runs at
/// the slot now, and against one that is drawn into another cluster by them.
#[parameterized(
    unformed = { None, false, &[10, 20, 60] },
    of_the_same_cluster = { Some(CLUSTER), false, &[10, 20, 60] },
    of_another_cluster = { Some(ClusterId(8)), false, &[10, 20] },
    at_the_first_start = { None, true, &[10, 20] },
)]
fn a_message_for_an_earlier_identity_only_shows_whom_to_ask(
    cluster: Option<ClusterId>,
    first_start: bool,
    asked: &[u32],
) {
    let mut replica = empty_replica(cluster, first_start);
    request_vote_of_predecessor(&mut replica, 60);
    assert_eq!(replica.term(), Term(0));
    assert_eq!(replica.role(), Role::Unformed);
    assert_eq!(asked_slots(&mut replica), asked.iter().copied().collect());
}

/// Guards against join requests without bound, to all who ever sent something.
#[test]
fn only_some_members_that_send_to_an_earlier_identity_are_asked() {
    let mut replica = empty_replica(None, false);
    for slot in 100..200 {
        request_vote_of_predecessor(&mut replica, slot);
    }
    let asked = asked_slots(&mut replica);
    assert!((10..=20).contains(&asked.len()), "{asked:?}");
}

/// Guards against a replica that asks in vain without a trace of whom.
#[test]
fn a_replica_reports_whom_it_asks_until_a_leader_speaks_to_it() {
    let mut cluster = SeedCluster::empty(DEPLOYED);
    cluster.start_empty(20, false);
    cluster.start_empty(30, false);
    cluster.run(1_000);
    let search = cluster.replicas[&30].join_search().expect("it asks");
    assert_eq!(search.asked, [10, 20]);
    assert_eq!(search.unformed, [20]);
    assert!(search.contacts.is_empty());
    let formed = SeedCluster::formed();
    assert!(formed.replicas.values().all(|r| r.join_search().is_none()));
}

#[test]
fn a_voter_removed_while_partitioned_joins_again() {
    let mut cluster = SeedCluster::new(&[10, 20, 30, 40, 50], Timing::default());
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
