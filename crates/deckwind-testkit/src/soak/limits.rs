//! What routers do about the limits that targets name: all of them together keep to them.

use super::notices::{Spans, router_of};
use anyhow::{Result, ensure};
use deckwind_fakes::Arrival;
use std::time::Duration;

/// Limits that targets name, requests a second.
pub(super) const LIMITS: [&str; 5] = ["0", "0.5", "2", "5.9", "20"];

/// Spans of this length are looked at.
const SPAN: Duration = Duration::from_secs(4);

/// Of what a limit allows in a span so much may come, and [`MORE`] requests.
const PART: f64 = 1.5;
const MORE: f64 = 5.0;

/// A request that was under way when the target spoke arrives within this time.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Checks what one target was sent. `routers` are the times at which each router was
/// killed, stopped or stood still, `harmed` those at which the target's connections were:
/// the router need not know then what it had been told.
pub fn check_limits(arrivals: &[Arrival], routers: &[Spans], harmed: &Spans) -> Result<()> {
    let counts = |a: &&Arrival| a.limit.is_some() && was_told(a, arrivals, routers, harmed);
    let counted: Vec<&Arrival> = arrivals.iter().filter(counts).collect();
    for (i, first) in counted.iter().enumerate() {
        let in_span = |a: &&&Arrival| a.at - first.at < SPAN;
        let span: Vec<&&Arrival> = counted[i..].iter().take_while(in_span).collect();
        let limits = span.iter().filter_map(|a| a.limit);
        let highest = limits.fold(0.0, f64::max);
        let allowed = PART * highest * SPAN.as_secs_f64() + MORE;
        ensure!(
            span.len() as f64 <= allowed,
            "{} requests in {SPAN:?} from VMs that were told of {highest} a second, allowed {allowed}: {:?}",
            span.len(),
            span.iter()
                .map(|a| (&a.request, a.at - first.at))
                .collect::<Vec<_>>()
        );
    }
    Ok(())
}

/// Whether a request is from a router that had passed on an answer that named a limit,
/// with none later that named none.
fn was_told(request: &Arrival, arrivals: &[Arrival], routers: &[Spans], harmed: &Spans) -> bool {
    let Some(router) = router_of(&request.request) else {
        return false;
    };
    let before = |a: &&Arrival| {
        let known = request.at.saturating_duration_since(a.at) >= UNDER_WAY;
        known && router_of(&a.request) == Some(router)
    };
    let Some(told) = arrivals.iter().rev().find(before) else {
        return false;
    };
    let (from, to) = (told.at.into_std(), request.at.into_std());
    let excused = routers[router].meet(from, to) || harmed.meet(from, to);
    told.limit.is_some() && !excused
}
