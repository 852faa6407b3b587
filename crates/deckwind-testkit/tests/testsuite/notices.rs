//! Notices of targets (rest periods and leaving), as a router records them and chooses targets
//! by them. No network, virtual time.

use crate::support::{announced_instances, engine_cards, model, place_chain};
use deckwind_core::routes::{
    CapacityDemand, ChoiceError, RefusalReason, RequestClass, TargetChoice, TargetNotice,
    TargetNotices, TargetRecords, choose_path, choose_target,
};
use deckwind_core::state::{Incarnation, Instance, InstanceState};
use deckwind_core::time::Instant;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

const START: Instant = Instant::from_millis(1_000_000);

fn at(ms: u64) -> Instant {
    START + Duration::from_millis(ms)
}

/// Notice that asks for a rest period.
fn rest(ms: u64) -> TargetNotice {
    TargetNotice {
        rest: Some(Duration::from_millis(ms)),
        ..TargetNotice::default()
    }
}

/// Notice that the target leaves.
fn leaves() -> TargetNotice {
    TargetNotice {
        leaves: true,
        ..TargetNotice::default()
    }
}

fn address(n: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 80))
}

/// Returns a target that serves requests alone, not in a chain.
fn target(n: u32, born: u64) -> Instance {
    let mut instance = announced_instances(&engine_cards("a", 1, 0, 0)).remove(0);
    instance.id = format!("t-{n}");
    instance.address = address(n);
    instance.born = Some(born);
    instance
}

/// Arguments, in ms: rest periods that a target asks for at given times, times at which it must
/// be avoided, and times at which it must be available.
#[parameterized(
    nothing = { &[], &[], &[0, 5_000] },
    once = { &[(0, 3_000)], &[0, 2_999], &[3_000] },
    longer_later = { &[(0, 1_000), (500, 3_000)], &[0, 999, 1_000, 3_499], &[3_500] },
    shorter_later = { &[(0, 3_000), (500, 100)], &[600, 700, 2_999], &[3_000] },
    again = { &[(0, 1_000), (2_000, 1_000)], &[0, 2_500], &[1_500, 3_000] },
    none_at_all = { &[(0, 0)], &[], &[0, 1] },
)]
fn a_target_rests_for_as_long_as_it_has_asked(
    requests: &[(u64, u64)],
    rests: &[u64],
    available_at: &[u64],
) {
    let instance = target(1, 7);
    let is_avoided_at = |ms: u64| {
        let mut notices = TargetNotices::default();
        for (when, length) in requests.iter().filter(|(when, _)| *when <= ms) {
            notices.record(
                at(*when),
                instance.address,
                &instance.incarnation(),
                &rest(*length),
            );
        }
        let turns_away = notices.is_blocked(at(ms), instance.address, &instance.incarnation());
        assert_eq!(
            notices.rest_ends_at(at(ms), &instance).is_some(),
            turns_away
        );
        turns_away
    };
    assert!(rests.iter().all(|ms| is_avoided_at(*ms)));
    assert!(!available_at.iter().any(|ms| is_avoided_at(*ms)));
}

/// A notice does not apply to the next incarnation at the address, whether it arrives before or
/// after that one is known.
#[parameterized(
    rest_before = { rest(60_000), false },
    rest_late = { rest(60_000), true },
    leaves_before = { leaves(), false },
    leaves_late = { leaves(), true },
)]
fn a_notice_applies_to_one_incarnation(notice: TargetNotice, late: bool) {
    let (old, new) = (target(1, 7), target(1, 8));
    let mut notices = TargetNotices::default();
    if late {
        notices.record(START, new.address, &new.incarnation(), &rest(1_000));
    }
    notices.record(at(10), old.address, &old.incarnation(), &notice);
    let turns_away =
        |n: &TargetNotices, i: &Instance, ms| n.is_blocked(at(ms), i.address, &i.incarnation());
    assert!(turns_away(&notices, &old, 1_500));
    assert!(!turns_away(&notices, &new, 1_500));
    assert_eq!(turns_away(&notices, &new, 500), late);
}

