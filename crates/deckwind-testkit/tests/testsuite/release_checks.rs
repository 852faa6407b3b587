//! The checks of an operator: what probes and readings may show after changes of the release.

use deckwind_testkit::at_size::{
    BOUNDS, Change, FIXED_PATH, Handling, History, MOVED_PATH, PROBE_POOLS, Probe, ProbeRoute,
    Reading, Release, ShownVersions, Spread, Violation, marker,
};
use std::collections::BTreeSet;
use std::time::Duration;
use yare::parameterized;

const KEY: &str = "a-key";
const LATER_KEY: &str = "later-key";
const RAN: Handling = Handling::Ran(PROBE_POOLS[0]);
const RAN_ELSEWHERE: Handling = Handling::Ran(PROBE_POOLS[1]);

/// Versions 10, 20 and 30, sent 100 ms before their acknowledgements at 10 s, 20 s and 30 s:
/// 20 moves a route and adds one and a key, 30 removes both. Version 25 is invalid.
fn history() -> History {
    let added = marker(20);
    let first = release(10, &[FIXED_PATH, MOVED_PATH], &[KEY]);
    let mut moved = release(20, &[FIXED_PATH, MOVED_PATH, &added], &[KEY, LATER_KEY]);
    let mut last = release(30, &[FIXED_PATH, MOVED_PATH], &[KEY]);
    for release in [&mut moved, &mut last] {
        let route = release.routes.entry(MOVED_PATH.to_string()).or_default();
        route.pool = PROBE_POOLS[1];
    }
    let invalid = Change {
        is_valid: false,
        refused: Some(400),
        acknowledged: None,
        ..change(release(25, &[&marker(25)], &[KEY]))
    };
    let valid = [first, moved, last].map(change);
    History::new(valid.into_iter().chain([invalid]).collect(), BOUNDS)
}

fn release(version: u64, paths: &[&str], keys: &[&str]) -> Release {
    let routes = paths.iter().map(|p| (p.to_string(), ProbeRoute::default()));
    Release {
        version,
        routes: routes.collect(),
        keys: keys.iter().map(|k| k.to_string()).collect::<BTreeSet<_>>(),
    }
}

fn change(release: Release) -> Change {
    let acknowledged = ms(release.version * 1_000);
    Change {
        kind: "change".to_string(),
        release,
        is_valid: true,
        sent: acknowledged - ms(100),
        acknowledged: Some((acknowledged, 0)),
        refused: None,
        refused_again: None,
        calls: 1,
    }
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn probe(path: &str, key: &str, sent: u64, handling: Option<Handling>) -> Probe {
    Probe {
        router: 0,
        life: Some(0),
        path: path.to_string(),
        key: key.to_string(),
        sent: ms(sent),
        answered: ms(sent + 10),
        handling,
    }
}

#[parameterized(
    moved_in_time = { MOVED_PATH, KEY, 22_900, Some(RAN), None },
    moved_too_late = { MOVED_PATH, KEY, 23_100, Some(RAN), Some(Violation::ServedOlder) },
    moved_before_its_acknowledgement = { MOVED_PATH, KEY, 19_950, Some(RAN_ELSEWHERE), None },
    moved_before_it_was_sent = { MOVED_PATH, KEY, 19_800, Some(RAN_ELSEWHERE), Some(Violation::ServedInvalid) },
    refused = { MOVED_PATH, KEY, 23_100, None, None },
    added_route_unknown = { "/is-20/", KEY, 23_100, Some(Handling::NoRoute), Some(Violation::ServedOlder) },
    removed_route_ran = { "/is-20/", KEY, 33_100, Some(RAN), Some(Violation::ServedOlder) },
    added_key_unknown = { FIXED_PATH, LATER_KEY, 23_100, Some(Handling::NoKey), Some(Violation::ServedOlder) },
    removed_key_ran_in_time = { FIXED_PATH, LATER_KEY, 32_900, Some(RAN), None },
    removed_key_ran_late = { FIXED_PATH, LATER_KEY, 33_100, Some(RAN), Some(Violation::ServedOlder) },
    removed_key_ran_after_its_bound = { FIXED_PATH, LATER_KEY, 35_100, Some(RAN), Some(Violation::RanWithRemovedKey) },
    invalid_obeyed = { "/is-25/", KEY, 26_000, Some(RAN), Some(Violation::ServedInvalid) },
    key_refused = { FIXED_PATH, KEY, 26_000, Some(Handling::NoKey), Some(Violation::ServedInvalid) },
)]
fn a_probe_is_handled_as_an_allowed_release_says(
    path: &str,
    key: &str,
    sent: u64,
    handling: Option<Handling>,
    expected: Option<Violation>,
) {
    let found = history().check_probes(&[probe(path, key, sent, handling)]);
    let found: Vec<Violation> = found.iter().map(|f| f.violation).collect();
    assert_eq!(found, Vec::from_iter(expected));
}

