//! The replicated log under failures, in virtual time. [`ControlSimulation`] checks the invariants of
//! the log after every step.

use deckwind_core::control::{ControlEvent, ControlLimits, OperatorReply};
use deckwind_core::membership::{InForce, LeaseTiming};
use deckwind_core::replication::{Event, ReplicaConfig, ReplicaId};
use deckwind_core::state::{Change, Rejection, Revision, TargetName};
use deckwind_core::time::Instant;
use deckwind_store::{MemoryDisk, Store};
use deckwind_testkit::{ControlSimulation, NetFaults, chat_template, engine_target};
use deckwindd::control::{ControlNode, Now};
use rand::RngExt;
use std::collections::BTreeMap;
use std::time::Duration;
use yare::parameterized;

fn template_change(name: &str, layers: u32) -> Change {
    Change::Template(chat_template(name, layers))
}

fn accepted(reply: &OperatorReply) -> Revision {
    match reply {
        OperatorReply::Accepted { revision, .. } => *revision,
        other => panic!("not accepted: {other:?}"),
    }
}

#[test]
fn three_new_replicas_form_one_cluster() {
    let mut sim = ControlSimulation::new(3, 1, 1, NetFaults::NONE);
    let slot = sim.run_until_leader();
    let members = sim.node(slot).unwrap().core().replica().members().clone();
    assert_eq!(members.voters.len(), 3);
    let reply = sim.apply_and_wait("first", None, template_change("rosters", 24));
    assert_eq!(
        reply,
        OperatorReply::Accepted {
            revision: Revision(1),
            in_force: InForce::Yes
        }
    );
}

#[test]
fn two_of_three_new_replicas_form_none() {
    let mut sim = ControlSimulation::new(3, 0, 2, NetFaults::NONE);
    sim.crash(2, 0);
    sim.run_for(Duration::from_secs(10));
    assert_eq!(sim.leader(), None);
}

#[test]
fn accepted_changes_survive_a_restart_of_all_replicas() {
    let mut sim = ControlSimulation::new(3, 1, 3, NetFaults::NONE);
    for i in 0..300u32 {
        let id = format!("change-{i}");
        let name = format!("t{}", i % 7);
        accepted(&sim.apply_and_wait(&id, None, template_change(&name, i + 1)));
    }
    for slot in 0..3 {
        sim.crash(slot, 0);
    }
    sim.heal();
    let slot = sim.run_until_leader();
    let machine = sim.node(slot).unwrap().core().state_machine();
    assert_eq!(machine.configuration().revision(), Revision(300));
    let last = machine.configuration().template(&"t5".into()).unwrap();
    assert_eq!(*last, chat_template("t5", 300));
}

#[test]
fn a_resent_request_gets_the_first_reply_and_changes_nothing() {
    let mut sim = ControlSimulation::new(3, 1, 4, NetFaults::NONE);
    let first = sim.apply_and_wait("same", None, template_change("rosters", 24));
    let other = sim.apply_and_wait("other", None, template_change("rosters", 25));
    let again = sim.apply_and_wait("same", None, template_change("rosters", 24));
    assert_eq!(accepted(&first), Revision(1));
    assert_eq!(accepted(&other), Revision(2));
    assert_eq!(accepted(&again), Revision(1));
    let slot = sim.run_until_leader();
    let cfg = sim
        .node(slot)
        .unwrap()
        .core()
        .state_machine()
        .configuration()
        .clone();
    assert_eq!(
        *cfg.template(&"rosters".into()).unwrap(),
        chat_template("rosters", 25)
    );
}

#[test]
fn of_two_operators_with_the_same_revision_one_wins_and_the_other_sees_it() {
    let mut sim = ControlSimulation::new(3, 1, 5, NetFaults::NONE);
    sim.apply_and_wait(
        "first",
        Some(Revision::ZERO),
        template_change("rosters", 24),
    );
    let slot = sim.run_until_leader();
    sim.apply(slot, "a", Some(Revision(1)), template_change("rosters", 25));
    sim.apply(slot, "b", Some(Revision(1)), template_change("rosters", 26));
    sim.run_for(Duration::from_secs(4));
    assert_eq!(accepted(&sim.replies["a"][0]), Revision(2));
    assert_eq!(
        sim.replies["b"][0],
        OperatorReply::Rejected(Rejection::Conflict {
            current: Revision(2)
        })
    );
}

