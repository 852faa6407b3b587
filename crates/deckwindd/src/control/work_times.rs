//! Time that a replica spends on each kind of event, to show what delays its heartbeats.

use super::handle::InputAges;
use deckwind_core::control::{
    ControlCore, ControlEvent, ControlRequest, SentState, Stopwatch, Work, WorkTime,
};
use deckwind_core::replication::Role;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Duration above which a batch is logged: the heartbeat interval.
const LONG_BATCH: Duration = Duration::from_millis(80);

/// Minimum time between two log lines for long batches.
const LONG_BATCH_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two log lines with a leader's load.
const LOAD_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Kind under which the time of writing and syncing the log is added.
pub const SYNC: &str = "sync";

/// Kind under which the time of applying committed entries and of answering rounds of
/// renewals is added.
pub const QUEUED_WORK: &str = "queued";

/// Stopwatch on the clock of the operating system.
pub struct SystemStopwatch(Instant);

impl Default for SystemStopwatch {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Stopwatch for SystemStopwatch {
    fn reading(&self) -> Duration {
        self.0.elapsed()
    }
}

/// Times by kind of event, of the current batch and since the last line with the load.
#[derive(Default)]
pub struct WorkTimes {
    batch: BTreeMap<&'static str, Duration>,
    /// Times since the last line with the load.
    since_load_line: BTreeMap<&'static str, Duration>,
    long_batch_logged_at: Option<Instant>,
    load_logged_at: Option<Instant>,
    /// Leases granted without an urgent change, as of the last line with the load.
    leases_without_state: u64,
    /// Longest times that inputs were queued since the last line with the load.
    oldest: InputAges,
    /// Parts of the events' work since the last line with the load.
    parts: BTreeMap<Work, WorkTime>,
    /// State sent as of the last line with the load.
    sent: SentState,
}

impl WorkTimes {
    /// Adds the time of one event.
    pub fn add(&mut self, kind: &'static str, took: Duration) {
        *self.batch.entry(kind).or_default() += took;
    }

    /// Records how long the inputs of a batch had been queued.
    pub fn record_input_ages(&mut self, ages: InputAges) {
        for (queue, age) in [("log", ages.log), ("others", ages.others)] {
            metrics::histogram!("deckwind_control_input_age_seconds", "queue" => queue)
                .record(age.as_secs_f64());
        }
        self.oldest.log = self.oldest.log.max(ages.log);
        self.oldest.others = self.oldest.others.max(ages.others);
    }

    /// Adds the times of the parts of events to the metrics and to the next line with the
    /// load. They are contained in the times of the events.
    fn add_parts(&mut self, parts: &BTreeMap<Work, WorkTime>) {
        for (work, time) in parts {
            let part = work.name();
            metrics::counter!("deckwind_control_part_us_total", "part" => part)
                .increment(time.took.as_micros() as u64);
            metrics::counter!("deckwind_control_part_total", "part" => part).increment(time.count);
            let sum = self.parts.entry(*work).or_default();
            sum.count += time.count;
            sum.took += time.took;
        }
    }

    /// Ends a batch of `events` events: adds its times to the metrics, and logs it if it
    /// took long. `parts` are the parts of the events' work.
    pub fn end_batch(&mut self, events: usize, parts: BTreeMap<Work, WorkTime>) {
        self.add_parts(&parts);
        let batch = std::mem::take(&mut self.batch);
        for (kind, took) in &batch {
            metrics::counter!("deckwind_control_worked_us_total", "kind" => *kind)
                .increment(took.as_micros() as u64);
            *self.since_load_line.entry(*kind).or_default() += *took;
        }
        let total: Duration = batch.values().sum();
        metrics::histogram!("deckwind_control_batch_seconds").record(total.as_secs_f64());
        let was_logged = self
            .long_batch_logged_at
            .is_some_and(|at| at.elapsed() < LONG_BATCH_LOG_INTERVAL);
        if total < LONG_BATCH || was_logged {
            return;
        }
        self.long_batch_logged_at = Some(Instant::now());
        let longest = batch.iter().max_by_key(|(_, took)| **took);
        let (kind, took) = longest.map_or(("", Duration::ZERO), |(k, t)| (*k, *t));
        log::info!(
            "event=long_batch took_ms={} events={events} most_at={kind} most_ms={}{}",
            total.as_millis(),
            took.as_millis(),
            format_parts(&parts)
        );
    }
}

impl WorkTimes {
    /// Updates the metrics of forwarded requests and lagging routers, and logs a leader's
    /// times by kind of event, every `LOAD_LOG_INTERVAL`.
    pub fn log_load(&mut self, core: &ControlCore) {
        let was_logged = self
            .load_logged_at
            .is_some_and(|at| at.elapsed() < LOAD_LOG_INTERVAL);
        if was_logged {
            return;
        }
        let last = self.load_logged_at.replace(Instant::now());
        let times = std::mem::take(&mut self.since_load_line);
        let parts = std::mem::take(&mut self.parts);
        let oldest = std::mem::take(&mut self.oldest);
        let before = std::mem::replace(&mut self.sent, core.sent_state());
        metrics::gauge!("deckwind_control_passed_on_waiting").set(core.forwarded_len() as f64);
        let Some((routers, behind)) = core.lagging_routers() else {
            return;
        };
        metrics::gauge!("deckwind_control_routers_behind_revisions").set(behind as f64);
        let without_state = core.leases_without_state() - self.leases_without_state;
        self.leases_without_state += without_state;
        metrics::counter!("deckwind_control_leases_without_state_total").increment(without_state);
        if core.replica().role() != Role::Leader {
            return;
        }
        let period = last.map_or(LOAD_LOG_INTERVAL, |at| at.elapsed());
        let kinds: Vec<String> = times
            .iter()
            .map(|(kind, took)| format!("{kind}_ms={}", took.as_millis()))
            .collect();
        log::info!(
            "event=leader_load over_ms={} routers={routers} behind={behind} \
             without_state={without_state} {}{} oldest_log_ms={} oldest_input_ms={} {}",
            period.as_millis(),
            kinds.join(" "),
            format_parts(&parts),
            oldest.log.as_millis(),
            oldest.others.as_millis(),
            format_sent(before, self.sent)
        );
    }
}

/// Formats how long the parts took and how often they were done, with a space before each.
fn format_parts(parts: &BTreeMap<Work, WorkTime>) -> String {
    let format = |(work, time): (&Work, &WorkTime)| {
        let (part, took) = (work.name(), time.took.as_millis());
        format!(" {part}_ms={took} {part}={}", time.count)
    };
    parts.iter().map(format).collect()
}

/// Formats what was sent between two readings.
fn format_sent(before: SentState, now: SentState) -> String {
    format!(
        "sent_deltas={} sent_bytes={} sent_releases={} sent_instances={} sent_suspects={}",
        now.deltas - before.deltas,
        now.bytes - before.bytes,
        now.releases - before.releases,
        now.instances - before.instances,
        now.suspects - before.suspects
    )
}

/// Returns the metric label for the kind of an event.
pub fn kind_of(event: &ControlEvent) -> &'static str {
    match event {
        ControlEvent::Tick => "tick",
        ControlEvent::Replica(_) => "log",
        ControlEvent::Request { request, .. } => kind_of_request(request),
        ControlEvent::Relayed { request, .. } => kind_of_request(&request.request),
        ControlEvent::Answered(_) => "answers",
        ControlEvent::AnnouncementReport(_) => "heard",
        ControlEvent::PlacementDone { .. } => "placed",
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
