//! Reports of crashed runs: what they cost the leader and the leases of routers when many engines
//! end at once. `quarantine` tests what is decided on them.

use crate::quarantine::{content, crash, crash_at, incarnation, quarantined};
use deckwind_core::control::{ControlEvent, ControlRequest, CutReport};
use deckwind_core::state::{
    Command, CommandBody, PartId, RequestTrait, RequestTraits, RunProgress, StateMachine,
    SuspectChange,
};
use deckwind_testkit::fan_out::FanOut;
use deckwind_testkit::{ControlSimulation, NetFaults};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use yare::parameterized;

const ROUTERS: usize = 195;
const ENGINES: usize = 218;

/// Number of engines that end in a wave: 17 %.
const ENDED: usize = 37;

/// Runs that had just begun at those.
const RUNS: usize = 2 * ROUTERS;

/// Number of parts that the prompts of many requests share, and of those that the prompts of a few
/// share. With these, the list of suspects is larger than what is sent at any rate.
const SHARED_PARTS: usize = 60;
const SELDOM_SHARED_PARTS: usize = 300;

/// Time in which the routers of a wave report.
const REPORTING: Duration = Duration::from_millis(20);

/// Link of a control VM, Mbit/s.
const LINK_MBPS: f64 = 420.0;

/// A link whose rate for state does not suffice for all routers at once, Mbit/s.
const SLOW_LINK_MBPS: f64 = 10.0;

/// Returns what routers report after a wave of crashes, one change for each run.
fn wave_of_crashes(rng: &mut StdRng, wave: usize, shared_parts: usize) -> Vec<SuspectChange> {
    let first = rng.random_range(0..ENGINES);
    let crash = |run: usize| {
        let engine = (first + rng.random_range(0..ENDED)) % ENGINES;
        let name = format!("{wave}-{run}");
        let shared = format!("shared {}", rng.random_range(0..shared_parts));
        let parts = [shared.as_bytes(), name.as_bytes()].map(PartId::of_bytes);
        let request = RequestTraits::new(content(&name), None, &parts);
        let life = incarnation(&format!("{engine} of wave {wave}"));
        crash_at(&request, life, RunProgress::NoEvent)
    };
    (0..RUNS).map(crash).collect()
}

/// Sends the changes as this number of reports, within [`REPORTING`].
fn report(fan_out: &mut FanOut, changes: &[SuspectChange], reports: usize) {
    let size = changes.len().div_ceil(reports);
    let mut waiting = changes.chunks(size);
    let steps = REPORTING.as_millis() as usize;
    for _ in 0..steps {
        for report in waiting.by_ref().take(reports.div_ceil(steps)) {
            fan_out.report_crashes(report.to_vec());
        }
        fan_out.run_for(Duration::from_millis(1)).unwrap();
    }
}

/// Returns the rows scanned after waves of crashes, reported in this number of reports.
fn rows_scanned(reports: usize, waves: usize) -> u64 {
    let mut rng = StdRng::seed_from_u64(1);
    let mut fan_out = FanOut::new(ROUTERS, 0, LINK_MBPS).unwrap();
    for wave in 0..waves {
        let changes = wave_of_crashes(&mut rng, wave, SHARED_PARTS);
        report(&mut fan_out, &changes, reports);
        fan_out.run_for(Duration::from_millis(500)).unwrap();
    }
    assert_eq!(fan_out.unanswered_reports(), 0);
    fan_out.scan_counts().suspects
}

/// Guards against leaders that were deposed one after the other: the list of suspects was
/// derived from all evidence once for each router's report, and leaders stood still meanwhile.
#[parameterized(
    one_wave = { 1 },
    two_waves = { 2 },
)]
fn rows_scanned_for_the_list_do_not_grow_with_the_number_of_reports(waves: usize) {
    let one = rows_scanned(1, waves);
    let many = rows_scanned(ROUTERS, waves);
    assert!(one > 0, "nothing was derived");
    // Reports that arrive within 20 ms share a command, but for the first one.
    assert!(many <= 3 * one, "{one} rows for one report, {many} for 195");
}

