//! Changes of leader that are forced bring no further ones, and what routers cost that all
//! come at once grows with them, not faster. Virtual time.

use deckwind_core::replication::Term;
use deckwind_testkit::fan_out::{FanOut, engine_fleet, engine_release};
use deckwind_testkit::{Lab, NetFaults};
use std::time::Duration;
use yare::parameterized;

fn term(lab: &Lab, slot: usize) -> Term {
    let node = lab.node(slot).expect("it is up");
    node.core().replica().term()
}

/// Ten leaders in a row are killed or cut off as soon as they lead; the one after them
/// stays, and serves all routers.
#[parameterized(
    killed = { 31, false },
    killed_again = { 32, false },
    cut_off = { 33, true },
    cut_off_again = { 34, true },
)]
fn forced_changes_bring_no_further_one(seed: u64, cut: bool) {
    let mut lab = Lab::new(5, 12, seed, NetFaults::NONE);
    for _ in 0..10 {
        let leader = lab.run_until_led();
        match cut {
            true => lab.cut_off(leader, true),
            false => lab.crash(leader, 0),
        }
        lab.run_for(Duration::from_secs(1));
        lab.heal();
    }
    let leader = lab.run_until_led();
    lab.run_for(Duration::from_secs(3));
    let (leader, led) = (lab.leader().unwrap_or(leader), lab.leader());
    let first = term(&lab, leader);
    assert!(led.is_some(), "somebody leads");
    for _ in 0..20 {
        lab.run_for(Duration::from_secs(1));
        assert_eq!(lab.leader(), Some(leader));
        assert_eq!(term(&lab, leader), first, "no election");
        assert!(lab.routers.iter().all(|r| r.serves(lab.now())));
    }
}

/// What a leader looks at and sends while all routers come to it at once.
fn all_come(routers: usize) -> (u64, u64) {
    let mut fan_out = FanOut::new(routers, 0, 420.0).unwrap();
    fan_out.publish(engine_release(1, 250));
    fan_out.pass_on(4);
    engine_fleet(300)
        .into_iter()
        .for_each(|e| fan_out.announce(e));
    fan_out.run_for(Duration::from_secs(3)).unwrap();
    fan_out.restart_routers();
    fan_out.take_carried();
    let before = fan_out.looks().renewals;
    fan_out.run_until_applied(Duration::from_secs(2)).unwrap();
    let looks = fan_out.looks().renewals - before;
    (looks, fan_out.take_carried().bytes)
}

#[test]
fn routers_that_all_come_at_once_cost_as_much_each() {
    let (few, bytes_few) = all_come(100);
    let (many, bytes_many) = all_come(200);
    assert!(few <= 100 * 8 && many <= 200 * 8, "{few} {many} looks");
    // The state leaves once for each replica that passes on.
    assert!(bytes_many < bytes_few * 2, "{bytes_few} {bytes_many} bytes");
}
