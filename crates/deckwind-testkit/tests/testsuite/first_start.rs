//! The first start of the whole system, with seeds that are killed before there is a cluster.

use crate::seed_cluster::{ALL, DEPLOYED, SEEDS, SeedCluster};
use deckwind_core::replication::{
    Action, Body, Event, Message, Replica, ReplicaConfig, ReplicaId, SeedDiscovery, Stored, Term,
};
use deckwind_core::time::Instant;
use deckwind_store::{MemoryDisk, Store};
use std::collections::BTreeSet;
use yare::parameterized;

/// Time within which a manifest must be acknowledged, ms.
const ACK_MS: u64 = 4_000;

/// Time between the starts of the first VM and of the others, ms.
const START_SPREAD_MS: u64 = 280;

/// Time after which a process that was killed is started again, ms.
const RESTART_MS: u64 = 500;

/// Guards against a system that never starts, as a seed was killed at the very first start
/// and is told at the next one that it is not the first.
#[parameterized(
    lowest_seed_at_once = { 10, 10 },
    lowest_seed_before_the_others = { 10, 200 },
    lowest_seed_as_they_start = { 10, 285 },
    lowest_seed_as_it_forms = { 10, 310 },
    lowest_seed_as_it_leads = { 10, 1_000 },
    another_seed_at_once = { 20, 290 },
    another_seed_after_it_asked = { 30, 300 },
)]
fn a_seed_killed_at_the_first_start_ends_nothing(slot: u32, killed_ms: u64) {
    let mut cluster = SeedCluster::empty(DEPLOYED);
    let mut now_ms = 0;
    let mut run_to = |cluster: &mut SeedCluster, ms: u64| {
        cluster.run(ms.saturating_sub(now_ms));
        now_ms = now_ms.max(ms);
    };
    cluster.start_empty(SEEDS[0], true);
    if killed_ms < START_SPREAD_MS {
        run_to(&mut cluster, killed_ms);
        cluster.kill(slot);
    }
    run_to(&mut cluster, START_SPREAD_MS);
    for other in ALL.into_iter().filter(|s| *s != SEEDS[0]) {
        cluster.start_empty(other, true);
    }
    if killed_ms >= START_SPREAD_MS {
        run_to(&mut cluster, killed_ms);
        cluster.kill(slot);
    }
    run_to(&mut cluster, killed_ms + RESTART_MS);
    cluster.restart(slot);
    let took = cluster.run_until_all_vote(ACK_MS);
    assert!(took.is_some(), "{}", cluster.describe());
}

/// Guards against a second cluster: a seed that lost its disk does not remember the first
/// start.
#[test]
fn a_seed_that_lost_its_disk_forms_no_cluster() {
    let mut cluster = SeedCluster::empty(DEPLOYED);
    cluster.start_empty(SEEDS[0], true);
    cluster.run(200);
    cluster.kill(SEEDS[0]);
    cluster.start_empty(SEEDS[0], false);
    for slot in &SEEDS[1..] {
        cluster.start_empty(*slot, true);
    }
    cluster.run(ACK_MS);
    assert!(cluster.leader().is_none(), "{}", cluster.describe());
}

/// Guards against a first start that is forgotten if the power is lost while the folder is
/// created: either the folder remembers it, or it is new.
#[test]
fn a_folder_remembers_the_first_start_whenever_the_power_is_lost() {
    let id = ReplicaId {
        slot: SEEDS[0],
        identity: 1,
    };
    let seeds: BTreeSet<u32> = SEEDS.into_iter().collect();
    for operations in 0.. {
        let disk = MemoryDisk::default();
        disk.fail_after(operations);
        let first = Store::open_at_start(Box::new(disk.clone()), id, Some(&seeds));
        let is_done = first.is_ok();
        disk.crash(0);
        let again = Store::open(Box::new(disk), id);
        let (_, opened) = again.expect("the folder can be opened after any crash");
        let remembers = opened.first_seeds == Some(seeds.clone());
        assert!(remembers || opened.is_new, "after {operations} operations");
        if is_done {
            assert!(remembers);
            break;
        }
    }
}

/// Guards against seeds that wait for a cluster which only its former knew: nothing that
/// names the cluster is sent before its first entry is synced.
#[test]
fn a_cluster_is_announced_only_once_it_is_synced() {
    let id = |slot: u32| ReplicaId { slot, identity: 1 };
    let seeds: BTreeSet<u32> = SEEDS.into_iter().collect();
    let mut cfg = ReplicaConfig::new(id(SEEDS[0]), SEEDS, 1);
    cfg.seed_discovery = Some(SeedDiscovery::new(SEEDS[0], &seeds, true, None, 5));
    let now = Instant::from_millis(1);
    let mut replica = Replica::new(cfg, Stored::default(), now);
    let mut out = Vec::new();
    for slot in &SEEDS[1..] {
        let join = Message {
            cluster: None,
            from: id(*slot),
            to_slot: SEEDS[0],
            to_identity: None,
            term: Term(0),
            body: Body::Join { unformed: true },
        };
        replica.step(now, Event::Receive(join), &mut out);
    }
    let is_genesis = |a: &Action| matches!(a, Action::Append(_));
    assert!(out.iter().any(is_genesis), "{out:?}");
    let early = |a: &&Action| matches!(a, Action::Send { message, needs_sync: false } if message.cluster.is_some());
    assert_eq!(out.iter().find(early), None);
}
