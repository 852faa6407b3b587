//! Replicas that are taken in while others are lost: all wanted replicas vote again in time,
//! whichever leader began to take them in.

use crate::seed_cluster::{ALL, SeedCluster};
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
