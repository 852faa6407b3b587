//! Announcements of targets at any replica: thousands of targets that start at
//! once, targets that announce themselves only to followers, delayed announcements,
//! and replicas that have lost their leader. Runs in virtual time.

use deckwind_core::control::OperatorReply;
use deckwind_core::state::{Instance, InstanceState, Instances};
use deckwind_testkit::fan_out::engine;
use deckwind_testkit::{ControlSimulation, NetFaults};
use std::time::Duration;
use yare::parameterized;

/// Interval between two announcements of a target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time after which a follower that receives nothing from its leader stops
/// acknowledging announcements: the longest election timeout (800 ms) plus a margin.
const LEADER_LOSS_TIMEOUT: Duration = Duration::from_millis(1_300);

fn sim(replicas: usize) -> ControlSimulation {
    let mut sim = ControlSimulation::new(replicas, 3, 7, NetFaults::NONE);
    sim.run_until_leader();
    sim.run_for(Duration::from_secs(1));
    sim
}

fn committed(sim: &ControlSimulation, slot: usize) -> &Instances {
    let node = sim.node(slot).expect("it is up");
    node.core().state_machine().configuration().instances()
}

fn follower_of(leader: usize) -> usize {
    usize::from(leader == 0)
}

/// 3,000 targets start within one announcement interval, spread over five replicas,
/// as after a deployment. Guards against one log entry per target: 3,000 entries took
/// a leader 792 ms of CPU time per second.
#[parameterized(
    hundred = { 100 },
    thousands = { 3_000 },
)]
fn targets_that_start_together_become_few_entries(targets: usize) {
    let mut sim = sim(5);
    let leader = sim.run_until_leader();
    let revision = |sim: &ControlSimulation| {
        let node = sim.node(leader).expect("it is up");
        node.core().state_machine().configuration().revision().0
    };
    let before = revision(&sim);
    let steps = 120;
    for step in 0..steps {
        for i in (step..targets).step_by(steps) {
            sim.announce(i % 5, engine(i as u16, 0, 1));
        }
        sim.run_for(ANNOUNCE_INTERVAL / steps as u32);
    }
    sim.run_for(Duration::from_millis(200));
    assert_eq!(committed(&sim, leader).iter().count(), targets);
    // Five replicas, each of which reports at most once per 20 ms.
    let max_entries = 5 * (1_200 / 20) + 20;
    let entries = revision(&sim) - before;
    assert!(
        entries <= max_entries,
        "{entries} log entries for {targets} targets"
    );
    assert_eq!(sim.leader(), Some(leader), "no other leader was elected");
}

#[test]
fn a_target_that_announces_itself_to_followers_only_stays_ready_and_costs_no_entry() {
    let mut sim = sim(5);
    let leader = sim.run_until_leader();
    let follower = follower_of(leader);
    sim.announce(follower, engine(1, 4, 1));
    sim.run_for(ANNOUNCE_INTERVAL);
    assert_eq!(sim.last_reply("engine-1"), Some(&OperatorReply::Heard));
    let written = committed(&sim, leader).since(Default::default())[0]
        .1
        .revision;
    for number in 2..12 {
        sim.announce(follower, engine(1, 4, number));
        sim.run_for(ANNOUNCE_INTERVAL);
    }
    let (_, now) = &committed(&sim, leader).since(Default::default())[0];
    assert_eq!(now.revision, written, "no new entry was committed");
    let instance = now.value.as_ref().expect("the target has not left");
    assert_eq!(instance.state, InstanceState::Ready);
}

#[test]
fn a_target_that_falls_silent_and_comes_back_is_ready_again() {
    let mut sim = sim(3);
    let leader = sim.run_until_leader();
    let follower = follower_of(leader);
    let state = |sim: &ControlSimulation| committed(sim, leader).get("engine-1").map(|i| i.state);
    sim.announce(follower, engine(1, 4, 1));
    sim.run_for(Duration::from_secs(5));
    assert_eq!(state(&sim), Some(InstanceState::Silent));
    sim.announce(follower, engine(1, 4, 2));
    sim.run_for(Duration::from_millis(100));
    assert_eq!(state(&sim), Some(InstanceState::Ready));
}

