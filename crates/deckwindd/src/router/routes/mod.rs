//! Published routes: forwards requests of callers to announced targets.
//!
//! ```text
//!  http_server ─► non_streaming ──► one target, with retries where that is safe
//!    │  ▲   └───► opening ─► relay     a path, events as they arrive
//!    │  └─ delivery ◄──────────┘      answers buffered for callers, counted by held_bytes
//!    ▼
//!  Routes: applied release and targets, counters, connections
//! ```

mod delivery;
mod held_bytes;
mod http_server;
mod job;
mod non_streaming;
mod opening;
mod permits;
mod poison_requests;
mod relay;
mod reservation;
mod responses;
mod stall_detection;
mod stall_reports;
mod stop_state;
mod target_notices;
mod target_run;

pub use held_bytes::Deliveries;
pub use http_server::{accept, accept_readiness_checks};
pub use permits::request_permits;
pub use poison_requests::{InterruptedRun, report_interrupted_runs};
pub use responses::BodyError;
pub use stall_detection::{report_slow_engines, watch_streams};
pub use target_run::format_parts;

use crate::context::{Context, announce_interval};
use arc_swap::ArcSwap;
use deckwind_config::RouterSettings;
use deckwind_core::control::{EngineFull, EngineStreamLoad, Grant, LimitReport, RetryReport};
use deckwind_core::routes::{
    EndedIncarnation, InstanceIndex, ProcessStart, ReleaseIndex, RequestClass, RetryBudgets,
    RetryLimits, RetrySource, ReturningCallers, ServingChanges, ServingState, TargetFault,
    TargetRecords,
};
use deckwind_core::state::{Configuration, Instance, InstanceState, Pool, Revision, Route};
use deckwind_core::time::Instant;
use deckwind_net::clock::Clock;
use deckwind_net::edge::CallerDialect;
use deckwind_net::targets::ConnectionPool;
use permits::PermitQueue;
use poison_requests::PoisonRequests;
use stall_detection::WatchedStreams;
use stall_reports::StallReports;
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use stop_state::StopState;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Time for which another router's report of a failed target makes stalled streams
/// move: a bit more than a renewal takes.
const DOWN_REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Time for which the leader's list of slow engines holds without a new one: a bit more
/// than two renewals.
const SLOW_REPORT_TTL: Duration = Duration::from_millis(1_600);

/// State that the tasks of published routes share.
pub struct Routes {
    /// Written by the task that renews the lease alone.
    serving: ArcSwap<ServingState>,
    target_records: Mutex<TargetRecords>,
    retry_budgets: Mutex<RetryBudgets>,
    clock: Clock,
    /// Protocol in which targets report about themselves.
    dialect: Arc<dyn CallerDialect>,
    /// Connections to targets.
    pub connections: ConnectionPool,
    /// Number of routers with a lease, as last reported by the leader.
    routers: AtomicU32,
    /// Answers on their way to callers, and the count of buffered bytes.
    pub deliveries: Arc<Deliveries>,
    /// Reports of engines about the stages that their streams wait for.
    pub stall_reports: StallReports,
    /// Streams that are watched for stalls.
    pub watched_streams: WatchedStreams,
    /// Requests that targets crash on.
    pub poison_requests: PoisonRequests,
    /// Failed targets that have not been reported to the leader yet.
    failed_targets: Mutex<Vec<SocketAddr>>,
    failing_changed: Notify,
    /// Time of the last grant with information about the other routers.
    granted_at: Mutex<Instant>,
    returning_callers: Mutex<ReturningCallers>,
    /// Refusals by engines that have not been reported to the leader yet.
    refusing_engines: Mutex<Vec<EngineFull>>,
    full_changed: Notify,
    /// Requests that wait for permits.
    permits: PermitQueue,
    /// Notified when a retry budget runs short and the leader has to be asked for more.
    retries_short: Notify,
    /// Notified when the leader has granted retries.
    retries_granted: Notify,
    /// The planned stop of this router, once it has begun.
    pub stop: StopState,
}

