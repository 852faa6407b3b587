//! Replicas that are taken in while others are lost: all wanted replicas vote again in time,
//! whichever leader began to take them in.

use crate::seed_cluster::{ALL, SeedCluster, VOTERS};
use yare::parameterized;

/// Time after which a replica that is back no longer counts as lost, ms.
const CATCH_UP_MS: u64 = 4_000;

/// Moments after the return of a replica at which the next thing happens, ms: each one
/// while the leader takes the first steps, then fewer.
fn moments() -> impl Iterator<Item = u64> {
    (0..60).chain((60..900).step_by(10))
}

/// Loses the disk of a replica that does not lead; it is back after a second. Returns its
/// slot and that of the leader.
fn lose_a_disk(cluster: &mut SeedCluster) -> (u32, u32) {
    let leader = cluster.leader_slot();
    let lost = *ALL
        .iter()
        .rev()
        .find(|s| **s != leader)
        .expect("five slots");
    cluster.kill(lost);
    cluster.run(1_000);
    cluster.start_empty(lost, false);
    (lost, leader)
}

/// Plays a case at each of these moments, and asserts that afterwards all wanted replicas
/// vote before those that are back stop counting as lost.
fn assert_all_vote_in_time(play: impl Fn(u64) -> SeedCluster) {
    let mut failed = Vec::new();
    for at in moments() {
        let mut cluster = play(at);
        if cluster.run_until_all_vote(CATCH_UP_MS).is_none() {
            failed.push(format!("at {at} ms:\n{}", cluster.describe()));
        }
    }
    let (count, played) = (failed.len(), moments().count());
    let first = failed.first();
    assert!(
        failed.is_empty(),
        "{count} of {played}; {}",
        first.map_or("", |f| f)
    );
}

/// Guards against a learner that never votes, as the leader that added it has gone.
#[test]
fn a_replica_votes_although_the_leader_goes_while_it_is_taken_in() {
    assert_all_vote_in_time(|at| {
        let mut cluster = SeedCluster::formed();
        let (_, leader) = lose_a_disk(&mut cluster);
        cluster.run(at);
        cluster.kill(leader);
        cluster.run(500);
        cluster.restart(leader);
        cluster
    });
}

/// Guards against a replica that asks no more, as an entry which names it reached it alone
/// and was never committed.
#[parameterized(
    short_cut = { 50 },
    medium_cut = { 300 },
    long_cut = { 1_000 },
)]
fn a_replica_asks_again_if_its_admission_is_lost(cut_ms: u64) {
    assert_all_vote_in_time(|at| {
        let mut cluster = SeedCluster::formed();
        let (lost, leader) = lose_a_disk(&mut cluster);
        cluster.run(at);
        let others = ALL.into_iter().filter(|s| *s != lost && *s != leader);
        let others: Vec<u32> = others.collect();
        cluster.cut(&[lost, leader], &others);
        cluster.run(cut_ms);
        cluster.kill(leader);
        cluster.cuts.clear();
        cluster.run(500);
        cluster.restart(leader);
        cluster
    });
}

/// Guards against a VM that is gone for good while it is taken in and keeps its successor,
/// at another slot, out.
#[test]
fn a_replica_that_is_gone_while_it_is_taken_in_holds_up_nobody() {
    assert_all_vote_in_time(|at| {
        let mut cluster = SeedCluster::formed();
        let (lost, _) = lose_a_disk(&mut cluster);
        cluster.run(at);
        cluster.kill(lost);
        cluster.run(1_000);
        cluster.start_empty(60, false);
        cluster
    });
}

/// Trouble of a replica that is taken in, which ends after several seconds.
#[derive(Clone, Copy)]
enum Trouble {
    Frozen,
    CutOff,
    Down,
}

