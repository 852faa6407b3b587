//! Leases of routers that lack an accepted change, over restarts and changes of leader, in
//! virtual time. The leader's link is slow, so that most routers wait for the state.

use deckwind_core::control::{OperatorReply, OperatorRequest};
use deckwind_core::state::{InstanceState, PublishedRelease};
use deckwind_testkit::fan_out::{engine, release};
use deckwind_testkit::{ControlSimulation, NetFaults};
use std::time::Duration;
use yare::parameterized;

/// Number of control replicas.
const REPLICAS: usize = 5;

/// Number of routers, whose copies of a release take seconds on the slow link.
const ROUTERS: usize = 40;

/// Rate at which a leader sends state, bytes per second.
const STATE_BYTES_PER_S: f64 = 100_000.0;

/// Rate at which even few copies of a release take seconds, bytes per second.
const SLOW_STATE_BYTES_PER_S: f64 = 20_000.0;

/// Number of routes that each release adds.
const ROUTES: u64 = 820;

/// Publishes a release, each version with [`ROUTES`] routes more.
fn publish(sim: &mut ControlSimulation, version: u64) {
    let id = format!("release-{version}");
    let release = release(version, version * ROUTES);
    let document = version.to_string().into_bytes();
    let published = PublishedRelease { release, document };
    let slot = sim.run_until_leader();
    sim.request(slot, &id, OperatorRequest::Publish(Box::new(published)));
    while sim.last_reply(&id).is_none() {
        sim.step();
    }
    let reply = sim.last_reply(&id);
    assert!(
        matches!(reply, Some(OperatorReply::Accepted { .. })),
        "{reply:?}"
    );
}

fn crash_all(sim: &mut ControlSimulation) {
    (0..REPLICAS).for_each(|slot| sim.crash(slot, 0));
}

/// Starts a cluster whose leaders send state at this rate, and a release that all routers
/// have applied.
fn cluster(seed: u64, bytes_per_s: f64) -> ControlSimulation {
    let mut sim = ControlSimulation::new(REPLICAS, ROUTERS, seed, NetFaults::NONE);
    publish(&mut sim, 1);
    sim.run_for(Duration::from_secs(3));
    let revision = sim.routers[0].applied();
    assert!(sim.routers.iter().all(|r| r.applied() == revision));
    sim.set_state_rate(bytes_per_s);
    crash_all(&mut sim);
    sim.heal();
    sim.run_until_leader();
    sim.run_for(Duration::from_secs(3));
    sim
}

/// Guards against a change that was acknowledged before control went down and is not in
/// force in time: the next leader applies it after its election, and granted leases without
/// it for as long as if it had just been accepted.
#[parameterized(
    at_once = { 41, 0 },
    within_a_lease = { 42, 1_500 },
    after_the_leases = { 43, 4_000 },
    long_after = { 44, 20_000 },
)]
fn no_router_serves_without_a_change_accepted_before_a_full_stop(seed: u64, down_ms: u64) {
    let mut sim = cluster(seed, STATE_BYTES_PER_S);
    publish(&mut sim, 2);
    crash_all(&mut sim);
    sim.run_for(Duration::from_millis(down_ms));
    sim.heal();
    sim.run_until_leader();
    sim.run_for(Duration::from_secs(10));
    assert!(sim.routers.iter().all(|r| r.serves(sim.now())));
}

/// The same with a leader that is lost just after it acknowledged the change, and with those
/// that follow it.
#[parameterized(
    one = { 51, 1 },
    another = { 52, 1 },
    two = { 53, 2 },
    two_again = { 54, 2 },
)]
fn no_router_serves_without_a_change_that_the_lost_leader_accepted(seed: u64, leaders: usize) {
    let mut sim = cluster(seed, STATE_BYTES_PER_S);
    publish(&mut sim, 2);
    for _ in 0..leaders {
        let leader = sim.run_until_leader();
        sim.crash(leader, 0);
    }
    sim.run_until_leader();
    sim.run_for(Duration::from_secs(10));
    assert!(sim.routers.iter().all(|r| r.serves(sim.now())));
}

/// Time within which a system serves again after all of it was down, by the shortest bound
/// of a deployment.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Guards against routers that wait long for a lease after a full stop, because all of them
/// need the state at once. The replicas send it at half of a link of 100 Mbit/s.
#[parameterized(
    tens = { 61, 20 },
    hundreds = { 62, 195 },
)]
fn all_routers_serve_soon_after_a_full_stop(seed: u64, routers: usize) {
    let mut sim = ControlSimulation::new(REPLICAS, routers, seed, NetFaults::NONE);
    publish(&mut sim, 1);
    sim.run_for(Duration::from_secs(3));
    publish(&mut sim, 2);
    crash_all(&mut sim);
    sim.run_for(Duration::from_secs(4));
    sim.heal();
    let started = sim.now();
    while !sim.routers.iter().all(|r| r.serves(sim.now())) {
        sim.step();
    }
    let took = sim.now().since(started);
    println!("{routers} routers serve {took:?} after the start of control");
    assert!(took < RECOVERY_TIME, "{took:?}");
}

/// Guards against routers that lose their leases after a change of leader though they lack
/// nothing but new targets, which they can do without.
#[test]
fn a_change_of_leader_costs_no_lease_for_want_of_new_targets() {
    let mut sim = cluster(71, SLOW_STATE_BYTES_PER_S);
    let leader = sim.run_until_leader();
    (0..1_000).for_each(|i| sim.announce(leader, engine(i, 4, 1)));
    sim.run_for(Duration::from_millis(200));
    sim.crash(leader, 0);
    sim.run_until_leader();
    sim.run_for(Duration::from_secs(1));
    let behind = |sim: &ControlSimulation| {
        let newest = sim.routers.iter().map(|r| r.applied()).max();
        sim.routers.iter().any(|r| Some(r.applied()) < newest)
    };
    assert!(behind(&sim), "the state takes longer than this");
    for _ in 0..1_000 {
        sim.step();
        let without_lease = sim.routers.iter().filter(|r| !r.serves(sim.now())).count();
        assert_eq!(without_lease, 0);
    }
}

/// Guards against a drain that is acknowledged as in force while routers still select the
/// target: the target repeats it, and the repetition changes nothing. The simulation checks
/// each acknowledgement.
#[test]
fn a_repeated_drain_is_not_reported_as_in_force_too_early() {
    let mut sim = cluster(81, STATE_BYTES_PER_S);
    let leader = sim.run_until_leader();
    sim.announce(leader, engine(1, 4, 1));
    sim.run_for(Duration::from_secs(2));
    publish(&mut sim, 2);
    let mut draining = engine(1, 4, 2);
    draining.state = InstanceState::Draining;
    sim.announce(leader, draining.clone());
    sim.run_for(Duration::from_millis(50));
    draining.announced = 3;
    sim.announce(leader, draining);
    sim.run_for(Duration::from_secs(2));
    let replies = &sim.replies["engine-1"];
    assert_eq!(replies.len(), 3, "{replies:?}");
}
