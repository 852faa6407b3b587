//! The rate limit that a target names, enforced by all routers that know of it, over restarts,
//! partitions and changes of leader, with delayed, lost and reordered messages and drifting
//! clocks. No network, virtual time.

use crate::limit_rig::{Schedule, check, count_between, leader_now, simulate, target};
use deckwind_core::control::{
    PERMIT_BURST, PERMIT_TTL, PermitRequest, PermitVerdict, ReceivedLimit, TargetLimiter,
};
use deckwind_core::rate::Rate;
use deckwind_core::replication::Term;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use yare::parameterized;

/// The limit holds for any number of routers, and most of the target's capacity is used if
/// demand exceeds it. Arguments: number of routers, limit in thousandths of a request per
/// second, requests per second of each router.
#[parameterized(
    two = { 2, 5_900, 30.0 },
    nine = { 9, 5_900, 6.0 },
    sixty = { 60, 5_900, 3.0 },
    three_hundred = { 300, 5_900, 1.0 },
    small = { 9, 200, 6.0 },
    one = { 60, 1_000, 1.0 },
    large = { 60, 80_000, 4.0 },
)]
fn routers_together_send_about_what_a_target_takes(routers: usize, limit: u32, wants: f64) {
    for seed in 0..4 {
        let schedule = Schedule {
            routers,
            limit_changes: vec![(3_000, Some(limit))],
            demand_per_s: wants,
            seed,
            ..Schedule::default()
        };
        let arrivals = simulate(&schedule);
        assert_eq!(check(&schedule, &arrivals), Ok(()));
        let sent = count_between(&arrivals, 6_000, 20_000) as f64;
        let capacity = f64::from(limit.max(250)) / 1e3 * 14.0;
        assert!(sent >= capacity * 0.75 - 1.0, "{sent} of {capacity}");
        assert!(sent <= capacity * 1.1 + 2.0, "{sent} of {capacity}");
    }
}

/// With demand at half the limit, nearly all requests are sent.
#[test]
fn demand_below_the_limit_is_not_reduced() {
    let schedule = Schedule {
        limit_changes: vec![(3_000, Some(20_000))],
        demand_per_s: 10.0 / 9.0,
        duration_ms: 60_000,
        ..Schedule::default()
    };
    let arrivals = simulate(&schedule);
    let unlimited = Schedule {
        limit_changes: Vec::new(),
        ..schedule.clone()
    };
    let wanted = count_between(&simulate(&unlimited), 5_000, 60_000) as f64;
    let sent = count_between(&arrivals, 5_000, 60_000) as f64;
    assert!(sent >= wanted * 0.93, "{sent} of {wanted}");
}

/// Routers follow a limit that falls, rises or ends within a second or two.
#[parameterized(
    falls = { Some(20_000), Some(4_000) },
    rises = { Some(4_000), Some(20_000) },
    ends = { Some(4_000), None },
    ends_from_nothing = { Some(0), None },
)]
fn a_limit_that_changes_is_followed(before: Option<u32>, after: Option<u32>) {
    let schedule = Schedule {
        limit_changes: vec![(1_000, before), (10_000, after)],
        demand_per_s: 5.0,
        duration_ms: 30_000,
        ..Schedule::default()
    };
    let arrivals = simulate(&schedule);
    assert_eq!(check(&schedule, &arrivals), Ok(()));
    let sent = count_between(&arrivals, 16_000, 30_000) as f64 / 14.0;
    let capacity = after.map_or(45.0, |a| f64::from(a) / 1e3);
    assert!(
        (capacity * 0.75..capacity * 1.15).contains(&sent),
        "{sent} per second of {capacity}"
    );
}

/// A restarted router has no state, and receives the limit with its first lease.
#[test]
fn a_router_that_starts_is_told_by_the_leader() {
    let schedule = Schedule {
        restarts: vec![(0, 10_000)],
        ..Schedule::default()
    };
    let arrivals = simulate(&schedule);
    let before = count_between(&arrivals, 6_000, 10_000) as f64;
    let after = count_between(&arrivals, 10_000, 14_000) as f64;
    assert!(after <= before * 1.25 + 2.0, "{after} after {before}");
}

/// A router partitioned from the leader sends no requests to a limited target.
#[test]
fn a_router_that_is_cut_off_sends_nothing_without_permits() {
    let schedule = Schedule {
        partitions: (0..9).map(|router| (router, 8_000, 8_000)).collect(),
        ..Schedule::default()
    };
    let arrivals = simulate(&schedule);
    let permits_expired_ms = 8_000 + PERMIT_TTL.as_millis() as u64 + 200;
    assert_eq!(count_between(&arrivals, permits_expired_ms, 16_000), 0);
    assert!(count_between(&arrivals, 17_000, 20_000) > 0);
}

/// After a pause the leader issues no more than a burst of permits at once: unused capacity is
/// not accumulated.
#[test]
fn unused_permits_do_not_accumulate() {
    let now = leader_now(0);
    let mut limiter = TargetLimiter::new(Term(1));
    let heard = ReceivedLimit {
        target: target(),
        rate: Rate::from_millis(1_000),
        ago: Duration::ZERO,
        permitted: None,
        none_named: None,
    };
    limiter.record_received_limit(now, &heard);
    let ask = PermitRequest { heard, wants: 100 };
    let after_an_hour = leader_now(3_600_000);
    let PermitVerdict::Permitted(waits) = limiter.permit(after_an_hour, &ask) else {
        panic!("permits are due");
    };
    assert_eq!(waits.len(), PERMIT_BURST as usize);
}

fn arbitrary_limit_changes() -> impl Strategy<Value = Vec<(u64, Option<u32>)>> {
    let limit = prop::option::weighted(0.8, prop_oneof![Just(0), 100..2_000u32, 2_000..40_000u32]);
    prop::collection::vec((0..18_000u64, limit), 1..5).prop_map(|mut limit_changes| {
        limit_changes.sort_unstable();
        limit_changes
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_bound_holds_over_any_restarts_cuts_leaders_and_changes(
        routers in 1..20usize,
        limit_changes in arbitrary_limit_changes(),
        demand_per_s in 0.2..30.0f64,
        leader_changes_ms in prop::collection::vec(1_000..19_000u64, 0..4),
        restarts in prop::collection::vec((0..20usize, 0..19_000u64), 0..6),
        partitions in prop::collection::vec((0..20usize, 0..19_000u64, 100..6_000u64), 0..6),
        max_delay_ms in prop_oneof![1..30u64, 30..300u64],
        lost_per_mille in prop_oneof![Just(0u32), 0..200u32],
        seed in any::<u64>(),
    ) {
        let schedule = Schedule {
            routers, limit_changes, demand_per_s, leader_changes_ms, restarts, partitions, max_delay_ms, lost_per_mille, seed,
            duration_ms: 20_000,
        };
        let arrivals = simulate(&schedule);
        prop_assert_eq!(check(&schedule, &arrivals), Ok(()));
    }
}