/// Guards against the rest period of a target that restarted before this VM heard of it: it was
/// taken for the old incarnation's and forgotten with it. Arguments: the id of the new one, time
/// in ms at which this VM hears of it, and whether the rest period holds for it.
#[parameterized(
    heard_soon = { 1, 1_500, true },
    heard_late = { 1, 4_000, false },
    another_id = { 2, 1_500, false },
)]
fn a_rest_period_asked_for_shortly_before_a_restart_is_known_holds(id: u32, ms: u64, holds: bool) {
    let old = target(1, 7);
    let mut new = target(id, 8);
    new.address = old.address;
    let mut notices = TargetNotices::default();
    notices.record(START, old.address, &old.incarnation(), &rest(5_000));
    let (old, new) = (old.incarnation(), new.incarnation());
    notices.replace_incarnation(at(ms), address(1), &old, &new);
    assert_eq!(notices.is_blocked(at(ms), address(1), &new), holds);
    assert!(!notices.is_blocked(at(5_001), address(1), &new));
}

/// A notice of leaving is kept while the target is known and for a while after: an engine that
/// holds no layers for a moment is not listed to routers.
#[test]
fn a_notice_of_leaving_holds_as_long_as_its_incarnation() {
    let instance = target(1, 7);
    let mut notices = TargetNotices::default();
    let heard = notices.record(START, instance.address, &instance.incarnation(), &leaves());
    assert!(heard.leaves);
    let again = notices.record(at(5), instance.address, &instance.incarnation(), &leaves());
    assert!(!again.leaves, "the notice is not new");
    notices.forget(at(30_000), |_| false);
    assert!(notices.leaves(&instance));
    notices.forget(at(3_600_000), |_| true);
    assert!(notices.leaves(&instance));
    notices.forget(at(7_200_000), |_| false);
    assert!(!notices.leaves(&instance));
}

#[test]
fn a_rest_outlasts_that_its_target_is_not_known() {
    let instance = target(1, 7);
    let mut notices = TargetNotices::default();
    notices.record(
        START,
        instance.address,
        &instance.incarnation(),
        &rest(3_000),
    );
    notices.forget(at(2_000), |_| false);
    assert!(notices.is_blocked(at(2_999), instance.address, &instance.incarnation()));
    notices.forget(at(3_000), |_| true);
    assert_eq!(notices.resting(at(2_000)), 0, "the rest period is over");
}

/// Ten thousand addresses with long rest periods: only the last 4,096 are kept.
#[test]
fn memory_is_bounded_and_the_oldest_notice_is_dropped() {
    let mut notices = TargetNotices::default();
    for n in 0..10_000 {
        let instance = target(n, 7);
        notices.record(
            at(n.into()),
            instance.address,
            &instance.incarnation(),
            &rest(300_000),
        );
    }
    assert_eq!(notices.resting(at(10_000)), 4_096);
    let last = target(9_999, 7);
    assert!(notices.is_blocked(at(10_000), last.address, &last.incarnation()));
}

/// Compares random sequences of notices with a plain record of all of them.
#[test]
fn random_notices_match_a_plain_record() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut notices = TargetNotices::default();
        let mut rests: BTreeMap<(u32, u64), Instant> = BTreeMap::new();
        let mut leaving: HashSet<(u32, u64)> = HashSet::new();
        let mut ms = 0;
        for _ in 0..200 {
            ms += rng.random_range(0..400);
            let (n, born) = (rng.random_range(0..5), rng.random_range(0..2));
            let (instance, length) = (target(n, born), rng.random_range(0..4_000));
            let notice = match rng.random_range(0..10) {
                0 => leaves(),
                1..4 => rest(length),
                4 => {
                    notices.forget(at(ms), |_| true);
                    TargetNotice::default()
                }
                _ => TargetNotice::default(),
            };
            notices.record(at(ms), instance.address, &instance.incarnation(), &notice);
            if let Some(rest) = notice.rest {
                let until = rests.entry((n, born)).or_insert(START);
                *until = (*until).max(at(ms) + rest);
            }
            if notice.leaves {
                leaving.insert((n, born));
            }
            let until = rests.get(&(n, born)).copied().unwrap_or(START);
            let expected = leaving.contains(&(n, born)) || until > at(ms);
            let turns_away = notices.is_blocked(at(ms), instance.address, &instance.incarnation());
            assert_eq!(turns_away, expected, "seed {seed} at {ms} ms");
        }
    }
}

