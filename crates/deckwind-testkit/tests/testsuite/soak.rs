//! A short soak test of the real programs with fixed seeds. The example `soak` runs
//! other seeds by hand. Every seed that has failed stays here with its cause.

use crate::processes::processes_with_layout;
use crate::run_async;
use deckwind_testkit::{Layout, soak};
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
        let mut layout = Layout::new(3, 2).expect("the folder and ports are reserved");
        layout.keep_folder();
        let logs = layout.folder().to_path_buf();
        let summary = soak::run(processes_with_layout(layout), seed, duration).await;
        let summary = summary.unwrap_or_else(|e| panic!("{e:#}; logs in {}", logs.display()));
        assert!(summary.served > 0 && summary.released > 0, "{summary:?}");
        std::fs::remove_dir_all(&logs).expect("the logs are removed");
    });
}
