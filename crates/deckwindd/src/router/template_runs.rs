//! Runs of template requests, with detection of targets that crash while running them.
//!
//! Configured targets do not announce their incarnations, so the router detects a crash by
//! itself: a target has crashed if it broke off a run and its port then refuses
//! connections. As with published routes (`deckwind_core::routes::InterruptedRuns`),
//! requests with a trait that was at three crashes are sent by no router any more.

use super::routes::{InterruptedRun, format_parts};
use super::shared::RouterShared;
use deckwind_core::routes::MAX_POISON_RUN_TIME;
use deckwind_core::state::{Incarnation, RequestTraits};
use deckwind_core::time::Instant;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout for connecting to a target that broke off a run. A refusal takes one round trip;
/// a target that does not respond may still be running.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before the second connection attempt. It delays the retry of the broken-off request
/// by as much.
const RECHECK_DELAY: Duration = Duration::from_millis(30);

/// Maximum number of addresses whose crashes are counted, which is more than there are
/// configured targets.
const MAX_ADDRESSES: usize = 4_096;

/// Number of crashes of each configured target that this router has detected.
#[derive(Default)]
pub struct TargetCrashCounts {
    counts: Mutex<HashMap<SocketAddr, u64>>,
}

impl TargetCrashCounts {
    /// Returns the number of crashes at an address so far, which numbers the incarnations
    /// of the target there.
    fn count(&self, address: SocketAddr) -> u64 {
        let counts = self.counts.lock().expect("no holder panics");
        counts.get(&address).copied().unwrap_or(0)
    }

    /// Records the crash of the incarnation with this number. Several runs may report the
    /// same crash.
    fn record(&self, address: SocketAddr, number: u64) {
        let mut counts = self.counts.lock().expect("no holder panics");
        if counts.len() >= MAX_ADDRESSES && !counts.contains_key(&address) {
            log::warn!("event=ends_of_targets_forgotten addresses={}", counts.len());
            counts.clear();
        }
        let count = counts.entry(address).or_default();
        *count = (*count).max(number + 1);
    }
}

/// Run of a request at one target, from just before the request is sent.
pub struct TemplateRun {
    shared: Arc<RouterShared>,
    request: RequestTraits,
    address: SocketAddr,
    number: u64,
    sent: Instant,
    first_progress_at: Option<Instant>,
    last_progress_at: Option<Instant>,
    /// Whether the run has gone on for long enough to clear its request.
    is_cleared: bool,
}

impl TemplateRun {
    /// Begins the run of a request that is about to be sent to a target.
    pub fn begin(shared: &Arc<RouterShared>, request: &RequestTraits, address: SocketAddr) -> Self {
        Self {
            shared: shared.clone(),
            request: request.clone(),
            address,
            number: shared.crash_counts.count(address),
            sent: shared.clock.now(),
            first_progress_at: None,
            last_progress_at: None,
            is_cleared: false,
        }
    }

    /// Records that part of the answer has arrived.
    pub fn record_progress(&mut self) {
        let now = self.shared.clock.now();
        let first = *self.first_progress_at.get_or_insert(now);
        self.last_progress_at = Some(now);
        if !self.is_cleared && now.since(first) >= MAX_POISON_RUN_TIME {
            self.is_cleared = true;
            self.record_served();
        }
    }

    /// Returns the incarnation that runs the request, under an ID unique to this router
    /// process.
    fn incarnation(&self) -> Incarnation {
        let holder = self.shared.holder();
        Incarnation {
            id: format!("{} by {}/{}", self.address, holder.vm, holder.boot),
            born: Some(self.number),
        }
    }

    /// Records that the answer broke off, and checks whether the target has crashed. Must
    /// complete before the request is sent to another target.
    pub async fn record_broken_off(&self) {
        let has_crashed = is_gone(self.address).await;
        let incarnation = self.incarnation();
        metrics::counter!("deckwind_route_runs_cut_total", "how" => "broke").increment(1);
        log::info!(
            "event=run_cut content={} target={} life={incarnation} how=broke gone={has_crashed} parts={}",
            self.request.content(),
            self.address,
            format_parts(&self.request)
        );
        if !has_crashed {
            return;
        }
        let now = self.shared.clock.now();
        let run = InterruptedRun {
            request: &self.request,
            address: self.address,
            incarnation: &incarnation,
            sent: self.sent,
            writing_time: self.writing_time(),
            // The leader cannot probe configured targets, since it does not track them.
            broken_off: false,
        };
        let poison_requests = &self.shared.routes.poison_requests;
        poison_requests.record_interrupted(now, &run);
        self.shared.crash_counts.record(self.address, self.number);
        poison_requests.record_ended(now, vec![incarnation]);
    }

    /// Returns the time from the first part of the answer to the last one.
    fn writing_time(&self) -> Option<Duration> {
        let (first, last) = (self.first_progress_at?, self.last_progress_at?);
        Some(last.since(first))
    }

    /// Records that the target has served the request and is still running.
    pub fn record_served(&self) {
        let now = self.shared.clock.now();
        self.shared
            .routes
            .poison_requests
            .record_served(now, &self.request);
    }
}

/// Returns whether nothing listens at the address any more. It is checked twice, since a
/// process that exits may close its connections before its listening port.
async fn is_gone(address: SocketAddr) -> bool {
    if refuses_connections(address).await {
        return true;
    }
    tokio::time::sleep(RECHECK_DELAY).await;
    refuses_connections(address).await
}

async fn refuses_connections(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    matches!(connecting.await, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused)
}