/// An announcement that the network delayed arrives after newer ones of the same
/// target. It must not keep a silent target ready.
#[test]
fn a_delayed_announcement_does_not_keep_a_target_ready() {
    let mut sim = sim(3);
    let leader = sim.run_until_leader();
    let follower = follower_of(leader);
    for number in [1, 7] {
        sim.announce(follower, engine(1, 4, number));
        sim.run_for(Duration::from_millis(300));
    }
    for _ in 0..4 {
        sim.run_for(ANNOUNCE_INTERVAL);
        sim.announce(follower, engine(1, 4, 6));
    }
    sim.run_for(Duration::from_millis(100));
    let instance = committed(&sim, leader).get("engine-1").expect("known");
    assert_eq!(instance.state, InstanceState::Silent);
}

/// Announces a target to a follower that is partitioned from the other replicas and
/// has lost its leader. Returns the simulation, the leader and the follower.
fn announced_to_partitioned_follower() -> (ControlSimulation, usize, usize) {
    let mut sim = sim(3);
    let leader = sim.run_until_leader();
    let follower = follower_of(leader);
    sim.set_partitioned(follower, true);
    sim.run_for(LEADER_LOSS_TIMEOUT);
    sim.announce(follower, engine(1, 4, 1));
    sim.run_for(Duration::from_millis(200));
    (sim, leader, follower)
}

#[test]
fn a_replica_that_has_lost_its_leader_acknowledges_nothing() {
    let (mut sim, ..) = announced_to_partitioned_follower();
    assert_eq!(
        sim.last_reply("engine-1"),
        None,
        "the announcement waits for a leader"
    );
    sim.run_for(Duration::from_millis(600));
    let no_leader = OperatorReply::NotLeader { leader: None };
    assert_eq!(sim.last_reply("engine-1"), Some(&no_leader));
}

/// A replica without a leader holds an announcement until it has one, so targets don't
/// have to try all replicas in turn.
#[test]
fn an_announcement_to_a_replica_without_a_leader_is_acknowledged_once_it_has_one() {
    let (mut sim, leader, follower) = announced_to_partitioned_follower();
    sim.set_partitioned(follower, false);
    sim.run_for(Duration::from_millis(400));
    assert_eq!(sim.last_reply("engine-1"), Some(&OperatorReply::Heard));
    sim.run_for(Duration::from_millis(100));
    assert!(committed(&sim, leader).get("engine-1").is_some());
}

/// Only the leader acknowledges a drain, once no router relies on the target any more.
/// Followers redirect to it.
#[test]
fn a_target_that_drains_is_sent_to_the_leader() {
    let mut sim = sim(3);
    let leader = sim.run_until_leader();
    let follower = follower_of(leader);
    sim.announce(leader, engine(1, 4, 1));
    sim.run_for(Duration::from_millis(300));
    let draining = Instance {
        state: InstanceState::Draining,
        ..engine(1, 4, 2)
    };
    sim.announce(follower, draining.clone());
    sim.run_for(Duration::from_millis(20));
    let leader_slot = Some(leader as u32);
    let redirect = OperatorReply::NotLeader {
        leader: leader_slot,
    };
    assert_eq!(sim.last_reply("engine-1"), Some(&redirect));
    sim.announce(leader, draining);
    sim.run_for(Duration::from_millis(500));
    let reply = sim.last_reply("engine-1");
    assert!(
        matches!(reply, Some(OperatorReply::Accepted { .. })),
        "{reply:?}"
    );
}

/// A new incarnation announces itself at an address, and a delayed announcement of the
/// previous incarnation arrives right after it. The new one must stay, also where both
/// are reported to the leader in one message.
#[test]
fn a_delayed_announcement_of_an_old_incarnation_does_not_end_the_new_one() {
    let mut sim = sim(3);
    let leader = sim.run_until_leader();
    let follower = follower_of(leader);
    sim.announce(follower, engine(1, 4, 1));
    sim.run_for(Duration::from_millis(300));
    let new_incarnation = Instance {
        id: "another-life".to_string(),
        announced: 1,
        ..engine(1, 0, 1)
    };
    let late = engine(1, 6, 2);
    sim.announce(follower, new_incarnation);
    sim.announce(follower, late);
    sim.run_for(Duration::from_millis(300));
    assert!(committed(&sim, leader).get("another-life").is_some());
    assert!(committed(&sim, leader).get("engine-1").is_none());
}