impl Routes {
    /// Creates the state without a release.
    pub fn new(cx: &Context, cfg: &RouterSettings) -> Self {
        let limits = RetryLimits {
            share: cfg.repeats.share,
            extra: cfg.repeats.beyond,
            window: cfg.repeats.window,
        };
        let seeds = cx.settings.seeds.as_ref();
        let started = ProcessStart {
            at: cx.clock.now(),
            first: seeds.is_some_and(|s| s.first_start),
        };
        Self {
            serving: ArcSwap::default(),
            target_records: Mutex::default(),
            retry_budgets: Mutex::new(RetryBudgets::new(limits, started)),
            clock: cx.clock,
            dialect: cx.dialects.callers.clone(),
            connections: ConnectionPool::with_budget(
                cx.clock,
                cx.connector.clone(),
                cx.receive_budget.clone(),
            ),
            routers: AtomicU32::new(1),
            deliveries: Arc::new(Deliveries::new(cx.clock, cfg)),
            stall_reports: StallReports::new(cx.dialects.engines.clone()),
            watched_streams: WatchedStreams::default(),
            poison_requests: PoisonRequests::new(announce_interval(cfg.announce_every)),
            failed_targets: Mutex::default(),
            failing_changed: Notify::new(),
            granted_at: Mutex::new(Instant::ZERO),
            returning_callers: Mutex::default(),
            refusing_engines: Mutex::default(),
            full_changed: Notify::new(),
            permits: PermitQueue::default(),
            retries_short: Notify::new(),
            retries_granted: Notify::new(),
            stop: StopState::new(cx.clock),
        }
    }

    /// Returns the maximum number of idle connections that this router may keep to a
    /// target of a pool.
    pub fn max_idle_connections(&self, pool: &Pool) -> usize {
        pool.max_idle_connections(self.routers.load(Ordering::Relaxed))
    }

    /// Returns the release, the targets and the lease of this router.
    pub fn serving(&self) -> Arc<ServingState> {
        self.serving.load_full()
    }

    /// Returns the release in force at this router.
    pub fn release(&self) -> Option<Arc<ReleaseIndex>> {
        self.serving().release().cloned()
    }

    /// Returns the targets of the applied configuration.
    pub fn instances(&self) -> Arc<InstanceIndex> {
        self.serving().instances().clone()
    }

    /// Puts a renewed lease in force, together with what came with it.
    pub fn renew(&self, now: Instant, until: Instant, changes: Option<ServingChanges>) {
        let serving = self.serving().renewed(now, until, changes);
        self.serving.store(Arc::new(serving));
    }

