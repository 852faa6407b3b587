//! Checks that routers send nothing to targets in their rest periods, and nothing new to
//! targets that announced that they leave.

use anyhow::{Result, ensure};
use deckwind_fakes::Arrival;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Rest period that a target asks for with each refusal: longer than the longest time for
/// which a router avoids a target by itself.
pub const REST_PERIOD: Duration = Duration::from_secs(5);

/// Time within which requests arrive that were in flight when the target answered.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Maximum number of requests that may arrive later in a rest period. After a target has
/// announced that it leaves, none may.
const MAX_DURING_REST: usize = 2;

/// Longest time after the end of a connection fault until requests arrive that it
/// delayed.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Spans of time in which a fault was active.
#[derive(Default)]
pub struct FaultSpans(Mutex<Vec<(Instant, Instant)>>);

impl FaultSpans {
    /// Adds a span that begins now, lasts for `length`, and ends later by the time for
    /// which requests may be delayed.
    pub fn add(&self, length: Duration) {
        let now = Instant::now();
        let mut all = self.0.lock().expect("no holder panics");
        all.push((now, now + length + MAX_DELAY));
    }

    /// Adds a span that begins at `from` and ends now.
    pub fn add_since(&self, from: Instant) {
        let mut all = self.0.lock().expect("no holder panics");
        all.push((from, Instant::now()));
    }

    /// Adds the current moment, without time after it.
    pub fn add_now(&self) {
        let now = Instant::now();
        self.0.lock().expect("no holder panics").push((now, now));
    }

    pub(super) fn overlaps(&self, from: Instant, to: Instant) -> bool {
        let all = self.0.lock().expect("no holder panics");
        all.iter().any(|(start, end)| *start <= to && *end >= from)
    }
}

/// Returns the id of a request sent to this router, which ends with the router's number.
pub fn id_for_router(id: &str, router: usize) -> String {
    format!("{id}@{router}")
}

pub(super) fn router_of(request: &str) -> Option<usize> {
    let (_, router) = request.rsplit_once('@')?;
    router.parse().ok()
}

/// Checks the arrivals at one target. `router_faults` holds the times at which each
/// router was killed, stopped or suspended, `connection_faults` those at which the
/// target's connections were disturbed: a router may have missed what the target
/// announced then.
pub fn check(
    arrivals: &[Arrival],
    router_faults: &[FaultSpans],
    connection_faults: &FaultSpans,
) -> Result<()> {
    for notice in arrivals {
        let Some(router) = router_of(&notice.request) else {
            continue;
        };
        let later = |a: &&Arrival, until: Option<Duration>| {
            let since = a.at.saturating_duration_since(notice.at);
            let (from, to) = (notice.at.into_std(), a.at.into_std());
            let is_counted = since > IN_FLIGHT_TIME && until.is_none_or(|u| since < u);
            let may_have_missed =
                router_faults[router].overlaps(from, to) || connection_faults.overlaps(from, to);
            is_counted && router_of(&a.request) == Some(router) && !may_have_missed
        };
        let later_arrivals = |until| {
            let later = arrivals.iter().filter(|a| later(a, until));
            let after = |a: &Arrival| (a.request.clone(), a.at - notice.at);
            later.map(after).collect::<Vec<_>>()
        };
        if let Some(rest) = notice.rest_period {
            let late = later_arrivals(Some(rest));
            ensure!(
                late.len() <= MAX_DURING_REST,
                "{notice:?} was followed by {late:?}"
            );
        }
        if notice.leaves {
            let late = later_arrivals(None);
            ensure!(late.is_empty(), "{notice:?} was followed by {late:?}");
        }
    }
    Ok(())
}
