//! One run of a request at one target, and how it ended.

use super::job::Job;
use super::poison_requests::InterruptedRun;
use crate::router::shared::RouterShared;
use deckwind_core::routes::{BodyEnd, MAX_POISON_RUN_TIME, TargetChoice, TrialUse};
use deckwind_core::state::{Incarnation, PartId, RequestTraits};
use deckwind_core::time::Instant;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// End of a run, as seen by the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The target did not run the request.
    NotRun,
    /// The target served the request: the answer is whole, and a success.
    Served,
    /// The target sent a whole stream as far as can be told, and closed the connection,
    /// which alone marks the end.
    Closed,
    /// The target answered that it failed.
    Failed,
    /// The answer broke off, or was invalid.
    Broke,
    /// The router abandoned the run: it stalled, its deadline passed, or its caller
    /// left.
    Abandoned,
}

impl RunEnd {
    /// Returns the end of a run whose stream is whole.
    pub fn of_whole_stream(end: BodyEnd) -> Self {
        match end {
            BodyEnd::Framed => Self::Served,
            BodyEnd::Closed => Self::Closed,
        }
    }

    /// Returns the name used in logs and metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Served => "served",
            Self::Closed => "closed",
            Self::Failed => "failed",
            Self::Broke => "broke",
            Self::Abandoned => "left",
        }
    }
}

/// A run, from just before the request is sent. A run that is dropped counts as
/// abandoned.
pub struct TargetRun {
    shared: Arc<RouterShared>,
    request: String,
    traits: RequestTraits,
    address: SocketAddr,
    incarnation: Incarnation,
    sent: Instant,
    first_event: Option<Instant>,
    last_event: Option<Instant>,
    events: u32,
    /// Whether the run has written for long enough to clear its request.
    is_cleared: bool,
    is_closed: bool,
    /// Whether the run is a trial of a quarantined content.
    is_trial: bool,
}

impl TargetRun {
    /// Begins a run, just before the request is sent to the chosen target.
    pub fn begin(job: &Job, choice: &TargetChoice) -> Self {
        Self {
            shared: job.shared.clone(),
            request: job.head.id.clone(),
            traits: job.traits.clone(),
            address: choice.address,
            incarnation: choice.incarnation(),
            sent: job.shared.clock.now(),
            first_event: None,
            last_event: None,
            events: 0,
            is_cleared: false,
            is_closed: false,
            is_trial: job.trial.begin_run(&job.shared, &job.traits),
        }
    }

    /// Counts received events. Once the run has written for long enough, its request is known
    /// not to crash targets.
    pub fn record_event(&mut self) {
        self.events += 1;
        let now = self.shared.clock.now();
        let first = *self.first_event.get_or_insert(now);
        self.last_event = Some(now);
        if !self.is_cleared && now.since(first) >= MAX_POISON_RUN_TIME {
            self.is_cleared = true;
            let poison_requests = &self.shared.routes.poison_requests;
            poison_requests.record_served(now, &self.traits);
        }
    }

    /// Ends the run.
    pub fn close(mut self, end: RunEnd) {
        self.end(end);
    }

    fn end(&mut self, end: RunEnd) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        let now = self.shared.clock.now();
        let poison_requests = &self.shared.routes.poison_requests;
        match end {
            RunEnd::Served => poison_requests.record_served(now, &self.traits),
            RunEnd::Closed => {
                let wrote = self.writing_time();
                poison_requests.record_closed(now, &self.traits, &self.incarnation, wrote);
            }
            RunEnd::Broke | RunEnd::Abandoned => self.report_interrupted(end),
            RunEnd::NotRun if self.is_trial => {
                poison_requests.change_trial(&self.traits, TrialUse::Run, TrialUse::Free);
            }
            RunEnd::NotRun | RunEnd::Failed => {}
        }
    }

    fn report_interrupted(&self, end: RunEnd) {
        self.log_interrupted(end);
        let now = self.shared.clock.now();
        let interrupted = InterruptedRun {
            request: &self.traits,
            address: self.address,
            incarnation: &self.incarnation,
            sent: self.sent,
            writing_time: self.writing_time(),
            broken_off: end == RunEnd::Broke,
        };
        self.shared
            .routes
            .poison_requests
            .record_interrupted(now, &interrupted);
    }

    /// Returns the time from the first event to the last one, if there was any.
    fn writing_time(&self) -> Option<Duration> {
        let (first, last) = (self.first_event?, self.last_event?);
        Some(last.since(first))
    }

    /// Logs a run that was not answered whole: which content ran where, and for how
    /// long.
    fn log_interrupted(&self, end: RunEnd) {
        let now = self.shared.clock.now();
        let since = |at: Option<Instant>| at.map_or(-1, |at| now.since(at).as_millis() as i64);
        metrics::counter!("deckwind_route_runs_cut_total", "how" => end.as_str()).increment(1);
        let wrote = self.writing_time().unwrap_or_default();
        metrics::histogram!("deckwind_route_cut_run_writing_seconds").record(wrote.as_secs_f64());
        log::info!(
            "event=run_cut request={} content={} target={} life={} how={} sent_ms_ago={} begun_ms_ago={} wrote_ms={} pieces={} parts={}",
            self.request,
            self.traits.content(),
            self.address,
            self.incarnation,
            end.as_str(),
            since(Some(self.sent)),
            since(self.first_event),
            self.writing_time()
                .map_or(-1, |wrote| wrote.as_millis() as i64),
            self.events,
            format_parts(&self.traits)
        );
    }
}

/// Maximum number of parts of a prompt in one log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Formats the parts of a prompt that other requests may share, for logs.
pub fn format_parts(traits: &RequestTraits) -> String {
    let parts = traits.shared_parts();
    if parts.is_empty() {
        return "-".to_string();
    }
    let logged = parts.iter().take(MAX_LOGGED_PARTS).map(PartId::to_string);
    logged.collect::<Vec<_>>().join(",")
}

impl Drop for TargetRun {
    fn drop(&mut self) {
        self.end(RunEnd::Abandoned);
    }
}
