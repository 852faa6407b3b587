//! Reports of crashed runs: what they cost the leader and the leases of routers when many engines
//! end at once. `quarantine` tests what is decided on them.

use crate::quarantine::{content, crash_at, incarnation};
use deckwind_core::state::{PartId, RequestTraits, RunProgress, SuspectChange};
use deckwind_testkit::fan_out::FanOut;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use yare::parameterized;

const ROUTERS: usize = 195;
const ENGINES: usize = 218;

/// Number of engines that end in a wave: 17 %.
const ENDED: usize = 37;

/// Runs that had just begun at those.
const RUNS: usize = 300;

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
    fan_out.run_for(Duration::from_secs(2)).unwrap();
    fan_out.take_traffic();
    fan_out.run_for(Duration::from_secs(1)).unwrap();
    let calm = fan_out.take_traffic().renewals;
    let (applied, revision) = (fan_out.applied(), fan_out.revision());
    report(&mut fan_out, &changes, ROUTERS);
    fan_out.run_for(Duration::from_millis(980)).unwrap();
    assert_eq!(fan_out.unanswered_reports(), 0);
    assert_eq!(fan_out.applied(), applied, "a command was proposed");
    assert_eq!(fan_out.revision(), revision);
    let renewals = fan_out.take_traffic().renewals;
    assert!(
        renewals <= calm + ROUTERS as u64 / 2,
        "{renewals} renewals beside {calm} in the calm: a round of answers"
    );
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
