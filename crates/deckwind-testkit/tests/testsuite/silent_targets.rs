//! Targets that no control replica hears, and that run all the same.

use crate::rig::{API_KEY, Rig, STREAMS};
use crate::run_async;
use crate::support::{announced_instances, engine_cards, model, place_chain};
use deckwind_core::routes::{
    CapacityDemand, RequestClass, SilenceEvidence, TargetFault, TargetRecords, choose_path,
};
use deckwind_core::state::InstanceState;
use deckwind_core::time::Instant;
use deckwind_testkit::fan_out::engine;
use deckwind_testkit::{ControlSimulation, Layout, NetFaults, eventually_async};
use http::StatusCode;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use yare::parameterized;

fn at(ms: u64) -> Instant {
    Instant::ZERO + Duration::from_secs(10) + Duration::from_millis(ms)
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], 7_000))
}

/// Cases: when something was received from a target that is silent since 0 ms, and the times
/// at which it then counts as running.
#[parameterized(
    nothing = { &[], &[] },
    on_its_way_before = { &[50], &[] },
    later = { &[200], &[200, 900, 1_100] },
    again_and_again = { &[200, 900, 1_700], &[200, 900, 1_100, 1_200, 1_700, 2_600] },
)]
fn evidence_counts_if_it_is_newer_than_the_silence(received: &[u64], alive: &[u64]) {
    let mut evidence = SilenceEvidence::default();
    evidence.set_silent(at(0), [address(1), address(2)].into_iter());
    for ms in [200, 900, 1_100, 1_200, 1_700, 2_600, 4_000] {
        for received in received.iter().filter(|r| **r <= ms) {
            evidence.record_alive(at(*received), &[address(1)]);
        }
        assert_eq!(
            evidence.is_alive(at(ms), address(1)),
            alive.contains(&ms),
            "{ms}"
        );
        assert!(!evidence.is_alive(at(ms), address(2)));
    }
}

#[test]
fn evidence_is_dropped_with_the_silence() {
    let mut evidence = SilenceEvidence::default();
    evidence.set_silent(at(0), [address(1)].into_iter());
    evidence.record_alive(at(200), &[address(1), address(9)]);
    assert_eq!(evidence.alive_count(at(300)), 1);
    evidence.set_silent(at(400), [].into_iter());
    evidence.set_silent(at(500), [address(1)].into_iter());
    assert!(!evidence.is_alive(at(600), address(1)));
}

/// Cases: how many of the fourteen engines of a chain are silent, whether something was
/// received through them since, whether one of them is down at this router, and whether a
/// path is found.
#[parameterized(
    none_silent = { 0, false, false, true },
    one_silent = { 1, false, false, false },
    one_silent_with_evidence = { 1, true, false, true },
    many_silent = { 8, false, false, true },
    all_silent = { 14, false, false, true },
    all_silent_one_down = { 14, true, true, false },
)]
fn a_path_leads_through_silent_engines(silent: usize, alive: bool, down: bool, found: bool) {
    let mut cards = engine_cards("a", 1, 5, 8);
    place_chain(&mut cards);
    let mut engines = announced_instances(&cards);
    assert_eq!(engines.len(), 14);
    let silent: Vec<SocketAddr> = engines[..silent].iter().map(|i| i.address).collect();
    for engine in engines.iter_mut().filter(|i| silent.contains(&i.address)) {
        engine.state = InstanceState::Silent;
    }
    let mut records = TargetRecords::default();
    records.evidence.set_silent(at(0), silent.iter().copied());
    if alive {
        records.evidence.record_alive(at(500), &silent);
    }
    if down {
        records.record_failure(at(500), silent[0], TargetFault::Down);
    }
    let demand = CapacityDemand {
        tokens: 100,
        claim: RequestClass::New,
        draw: 7,
    };
    let own = engines[0].data_centre.clone();
    let avoid = HashSet::new();
    let choice = choose_path(&model(), &engines, &records, &own, demand, &avoid, at(600));
    assert_eq!(choice.is_ok(), found, "{choice:?}");
}

