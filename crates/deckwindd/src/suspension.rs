//! Detects that the VM was suspended, and logs it for operators. No decision depends on
//! it: leases and other timeouts use a clock that includes suspensions.

use deckwind_net::clock::Clock;
use std::time::Duration;

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest suspension that is logged. Smaller differences arise because the two clocks
/// are not read at the same moment.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Logs each suspension. Never returns.
pub async fn watch(clock: Clock) {
    let mut known = clock.suspended_time();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let suspended = clock.suspended_time();
        let duration = suspended.saturating_sub(known);
        if duration < MIN_SUSPENSION {
            continue;
        }
        known = suspended;
        metrics::counter!("deckwind_suspended_ms_total").increment(duration.as_millis() as u64);
        log::warn!("event=was_suspended ms={}", duration.as_millis());
    }
}
