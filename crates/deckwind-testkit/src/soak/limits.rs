//! Checks that all routers together keep to the rate limits that targets announce.

use super::notices::{FaultSpans, router_of};
use anyhow::{Result, ensure};
use deckwind_fakes::Arrival;
use std::time::Duration;

/// Rate limits that targets announce, in requests per second.
pub(super) const LIMITS: [&str; 5] = ["0", "0.5", "2", "5.9", "20"];

/// Length of the spans in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Requests allowed in a span: this multiple of what the limit allows, and
/// [`TOLERANCE_REQUESTS`] more.
const TOLERANCE_FACTOR: f64 = 1.5;
const TOLERANCE_REQUESTS: f64 = 5.0;

/// Time within which requests arrive that were in flight when the target answered.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Checks the arrivals at one target. `router_faults` holds the times at which each
/// router was killed, stopped or suspended, `connection_faults` those at which the
/// target's connections were disturbed: a router may have missed a limit that was
/// announced then.
pub fn check_limits(
    arrivals: &[Arrival],
    router_faults: &[FaultSpans],
    connection_faults: &FaultSpans,
) -> Result<()> {
    let is_counted = |a: &&Arrival| {
        a.limit.is_some() && knew_limit(a, arrivals, router_faults, connection_faults)
    };
    let counted: Vec<&Arrival> = arrivals.iter().filter(is_counted).collect();
    for (i, first) in counted.iter().enumerate() {
        let in_span = |a: &&&Arrival| a.at - first.at < SPAN;
        let span: Vec<&&Arrival> = counted[i..].iter().take_while(in_span).collect();
        let limits = span.iter().filter_map(|a| a.limit);
        let highest = limits.fold(0.0, f64::max);
        let allowed = TOLERANCE_FACTOR * highest * SPAN.as_secs_f64() + TOLERANCE_REQUESTS;
        ensure!(
            span.len() as f64 <= allowed,
            "{} requests in {SPAN:?} from routers that knew the limit of {highest} per second, allowed are {allowed}: {:?}",
            span.len(),
            span.iter()
                .map(|a| (&a.request, a.at - first.at))
                .collect::<Vec<_>>()
        );
    }
    Ok(())
}

/// Whether the request's router had received an answer with a limit, and none without a
/// limit after it.
fn knew_limit(
    request: &Arrival,
    arrivals: &[Arrival],
    router_faults: &[FaultSpans],
    connection_faults: &FaultSpans,
) -> bool {
    let Some(router) = router_of(&request.request) else {
        return false;
    };
    let before = |a: &&Arrival| {
        let known = request.at.saturating_duration_since(a.at) >= IN_FLIGHT_TIME;
        known && router_of(&a.request) == Some(router)
    };
    let Some(last_answer) = arrivals.iter().rev().find(before) else {
        return false;
    };
    let (from, to) = (last_answer.at.into_std(), request.at.into_std());
    let may_have_missed =
        router_faults[router].overlaps(from, to) || connection_faults.overlaps(from, to);
    last_answer.limit.is_some() && !may_have_missed
}