#[test]
fn a_partitioned_leader_answers_nothing_and_its_change_is_not_lost_silently() {
    let mut sim = ControlSimulation::new(3, 1, 6, NetFaults::NONE);
    sim.apply_and_wait("before", None, template_change("rosters", 24));
    let old = sim.run_until_leader();
    sim.set_partitioned(old, true);
    sim.apply(old, "cut", None, template_change("rosters", 99));
    sim.run_for(Duration::from_millis(700));
    let new = sim.run_until_leader();
    assert_ne!(new, old);
    accepted(&sim.apply_and_wait("after", None, template_change("rosters", 30)));
    assert!(
        sim.replies
            .get("cut")
            .is_none_or(|r| r == &[OperatorReply::Unknown])
    );
    sim.set_partitioned(old, false);
    sim.run_for(Duration::from_secs(3));
    let cfg = sim
        .node(old)
        .unwrap()
        .core()
        .state_machine()
        .configuration()
        .clone();
    assert_eq!(
        *cfg.template(&"rosters".into()).unwrap(),
        chat_template("rosters", 30)
    );
    assert_eq!(sim.replies["cut"], [OperatorReply::Unknown]);
}

#[test]
fn a_leader_that_was_frozen_does_not_go_on_leading() {
    let mut sim = ControlSimulation::new(3, 1, 7, NetFaults::NONE);
    sim.apply_and_wait("before", None, template_change("rosters", 24));
    let old = sim.run_until_leader();
    sim.freeze(old, true);
    sim.run_for(Duration::from_secs(4));
    accepted(&sim.apply_and_wait("meanwhile", None, template_change("rosters", 25)));
    sim.freeze(old, false);
    sim.run_for(Duration::from_secs(1));
    assert_ne!(sim.leader(), Some(old));
}

#[test]
fn a_replica_with_a_lost_disk_comes_back_under_a_new_identity() {
    let mut sim = ControlSimulation::new(3, 1, 8, NetFaults::NONE);
    for i in 0..40 {
        let id = format!("change-{i}");
        sim.apply_and_wait(&id, None, template_change("rosters", i + 1));
    }
    let leader = sim.run_until_leader();
    let lost = (leader + 1) % 3;
    let old = sim.node(lost).unwrap().core().replica().id();
    sim.lose_disk(lost);
    sim.start(lost);
    sim.run_for(Duration::from_secs(8));
    let new = sim.node(lost).unwrap().core().replica().id();
    assert_ne!(new, old);
    let leader = sim.run_until_leader();
    let members = sim.node(leader).unwrap().core().replica().members().clone();
    assert!(members.voters.contains(&new), "{members:?}");
    assert!(!members.contains(old));
    assert_eq!(
        sim.node(lost)
            .unwrap()
            .core()
            .state_machine()
            .configuration()
            .revision(),
        Revision(40)
    );
    sim.crash((lost + 1) % 3, 0);
    sim.run_for(Duration::from_secs(3));
    accepted(&sim.apply_and_wait("with-it", None, template_change("rosters", 99)));
}

#[test]
fn two_lost_disks_of_three_leave_no_quorum_and_form_no_second_cluster() {
    let mut sim = ControlSimulation::new(3, 0, 9, NetFaults::NONE);
    sim.apply_and_wait("before", None, template_change("rosters", 24));
    sim.lose_disk(0);
    sim.lose_disk(1);
    sim.start(0);
    sim.start(1);
    sim.run_for(Duration::from_secs(20));
    assert_eq!(sim.leader(), None);
}

#[test]
fn in_force_waits_for_a_router_that_lags_until_its_lease_has_run_out() {
    let mut sim = ControlSimulation::new(3, 2, 10, NetFaults::NONE);
    sim.apply_and_wait("before", None, template_change("rosters", 24));
    sim.run_for(Duration::from_secs(1));
    let begun = sim.now();
    let reply = sim.apply_and_wait("next", None, template_change("rosters", 25));
    assert_eq!(accepted(&reply), Revision(2));
    assert!(sim.now().since(begun) < Duration::from_secs(3));
}

/// Seeded random schedules that combine all faults: message loss and duplication, crashes
/// at any disk operation, lost disks, partitions, freezes and restarts of routers, beside
/// changes by operators and claims. At most one disk is lost at a time, since three
/// replicas can't survive the loss of two.
#[parameterized(
    first = { 1_000 }, second = { 2_000 }, third = { 3_000 }, fourth = { 4_000 },
)]
fn seeded_schedules_keep_the_invariants(first_seed: u64) {
    const RUNS: u64 = 500;
    for seed in first_seed..first_seed + RUNS {
        run_schedule(seed);
    }
}

