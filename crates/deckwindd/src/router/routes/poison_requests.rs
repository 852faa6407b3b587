//! Requests that targets crash on. The decisions are made in
//! `deckwind_core::routes::InterruptedRuns`; this module reports them to the leader and logs
//! them.

use crate::router::shared::RouterShared;
use deckwind_core::backoff::{Backoff, BackoffLimits};
use deckwind_core::control::CutReport;
use deckwind_core::routes::{InterruptedRuns, SendVerdict};
use deckwind_core::state::{Incarnation, RequestTrait, RequestTraits, SuspectChange, SuspectList};
use deckwind_core::time::Instant;
use deckwind_wire::{ControlReply, ControlRequest};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Timeout of a report to the leader. After it, and a pause, the report is sent again, together
/// with later changes.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Pauses after reports without an answer. Until the leader has its reports, a router acts on
/// crashes that it saw itself.
const REPORT_BACKOFF: BackoffLimits = BackoffLimits {
    first: Duration::from_millis(250),
    factor: 2,
    max: Duration::from_secs(2),
};

/// Time over which interrupted runs are collected into one report: all streams of an
/// engine break off together.
const BATCH_WINDOW: Duration = Duration::from_millis(5);

/// Maximum number of targets named in one report: as many as end with a data centre.
/// Further targets are detected by their missing announcements.
const MAX_BROKEN_TARGETS: usize = 512;

/// A run that was interrupted.
pub struct InterruptedRun<'a> {
    /// Traits of the request.
    pub request: &'a RequestTraits,
    /// Address of the target.
    pub address: SocketAddr,
    /// Incarnation of the target.
    pub incarnation: &'a Incarnation,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time from the first event of the run to its last one; `None` if there was none.
    pub writing_time: Option<Duration>,
    /// Whether the target broke the run off.
    pub broken_off: bool,
}

/// Knowledge of this router about requests and targets that crashed on them.
#[derive(Default)]
pub struct PoisonRequests {
    runs: Mutex<InterruptedRuns>,
    /// Targets whose answers broke off and that have not been reported to the leader
    /// yet.
    broken_targets: Mutex<Vec<SocketAddr>>,
    report_due: Notify,
}

impl PoisonRequests {
    /// Creates an empty record; targets announce themselves every `period`.
    pub fn new(period: Duration) -> Self {
        Self {
            runs: Mutex::new(InterruptedRuns::with_period(period)),
            ..Self::default()
        }
    }

