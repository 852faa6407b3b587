//! Record of the targets that a router doesn't reach, and the choice of the router through
//! which it reaches them.

use deckwind_core::control::{PeerList, PeerRouter, PeerRouters};
use deckwind_core::routes::{ConnectFailure, Connectivity, MAX_RELAYS_TRIED, RelayChoice};
use deckwind_core::state::{DataCentre, VmName};
use deckwind_core::time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

const DATA_CENTRES: [&str; 3] = ["recife-a", "recife-b", "fortaleza"];

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_secs(10) + Duration::from_millis(ms)
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 7_000))
}

fn data_centre(i: usize) -> DataCentre {
    DataCentre::from(DATA_CENTRES[i % DATA_CENTRES.len()])
}

fn vm(i: usize) -> VmName {
    VmName::from(format!("router-{i}"))
}

#[test]
fn a_target_is_lost_from_a_failed_attempt_until_the_next_connection() {
    let mut known = Connectivity::default();
    let target = address(1);
    assert!(known.record_failed(at(0), target, ConnectFailure::Refused));
    assert!(!known.record_failed(at(100), target, ConnectFailure::Unanswered));
    assert!(known.is_lost(target) && known.is_silent(target));
    assert_eq!(
        known.record_connected(at(700), target),
        Some(Duration::from_millis(700))
    );
    assert!(!known.is_lost(target));
}

/// Connections that exist may work on where new ones are refused at once.
#[test]
fn a_refusing_target_is_not_silent() {
    let mut known = Connectivity::default();
    known.record_failed(at(0), address(1), ConnectFailure::Refused);
    assert!(known.is_lost(address(1)) && !known.is_silent(address(1)));
}

/// Cases: number of targets that were lost, whether another one was reached afterwards, and
/// whether the router counts as isolated.
#[parameterized(
    none = { 0, false, false },
    two = { 2, false, false },
    three = { 3, false, true },
    another_reached = { 5, true, false },
)]
fn a_router_is_isolated_if_it_reaches_nothing(lost: usize, reaches: bool, isolated: bool) {
    let mut known = Connectivity::default();
    for i in 0..lost {
        known.record_failed(at(i as u64), address(i), ConnectFailure::Unanswered);
    }
    if reaches {
        known.record_connected(at(50), address(100));
    }
    assert_eq!(known.is_isolated(), isolated);
}

/// However many requests want a lost target, the direct path is tried a few times only, and
/// at least every two seconds.
#[test]
fn a_lost_path_is_probed_rarely_and_never_given_up() {
    let mut known = Connectivity::default();
    let target = address(1);
    known.record_failed(at(0), target, ConnectFailure::Unanswered);
    let mut probes = Vec::new();
    for ms in 0..20_000 {
        if known.start_probe(at(ms), target) {
            probes.push(ms);
            known.record_failed(at(ms), target, ConnectFailure::Unanswered);
        }
    }
    assert!((10..=14).contains(&probes.len()), "{probes:?}");
    assert!(
        probes.windows(2).all(|p| p[1] - p[0] <= 2_000),
        "{probes:?}"
    );
    assert_eq!(probes[0], 250);
}

/// Guards against a router that lost some targets, uses kept connections to the others, and
/// goes on through other routers to all.
#[test]
fn an_isolated_router_tries_targets_that_are_not_lost() {
    let mut known = Connectivity::default();
    assert!(!known.start_probe(at(0), address(9)));
    for i in 0..3 {
        known.record_failed(at(0), address(i), ConnectFailure::Unanswered);
    }
    assert!(known.start_probe(at(100), address(9)));
    assert!(!known.start_probe(at(200), address(9)), "one is under way");
    known.record_connected(at(200), address(9));
    assert!(!known.is_isolated());
}

#[test]
fn the_path_to_a_late_target_is_checked_once_in_two_seconds() {
    let mut known = Connectivity::default();
    let checks = (0..10_000).filter(|ms| known.start_check(at(*ms), address(1)));
    assert_eq!(checks.count(), 5);
}

fn choice(peers: usize) -> RelayChoice {
    let peer = |i| PeerRouter {
        address: address(i),
        data_centre: data_centre(i),
    };
    let mut choice = RelayChoice::default();
    choice.set_peers(PeerList {
        routers: (0..peers).map(peer).collect(),
    });
    choice
}

