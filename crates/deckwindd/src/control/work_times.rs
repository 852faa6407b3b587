//! Time that a replica works, by what it works at: for whoever looks for what keeps its
//! heartbeats waiting.

use deckwind_core::control::{ControlCore, ControlEvent, ControlRequest};
use deckwind_core::replication::Role;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A batch that takes longer is told of in a line: a heartbeat's period.
const LONG: Duration = Duration::from_millis(80);

/// Between two such lines.
const LINE_EVERY: Duration = Duration::from_secs(1);

/// Between two lines of a leader's load.
const LOAD_EVERY: Duration = Duration::from_secs(2);

/// Times of one batch, and of all since the last look.
#[derive(Default)]
pub struct WorkTimes {
    batch: BTreeMap<&'static str, Duration>,
    /// Since the last line of the load.
    lately: BTreeMap<&'static str, Duration>,
    line_at: Option<Instant>,
    load_at: Option<Instant>,
}

impl WorkTimes {
    /// Adds the time of one event.
    pub fn add(&mut self, kind: &'static str, took: Duration) {
        *self.batch.entry(kind).or_default() += took;
    }

    /// A batch of so many events is over: counts it, and tells of one that took long.
    pub fn end_batch(&mut self, events: usize) {
        let batch = std::mem::take(&mut self.batch);
        for (kind, took) in &batch {
            metrics::counter!("deckwind_control_worked_us_total", "kind" => *kind)
                .increment(took.as_micros() as u64);
            *self.lately.entry(*kind).or_default() += *took;
        }
        let all: Duration = batch.values().sum();
        metrics::histogram!("deckwind_control_batch_seconds").record(all.as_secs_f64());
        let lately = self.line_at.is_some_and(|at| at.elapsed() < LINE_EVERY);
        if all < LONG || lately {
            return;
        }
        self.line_at = Some(Instant::now());
        let longest = batch.iter().max_by_key(|(_, took)| **took);
        let (kind, took) = longest.map_or(("", Duration::ZERO), |(k, t)| (*k, *t));
        log::info!(
            "event=long_batch took_ms={} events={events} most_at={kind} most_ms={}",
            all.as_millis(),
            took.as_millis()
        );
    }
}

impl WorkTimes {
    /// Now and then a line of what a leader works at, and for how many.
    pub fn note_load(&mut self, core: &ControlCore) {
        let lately = self.load_at.is_some_and(|at| at.elapsed() < LOAD_EVERY);
        if lately {
            return;
        }
        let since = self.load_at.replace(Instant::now());
        let worked = std::mem::take(&mut self.lately);
        metrics::gauge!("deckwind_control_passed_on_waiting").set(core.passed_on() as f64);
        let Some((routers, behind)) = core.routers_behind() else {
            return;
        };
        metrics::gauge!("deckwind_control_routers_behind_revisions").set(behind as f64);
        if core.replica().role() != Role::Leader {
            return;
        }
        let over = since.map_or(LOAD_EVERY, |at| at.elapsed());
        let kinds: Vec<String> = worked
            .iter()
            .map(|(kind, took)| format!("{kind}_ms={}", took.as_millis()))
            .collect();
        log::info!(
            "event=leader_load over_ms={} routers={routers} behind={behind} {}",
            over.as_millis(),
            kinds.join(" ")
        );
    }
}

/// What an event is work at.
pub fn kind_of(event: &ControlEvent) -> &'static str {
    match event {
        ControlEvent::Tick => "tick",
        ControlEvent::Replica(_) => "log",
        ControlEvent::Request { request, .. } => kind_of_request(request),
        ControlEvent::Relayed { request, .. } => kind_of_request(&request.request),
        ControlEvent::Answered(_) => "answers",
        ControlEvent::Heard(_) => "heard",
        ControlEvent::Placed { .. } => "placed",
        ControlEvent::Operator { .. } => "call",
        ControlEvent::OrdersDone { .. } | ControlEvent::Checked { .. } => "orders",
        ControlEvent::Pace { .. } => "pace",
    }
}

fn kind_of_request(request: &ControlRequest) -> &'static str {
    match request {
        ControlRequest::Renew(_) => "renewal",
        _ => "request",
    }
}