/// Guards against a replica that is not to be reached while it is taken in, and keeps
/// another one that lost its disk out for as long.
#[parameterized(
    frozen = { Trouble::Frozen },
    cut_off = { Trouble::CutOff },
    down = { Trouble::Down },
)]
fn a_replica_in_trouble_while_it_is_taken_in_holds_up_nobody(trouble: Trouble) {
    for at in moments() {
        let mut cluster = SeedCluster::formed();
        let leader = cluster.leader_slot();
        let [first, second] = two_followers(&cluster);
        for slot in [first, second] {
            cluster.kill(slot);
        }
        cluster.run(1_000);
        cluster.start_empty(first, false);
        cluster.run(at);
        let others: Vec<u32> = ALL.into_iter().filter(|s| *s != first).collect();
        match trouble {
            Trouble::Frozen => cluster.freeze(first, true),
            Trouble::CutOff => cluster.cut(&[first], &others),
            Trouble::Down => cluster.kill(first),
        }
        cluster.start_empty(second, false);
        cluster.run(CATCH_UP_MS);
        let votes = |slot| cluster.identity_votes(slot);
        assert!(
            votes(second),
            "at {at} ms, leader {leader}:\n{}",
            cluster.describe()
        );
        match trouble {
            Trouble::Frozen => cluster.freeze(first, false),
            Trouble::CutOff => cluster.cuts.clear(),
            Trouble::Down => cluster.restart(first),
        }
        let took = cluster.run_until_all_vote(CATCH_UP_MS);
        assert!(
            took.is_some(),
            "at {at} ms, {first} back:\n{}",
            cluster.describe()
        );
    }
}

/// Returns two slots that do not lead, the lower one first.
fn two_followers(cluster: &SeedCluster) -> [u32; 2] {
    let leader = cluster.leader_slot();
    let mut followers = ALL.into_iter().rev().filter(|s| *s != leader);
    let second = followers.next().expect("five slots");
    [followers.next().expect("five slots"), second]
}

/// Guards against entries that are committed on fewer replicas than a majority of the wanted
/// ones, while two are taken in.
#[test]
fn two_replicas_are_taken_in_one_after_the_other() {
    let mut cluster = SeedCluster::formed();
    let lost = two_followers(&cluster);
    for slot in lost {
        cluster.kill(slot);
    }
    cluster.run(1_000);
    for slot in lost {
        cluster.start_empty(slot, false);
    }
    for _ in 0..CATCH_UP_MS {
        cluster.run(1);
        let voters = cluster.voters().len();
        assert!(voters >= VOTERS - 1, "{}", cluster.describe());
    }
    assert_eq!(cluster.run_until_all_vote(CATCH_UP_MS), Some(0));
}

/// Guards against a successor that votes beside the lost voter which it replaces: once it is
/// lost again together with another voter, fewer than a majority are left, and nobody leads.
#[parameterized(
    asked_nobody_yet = { 0 },
    just_asked = { 20 },
    learner = { 60 },
    voter = { 300 },
)]
fn a_leader_is_elected_after_the_successor_and_the_leader_are_lost(leader_lost_ms: u64) {
    for successor_lost_ms in (500..1_600).step_by(50) {
        let mut cluster = SeedCluster::formed();
        let leader = cluster.leader_slot();
        cluster.kill(two_followers(&cluster)[0]);
        cluster.run(1_000);
        cluster.start_empty(60, false);
        cluster.run(leader_lost_ms);
        cluster.kill(leader);
        cluster.run(successor_lost_ms);
        cluster.kill(60);
        cluster.run(CATCH_UP_MS);
        assert!(
            cluster.leader().is_some(),
            "successor lost {successor_lost_ms} ms later:\n{}",
            cluster.describe()
        );
    }
}

/// Guards against a replica on a slow link that never votes under a steady load, as it never
/// has all entries of the moment.
#[test]
fn a_replica_votes_although_entries_come_faster_than_it_answers() {
    let mut cluster = SeedCluster::formed();
    let (lost, _) = lose_a_disk(&mut cluster);
    cluster.delays.insert(lost, 30);
    for token in 0..CATCH_UP_MS / 5 {
        cluster.propose(token);
        cluster.run(5);
        if cluster.identity_votes(lost) {
            return;
        }
    }
    panic!("{}", cluster.describe());
}
