//! Many real router and control processes at once, with engines that form chains of
//! stages.

use crate::processes::processes_with_layout;
use crate::run_async;
use deckwind_testkit::at_size::{self, FaultEvent, FaultKind, FaultPlan, Report, Size};
use std::time::Duration;

/// Guards against counting a paused engine as crashed once for each check of it: requests
/// then ran at up to five targets on routes that allow two.
#[test]
fn engines_that_stand_still_give_requests_no_further_tries() {
    run_async(async {
        let pauses = fault(FaultKind::EnginesPause, 34);
        let cuts = fault(FaultKind::EnginesCut, 50);
        let report = run_processes(1, vec![pauses, cuts]).await;
        assert_eq!(report.beyond_attempts, 0, "{report:?}");
        assert_eq!(report.uncharged_retries, 0, "{report:?}");
        assert!(report.answer_errors.is_empty(), "{report:?}");
        assert_reads_logs(&report);
    });
}

/// Number of engines that one part of a prompt may crash: five, and three more requests that
/// have been sent meanwhile.
const MAX_CRASHES_BY_PART: u32 = 8;

/// Guards against requests that share one part of their prompts, and nothing else, and crash
/// engine after engine of a fleet whose engines depend on each other.
#[test]
fn a_part_at_fault_crashes_few_engines_of_a_fleet() {
    run_async(async {
        let storm = FaultEvent {
            length: Duration::from_secs(10),
            pause: Duration::from_secs(15),
            ..fault(FaultKind::PoisonPart, 100)
        };
        let report = run_processes(2, vec![storm]).await;
        assert!(report.crashes_by_part > 0, "{report:?}");
        assert!(report.crashes_by_part <= MAX_CRASHES_BY_PART, "{report:?}");
        assert!(!report.exceeds_limits(), "{report:?}");
        let (quarantined, sound) = report.control.quarantined;
        assert!(quarantined > 0, "{report:?}");
        assert_eq!(sound, 0, "{report:?}");
        // Sound requests share the caller and the first part.
        let outcomes = report.outcomes;
        assert!(
            outcomes.served >= outcomes.refused + outcomes.failed,
            "{report:?}"
        );
    });
}

/// Checks that the report holds what the real programs log. Guards against checks that pass
/// because they no longer find the lines that they look for.
fn assert_reads_logs(report: &Report) {
    let load = &report.control.load;
    assert!(load.over > Duration::ZERO, "{report:?}");
    for work in ["log", "tick", "sync"] {
        assert!(load.work_ms.contains_key(work), "{work}: {report:?}");
    }
    assert!(load.largest.contains_key("behind"), "{report:?}");
}

fn fault(kind: FaultKind, percent: usize) -> FaultEvent {
    FaultEvent {
        kind,
        percent,
        length: Duration::from_millis(900),
        pause: Duration::from_millis(500),
    }
}

async fn run_processes(seed: u64, faults: Vec<FaultEvent>) -> Report {
    let size = Size::small();
    let layout = at_size::layout(&size).expect("a layout");
    let (length, faults) = (Duration::from_secs(15), FaultPlan::Given(faults));
    let ran = at_size::run(processes_with_layout(layout), size, seed, length, &faults);
    ran.await.expect("a run")
}