    fn runs(&self) -> MutexGuard<'_, InterruptedRuns> {
        self.runs.lock().expect("no holder panics")
    }

    /// Decides whether a request may be sent.
    pub fn verdict(&self, now: Instant, request: &RequestTraits) -> SendVerdict {
        self.runs().verdict(now, request)
    }

    /// Records that a target has served a request with these traits and did not crash.
    pub fn record_served(&self, now: Instant, request: &RequestTraits) {
        self.record(|runs| runs.record_served(now, request));
    }

    /// Records a run whose answer ended with its connection; `wrote` is the time from its first
    /// event to its last one.
    pub fn record_closed(
        &self,
        now: Instant,
        request: &RequestTraits,
        incarnation: &Incarnation,
        wrote: Option<Duration>,
    ) {
        self.record(|runs| runs.record_closed(now, request, incarnation, wrote));
    }

    fn record(&self, record: impl FnOnce(&mut InterruptedRuns)) {
        let mut runs = self.runs();
        record(&mut runs);
        let has_changes = runs.has_unreported_changes();
        drop(runs);
        if has_changes {
            self.report_due.notify_one();
        }
    }

    /// Records an interrupted run.
    pub fn record_interrupted(&self, now: Instant, run: &InterruptedRun) {
        let mut runs = self.runs();
        if runs.was_sent_after_end(now, run.incarnation, run.sent) {
            return;
        }
        if run.broken_off {
            runs.record_break(now, run.incarnation);
        }
        let is_suspect =
            runs.record_interrupted(now, run.request, run.incarnation, run.writing_time);
        drop(runs);
        if is_suspect && run.broken_off {
            let mut broke = self.broken_targets.lock().expect("no holder panics");
            if broke.len() < MAX_BROKEN_TARGETS && !broke.contains(&run.address) {
                broke.push(run.address);
            }
        }
        self.report_due.notify_one();
    }

    /// Records that these incarnations have ended unplanned.
    pub fn record_ended(&self, now: Instant, incarnations: Vec<Incarnation>) {
        if incarnations.is_empty() {
            return;
        }
        let ended = self.runs().record_ended_incarnations(now, incarnations);
        for (content, incarnation) in &ended {
            metrics::counter!("deckwind_route_ended_targets_total").increment(1);
            log::warn!("event=target_ended_under content={content} life={incarnation}");
        }
        if !ended.is_empty() {
            self.report_due.notify_one();
        }
    }

    /// Applies the list of suspected traits that the replicas have agreed on.
    pub fn apply_list(&self, now: Instant, list: Arc<SuspectList>) {
        let mut runs = self.runs();
        let before = runs.set_agreed(now, list.clone());
        let has_changes = runs.has_unreported_changes();
        drop(runs);
        if has_changes {
            self.report_due.notify_one();
        }
        if before != list {
            log_quarantine_changes(&before, &list);
        }
    }

    /// Waits for a change to report to the leader.
    async fn next_report(&self) -> CutReport {
        loop {
            self.report_due.notified().await;
            tokio::time::sleep(BATCH_WINDOW).await;
            let broke = std::mem::take(&mut *self.broken_targets.lock().expect("no holder panics"));
            let changes = self.take_changes();
            if !(broke.is_empty() && changes.is_empty()) {
                return CutReport { broke, changes };
            }
        }
    }

    fn take_changes(&self) -> Vec<SuspectChange> {
        let mut runs = self.runs();
        let dropped = runs.take_dropped_changes();
        let changes = runs.take_unreported_changes();
        drop(runs);
        if dropped > 0 {
            metrics::counter!("deckwind_route_crash_reports_dropped_total").increment(dropped);
            log::warn!("event=cut_runs_dropped changes={dropped} why=\"too many not reported\"");
        }
        changes
    }

    /// Records that the leader has agreed on these changes.
    fn record_agreed(&self, now: Instant, changes: &[SuspectChange]) {
        self.runs().record_agreed(now, changes);
    }

    /// Queues changes again that could not be reported, to be sent with later ones.
    fn requeue(&self, changes: Vec<SuspectChange>) {
        if !changes.is_empty() {
            self.runs().requeue(changes);
            self.report_due.notify_one();
        }
    }
}

/// Logs each group of traits that is newly quarantined, or no longer.
fn log_quarantine_changes(before: &SuspectList, now: &SuspectList) {
    let contains =
        |list: &SuspectList, group: &[RequestTrait]| list.quarantined().any(|g| g == group);
    for group in now.quarantined().filter(|g| !contains(before, g)) {
        let ends = group.first().map_or(0, |t| now.crash_count(t));
        log::warn!("event=quarantined traits={group:?} ends={ends}");
    }
    for group in before.quarantined().filter(|g| !contains(now, g)) {
        log::info!("event=quarantine_ended traits={group:?}");
    }
    metrics::gauge!("deckwind_route_quarantined_groups").set(now.quarantined().count() as f64);
}

/// Reports interrupted runs to the leader in an endless loop.
pub async fn report_interrupted_runs(shared: Arc<RouterShared>) {
    let mut backoff = Backoff::new(REPORT_BACKOFF, rand::random());
    loop {
        let report = shared.routes.poison_requests.next_report().await;
        let request = ControlRequest::CutRuns(report.clone());
        let asked = shared.control.ask(&request, REPORT_TIMEOUT).await;
        let poison_requests = &shared.routes.poison_requests;
        if matches!(asked, Ok(ControlReply::Done)) {
            poison_requests.record_agreed(shared.clock.now(), &report.changes);
            backoff.reset();
            continue;
        }
        let pause = backoff.next_pause();
        log::warn!(
            "event=cut_runs_not_told changes={} answer={asked:?} pause_ms={}",
            report.changes.len(),
            pause.as_millis()
        );
        poison_requests.requeue(report.changes);
        tokio::time::sleep(pause).await;
    }
}