fn choose(
    records: &TargetRecords,
    targets: &[Instance],
    avoid: &[u32],
) -> Result<TargetChoice, ChoiceError> {
    let avoid = avoid.iter().map(|n| address(*n)).collect();
    choose_target(targets, records, &"a".into(), &avoid, 0.0, START)
}

/// Arguments: rest periods of three targets in ms, targets that leave, targets that the request
/// was sent to, and the targets of which any may be chosen or the remaining rest period in ms.
#[parameterized(
    one_rests = { [3_000, 0, 0], &[], &[], Ok(&[2, 3]) },
    one_is_left = { [3_000, 2_000, 0], &[], &[], Ok(&[3]) },
    one_is_left_and_one_leaves = { [3_000, 0, 0], &[2], &[], Ok(&[3]) },
    all_rest = { [3_000, 2_000, 4_000], &[], &[], Err(Some(2_000)) },
    all_that_do_not_leave_rest = { [3_000, 0, 4_000], &[2], &[], Err(Some(3_000)) },
    the_one_left_was_tried = { [3_000, 0, 4_000], &[], &[2], Err(None) },
    all_leave = { [3_000, 0, 0], &[1, 2, 3], &[], Err(None) },
)]
fn a_target_that_serves_alone_is_chosen_by_its_notices(
    rests: [u64; 3],
    leaving: &[u32],
    sent_to: &[u32],
    expected: Result<&[u32], Option<u64>>,
) {
    let targets: Vec<Instance> = (1..=3).map(|n| target(n, 7)).collect();
    let mut records = TargetRecords::default();
    for (instance, ms) in targets.iter().zip(rests) {
        let notice = if ms > 0 {
            rest(ms)
        } else {
            TargetNotice::default()
        };
        records
            .notices
            .record(START, instance.address, &instance.incarnation(), &notice);
    }
    for n in leaving {
        let life = target(*n, 7).incarnation();
        records.notices.record(START, address(*n), &life, &leaves());
    }
    match (choose(&records, &targets, sent_to), expected) {
        (Ok(choice), Ok(any)) => assert!(any.iter().any(|n| choice.address == address(*n))),
        (Err(ChoiceError::NoTarget), Err(None)) => {}
        (Err(ChoiceError::Resting(left)), Err(Some(ms))) => {
            assert_eq!(left, Duration::from_millis(ms));
        }
        (got, _) => panic!("{got:?}"),
    }
}

const REQUIRED_CAPACITY: CapacityDemand = CapacityDemand {
    tokens: 1_000,
    claim: RequestClass::New,
    draw: 5,
};

fn path(
    records: &TargetRecords,
    engines: &[Instance],
    avoid: &HashSet<SocketAddr>,
) -> Result<TargetChoice, ChoiceError> {
    choose_path(
        &model(),
        engines,
        records,
        &"a".into(),
        REQUIRED_CAPACITY,
        avoid,
        START,
    )
}

/// Returns the engines of two data centres with one chain each, and those that hold the first
/// stage.
fn two_chains() -> (Vec<Instance>, Vec<Instance>) {
    let mut a = engine_cards("a", 3, 3, 5);
    place_chain(&mut a);
    let mut b = engine_cards("b", 3, 3, 5);
    place_chain(&mut b);
    let engines = announced_instances(&[a, b].concat());
    let first = engines
        .iter()
        .filter(|e| e.layers.first == 0 && !e.layers.is_empty());
    (engines.clone(), first.cloned().collect())
}