/// Interval between two announcements of a target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Announces targets in turn for some intervals, except for the first `lost` ones. Returns
/// the number of announcements of each so far.
fn announce(sim: &mut ControlSimulation, targets: u16, lost: u16, from: u64, rounds: u64) -> u64 {
    for number in from..from + rounds {
        for i in 0..targets {
            if i >= lost {
                sim.announce(usize::from(i) % 3, engine(i, 4, number));
            }
            sim.run_for(ANNOUNCE_INTERVAL / u32::from(targets));
        }
    }
    from + rounds
}

fn silent_count(sim: &ControlSimulation, leader: usize) -> usize {
    let node = sim.node(leader).expect("it is up");
    let instances = node.core().state_machine().configuration().instances();
    let silent = instances
        .iter()
        .filter(|i| i.state == InstanceState::Silent);
    silent.count()
}

/// Guards against a leader that takes the loss of its own path to many targets for their
/// death. Cases: number of targets, of those whose announcements stop at the same moment,
/// and of those that are silent seven and eighteen seconds later.
#[parameterized(
    all = { 40, 40, 0, 40 },
    half = { 40, 20, 0, 20 },
    a_third = { 39, 13, 13, 13 },
    one = { 40, 1, 1, 1 },
    both_of_two = { 2, 2, 2, 2 },
    all_of_three = { 3, 3, 0, 3 },
)]
fn many_targets_that_fall_silent_at_once_are_not_marked(
    targets: u16,
    lost: u16,
    soon: usize,
    later: usize,
) {
    let mut sim = ControlSimulation::new(3, 2, 7, NetFaults::NONE);
    let leader = sim.run_until_leader();
    let next = announce(&mut sim, targets, 0, 1, 4);
    assert_eq!(silent_count(&sim, leader), 0);
    let next = announce(&mut sim, targets, lost, next, 6);
    assert_eq!(silent_count(&sim, leader), soon);
    let next = announce(&mut sim, targets, lost, next, 9);
    assert_eq!(silent_count(&sim, leader), later);
    announce(&mut sim, targets, 0, next, 2);
    assert_eq!(silent_count(&sim, leader), 0);
    assert_eq!(sim.leader(), Some(leader), "no other leader was elected");
}

/// Guards against the last targets to announce themselves after a lost path is back being
/// marked as silent, once fewer than half are late.
#[test]
fn targets_that_come_back_one_after_the_other_are_not_marked() {
    let mut sim = ControlSimulation::new(3, 2, 7, NetFaults::NONE);
    let leader = sim.run_until_leader();
    let next = announce(&mut sim, 40, 0, 1, 4);
    let next = announce(&mut sim, 40, 40, next, 9);
    for i in 0..40 {
        sim.announce(usize::from(i) % 3, engine(i, 4, next));
        sim.run_for(ANNOUNCE_INTERVAL / 40);
        assert_eq!(silent_count(&sim, leader), 0, "target {i}");
    }
}

/// Guards against routers that refuse all requests because the control replicas have lost
/// their own path to the engines, while the routers reach them.
#[test]
fn engines_that_no_replica_hears_serve_on() {
    run_async(async {
        let layout = Layout::new(1, 1).expect("a layout");
        let mut rig = Rig::start_placed(layout, 0, 4).await;
        rig.wait_until_served(STREAMS.path, STREAMS.tokens).await;
        rig.mute("engines");
        eventually_async("all engines are silent", || async {
            let router = rig.cluster.router(0).router()?;
            let instances = router.shared().routes.instances();
            let engines = instances.of_pool("engines");
            let are_silent = engines.iter().all(|i| i.state == InstanceState::Silent);
            are_silent.then_some(())
        })
        .await;
        for n in 0..10 {
            let id = format!("muted-{n}");
            let answer = rig.ask(&id, STREAMS.path, API_KEY, STREAMS.tokens).await;
            assert_eq!(answer.status, StatusCode::OK, "{id}");
            assert!(answer.body.is_ok(), "{id}");
        }
    });
}