#[test]
fn routers_of_the_own_data_centre_are_tried_first_and_draws_spread_them() {
    let choice = choice(9);
    let own = data_centre(0);
    let near: BTreeSet<SocketAddr> = [0, 3, 6].map(address).into();
    let mut first = BTreeSet::new();
    for draw in 0..50 {
        let candidates = choice.candidates(at(0), &own, draw);
        assert_eq!(candidates.len(), MAX_RELAYS_TRIED);
        assert_eq!(
            candidates[..3].iter().copied().collect::<BTreeSet<_>>(),
            near
        );
        first.insert(candidates[0]);
    }
    assert_eq!(first, near);
}

/// A dead target makes all routers fail; those that connected elsewhere lately stay first.
#[test]
fn routers_that_connected_lately_are_preferred() {
    let mut choice = choice(9);
    let own = data_centre(0);
    choice.record_failed(at(0), address(0));
    choice.record_failed(at(0), address(3));
    choice.record_opened(at(0), address(4));
    choice.record_failed(at(100), address(4));
    let candidates = choice.candidates(at(200), &own, 1);
    assert_eq!(candidates[..2], [address(4), address(6)]);
    choice.record_unavailable(at(300), address(4));
    assert!(!choice.candidates(at(400), &own, 1)[..3].contains(&address(4)));
}

#[test]
fn failures_are_forgotten_after_a_while() {
    let mut choice = choice(3);
    choice.record_unavailable(at(0), address(0));
    let own = data_centre(0);
    assert_eq!(choice.candidates(at(1_000), &own, 1)[2], address(0));
    assert_eq!(choice.candidates(at(5_000), &own, 1)[0], address(0));
}

fn peer_routers(routers: usize) -> PeerRouters {
    let mut all = PeerRouters::default();
    for i in 0..routers {
        all.put(&vm(i), address(i), &data_centre(i));
    }
    all
}

/// Cases: number of routers, and the number of peers that each is told of.
#[parameterized(one = { 1, 0 }, nine = { 9, 6 }, sixty = { 60, 8 }, a_thousand = { 986, 8 })]
fn each_router_is_told_of_a_few_others(routers: usize, peers: usize) {
    let all = peer_routers(routers);
    let mut named: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for i in 0..routers {
        let list = all.list_for(&vm(i), &data_centre(i)).routers;
        assert_eq!(list.len(), peers, "router {i}");
        assert!(list.iter().all(|r| r.address != address(i)));
        let near = list.iter().filter(|r| r.data_centre == data_centre(i));
        assert_eq!(near.count(), (routers.div_ceil(3).saturating_sub(1)).min(4));
        list.iter()
            .for_each(|r| *named.entry(r.address).or_default() += 1);
    }
    let most = named.into_values().max().unwrap_or(0);
    assert!(most <= 4 * peers, "one router is named {most} times");
}

/// A router that leaves changes the lists of its neighbours, not of all routers.
#[test]
fn a_router_that_leaves_changes_few_lists() {
    let mut all = peer_routers(986);
    let lists = |all: &PeerRouters| -> Vec<PeerList> {
        (0..986)
            .map(|i| all.list_for(&vm(i), &data_centre(i)))
            .collect()
    };
    let before = lists(&all);
    all.remove(&vm(500));
    let after = lists(&all);
    let changed = before.iter().zip(&after).filter(|(b, a)| b != a).count();
    assert!(changed <= 40, "{changed} lists changed");
    assert!(
        !after
            .iter()
            .flat_map(|l| &l.routers)
            .any(|r| r.address == address(500))
    );
}

#[test]
fn a_list_is_sent_until_the_router_has_it() {
    let all = peer_routers(9);
    let (vm, own) = (vm(0), data_centre(0));
    let list = all.list_if_changed(&vm, &own, Default::default());
    let list = list.expect("the router has no list");
    assert_eq!(all.list_if_changed(&vm, &own, list.version()), None);
    let alone = peer_routers(1);
    assert_eq!(alone.list_if_changed(&vm, &own, Default::default()), None);
    let empty = alone.list_if_changed(&vm, &own, list.version());
    assert_eq!(empty, Some(PeerList::default()));
}
