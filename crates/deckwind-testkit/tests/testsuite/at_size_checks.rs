//! The checks of the load test at the size of a deployment: which lines of the logs fail
//! which check, and the quota of processor time. No deployment is started.

use deckwind_testkit::at_size::{
    Change, ControlRecords, ControlReport, CpuQuota, FaultKind, InjectedFault, LogLine, Release,
    Violation,
};
use deckwind_testkit::{Layout, Processes};
use std::collections::HashSet;
use std::os::unix::fs::PermissionsExt;
use std::time::{Duration, SystemTime};
use yare::parameterized;

const START: &str = "2026-01-01T00:00:00.000Z";
const TRAIT_AT_FAULT: &str = "part-bad0";

fn start() -> SystemTime {
    START
        .parse::<humantime::Timestamp>()
        .expect("a time")
        .into()
}

/// Returns a line that a process logged this many seconds after the start.
fn line(process: &str, after_s: u64, event: &str) -> Option<LogLine> {
    let at = humantime::format_rfc3339_millis(start() + Duration::from_secs(after_s));
    LogLine::parse(&format!("{process}: ts={at} level=info {event}"), start())
}

fn fault(kind: FaultKind, from_s: u64, until_s: u64) -> InjectedFault {
    InjectedFault {
        kind,
        from: Duration::from_secs(from_s),
        until: Duration::from_secs(until_s),
    }
}

fn check(
    lines: &[LogLine],
    faults: &[InjectedFault],
    requests: &[(Duration, bool)],
) -> ControlReport {
    ControlReport::of(&ControlRecords {
        lines,
        faults,
        traits_at_fault: &HashSet::from([TRAIT_AT_FAULT.to_string()]),
        requests,
        changes: &[],
        routers: 2,
        until: Duration::from_secs(60),
    })
}

const DEPOSED: &str = "event=deposed by=2 term=45 led_ms=615 heartbeat_sent_ms_ago=600";
const LEASE_LOST: &str = "event=lease_lost vm=router-7 revision=41";
const SOUND: &str = "event=quarantined traits=[part-f1, account-part-9c] ends=4";
const AT_FAULT: &str = "event=quarantined traits=[part-f1, part-bad0] ends=3";

/// Guards against checks that no longer see the lines which the daemon writes, and against
/// checks that fail for what a fault explains.
#[parameterized(
    a_deposed_leader = { DEPOSED, FaultKind::EnginesEnd, Some(Violation::LeaderDeposed) },
    deposed_after_another_was_killed = { DEPOSED, FaultKind::LeaderKilled, Some(Violation::LeaderDeposed) },
    deposed_as_it_was_suspended = { DEPOSED, FaultKind::ControlFreezes, None },
    a_lost_lease = { LEASE_LOST, FaultKind::EnginesEnd, Some(Violation::LeaseLost) },
    a_lease_without_a_leader = { LEASE_LOST, FaultKind::AllControlKilled, None },
    a_lease_of_a_suspended_router = { LEASE_LOST, FaultKind::RoutersFreeze, None },
    a_sound_part = { SOUND, FaultKind::EnginesEnd, Some(Violation::SoundQuarantined) },
    a_sound_part_without_a_leader = { SOUND, FaultKind::LeaderKilled, Some(Violation::SoundQuarantined) },
    a_part_at_fault = { AT_FAULT, FaultKind::PoisonPart, None },
    an_election = { "event=role replica=1 role=leader term=2", FaultKind::EnginesEnd, None },
)]
fn a_line_fails_its_check(event: &str, kind: FaultKind, violation: Option<Violation>) {
    let lines = [line("control-1", 11, event).expect("a line")];
    let report = check(&lines, &[fault(kind, 10, 12)], &[]);
    let found: Vec<Violation> = report.findings.iter().map(|f| f.violation).collect();
    assert_eq!(found, Vec::from_iter(violation), "{report:?}");
}

/// Guards against a fault that excuses lost leases for the rest of a run.
#[test]
fn a_lease_lost_long_after_a_fault_fails() {
    let lines = [line("router-1", 30, LEASE_LOST).expect("a line")];
    let report = check(&lines, &[fault(FaultKind::AllControlKilled, 10, 12)], &[]);
    assert_eq!(report.lost_leases, (1, 1), "{report:?}");
    assert_eq!(report.findings.len(), 1, "{report:?}");
}

/// Guards against counting one quarantine once for each router that logs it.
#[test]
fn a_quarantine_on_many_routers_is_one_finding() {
    let logged = (0..5).filter_map(|i| line(&format!("router-{i}"), 20 + i, SOUND));
    let report = check(&logged.collect::<Vec<_>>(), &[], &[]);
    assert_eq!(report.quarantined, (1, 1), "{report:?}");
    assert_eq!(report.findings.len(), 1, "{report:?}");
}

/// Guards against a run in which most requests are refused and no check fails.
#[parameterized(
    most_are_served = { 300, false },
    few_are_served = { 100, true },
)]
fn few_served_requests_fail(served: usize, fails: bool) {
    let at = Duration::from_secs(20);
    let requests: Vec<_> = (0..400).map(|i| (at, i < served)).collect();
    let report = check(&[], &[fault(FaultKind::EnginesEnd, 10, 12)], &requests);
    assert_eq!(report.served, (400, served), "{report:?}");
    let found = report
        .findings
        .iter()
        .any(|f| f.violation == Violation::FewServed);
    assert_eq!(found, fails, "{report:?}");
    // Control isn't calm.
    let killed = [
        fault(FaultKind::EnginesEnd, 10, 12),
        fault(FaultKind::LeaderKilled, 19, 20),
    ];
    assert_eq!(check(&[], &killed, &requests).served, (0, 0));
}

