//! Retries granted by a leader: the whole control core in virtual time under faults, and the
//! priority of requests for the last retries of a router.

use deckwind_core::routes::{RequestClass, may_use_retry};
use deckwind_testkit::{Lab, NetFaults};
use rand::RngExt;
use std::time::Duration;
use yare::parameterized;

const ROUTERS: usize = 6;

/// More retries than a router ever gets.
const UNLIMITED_DEMAND: u64 = 1_000_000;

/// Four fifths of the retry budget of 100.
const USABLE_RETRIES: usize = 80;

fn retries_used(lab: &Lab) -> usize {
    lab.routers.iter().map(|r| r.repeated.len()).sum()
}

fn set_demand(lab: &mut Lab, retries: u64) {
    lab.routers.iter_mut().for_each(|r| r.want_repeats(retries));
}

/// The lab checks the bound after each step. Replicas and routers are killed, frozen and
/// partitioned. All routers always want more retries than they have.
#[parameterized(
    one = { 1 },
    two = { 2 },
    three = { 3 },
    four = { 4 },
    five = { 5 },
    six = { 6 },
)]
fn the_bound_on_repeats_holds_under_faults(seed: u64) {
    let mut lab = Lab::new(5, ROUTERS, seed, NetFaults::BAD);
    set_demand(&mut lab, UNLIMITED_DEMAND);
    for _ in 0..60 {
        lab.run_for(Duration::from_millis(700));
        let slot = lab.rng().random_range(0..5);
        match lab.rng().random_range(0..10) {
            0 => lab.crash(slot, 0),
            1 => lab.freeze(slot, true),
            2 => lab.cut_off(slot, true),
            3 => {
                if let Some(leader) = lab.leader() {
                    lab.crash(leader, 0);
                }
            }
            4 => {
                let router = lab.rng().random_range(0..ROUTERS);
                lab.routers[router].restart(Default::default());
                lab.routers[router].want_repeats(UNLIMITED_DEMAND);
            }
            _ => lab.heal(),
        }
    }
    lab.heal();
    let before = retries_used(&lab);
    lab.run_for(Duration::from_secs(25));
    assert!(
        retries_used(&lab) >= before + USABLE_RETRIES,
        "{before}, then {}",
        retries_used(&lab)
    );
}

/// The leader crashes after an entry is committed and before any router learns of it: the
/// next leader counts the entry and grants its retries to the router.
#[test]
fn what_was_agreed_before_the_leader_died_is_told_by_the_next() {
    let mut lab = Lab::new(3, ROUTERS, 7, NetFaults::NONE);
    set_demand(&mut lab, 0);
    let leader = lab.run_until_led();
    let committed_entries = |lab: &Lab| {
        let node = lab.node(leader).expect("the replica runs");
        node.core().state_machine().retry_ledger().iter().count()
    };
    while committed_entries(&lab) == 0 {
        lab.step();
    }
    let now = lab.now();
    let any_granted = |lab: &mut Lab| lab.routers.iter_mut().any(|r| r.repeats_left(now) > 0);
    assert!(!any_granted(&mut lab), "the answers are still in flight");
    lab.crash(leader, 0);
    let next = lab.run_until_led();
    let node = lab.node(next).expect("it leads");
    assert!(node.core().state_machine().retry_ledger().iter().count() > 0);
    lab.run_for(Duration::from_secs(2));
    let now = lab.now();
    let retries_left = lab.routers.iter_mut().map(|r| r.repeats_left(now));
    assert!(retries_left.into_iter().all(|left| left > 0));
    let node = lab.node(next).expect("it leads");
    let counts = node.core().retry_counts();
    assert!(
        counts.iter().all(|c| c.counts <= USABLE_RETRIES as u64),
        "{counts:?}"
    );
}

/// All routers and replicas are killed at once and restart. Half of the budget is used
/// within two seconds after a leader is elected.
#[test]
fn repeats_are_there_soon_after_all_was_killed() {
    let mut lab = Lab::new(3, ROUTERS, 8, NetFaults::NONE);
    set_demand(&mut lab, 0);
    lab.run_for(Duration::from_secs(20));
    (0..3).for_each(|slot| lab.crash(slot, 0));
    lab.heal();
    for router in &mut lab.routers {
        router.restart(Default::default());
        router.want_repeats(20);
    }
    lab.run_until_led();
    lab.run_for(Duration::from_secs(2));
    assert!(
        retries_used(&lab) >= USABLE_RETRIES / 2,
        "{} used",
        retries_used(&lab)
    );
}

/// One router loses an engine while the others need no retries.
#[test]
fn one_router_gets_what_the_others_do_not_need() {
    let mut lab = Lab::new(3, ROUTERS, 9, NetFaults::NONE);
    set_demand(&mut lab, 0);
    lab.run_for(Duration::from_secs(20));
    lab.routers[2].want_repeats(USABLE_RETRIES as u64);
    lab.run_for(Duration::from_secs(1));
    // With fixed parts it would have a sixth of the budget.
    assert!(
        retries_used(&lab) >= USABLE_RETRIES / 2,
        "{} used",
        retries_used(&lab)
    );
}

/// The last retries go to streams that have begun, then to new ones that can still be in time.
/// `free_percent` is the part of the budget that the leader may still issue.
#[parameterized(
    none = { 0, 100, [false, false, false] },
    leader_has_all = { 1, 100, [true, true, true] },
    leader_has_half = { 1, 50, [true, true, false] },
    leader_has_little = { 20, 39, [true, false, false] },
    leader_has_none = { 20, 0, [true, false, false] },
)]
fn the_last_repeats_go_to_who_loses_most(left: u64, free_percent: u64, is_taken: [bool; 3]) {
    let claims = [RequestClass::Begun, RequestClass::New, RequestClass::Late];
    assert_eq!(
        claims.map(|claim| may_use_retry(left, free_percent, claim)),
        is_taken
    );
}