/// Guards against a load that keeps itself up: reports that had no answer in time were repeated
/// by all routers, and each copy was a command and a round of answers.
#[test]
fn a_report_sent_again_changes_nothing() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut fan_out = FanOut::new(ROUTERS, 0, LINK_MBPS).unwrap();
    let changes = wave_of_crashes(&mut rng, 0, SHARED_PARTS);
    report(&mut fan_out, &changes, ROUTERS);
    fan_out.run_for(Duration::from_secs(3)).unwrap();
    let (applied, revision) = (fan_out.applied(), fan_out.revision());
    let rounds = fan_out.reply_rounds();
    report(&mut fan_out, &changes, ROUTERS);
    fan_out.run_for(Duration::from_millis(980)).unwrap();
    assert_eq!(fan_out.unanswered_reports(), 0);
    assert_eq!(fan_out.applied(), applied, "a command was proposed");
    assert_eq!(fan_out.revision(), revision);
    assert_eq!(fan_out.reply_rounds(), rounds, "a round of answers");
}

/// Guards against routers that refused everything: they lacked only the newest list of suspects,
/// for which the rate of state did not suffice, and their leases were cut short or not renewed.
#[test]
fn suspects_cut_no_lease_short() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut fan_out = FanOut::new(ROUTERS, 0, SLOW_LINK_MBPS).unwrap();
    let mut longest_lag = 0;
    for wave in 0..10 {
        let changes = wave_of_crashes(&mut rng, wave, SELDOM_SHARED_PARTS);
        report(&mut fan_out, &changes, ROUTERS);
        for _ in 0..10 {
            fan_out.run_for(Duration::from_millis(50)).unwrap();
            longest_lag = longest_lag.max(fan_out.routers_behind());
        }
    }
    let carried = fan_out.take_traffic();
    assert!(!fan_out.suspects().is_empty());
    assert!(longest_lag > 0, "no router lagged");
    assert_eq!(carried.leases_cut_short, 0, "{carried:?}");
    assert_eq!(carried.leases_lost, 0, "{carried:?}");
}

/// Guards against a log that grows with the number of routers: they report all the time, and
/// their reports share commands.
#[test]
fn reports_of_all_routers_share_commands() {
    const WAVES: usize = 10;
    let mut rng = StdRng::seed_from_u64(4);
    let mut fan_out = FanOut::new(ROUTERS, 0, LINK_MBPS).unwrap();
    let applied = fan_out.applied();
    for wave in 0..WAVES {
        let changes = wave_of_crashes(&mut rng, wave, SHARED_PARTS);
        report(&mut fan_out, &changes, ROUTERS);
    }
    fan_out.run_for(Duration::from_millis(500)).unwrap();
    assert_eq!(fan_out.unanswered_reports(), 0);
    assert_eq!(fan_out.refused_reports(), 0);
    let entries = fan_out.applied().0 - applied.0;
    // In 700 ms, one command with reports and one list each 50 ms.
    assert!(entries <= 28, "{entries} log entries");
}

/// Guards against memory and work without bound, and against old evidence that keeps out the
/// newest: routers report more at once than the leader has room for.
#[test]
fn the_newest_reports_are_kept_when_there_are_too_many() {
    const REPORTS: usize = 100;
    const CHANGES: usize = 100;
    let mut fan_out = FanOut::new(ROUTERS, 0, LINK_MBPS).unwrap();
    let report = |number: usize| -> Vec<SuspectChange> {
        let change = |i: usize| {
            let name = format!("{number}-{i}");
            crash(content(&name), incarnation(&name))
        };
        (0..CHANGES).map(change).collect()
    };
    (0..REPORTS).for_each(|number| fan_out.report_crashes(report(number)));
    fan_out.run_for(Duration::from_secs(1)).unwrap();
    assert_eq!(fan_out.unanswered_reports(), 0);
    let refused = fan_out.refused_reports();
    assert!((50..70).contains(&refused), "{refused} refused");
    let newest = report(REPORTS - 1);
    assert!(newest.iter().all(|change| fan_out.has_evidence(change)));
    // The first one was proposed at once, and those after it had to make room.
    let old = report(1);
    assert!(!old.iter().any(|change| fan_out.has_evidence(change)));
}

