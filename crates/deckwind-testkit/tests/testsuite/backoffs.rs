//! Pauses between attempts of requests that find no leader.

use deckwind_core::backoff::{Backoff, BackoffLimits};
use std::collections::BTreeSet;
use std::time::Duration;
use yare::parameterized;

const LIMITS: BackoffLimits = BackoffLimits {
    first: Duration::from_millis(50),
    factor: 2,
    max: Duration::from_millis(400),
};

/// Number of failures so far, and bounds of the next pause in milliseconds.
///
/// Guards against replicas whose queues are full when a leader is back: all routers repeated
/// their requests each 50 ms meanwhile.
#[parameterized(
    first = { 0, 25, 50 },
    second = { 1, 50, 100 },
    third = { 2, 100, 200 },
    fourth = { 3, 200, 400 },
    later = { 20, 200, 400 },
)]
fn pauses_grow_up_to_the_longest_one(failures: usize, min_ms: u64, max_ms: u64) {
    for seed in 0..1_000 {
        let mut backoff = Backoff::new(LIMITS, seed);
        for _ in 0..failures {
            backoff.next_pause();
        }
        let pause = backoff.next_pause();
        let bounds = Duration::from_millis(min_ms)..=Duration::from_millis(max_ms);
        assert!(bounds.contains(&pause), "seed {seed}: {pause:?}");
        backoff.reset();
        assert!(backoff.next_pause() <= LIMITS.first);
    }
}

/// Guards against requests of all routers that come at the same moment: they lost the leader at
/// the same time.
#[test]
fn pauses_of_routers_differ() {
    let pauses = (0..195).map(|seed| Backoff::new(LIMITS, seed).next_pause());
    let moments: BTreeSet<u128> = pauses.map(|pause| pause.as_millis()).collect();
    assert!(moments.len() >= 20, "{moments:?}");
}