    /// Locks the records of targets. Hold the lock for one call only.
    pub fn target_records(&self) -> MutexGuard<'_, TargetRecords> {
        self.target_records.lock().expect("no holder panics")
    }

    /// Counts a request for a pool.
    pub fn count_request(&self, now: Instant, pool: &str) {
        self.retry_budgets
            .lock()
            .expect("no holder panics")
            .of_pool(pool)
            .record_request(now);
    }

    /// Whether a request of this route is already late: its caller, who still waits for
    /// `wait_time`, has been retrying for longer than the route's objective.
    pub fn is_late(&self, route: &Route, wait_time: Duration) -> bool {
        let objective = Duration::from_millis(route.objective_ms);
        let mut known = self.returning_callers.lock().expect("no holder panics");
        known.is_late(&route.name, wait_time, objective)
    }

    /// Spends a retry of a pool's budget on a request with this claim; false if none is
    /// left. Asks the leader for more if the budget runs short.
    pub fn spend_retry(&self, now: Instant, pool: &str, claim: RequestClass, id: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        let mut budgets = self.retry_budgets();
        let budget = budgets.of_pool(pool);
        let paid = budget.spend(now, claim, hasher.finish());
        let available = budget.granted().available(now);
        let (requests, spent) = budget.window_counts(now);
        let is_short = budgets.needs_more(now);
        drop(budgets);
        if is_short {
            self.retries_short.notify_one();
        }
        let source = match paid {
            Some(RetrySource::Share) => "share",
            Some(RetrySource::Granted) => "leased",
            None => "none",
        };
        metrics::counter!("deckwind_route_repeats_total", "paid" => source).increment(1);
        let event = match paid {
            Some(_) => "repeat_paid",
            None => "repeat_denied",
        };
        log::info!(
            "event={event} request={id} pool={pool} claim={claim:?} with={source} requests={requests} repeats={spent} left={available}"
        );
        if paid.is_none() {
            metrics::counter!("deckwind_route_repeats_denied_total").increment(1);
        }
        paid.is_some()
    }

    /// Returns the report on retry budgets for the leader.
    pub fn retry_report(&self, now: Instant) -> Option<RetryReport> {
        self.retry_budgets().report(now)
    }

    /// Waits until a retry budget runs short.
    pub async fn retries_short(&self) {
        self.retries_short.notified().await;
    }

    /// Whether the leader may grant a retry for a request with this claim when it is
    /// asked.
    pub fn retry_may_be_granted(&self, pool: &str, claim: RequestClass) -> bool {
        self.retry_budgets()
            .of_pool(pool)
            .granted()
            .may_be_granted(claim)
    }

    /// Returns a future that resolves when the leader next grants retries after this
    /// call.
    pub fn retries_granted(&self) -> Notified<'_> {
        self.retries_granted.notified()
    }

    fn retry_budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        self.retry_budgets.lock().expect("no holder panics")
    }

    /// Prepares a changed configuration, which is in force with the next renewal of the
    /// lease. Quarantined requests are refused, and ended targets forgotten, from now on.
    pub fn prepare(&self, now: Instant, cfg: &Configuration) -> ServingChanges {
        let mut release = self.release();
        let before = release.as_ref().map(|r| r.revision());
        if before != Some(cfg.release_revision()) {
            let index = ReleaseIndex::new(cfg);
            if let Some(index) = &index {
                log::info!(
                    "event=release_in_force version={} revision={}",
                    index.release().version,
                    index.revision()
                );
                let known = |pool: &str| index.release().pool(pool).is_some();
                let mut budgets = self.retry_budgets.lock().expect("no holder panics");
                budgets.retain(known);
                let routes = &index.release().routes;
                let known = |name: &str| routes.iter().any(|r| r.name == name);
                let mut callers = self.returning_callers.lock().expect("no holder panics");
                callers.retain(known);
            }
            release = index.map(Arc::new);
        }
        let index = InstanceIndex::new(cfg);
        let before = self.instances();
        log_target_changes(&before, &index, cfg.revision());
        self.poison_requests
            .record_ended(now, index.crashed_incarnations(&before));
        self.poison_requests.apply_list(now, cfg.suspects());
        self.reset_ended_targets(now, &before, &index);
        let addresses: HashSet<SocketAddr> = index.iter().map(|i| i.address).collect();
        self.connections.retain(|a| addresses.contains(a));
        self.target_records().retain(now, |a| addresses.contains(a));
        self.update_silent(now, &index);
        ServingChanges {
            release,
            instances: Arc::new(index),
        }
    }

    /// Records which targets the control replicas don't hear.
    fn update_silent(&self, now: Instant, index: &InstanceIndex) {
        let silent = index.iter().filter(|i| i.state == InstanceState::Silent);
        let mut records = self.target_records();
        let silent = silent.map(|i| i.address);
        records.evidence.set_silent(now, silent);
    }

    /// Resets what is known of addresses whose incarnation has ended. Streams that pass
    /// through them take another path as soon as they stall.
    fn reset_ended_targets(&self, now: Instant, before: &InstanceIndex, index: &InstanceIndex) {
        for over in index.ended_incarnations(before) {
            let EndedIncarnation {
                address,
                incarnation,
                by,
            } = over;
            self.connections.close_idle(address);
            let mut records = self.target_records();
            records.reset_target(now + DOWN_REPORT_TTL, address);
            if let Some(by) = &by {
                let notices = &mut records.notices;
                notices.replace_incarnation(now, address, &incarnation, by);
            }
            drop(records);
            metrics::counter!("deckwind_route_lives_ended_total").increment(1);
            let by = by.map_or("-".to_string(), |incarnation| incarnation.to_string());
            log::info!("event=life_over target={address} life={incarnation} by={by}");
        }
    }

    /// Applies a grant that was requested at `asked`: the state of the other routers,
    /// and retries, which last as long as a lease.
    pub fn apply_grant(
        &self,
        asked: Instant,
        now: Instant,
        lasts: Duration,
        reported: &[EngineStreamLoad],
        grant: &Grant,
    ) {
        if self
            .retry_budgets()
            .apply_grants(asked, lasts, &grant.repeats)
        {
            self.retries_granted.notify_waiters();
        }
        self.routers.store(grant.routers, Ordering::Relaxed);
        self.apply_limits(asked, now, grant);
        let mut records = self.target_records();
        records.apply_load_update(reported, grant.in_use.as_ref());
        records.mark_unconfirmed(now + DOWN_REPORT_TTL, &grant.failing);
        records.record_full_engines(now, &grant.full);
        records.set_slow(now + SLOW_REPORT_TTL, grant.slow.iter().map(|p| p.address));
        metrics::gauge!("deckwind_route_targets_resting").set(records.notices.resting(now) as f64);
        let silent_in_use = records.evidence.alive_count(now);
        metrics::gauge!("deckwind_route_targets_silent_alive").set(silent_in_use as f64);
        drop(records);
        self.watched_streams.record_failing(now, &grant.failing);
        *self.granted_at.lock().expect("no holder panics") = now;
    }

    /// Returns the report on limits for the leader.
    pub fn limit_report(&self, now: Instant) -> LimitReport {
        self.target_records().limits.report(now)
    }

    /// Applies the leader's list of limited targets, if the grant has one.
    fn apply_limits(&self, asked: Instant, now: Instant, grant: &Grant) {
        let mut records = self.target_records();
        let list = grant.limits.as_ref();
        let changes = records.limits.apply_list(asked, now, grant.term, list);
        let limited = records.limits.limited_count();
        drop(records);
        metrics::gauge!("deckwind_route_targets_limited").set(limited as f64);
        for target in changes.begun {
            log::info!("event=limit_told {target}");
        }
        for target in changes.ended {
            log::info!("event=limit_over {target}");
        }
    }

    /// Returns the age of the last information about the other routers, for logs.
    pub fn grant_age(&self, now: Instant) -> Duration {
        now.since(*self.granted_at.lock().expect("no holder panics"))
    }

    /// Records a failure of a target: it is avoided for a while, and if it is down,
    /// this is reported to the other routers.
    pub fn target_failed(&self, now: Instant, address: SocketAddr, fault: TargetFault, why: &str) {
        let mut records = self.target_records();
        let is_new = match fault {
            TargetFault::Down => !records.is_down(now, address),
            TargetFault::Answer => !records.is_in_backoff(now, address),
        };
        let wait = records.record_failure(now, address, fault);
        drop(records);
        if !is_new {
            return;
        }
        log::warn!(
            "event=target_avoided target={address} fault={fault:?} for_ms={} why={why:?}",
            wait.as_millis()
        );
        if fault == TargetFault::Answer {
            return;
        }
        self.report_down(address);
    }

    /// Queues a failed target for the report to the leader.
    fn report_down(&self, address: SocketAddr) {
        let mut failing = self.failed_targets.lock().expect("no holder panics");
        failing.push(address);
        self.failing_changed.notify_one();
    }

    /// Records that something was received from or through these targets.
    pub fn record_alive(&self, now: Instant, addresses: &[SocketAddr]) {
        let mut records = self.target_records();
        records.evidence.record_alive(now, addresses);
    }

    /// Records that the engines on a stream's path have answered.
    pub fn record_answered(&self, addresses: &[SocketAddr]) {
        let mut records = self.target_records();
        addresses.iter().for_each(|a| records.record_success(*a));
    }

    /// Records that an engine has refused a request for lack of free capacity: it is
    /// avoided for a moment, and the refusal is reported to the other routers.
    pub fn record_refusal(&self, now: Instant, address: SocketAddr) {
        let full = self.target_records().record_refusal(now, address);
        metrics::counter!("deckwind_route_target_refusals_total").increment(1);
        self.refusing_engines
            .lock()
            .expect("no holder panics")
            .push(full);
        self.full_changed.notify_one();
    }

    /// Waits for refusals by engines that have not been reported to the leader, then
    /// collects further ones for `collect`.
    pub async fn refusing_engines(&self, collect: Duration) -> Vec<EngineFull> {
        loop {
            self.full_changed.notified().await;
            tokio::time::sleep(collect).await;
            let full =
                std::mem::take(&mut *self.refusing_engines.lock().expect("no holder panics"));
            // Only the last refusal of each engine counts.
            let last: HashMap<SocketAddr, EngineFull> =
                full.into_iter().map(|f| (f.address, f)).collect();
            if !last.is_empty() {
                return last.into_values().collect();
            }
        }
    }

    /// Waits for failed targets that have not been reported to the leader.
    pub async fn failed_targets(&self) -> Vec<SocketAddr> {
        loop {
            self.failing_changed.notified().await;
            let mut failing = self.failed_targets.lock().expect("no holder panics");
            if !failing.is_empty() {
                return std::mem::take(&mut failing);
            }
        }
    }
}

