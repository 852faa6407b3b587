//! Many real router and control processes at once, with engines that form chains of
//! stages.

use crate::processes::processes_of;
use crate::run;
use deckwind_testkit::at_size::{self, Kind, Report, Size, Trouble, Troubles};
use std::time::Duration;

/// Guards against counting a paused engine as crashed once for each check of it: requests
/// then ran at up to five targets on routes that allow two.
#[test]
fn engines_that_stand_still_give_requests_no_further_tries() {
    run(async {
        let pauses = trouble(Kind::EnginesPause, 34);
        let cuts = trouble(Kind::EnginesCut, 50);
        let report = run_processes(1, vec![pauses, cuts]).await;
        assert_eq!(report.beyond_attempts, 0, "{report:?}");
        assert_eq!(report.unpaid, 0, "{report:?}");
    });
}

fn trouble(kind: Kind, percent: usize) -> Trouble {
    Trouble {
        kind,
        percent,
        length: Duration::from_millis(900),
        pause: Duration::from_millis(500),
    }
}

async fn run_processes(seed: u64, troubles: Vec<Trouble>) -> Report {
    let size = Size::of_tens();
    let layout = at_size::layout(&size).expect("a layout");
    let (length, troubles) = (Duration::from_secs(15), Troubles::Given(troubles));
    let ran = at_size::run(processes_of(layout), size, seed, length, &troubles);
    ran.await.expect("a run")
}