#[parameterized(
    within_its_slack = { 200, Some(0), false },
    later = { 400, Some(0), true },
    in_its_next_life = { 400, Some(1), false },
    in_no_certain_life = { 400, None, false },
)]
fn a_router_does_not_go_back_within_one_life(after: u64, life: Option<u64>, expected: bool) {
    let newer = probe(MOVED_PATH, KEY, 20_000, Some(RAN_ELSEWHERE));
    let older = Probe {
        life,
        ..probe(MOVED_PATH, KEY, 20_010 + after, Some(RAN))
    };
    let found = history().check_probes(&[older, newer]);
    let went_back = found.iter().any(|f| f.violation == Violation::WentBack);
    assert_eq!(went_back, expected, "{found:?}");
}

#[parameterized(
    in_time = { 22_900, 10, true, None },
    too_late = { 23_100, 10, true, Some(Violation::ReadOlder) },
    newer = { 23_100, 30, true, None },
    other_content = { 23_100, 20, false, Some(Violation::ReadInvalid) },
)]
fn a_reading_is_as_sent_and_not_older(
    sent: u64,
    version: u64,
    is_as_sent: bool,
    expected: Option<Violation>,
) {
    let found = history().check_readings(&[reading(sent, version, is_as_sent)]);
    let found: Vec<Violation> = found.iter().map(|f| f.violation).collect();
    assert_eq!(found, Vec::from_iter(expected));
}

fn reading(sent: u64, version: u64, is_as_sent: bool) -> Reading {
    Reading {
        replica: 0,
        sent: ms(sent),
        answered: ms(sent + 10),
        version,
        is_as_sent,
    }
}

#[parameterized(
    newest = { &[30], false },
    older_once = { &[30, 20], true },
    none = { &[], true },
)]
fn the_newest_acknowledged_release_is_read_at_the_end(versions: &[u64], expected: bool) {
    let readings = versions.iter().map(|v| reading(40_000, *v, true));
    let found = history().check_end(&readings.collect::<Vec<_>>());
    assert_eq!(found.is_some(), expected, "{found:?}");
}

#[parameterized(
    invalid_acknowledged = { false, Some((ms(5), 0)), None, None, Some(Violation::InvalidAcknowledged) },
    invalid_refused = { false, None, Some(400), None, None },
    valid_refused = { true, None, Some(400), None, Some(Violation::ValidRefused) },
    refused_when_sent_again = { true, Some((ms(5), 0)), None, Some(409), Some(Violation::ValidRefused) },
    no_clear_answer = { true, None, None, None, None },
)]
fn only_invalid_releases_are_refused(
    is_valid: bool,
    acknowledged: Option<(Duration, usize)>,
    refused: Option<u16>,
    refused_again: Option<u16>,
    expected: Option<Violation>,
) {
    let change = Change {
        is_valid,
        acknowledged,
        refused,
        refused_again,
        ..change(release(10, &[], &[]))
    };
    let found = History::new(vec![change], BOUNDS).check_answers();
    let found: Vec<Violation> = found.iter().map(|f| f.violation).collect();
    assert_eq!(found, Vec::from_iter(expected));
}

#[parameterized(
    all = { 20, false },
    a_quarter = { 5, false },
    few = { 4, true },
)]
fn added_routes_are_served_like_the_others(served: usize, expected: bool) {
    let first = (0..20).map(|i| probe(FIXED_PATH, KEY, 24_000 + i, Some(RAN)));
    let added = (0..20).map(|i| {
        let handling = (i < served).then_some(RAN);
        probe(&marker(20), KEY, 24_000 + i as u64, handling)
    });
    let found = history().check_probes(&first.chain(added).collect::<Vec<_>>());
    let is_low = |f: &deckwind_testkit::at_size::Finding| f.violation == Violation::AddedNotServed;
    assert_eq!(found.iter().any(is_low), expected, "{found:?}");
}

#[test]
fn the_spread_of_a_change_is_that_of_its_last_router() {
    let history = history();
    let probes = [
        probe(MOVED_PATH, KEY, 20_500, Some(RAN_ELSEWHERE)),
        Probe {
            router: 1,
            ..probe(MOVED_PATH, KEY, 21_000, Some(RAN))
        },
        Probe {
            router: 1,
            ..probe(MOVED_PATH, KEY, 21_400, Some(RAN_ELSEWHERE))
        },
        Probe {
            router: 2,
            ..probe(MOVED_PATH, KEY, 20_100, Some(RAN))
        },
    ];
    let shown = probes.iter().map(|p| ShownVersions::of(&history, p));
    let shown: Vec<ShownVersions> = shown.flatten().collect();
    let change = &history.changes()[1];
    let expected = Spread {
        last_router: Some(ms(1_410)),
        never: 1,
        older_seen: ms(1_000),
    };
    assert_eq!(history.spread(change, &shown), expected);
}