fn run_schedule(seed: u64) {
    let mut sim = ControlSimulation::new(3, 3, seed, NetFaults::BAD);
    sim.run_until_leader();
    for round in 0..25 {
        inject_fault(&mut sim);
        for router in &mut sim.routers {
            router.add_claims(2);
        }
        let slot = sim.rng().random_range(0..3);
        let id = format!("{seed}-{round}");
        sim.apply(slot, &id, None, change_of_round(round));
        let pause = sim.rng().random_range(50..900);
        sim.run_for(Duration::from_millis(pause));
    }
    sim.heal();
    let reply = sim.apply_and_wait(&format!("{seed}-end"), None, template_change("rosters", 99));
    assert!(!matches!(reply, OperatorReply::Rejected(_)), "{reply:?}");
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for key in sim.routers.iter().flat_map(|r| &r.executed_keys) {
        *runs.entry(key).or_default() += 1;
    }
    let twice: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "seed {seed}: ran twice: {twice:?}");
}

/// Returns the change of a round: a template in even rounds, an engine that doesn't check
/// fences in odd ones.
fn change_of_round(round: u32) -> Change {
    if round.is_multiple_of(2) {
        return template_change("rosters", round + 1);
    }
    let address = "127.0.0.1:1".parse().unwrap();
    let name = format!("runner-{}", round % 5);
    let mut target = engine_target(&name, address, 0, round + 1);
    target.checks_fences = false;
    Change::Target(target)
}

#[test]
fn a_new_leader_gives_the_orders_again_with_a_higher_fence() {
    let mut sim = ControlSimulation::new(3, 0, 11, NetFaults::NONE);
    sim.apply_and_wait("runner", None, change_of_round(1));
    sim.run_for(Duration::from_secs(1));
    let first = sim.newest_terms()[&TargetName::from("runner-1")];
    let leader = sim.run_until_leader();
    sim.crash(leader, 0);
    sim.run_for(Duration::from_secs(4));
    assert!(sim.newest_terms()[&TargetName::from("runner-1")] > first);
}

fn inject_fault(sim: &mut ControlSimulation) {
    let slot = sim.rng().random_range(0..3usize);
    match sim.rng().random_range(0..9) {
        0 => {
            let torn = sim.rng().random_range(0..40);
            sim.crash(slot, torn);
        }
        1 => {
            let operations = sim.rng().random_range(0..6);
            sim.disk(slot).fail_after(operations);
        }
        2 => sim.set_partitioned(slot, true),
        3 => sim.freeze(slot, true),
        4 if all_are_committed_voters(sim) => {
            sim.lose_disk(slot);
            sim.start(slot);
        }
        5 => {
            let routers = sim.routers.len();
            let router = sim.rng().random_range(0..routers);
            sim.routers[router].restart(Default::default());
        }
        6 => sim.heal(),
        _ => {}
    }
}

/// Returns whether every replica is up, has committed as far as the leader, and is a voter
/// in the committed membership. A membership change that isn't committed may be lost with
/// its leader, and the next lost disk could then be the second of three.
fn all_are_committed_voters(sim: &ControlSimulation) -> bool {
    let Some(leader) = sim.leader() else {
        return false;
    };
    let leader = sim.node(leader).unwrap().core().replica();
    let commit = leader.commit();
    let members = leader.members_at(commit);
    (0..3).all(|slot| {
        sim.node(slot).is_some_and(|n| {
            let replica = n.core().replica();
            members.voters.contains(&replica.id()) && replica.commit() == commit
        })
    })
}

/// A command that this version can't read must stop the replica. Skipping it would make the
/// replica's state diverge from that of the others.
#[test]
fn a_command_of_another_version_stops_the_replica() {
    let id = ReplicaId {
        slot: 0,
        identity: 1,
    };
    let (store, opened) = Store::open(Box::new(MemoryDisk::default()), id).unwrap();
    let cfg = ReplicaConfig::new(id, [0], 1);
    let start = Instant::from_millis(1_000);
    let (lease, limits) = (LeaseTiming::default(), ControlLimits::default());
    let mut node = ControlNode::new(cfg, lease, limits, store, opened, start).unwrap();
    let now = |ms: u64| Now {
        at: start + Duration::from_millis(ms),
        wall_ms: ms,
    };
    for ms in (0..3_000).step_by(10) {
        node.process_batch(now(ms), Vec::new(), &mut Vec::new())
            .unwrap();
    }
    let event = Event::Propose {
        token: 1,
        command: vec![255; 3],
    };
    let batch = vec![ControlEvent::Replica(event)];
    let stopped = node
        .process_batch(now(3_000), batch, &mut Vec::new())
        .unwrap_err();
    assert_eq!(
        stopped.to_string(),
        "the command at index 3 is of another version; update this replica"
    );
}
