//! A short soak test of the real programs with fixed seeds. The example `soak` runs
//! other seeds by hand. Every seed that has failed stays here with its cause.

use crate::processes::process_cluster;
use crate::run_async;
use deckwind_testkit::soak;
use std::time::Duration;
use yare::parameterized;

#[parameterized(
    first = { 1 },
    // Failed once: requests were not served again within 20 s after the faults, while
    // 28 processes were runnable on 8 cores. The logs are lost; it has passed four
    // times since, and the cause is unknown.
    not_served_again = { 70019 },
)]
fn promises_hold_under_faults_from_outside(seed: u64) {
    run_async(async move {
        let duration = Duration::from_secs(6);
        let summary = soak::run(process_cluster(3, 2), seed, duration).await;
        let summary = summary.expect("every guarantee holds");
        assert!(summary.served > 0 && summary.released > 0, "{summary:?}");
    });
}