/// Guards against a sound content that is refused for an hour: a router reports that it served the
/// content while the crashes before that wait for their command, or are in it.
#[parameterized(
    with_the_crashes = { 0 },
    while_they_are_proposed = { 1 },
    once_they_are_agreed = { 10 },
)]
fn a_served_run_clears_the_crashes_reported_before(after_ms: u64) {
    let mut fan_out = FanOut::new(2, 0, LINK_MBPS).unwrap();
    let digest = content("it");
    let crashes = ["a", "b", "c"].map(|name| crash(digest, incarnation(name)));
    fan_out.report_crashes(crashes[..1].to_vec());
    fan_out.report_crashes(crashes[1..].to_vec());
    fan_out.run_for(Duration::from_millis(after_ms)).unwrap();
    let served = SuspectChange::Served(RequestTrait::Content(digest));
    fan_out.report_crashes(vec![served.clone(), served]);
    fan_out.run_for(Duration::from_secs(1)).unwrap();
    assert_eq!(fan_out.unanswered_reports(), 0);
    assert!(fan_out.suspects().is_empty(), "{:?}", fan_out.suspects());
}

fn apply(machine: &mut StateMachine, body: CommandBody) {
    machine.apply(Command { at_ms: 1, body });
}

/// Guards against a quarantine that comes back after an operator lifted it: the list was derived
/// before the lift and committed after it.
#[test]
fn a_list_derived_before_a_lift_does_not_undo_it() {
    let digest = content("it");
    let mut machine = StateMachine::default();
    let crashes = ["a", "b", "c"].map(|name| crash(digest, incarnation(name)));
    apply(&mut machine, CommandBody::Suspects(crashes.to_vec()));
    let early = machine.quarantine().evidence(1).derive();
    apply(&mut machine, CommandBody::SuspectList(early.clone()));
    assert_eq!(quarantined(&machine), 1);
    let lift = SuspectChange::Lift(RequestTrait::Content(digest));
    apply(&mut machine, CommandBody::Suspects(vec![lift]));
    assert_eq!(quarantined(&machine), 0, "in force with the lift itself");
    apply(&mut machine, CommandBody::SuspectList(early));
    assert_eq!(quarantined(&machine), 0, "the early list came late");
    apply(&mut machine, CommandBody::Suspects(crashes.to_vec()));
    let late = machine.quarantine().evidence(1).derive();
    apply(&mut machine, CommandBody::SuspectList(late));
    assert_eq!(quarantined(&machine), 1, "three crashes after the lift");
}

/// Guards against a poison request that goes on: its third crash was agreed, and the leader died
/// before the list that says so was.
#[parameterized(one = { 1 }, two = { 2 }, three = { 3 })]
fn a_new_leader_derives_the_list_that_was_lost(seed: u64) {
    let mut sim = ControlSimulation::new(3, 2, seed, NetFaults::NONE);
    let leader = sim.run_until_leader();
    sim.run_for(Duration::from_secs(3));
    let digest = content("it");
    let crashes = ["a", "b", "c"].map(|name| crash(digest, incarnation(name)));
    let request = ControlRequest::CutRuns(CutReport {
        broke: Vec::new(),
        changes: crashes.to_vec(),
    });
    let token = 9_999;
    sim.push_event(leader, ControlEvent::Request { token, request });
    let state = |sim: &ControlSimulation, slot: usize| {
        let node = sim.node(slot).expect("it runs");
        let machine = node.core().state_machine();
        (machine.quarantine().len(), quarantined(machine))
    };
    while state(&sim, leader).0 == 0 {
        sim.step();
    }
    for slot in 0..3 {
        assert_eq!(state(&sim, slot).1, 0, "the list is not agreed yet");
    }
    sim.crash(leader, 0);
    sim.run_for(Duration::from_secs(3));
    let next = sim.run_until_leader();
    sim.run_for(Duration::from_secs(1));
    assert_eq!(state(&sim, next), (1, 1));
    for router in &sim.routers {
        assert!(!router.may_send(&digest.into()), "{}", router.name());
    }
}
