//! Announcements of targets at any replica: thousands of targets that start at
//! once, targets that announce themselves only to followers, delayed announcements,
//! and replicas that have lost their leader. Runs in virtual time.

use deckwind_core::control::OperatorReply;
use deckwind_core::state::{Instance, InstanceState, Instances};
use deckwind_testkit::fan_out::engine;
use deckwind_testkit::{Lab, NetFaults};
use std::time::Duration;
use yare::parameterized;

/// Interval between two announcements of a target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Time after which a follower that receives nothing from its leader stops
/// acknowledging announcements: the longest election timeout (800 ms) plus a margin.
const LEADER_LOSS_TIMEOUT: Duration = Duration::from_millis(1_300);

fn lab(replicas: usize) -> Lab {
    let mut lab = Lab::new(replicas, 3, 7, NetFaults::NONE);
    lab.run_until_led();
    lab.run_for(Duration::from_secs(1));
    lab
}

fn committed(lab: &Lab, slot: usize) -> &Instances {
    let node = lab.node(slot).expect("it is up");
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
    let mut lab = lab(5);
    let leader = lab.run_until_led();
    let revision = |lab: &Lab| {
        let node = lab.node(leader).expect("it is up");
        node.core().state_machine().configuration().revision().0
    };
    let before = revision(&lab);
    let steps = 120;
    for step in 0..steps {
        for i in (step..targets).step_by(steps) {
            lab.announce(i % 5, engine(i as u16, 0, 1));
        }
        lab.run_for(ANNOUNCE_INTERVAL / steps as u32);
    }
    lab.run_for(Duration::from_millis(200));
    assert_eq!(committed(&lab, leader).iter().count(), targets);
    // Five replicas, each of which reports at most once per 20 ms.
    let max_entries = 5 * (1_200 / 20) + 20;
    let entries = revision(&lab) - before;
    assert!(
        entries <= max_entries,
        "{entries} log entries for {targets} targets"
    );
    assert_eq!(lab.leader(), Some(leader), "no other leader was elected");
}

#[test]
fn a_target_that_announces_itself_to_followers_only_stays_ready_and_costs_no_entry() {
    let mut lab = lab(5);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    lab.announce(follower, engine(1, 4, 1));
    lab.run_for(ANNOUNCE_INTERVAL);
    assert_eq!(lab.last_reply("engine-1"), Some(&OperatorReply::Heard));
    let written = committed(&lab, leader).since(Default::default())[0]
        .1
        .revision;
    for number in 2..12 {
        lab.announce(follower, engine(1, 4, number));
        lab.run_for(ANNOUNCE_INTERVAL);
    }
    let (_, now) = &committed(&lab, leader).since(Default::default())[0];
    assert_eq!(now.revision, written, "no new entry was committed");
    let instance = now.value.as_ref().expect("the target has not left");
    assert_eq!(instance.state, InstanceState::Ready);
}

#[test]
fn a_target_that_falls_silent_and_comes_back_is_ready_again() {
    let mut lab = lab(3);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    let state = |lab: &Lab| committed(lab, leader).get("engine-1").map(|i| i.state);
    lab.announce(follower, engine(1, 4, 1));
    lab.run_for(Duration::from_secs(5));
    assert_eq!(state(&lab), Some(InstanceState::Silent));
    lab.announce(follower, engine(1, 4, 2));
    lab.run_for(Duration::from_millis(100));
    assert_eq!(state(&lab), Some(InstanceState::Ready));
}

/// An announcement that the network delayed arrives after newer ones of the same
/// target. It must not keep a silent target ready.
#[test]
fn a_delayed_announcement_does_not_keep_a_target_ready() {
    let mut lab = lab(3);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    for number in [1, 7] {
        lab.announce(follower, engine(1, 4, number));
        lab.run_for(Duration::from_millis(300));
    }
    for _ in 0..4 {
        lab.run_for(ANNOUNCE_INTERVAL);
        lab.announce(follower, engine(1, 4, 6));
    }
    lab.run_for(Duration::from_millis(100));
    let instance = committed(&lab, leader).get("engine-1").expect("known");
    assert_eq!(instance.state, InstanceState::Silent);
}

/// Announces a target to a follower that is partitioned from the other replicas and
/// has lost its leader. Returns the lab, the leader and the follower.
fn announced_to_partitioned_follower() -> (Lab, usize, usize) {
    let mut lab = lab(3);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    lab.cut_off(follower, true);
    lab.run_for(LEADER_LOSS_TIMEOUT);
    lab.announce(follower, engine(1, 4, 1));
    lab.run_for(Duration::from_millis(200));
    (lab, leader, follower)
}

#[test]
fn a_replica_that_has_lost_its_leader_acknowledges_nothing() {
    let (mut lab, ..) = announced_to_partitioned_follower();
    assert_eq!(
        lab.last_reply("engine-1"),
        None,
        "the announcement waits for a leader"
    );
    lab.run_for(Duration::from_millis(600));
    let no_leader = OperatorReply::NotLeader { leader: None };
    assert_eq!(lab.last_reply("engine-1"), Some(&no_leader));
}

/// A replica without a leader holds an announcement until it has one, so targets don't
/// have to try all replicas in turn.
#[test]
fn an_announcement_to_a_replica_without_a_leader_is_acknowledged_once_it_has_one() {
    let (mut lab, leader, follower) = announced_to_partitioned_follower();
    lab.cut_off(follower, false);
    lab.run_for(Duration::from_millis(400));
    assert_eq!(lab.last_reply("engine-1"), Some(&OperatorReply::Heard));
    lab.run_for(Duration::from_millis(100));
    assert!(committed(&lab, leader).get("engine-1").is_some());
}

/// Only the leader acknowledges a drain, once no router relies on the target any more.
/// Followers redirect to it.
#[test]
fn a_target_that_drains_is_sent_to_the_leader() {
    let mut lab = lab(3);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    lab.announce(leader, engine(1, 4, 1));
    lab.run_for(Duration::from_millis(300));
    let draining = Instance {
        state: InstanceState::Draining,
        ..engine(1, 4, 2)
    };
    lab.announce(follower, draining.clone());
    lab.run_for(Duration::from_millis(20));
    let leader_slot = Some(leader as u32);
    let redirect = OperatorReply::NotLeader {
        leader: leader_slot,
    };
    assert_eq!(lab.last_reply("engine-1"), Some(&redirect));
    lab.announce(leader, draining);
    lab.run_for(Duration::from_millis(500));
    let reply = lab.last_reply("engine-1");
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
    let mut lab = lab(3);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    lab.announce(follower, engine(1, 4, 1));
    lab.run_for(Duration::from_millis(300));
    let new_incarnation = Instance {
        id: "another-life".to_string(),
        announced: 1,
        ..engine(1, 0, 1)
    };
    let late = engine(1, 6, 2);
    lab.announce(follower, new_incarnation);
    lab.announce(follower, late);
    lab.run_for(Duration::from_millis(300));
    assert!(committed(&lab, leader).get("another-life").is_some());
    assert!(committed(&lab, leader).get("engine-1").is_none());
}
