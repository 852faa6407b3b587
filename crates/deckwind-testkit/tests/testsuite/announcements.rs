//! Targets that announce themselves at any replica: thousands of them start at
//! once, some are heard by followers only, some are late, and some ask a replica
//! that has lost its leader. Virtual time.

use deckwind_core::control::OperatorReply;
use deckwind_core::state::{Instance, InstanceState, Instances};
use deckwind_testkit::fan_out::engine;
use deckwind_testkit::{Lab, NetFaults};
use std::time::Duration;
use yare::parameterized;

/// Between two announcements of a target.
const PERIOD: Duration = Duration::from_millis(1_200);

/// How soon a follower that no longer hears its leader stops answering: the
/// longest wait before an election (800 ms), and a step.
const LEADER_LOST: Duration = Duration::from_millis(1_300);

fn lab(replicas: usize) -> Lab {
    let mut lab = Lab::new(replicas, 3, 7, NetFaults::NONE);
    lab.run_until_led();
    lab.run_for(Duration::from_secs(1));
    lab
}

fn agreed(lab: &Lab, slot: usize) -> &Instances {
    let node = lab.node(slot).expect("it is up");
    node.core().machine().configuration().instances()
}

fn follower_of(leader: usize) -> usize {
    usize::from(leader == 0)
}

/// 3,000 targets start within a period, each at one of five replicas: the burst
/// after a deployment starts, or stops as a whole. An entry each is 3,000 entries,
/// and took a leader 792 ms of a core a second.
#[parameterized(
    hundred = { 100 },
    thousands = { 3_000 },
)]
fn targets_that_start_together_become_few_entries(targets: usize) {
    let mut lab = lab(5);
    let leader = lab.run_until_led();
    let revision = |lab: &Lab| {
        let node = lab.node(leader).expect("it is up");
        node.core().machine().configuration().revision().0
    };
    let before = revision(&lab);
    let steps = 120;
    for step in 0..steps {
        for i in (step..targets).step_by(steps) {
            lab.announce(i % 5, engine(i as u16, 0, 1));
        }
        lab.run_for(PERIOD / steps as u32);
    }
    lab.run_for(Duration::from_millis(200));
    assert_eq!(agreed(&lab, leader).iter().count(), targets);
    // Five replicas that tell each 20 ms at most.
    let most = 5 * (1_200 / 20) + 20;
    let entries = revision(&lab) - before;
    assert!(entries <= most, "{entries} entries");
    assert_eq!(lab.leader(), Some(leader), "nobody else was elected");
}

#[test]
fn a_target_heard_by_followers_only_stays_ready_and_costs_no_entry() {
    let mut lab = lab(5);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    lab.announce(follower, engine(1, 4, 1));
    lab.run_for(PERIOD);
    assert_eq!(lab.last_reply("engine-1"), Some(&OperatorReply::Heard));
    let written = agreed(&lab, leader).since(Default::default())[0].1.revision;
    for number in 2..12 {
        lab.announce(follower, engine(1, 4, number));
        lab.run_for(PERIOD);
    }
    let (_, now) = &agreed(&lab, leader).since(Default::default())[0];
    assert_eq!(now.revision, written, "nothing was agreed anew");
    let instance = now.value.as_ref().expect("it has not left");
    assert_eq!(instance.state, InstanceState::Ready);
}

#[test]
fn a_target_that_falls_silent_and_comes_back_is_ready_again() {
    let mut lab = lab(3);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    let state = |lab: &Lab| agreed(lab, leader).get("engine-1").map(|i| i.state);
    lab.announce(follower, engine(1, 4, 1));
    lab.run_for(Duration::from_secs(5));
    assert_eq!(state(&lab), Some(InstanceState::Silent));
    lab.announce(follower, engine(1, 4, 2));
    lab.run_for(Duration::from_millis(100));
    assert_eq!(state(&lab), Some(InstanceState::Ready));
}

/// An announcement that was held back on its way comes after the target's end:
/// it keeps nobody alive.
#[test]
fn an_announcement_that_comes_late_keeps_nobody_alive() {
    let mut lab = lab(3);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    for number in [1, 7] {
        lab.announce(follower, engine(1, 4, number));
        lab.run_for(Duration::from_millis(300));
    }
    for _ in 0..4 {
        lab.run_for(PERIOD);
        lab.announce(follower, engine(1, 4, 6));
    }
    lab.run_for(Duration::from_millis(100));
    let instance = agreed(&lab, leader).get("engine-1").expect("known");
    assert_eq!(instance.state, InstanceState::Silent);
}

/// A target asks a follower that is cut off and knows no leader any more. The
/// laboratory, the leader and the follower.
fn asked_without_leader() -> (Lab, usize, usize) {
    let mut lab = lab(3);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    lab.cut_off(follower, true);
    lab.run_for(LEADER_LOST);
    lab.announce(follower, engine(1, 4, 1));
    lab.run_for(Duration::from_millis(200));
    (lab, leader, follower)
}

#[test]
fn a_replica_that_has_lost_its_leader_acknowledges_nothing() {
    let (mut lab, ..) = asked_without_leader();
    assert_eq!(lab.last_reply("engine-1"), None, "it waits for a leader");
    lab.run_for(Duration::from_millis(600));
    let nobody = OperatorReply::NotLeader { leader: None };
    assert_eq!(lab.last_reply("engine-1"), Some(&nobody));
}

/// Without a leader targets wait for one instead of asking all replicas in turn.
#[test]
fn a_target_that_asks_a_replica_without_a_leader_is_heard_once_it_has_one() {
    let (mut lab, leader, follower) = asked_without_leader();
    lab.cut_off(follower, false);
    lab.run_for(Duration::from_millis(400));
    assert_eq!(lab.last_reply("engine-1"), Some(&OperatorReply::Heard));
    lab.run_for(Duration::from_millis(100));
    assert!(agreed(&lab, leader).get("engine-1").is_some());
}

/// Whoever drains is told only once no router counts on it: by the leader.
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
    let elsewhere = OperatorReply::NotLeader {
        leader: leader_slot,
    };
    assert_eq!(lab.last_reply("engine-1"), Some(&elsewhere));
    lab.announce(leader, draining);
    lab.run_for(Duration::from_millis(500));
    let reply = lab.last_reply("engine-1");
    assert!(
        matches!(reply, Some(OperatorReply::Accepted { .. })),
        "{reply:?}"
    );
}

/// A new life announces itself at an address, and an announcement of the life
/// before it, held back on its way, comes just after: also where both are told to
/// the leader together, the new one stays.
#[test]
fn an_old_life_that_is_heard_just_after_the_new_one_does_not_end_it() {
    let mut lab = lab(3);
    let leader = lab.run_until_led();
    let follower = follower_of(leader);
    lab.announce(follower, engine(1, 4, 1));
    lab.run_for(Duration::from_millis(300));
    let new_life = Instance {
        id: "another-life".to_string(),
        announced: 1,
        ..engine(1, 0, 1)
    };
    let late = engine(1, 6, 2);
    lab.announce(follower, new_life);
    lab.announce(follower, late);
    lab.run_for(Duration::from_millis(300));
    assert!(agreed(&lab, leader).get("another-life").is_some());
    assert!(agreed(&lab, leader).get("engine-1").is_none());
}
