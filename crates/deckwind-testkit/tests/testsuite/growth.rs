//! Scaling of the leader's work and traffic with the fleet, measured in rows scanned,
//! messages and bytes at one fleet size and at multiples of it. Runs in virtual time.

use deckwind_core::control::ScanCounts;
use deckwind_testkit::fan_out::{FanOut, LinkTraffic, engine_fleet, engine_release};
use std::time::Duration;
use yare::parameterized;

/// Link capacity of a control VM, in Mbit/s.
const LINK_MBPS: f64 = 420.0;

/// The most retries that all routers together may be granted.
const MAX_RETRIES: u64 = 1_000;

/// Interval between two announcements of an engine.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Announcement intervals until the system has settled.
const SETTLING_INTERVALS: u64 = 4;
/// Announcement intervals that are measured after that.
const MEASURED_INTERVALS: u64 = 4;

/// Announces all engines once, with the layers that they hold, and runs one interval.
fn announce_all(fan_out: &mut FanOut, engines: usize, number: u64) {
    for mut engine in engine_fleet(engines) {
        engine.layers = fan_out.layers_of(&engine.id);
        engine.in_memory = engine.layers.len();
        engine.announced = number;
        fan_out.announce(engine);
    }
    fan_out.run_for(ANNOUNCE_INTERVAL).unwrap();
}

/// Returns the rows that the leader of a settled system scanned, and the traffic that it
/// sent, within [`MEASURED_INTERVALS`].
fn settled_cost(routers: usize, engines: usize, relays: u32) -> (ScanCounts, LinkTraffic) {
    let mut fan_out = FanOut::new(routers, 0, LINK_MBPS).unwrap();
    fan_out.publish(engine_release(1, 10));
    fan_out.relay_through(relays);
    fan_out.enable_retries(MAX_RETRIES);
    (1..=SETTLING_INTERVALS).for_each(|number| announce_all(&mut fan_out, engines, number));
    assert!(fan_out.engines_with_layers() > 0, "layers are placed");
    fan_out.take_traffic();
    let before = fan_out.scan_counts();
    let measured = SETTLING_INTERVALS + 1..=SETTLING_INTERVALS + MEASURED_INTERVALS;
    measured.for_each(|number| announce_all(&mut fan_out, engines, number));
    let after = fan_out.scan_counts();
    let rows_scanned = ScanCounts {
        renewals: after.renewals - before.renewals,
        leases: after.leases - before.leases,
        targets: after.targets - before.targets,
        retries: after.retries - before.retries,
        cards: after.cards - before.cards,
        claims: after.claims - before.claims,
        suspects: after.suspects - before.suspects,
    };
    (rows_scanned, fan_out.take_traffic())
}

/// The leader scans each pending renewal a few times, however many others are pending.
#[parameterized(
    some = { 50 },
    twice_as_many = { 100 },
    four_times_as_many = { 200 },
)]
fn a_renewal_costs_the_same_beside_any_number_of_others(routers: usize) {
    let (rows_scanned, carried) = settled_cost(routers, 150, 0);
    let each = rows_scanned.renewals as f64 / carried.renewals as f64;
    assert!(
        each <= 3.0,
        "{each} rows scanned per renewal: {rows_scanned:?} {carried:?}"
    );
}

/// The leader scans all leases only when one may have expired, at most once per 2.8 s, and
/// not at each event.
#[parameterized(
    some = { 50 },
    four_times_as_many = { 200 },
)]
fn leases_are_not_scanned_at_each_event(routers: usize) {
    let (rows_scanned, _) = settled_cost(routers, 150, 0);
    let rounds = rows_scanned.leases as f64 / routers as f64;
    assert!(
        rounds <= MEASURED_INTERVALS as f64,
        "{rounds} rounds: {rows_scanned:?}"
    );
}

/// The leader checks each target for silence once per three announcement intervals.
#[parameterized(
    some = { 150 },
    twice_as_many = { 300 },
    eight_times_as_many = { 1_200 },
)]
fn each_target_is_scanned_a_few_times(engines: usize) {
    let (rows_scanned, _) = settled_cost(20, engines, 0);
    let each = rows_scanned.targets as f64 / engines as f64;
    assert!(
        each <= 2.0,
        "{each} rows scanned per target: {rows_scanned:?}"
    );
}

/// A scan of the routers' retry allowances takes longer with more routers, and is made less
/// often in turn, so the rows scanned per second stay the same.
#[test]
fn scans_of_retry_allowances_cost_the_same_with_any_number_of_routers() {
    let (few, _) = settled_cost(400, 150, 0);
    let (many, _) = settled_cost(800, 150, 0);
    let grown = many.retries as f64 / few.retries as f64;
    assert!(grown < 1.3, "{grown}: {few:?} {many:?}");
}

/// Where replicas relay requests, the number of messages that the leader sends doesn't grow
/// with the number of routers. The bytes grow in proportion to it, plus the headers of more
/// packets.
#[test]
fn messages_do_not_grow_with_routers_where_replicas_relay() {
    let (_, few) = settled_cost(100, 150, 4);
    let (_, many) = settled_cost(200, 150, 4);
    assert!(few.renewals > 0 && many.renewals > few.renewals);
    assert!(
        many.messages <= few.messages * 11 / 10,
        "{few:?} {many:?}: messages"
    );
    assert!(many.bytes <= few.bytes * 9 / 4, "{few:?} {many:?}: bytes");
}

/// The leader sends a release once to each replica that relays requests, however many
/// routers are behind it.
#[test]
fn the_leader_sends_a_release_once_to_each_relaying_replica() {
    let bytes_of_release = |routers: usize| {
        let mut fan_out = FanOut::new(routers, 0, LINK_MBPS).unwrap();
        fan_out.publish(engine_release(1, 10));
        fan_out.relay_through(4);
        fan_out.run_for(Duration::from_secs(2)).unwrap();
        fan_out.take_traffic();
        fan_out.publish(engine_release(2, 1_000));
        fan_out.run_until_applied(Duration::from_secs(2)).unwrap();
        fan_out.take_traffic().bytes
    };
    let (few, many) = (bytes_of_release(100), bytes_of_release(200));
    let each = (many - few) / 100;
    assert!(
        each < 300,
        "{each} bytes for each additional router: {few} {many}"
    );
}

/// A round of the placement scans no engines in a settled system. (After a loss it scans
/// the data centre concerned; the tests in `placement_at_size` check that.)
#[test]
fn the_placement_scans_no_engines_while_nothing_changes() {
    let (rows_scanned, _) = settled_cost(5, 600, 0);
    assert_eq!(rows_scanned.cards, 0, "{rows_scanned:?}");
}