fn change(acknowledged_s: Option<u64>, refused: Option<u16>) -> Change {
    Change {
        kind: "Move".to_string(),
        release: Release::without_probes(1_007),
        is_valid: true,
        sent: Duration::from_secs(10),
        acknowledged: acknowledged_s.map(|s| (Duration::from_secs(s), 0)),
        refused,
        refused_again: None,
        calls: 1,
    }
}

/// Guards against changes that come into force late, or are never answered, in a run that
/// fails no check: routers that refuse requests don't show which release they have.
#[parameterized(
    in_time_at_both_routers = { Some(11), None, &[13, 14], FaultKind::EnginesEnd, None },
    late_at_one = { Some(11), None, &[13, 15], FaultKind::EnginesEnd, Some(Violation::NotInForce) },
    never_at_one = { Some(11), None, &[13], FaultKind::EnginesEnd, Some(Violation::NotInForce) },
    late_after_a_killed_leader = { Some(11), None, &[15, 15], FaultKind::LeaderKilled, None },
    no_clear_answer = { None, None, &[], FaultKind::EnginesEnd, Some(Violation::NotAcknowledged) },
    no_answer_after_a_killed_leader = { None, None, &[], FaultKind::LeaderKilled, Some(Violation::NotAcknowledged) },
    no_answer_while_all_are_down = { None, None, &[], FaultKind::AllControlKilled, None },
    refused = { None, Some(409), &[], FaultKind::EnginesEnd, None },
)]
fn a_change_comes_into_force_in_time(
    acknowledged_s: Option<u64>,
    refused: Option<u16>,
    in_force_s: &[u64],
    kind: FaultKind,
    violation: Option<Violation>,
) {
    let applied = "event=release_in_force version=1008 revision=44";
    let lines = in_force_s.iter().enumerate();
    let lines = lines.filter_map(|(i, s)| line(&format!("router-{i}"), *s, applied));
    let report = ControlReport::of(&ControlRecords {
        lines: &lines.collect::<Vec<_>>(),
        faults: &[fault(kind, 9, 12)],
        traits_at_fault: &HashSet::new(),
        requests: &[],
        changes: &[change(acknowledged_s, refused)],
        routers: 2,
        until: Duration::from_secs(60),
    });
    let found: Vec<Violation> = report.findings.iter().map(|f| f.violation).collect();
    assert_eq!(found, Vec::from_iter(violation), "{report:?}");
}

/// Guards against lines of the leader's load that are read as other shares than they say.
#[test]
fn the_leaders_time_is_added_up() {
    let loads = [
        "event=leader_load over_ms=2000 routers=195 behind=3 without_state=0 log_ms=400 \
         tick_ms=25 apply_suspects_ms=300 apply_suspects=9 sync_ms=7 oldest_log_ms=80 \
         oldest_input_ms=1 sent_deltas=4",
        "event=leader_load over_ms=2000 routers=195 behind=715 without_state=71 log_ms=1200 \
         apply_suspects_ms=900 apply_suspects=30 sync_ms=0 oldest_log_ms=20 oldest_input_ms=3",
        "event=long_batch took_ms=640 events=7 most_at=log most_ms=600",
    ];
    let lines = loads.iter().filter_map(|l| line("control-0", 5, l));
    let load = check(&lines.collect::<Vec<_>>(), &[], &[]).load;
    assert_eq!(load.over, Duration::from_secs(4), "{load:?}");
    assert_eq!(load.longest_batch, Duration::from_millis(640), "{load:?}");
    assert_eq!(load.largest["behind"], 715, "{load:?}");
    assert_eq!(load.largest["oldest_log_ms"], 80, "{load:?}");
    let shares = load.shares();
    assert_eq!(
        shares[..2],
        [("log", 0.4), ("apply_suspects", 0.3)],
        "{load:?}"
    );
}

/// Guards against lines from before the run that count in it.
#[test]
fn lines_from_before_the_run_are_left_out() {
    let before = format!("control-0: ts={START} level=info {DEPOSED}");
    let start = start() + Duration::from_millis(1);
    assert_eq!(LogLine::parse(&before, start), None);
}

/// Guards against a quota that holds nothing, or that leaves its processes suspended.
#[test]
fn a_busy_process_is_held_to_its_share() {
    let layout = Layout::new(1, 1).expect("a layout");
    let program = layout.folder().join("busy");
    std::fs::write(&program, "#!/bin/sh\nwhile :; do :; done\n").expect("written");
    std::fs::set_permissions(&program, PermissionsExt::from_mode(0o700)).expect("a mode");
    let program = program.display().to_string();
    let processes = Processes::new(layout, &program, &program, &program);
    let process = processes.control(0).expect("a process");
    let quota = CpuQuota::start(0.01);
    quota.hold("control-0", &process).expect("held");
    std::thread::sleep(Duration::from_secs(1));
    let held = quota.close();
    let [held] = held.as_slice() else {
        panic!("one process: {held:?}");
    };
    assert!(held.periods.1 > 0, "{held:?}");
    assert!(held.used < held.held, "{held:?}");
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()));
    let status = status.expect("a status");
    assert!(!status.contains("State:\tT"), "{status}");
}
