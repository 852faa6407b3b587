//! The bound that a target names, kept by the routers that know of it, over restarts,
//! cuts and changes of leader, with messages that are late, lost and out of order, and
//! clocks that run apart. No network, virtual time.

use crate::limit_rig::{Schedule, between, check, leader_now, play, target};
use deckwind_core::control::{BURST, LimitDesk, LimitHeard, PERMIT_FOR, PermitAsk, PermitVerdict};
use deckwind_core::rate::Rate;
use deckwind_core::replication::Term;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use yare::parameterized;

/// The bound holds however many routers there are, and nearly all that the target takes
/// is used where more is wanted.
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
            named: vec![(3_000, Some(limit))],
            wants_per_s: wants,
            seed,
            ..Schedule::default()
        };
        let came = play(&schedule);
        assert_eq!(check(&schedule, &came), Ok(()));
        let sent = between(&came, 6_000, 20_000) as f64;
        let takes = f64::from(limit.max(250)) / 1e3 * 14.0;
        assert!(sent >= takes * 0.75 - 1.0, "{sent} of {takes}");
        assert!(sent <= takes * 1.1 + 2.0, "{sent} of {takes}");
    }
}

/// Half of what the target takes is wanted: all of it is sent.
#[test]
fn calm_work_notices_nothing() {
    let schedule = Schedule {
        named: vec![(3_000, Some(20_000))],
        wants_per_s: 10.0 / 9.0,
        run_ms: 60_000,
        ..Schedule::default()
    };
    let came = play(&schedule);
    let unlimited = Schedule {
        named: Vec::new(),
        ..schedule.clone()
    };
    let wanted = between(&play(&unlimited), 5_000, 60_000) as f64;
    let sent = between(&came, 5_000, 60_000) as f64;
    assert!(sent >= wanted * 0.93, "{sent} of {wanted}");
}

/// A limit that falls, rises and ends is followed within a second or two.
#[parameterized(
    falls = { Some(20_000), Some(4_000) },
    rises = { Some(4_000), Some(20_000) },
    ends = { Some(4_000), None },
    ends_from_nothing = { Some(0), None },
)]
fn a_limit_that_changes_is_followed(before: Option<u32>, after: Option<u32>) {
    let schedule = Schedule {
        named: vec![(1_000, before), (10_000, after)],
        wants_per_s: 5.0,
        run_ms: 30_000,
        ..Schedule::default()
    };
    let came = play(&schedule);
    assert_eq!(check(&schedule, &came), Ok(()));
    let sent = between(&came, 16_000, 30_000) as f64 / 14.0;
    let takes = after.map_or(45.0, |a| f64::from(a) / 1e3);
    assert!(
        (takes * 0.75..takes * 1.15).contains(&sent),
        "{sent} a second of {takes}"
    );
}

/// A router that starts knows nothing, and hears of the limit with its first lease.
#[test]
fn a_router_that_starts_is_told_by_the_leader() {
    let schedule = Schedule {
        restarts: vec![(0, 10_000)],
        ..Schedule::default()
    };
    let came = play(&schedule);
    let before = between(&came, 6_000, 10_000) as f64;
    let after = between(&came, 10_000, 14_000) as f64;
    assert!(after <= before * 1.25 + 2.0, "{after} after {before}");
}

/// Without contact to the leader a router sends a limited target nothing.
#[test]
fn a_router_that_is_cut_off_sends_nothing_without_permits() {
    let schedule = Schedule {
        cuts: (0..9).map(|router| (router, 8_000, 8_000)).collect(),
        ..Schedule::default()
    };
    let came = play(&schedule);
    let late = 8_000 + PERMIT_FOR.as_millis() as u64 + 200;
    assert_eq!(between(&came, late, 16_000), 0);
    assert!(between(&came, 17_000, 20_000) > 0);
}

/// After a pause a target gets a few at once, not all that it was not sent.
#[test]
fn what_was_not_used_is_not_kept() {
    let now = leader_now(0);
    let mut desk = LimitDesk::new(Term(1));
    let heard = LimitHeard {
        target: target(),
        rate: Rate::from_millis(1_000),
        ago: Duration::ZERO,
        permitted: None,
        none_named: None,
    };
    desk.heard(now, &heard);
    let ask = PermitAsk { heard, wants: 100 };
    let hour = leader_now(3_600_000);
    let PermitVerdict::Permitted(waits) = desk.permit(hour, &ask) else {
        panic!("some are due");
    };
    assert_eq!(waits.len(), BURST as usize);
}

fn limits() -> impl Strategy<Value = Vec<(u64, Option<u32>)>> {
    let limit = prop::option::weighted(0.8, prop_oneof![Just(0), 100..2_000u32, 2_000..40_000u32]);
    prop::collection::vec((0..18_000u64, limit), 1..5).prop_map(|mut named| {
        named.sort_unstable();
        named
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
        named in limits(),
        wants_per_s in 0.2..30.0f64,
        leaders_ms in prop::collection::vec(1_000..19_000u64, 0..4),
        restarts in prop::collection::vec((0..20usize, 0..19_000u64), 0..6),
        cuts in prop::collection::vec((0..20usize, 0..19_000u64, 100..6_000u64), 0..6),
        delay_ms in prop_oneof![1..30u64, 30..300u64],
        lost in prop_oneof![Just(0u32), 0..200u32],
        seed in any::<u64>(),
    ) {
        let schedule = Schedule {
            routers, named, wants_per_s, leaders_ms, restarts, cuts, delay_ms, lost, seed,
            run_ms: 20_000,
        };
        let came = play(&schedule);
        prop_assert_eq!(check(&schedule, &came), Ok(()));
    }
}
