//! Retries granted by a leader: the whole control core in virtual time under faults, and the
//! priority of requests for the last retries of a router.

use deckwind_core::routes::{RequestClass, may_use_retry};
use deckwind_testkit::{ControlSimulation, NetFaults};
use rand::RngExt;
use std::time::Duration;
use yare::parameterized;

const ROUTERS: usize = 6;

/// More retries than a router ever gets.
const UNLIMITED_DEMAND: u64 = 1_000_000;

/// Four fifths of the retry budget of 100.
const USABLE_RETRIES: usize = 80;

fn retries_used(sim: &ControlSimulation) -> usize {
    sim.routers.iter().map(|r| r.retry_times.len()).sum()
}

fn set_demand(sim: &mut ControlSimulation, retries: u64) {
    sim.routers.iter_mut().for_each(|r| r.need_retries(retries));
}

/// The simulation checks the bound after each step. Replicas and routers are killed, frozen and
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
    let mut sim = ControlSimulation::new(5, ROUTERS, seed, NetFaults::BAD);
    set_demand(&mut sim, UNLIMITED_DEMAND);
    for _ in 0..60 {
        sim.run_for(Duration::from_millis(700));
        let slot = sim.rng().random_range(0..5);
        match sim.rng().random_range(0..10) {
            0 => sim.crash(slot, 0),
            1 => sim.freeze(slot, true),
            2 => sim.set_partitioned(slot, true),
            3 => {
                if let Some(leader) = sim.leader() {
                    sim.crash(leader, 0);
                }
            }
            4 => {
                let router = sim.rng().random_range(0..ROUTERS);
                sim.routers[router].restart(Default::default());
                sim.routers[router].need_retries(UNLIMITED_DEMAND);
            }
            _ => sim.heal(),
        }
    }
    sim.heal();
    let before = retries_used(&sim);
    sim.run_for(Duration::from_secs(25));
    assert!(
        retries_used(&sim) >= before + USABLE_RETRIES,
        "{before}, then {}",
        retries_used(&sim)
    );
}

/// The leader crashes after an entry is committed and before any router learns of it: the
/// next leader counts the entry and grants its retries to the router.
#[test]
fn what_was_agreed_before_the_leader_died_is_told_by_the_next() {
    let mut sim = ControlSimulation::new(3, ROUTERS, 7, NetFaults::NONE);
    set_demand(&mut sim, 0);
    let leader = sim.run_until_leader();
    let committed_entries = |sim: &ControlSimulation| {
        let node = sim.node(leader).expect("the replica runs");
        node.core().state_machine().retry_ledger().iter().count()
    };
    while committed_entries(&sim) == 0 {
        sim.step();
    }
    let now = sim.now();
    let any_granted =
        |sim: &mut ControlSimulation| sim.routers.iter_mut().any(|r| r.retries_left(now) > 0);
    assert!(!any_granted(&mut sim), "the answers are still in flight");
    sim.crash(leader, 0);
    let next = sim.run_until_leader();
    let node = sim.node(next).expect("it leads");
    assert!(node.core().state_machine().retry_ledger().iter().count() > 0);
    sim.run_for(Duration::from_secs(2));
    let now = sim.now();
    let retries_left = sim.routers.iter_mut().map(|r| r.retries_left(now));
    assert!(retries_left.into_iter().all(|left| left > 0));
    let node = sim.node(next).expect("it leads");
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
    let mut sim = ControlSimulation::new(3, ROUTERS, 8, NetFaults::NONE);
    set_demand(&mut sim, 0);
    sim.run_for(Duration::from_secs(20));
    (0..3).for_each(|slot| sim.crash(slot, 0));
    sim.heal();
    for router in &mut sim.routers {
        router.restart(Default::default());
        router.need_retries(20);
    }
    sim.run_until_leader();
    sim.run_for(Duration::from_secs(2));
    assert!(
        retries_used(&sim) >= USABLE_RETRIES / 2,
        "{} used",
        retries_used(&sim)
    );
}

/// One router loses an engine while the others need no retries.
#[test]
fn one_router_gets_what_the_others_do_not_need() {
    let mut sim = ControlSimulation::new(3, ROUTERS, 9, NetFaults::NONE);
    set_demand(&mut sim, 0);
    sim.run_for(Duration::from_secs(20));
    sim.routers[2].need_retries(USABLE_RETRIES as u64);
    sim.run_for(Duration::from_secs(1));
    // With fixed parts it would have a sixth of the budget.
    assert!(
        retries_used(&sim) >= USABLE_RETRIES / 2,
        "{} used",
        retries_used(&sim)
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