/// Maximum number of targets logged for one change of the configuration. A data centre
/// that joins would otherwise add a line for each of its targets.
const MAX_LOGGED_TARGETS: usize = 64;

/// Logs each target whose known state differs between two configurations.
fn log_target_changes(before: &InstanceIndex, now: &InstanceIndex, revision: Revision) {
    // Looked up by id rather than compared in pairs: there are thousands of targets.
    let known: HashMap<&str, &Instance> = before.iter().map(|i| (i.id.as_str(), i)).collect();
    let is_new = |i: &&Instance| {
        let known = known.get(i.id.as_str());
        known.is_none_or(|o| o.state != i.state || o.layers != i.layers || o.born != i.born)
    };
    let changed: Vec<&Instance> = now.iter().filter(is_new).collect();
    for i in changed.iter().take(MAX_LOGGED_TARGETS) {
        log::info!(
            "event=target_changed target={} instance={} born={} pool={} state={:?} layers={}-{} revision={revision}",
            i.address,
            i.id,
            i.born.map_or("-".to_string(), |b| b.to_string()),
            i.pool,
            i.state,
            i.layers.first,
            i.layers.last
        );
    }
    let more = changed.len().saturating_sub(MAX_LOGGED_TARGETS);
    if more > 0 {
        log::info!("event=targets_changed more={more} revision={revision}");
    }
    let there: HashSet<&str> = now.iter().map(|i| i.id.as_str()).collect();
    for removed in before.iter().filter(|i| !there.contains(i.id.as_str())) {
        log::info!(
            "event=target_gone target={} instance={} revision={revision}",
            removed.address,
            removed.id
        );
    }
}
