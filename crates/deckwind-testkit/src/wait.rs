//! Waits until conditions hold, in place of fixed sleeps.

use std::future::Future;
use std::time::{Duration, Instant};

/// Time after which a wait fails.
const TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `condition` until it returns a value.
///
/// # Panics
///
/// Panics if the condition still returns nothing after `TIMEOUT`.
pub fn eventually<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out after {TIMEOUT:?} waiting until {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Polls `condition` until it returns a value.
///
/// # Panics
///
/// Panics if the condition still returns nothing after `TIMEOUT`.
pub async fn eventually_async<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            start.elapsed() < TIMEOUT,
            "timed out after {TIMEOUT:?} waiting until {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
