//! A short soak test of the real programs with fixed seeds. The example `soak` runs
//! other seeds by hand. Every seed that has failed stays here with its cause.

use crate::processes::processes_with_layout;
use crate::run_async;
use deckwind_testkit::{Layout, soak};
use std::path::Path;
use std::time::Duration;
use yare::parameterized;

/// Maximum number of lines of each log that a failure prints.
const MAX_LINES: usize = 20;

/// Returns the lines of the routers' logs that name a request of the error, and those on
/// requests that are refused because targets crashed on them. The logs themselves don't
/// outlive the machine that runs the tests.
fn log_excerpt(logs: &Path, error: &str) -> String {
    let is_id = |word: &&str| word.contains("-probe-");
    let ids: Vec<&str> = error.split('"').filter(is_id).collect();
    let is_shown =
        |line: &&str| line.contains("event=quarantine") || ids.iter().any(|id| line.contains(id));
    let mut excerpt = String::new();
    for router in ["router-0.log", "router-1.log"] {
        let log = std::fs::read_to_string(logs.join(router)).unwrap_or_else(|e| e.to_string());
        let lines: Vec<&str> = log.lines().filter(is_shown).collect();
        let last = lines.len().saturating_sub(MAX_LINES);
        excerpt += &format!("{router}:\n{}\n", lines[last..].join("\n"));
    }
    excerpt
}

#[parameterized(
    // Failed once as the next one. In logged runs the content that all callers ask for was
    // quarantined: a run of it was at three crashes under two poison requests.
    first = { 1 },
    // Failed once: requests were not served again within 20 s after the faults, while
    // 28 processes were runnable on 8 cores. The logs are lost; it has passed four
    // times since, and the cause is unknown.
    not_served_again = { 70019 },
    // Failed once: the same content was quarantined by runs that were sent to targets which
    // had just crashed.
    sent_to_crashed_targets = { 626 },
)]
fn promises_hold_under_faults_from_outside(seed: u64) {
    run_async(async move {
        let duration = Duration::from_secs(6);
        let mut layout = Layout::new(3, 2).expect("the folder and ports are reserved");
        layout.keep_folder();
        let logs = layout.folder().to_path_buf();
        let summary = soak::run(processes_with_layout(layout), seed, duration).await;
        let summary = summary.unwrap_or_else(|e| {
            let error = format!("{e:#}");
            panic!(
                "{error}; logs in {}\n{}",
                logs.display(),
                log_excerpt(&logs, &error)
            );
        });
        assert!(summary.served > 0 && summary.released > 0, "{summary:?}");
        std::fs::remove_dir_all(&logs).expect("the logs are removed");
    });
}
