//! Forced leader changes must not cause further elections, and the leader's work when all
//! routers reconnect at once must grow linearly with their number. Runs in virtual time.

use deckwind_core::replication::Term;
use deckwind_testkit::fan_out::{FanOut, engine_fleet, engine_release};
use deckwind_testkit::{ControlSimulation, NetFaults};
use std::time::Duration;
use yare::parameterized;

fn term(sim: &ControlSimulation, slot: usize) -> Term {
    let node = sim.node(slot).expect("it is up");
    node.core().replica().term()
}

/// Ten leaders in a row are killed or partitioned as soon as they are elected. The next
/// leader must stay in office and renew the leases of all routers.
#[parameterized(
    killed = { 31, false },
    killed_again = { 32, false },
    partitioned = { 33, true },
    partitioned_again = { 34, true },
)]
fn forced_leader_changes_cause_no_further_election(seed: u64, is_partition: bool) {
    let mut sim = ControlSimulation::new(5, 12, seed, NetFaults::NONE);
    for _ in 0..10 {
        let leader = sim.run_until_leader();
        match is_partition {
            true => sim.set_partitioned(leader, true),
            false => sim.crash(leader, 0),
        }
        sim.run_for(Duration::from_secs(1));
        sim.heal();
    }
    let leader = sim.run_until_leader();
    sim.run_for(Duration::from_secs(3));
    let (leader, led) = (sim.leader().unwrap_or(leader), sim.leader());
    let first = term(&sim, leader);
    assert!(led.is_some(), "a leader is elected");
    for _ in 0..20 {
        sim.run_for(Duration::from_secs(1));
        assert_eq!(sim.leader(), Some(leader));
        assert_eq!(term(&sim, leader), first, "the term has not changed");
        assert!(sim.routers.iter().all(|r| r.serves(sim.now())));
    }
}

/// Returns the rows that a leader scans for renewals and the bytes that it sends while all
/// routers reconnect to it at once.
fn cost_of_reconnect(routers: usize) -> (u64, u64) {
    let mut fan_out = FanOut::new(routers, 0, 420.0).unwrap();
    fan_out.publish(engine_release(1, 250));
    fan_out.relay_through(4);
    engine_fleet(300)
        .into_iter()
        .for_each(|e| fan_out.announce(e));
    fan_out.run_for(Duration::from_secs(3)).unwrap();
    fan_out.restart_routers();
    fan_out.take_traffic();
    let before = fan_out.scan_counts().renewals;
    fan_out.run_until_applied(Duration::from_secs(2)).unwrap();
    let rows_scanned = fan_out.scan_counts().renewals - before;
    (rows_scanned, fan_out.take_traffic().bytes)
}

#[test]
fn routers_that_all_come_at_once_cost_as_much_each() {
    let (few, bytes_few) = cost_of_reconnect(100);
    let (many, bytes_many) = cost_of_reconnect(200);
    assert!(
        few <= 100 * 8 && many <= 200 * 8,
        "rows scanned: {few} {many}"
    );
    // The leader sends the state once to each replica that relays requests.
    assert!(bytes_many < bytes_few * 2, "{bytes_few} {bytes_many} bytes");
}