/// A notice counts for any stage of a path, not only for the one that the request is sent to.
#[test]
fn no_path_leads_through_an_engine_that_rests_or_leaves() {
    let (engines, _) = two_chains();
    let used: Vec<&Instance> = engines.iter().filter(|e| !e.layers.is_empty()).collect();
    for (instance, notice) in used.iter().flat_map(|e| [(e, rest(500)), (e, leaves())]) {
        let mut records = TargetRecords::default();
        records
            .notices
            .record(START, instance.address, &instance.incarnation(), &notice);
        let chosen =
            path(&records, &engines, &HashSet::new()).expect("a path in the other data centre");
        let stages = chosen.path.expect("a path").stages;
        assert!(stages.iter().all(|s| s.address != instance.address));
    }
}

/// No engine is used in its rest period, although there is no other path. The result is the
/// same if the request was sent to all engines before.
#[test]
fn where_every_chain_lacks_an_engine_that_rests_the_first_whole_one_counts() {
    let (engines, first) = two_chains();
    let mut records = TargetRecords::default();
    for (instance, ms) in first.iter().zip([3_000, 2_000]) {
        records
            .notices
            .record(START, instance.address, &instance.incarnation(), &rest(ms));
    }
    // The rest periods of the last stages are longer than one of the first, and a path over
    // two data centres would need one of them too.
    for instance in engines.iter().filter(|e| e.layers.last == model().layers) {
        records.notices.record(
            START,
            instance.address,
            &instance.incarnation(),
            &rest(2_500),
        );
    }
    let avoid: HashSet<SocketAddr> = engines.iter().map(|e| e.address).collect();
    for avoid in [HashSet::new(), avoid] {
        let error = path(&records, &engines, &avoid)
            .expect_err("all chains have an engine in a rest period");
        assert_eq!(error, ChoiceError::Resting(Duration::from_millis(2_500)));
    }
    let mut without_first_stage = engines.clone();
    without_first_stage.retain(|e| first.iter().all(|f| f.address != e.address));
    let error = path(&records, &without_first_stage, &HashSet::new());
    assert_eq!(
        error,
        Err(ChoiceError::NoTarget),
        "there is no chain after any rest period"
    );
}

/// A draining target is not available after its rest period, so this is not waited for.
#[test]
fn the_rest_of_a_target_that_drains_is_not_waited_for() {
    let mut targets = vec![target(1, 7), target(2, 7)];
    targets[0].state = InstanceState::Draining;
    let mut records = TargetRecords::default();
    for (instance, ms) in targets.iter().zip([1_000, 9_000]) {
        records
            .notices
            .record(START, instance.address, &instance.incarnation(), &rest(ms));
    }
    let error =
        choose(&records, &targets, &[]).expect_err("one target drains, one is in a rest period");
    assert_eq!(error, ChoiceError::Resting(Duration::from_secs(9)));
}

/// The retry time is after the rest period, with jitter so that callers do not return at once.
#[parameterized(
    soonest = { 0.0, 3_000 },
    latest = { 1.0, 3_500 },
)]
fn callers_come_back_after_the_rest_that_is_left(draw: f64, ms: u64) {
    let after = RefusalReason::Resting(Duration::from_secs(3)).retry_after_time(draw);
    assert_eq!(after, Duration::from_millis(ms));
}

/// An incarnation without a start time is identified by its id alone.
#[test]
fn a_target_that_tells_no_start_is_known_by_its_id() {
    let mut instance = target(1, 7);
    instance.born = None;
    let mut notices = TargetNotices::default();
    notices.record(
        START,
        instance.address,
        &Incarnation::from("t-1"),
        &leaves(),
    );
    assert!(notices.leaves(&instance));
    assert!(!notices.leaves(&target(1, 7)));
}
