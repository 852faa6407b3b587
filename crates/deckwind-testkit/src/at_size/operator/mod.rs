//! An operator who publishes changes, resends those without a clear answer and reads the
//! release back.

mod client;
mod drafts;
mod paths;

use super::checks::{Change, Reading};
use super::releases::{ProbeRoute, Release, marker};
use super::size::Size;
use bytes::Bytes;
use client::{CALL_TIMEOUT, OperatorClient};
pub use drafts::FIRST_VERSION;
use drafts::{CHANGE_KINDS, ChangeKind, Defect, Draft};
use http::StatusCode;
pub use paths::ProbePaths;
use rand::RngExt;
use rand::seq::IndexedRandom;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// What each route of a release adds to the timeout of its call.
const CALL_TIMEOUT_PER_ROUTE: Duration = Duration::from_millis(3);

/// Pause after a call without a clear answer: at first, and at most.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Time after which an operator gives a change up.
pub const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// Number of calls in progress at the same time.
const MAX_CALLS: usize = 8;

/// Number of answers with another 4xx after which an operator takes a change as refused.
const MAX_OTHER_REFUSALS: usize = 3;

/// Statuses of an immediate refusal.
const REFUSALS: [u16; 5] = [400, 409, 412, 413, 422];

/// Interval between two readings.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which the release is read at the end.
const END_READ_TIME: Duration = Duration::from_secs(5);

/// What an operator does in a run.
#[derive(Clone, Copy, Debug)]
pub struct OperatorPlan {
    /// Mean interval between two changes.
    pub interval: Duration,
    /// Number of routes of each release beside those that change.
    pub routes: usize,
}

/// State shared by an operator's tasks.
pub struct Operator {
    client: OperatorClient,
    size: Size,
    started: Instant,
    changes: Mutex<Vec<Change>>,
    readings: Mutex<Vec<Reading>>,
    /// What probes may ask for.
    pub paths: Mutex<ProbePaths>,
    slots: Arc<Semaphore>,
    stop: AtomicBool,
}

/// The clear answer to a change, if there was one.
struct PutOutcome {
    acknowledged: Option<(Duration, usize)>,
    refused: Option<u16>,
    calls: usize,
}

impl Operator {
    /// Creates the operator of a deployment that started with the given version.
    pub fn new(control: Vec<SocketAddr>, size: Size, started: Instant, version: u64) -> Arc<Self> {
        let base = Change {
            kind: "start".to_string(),
            release: Release::without_probes(version),
            is_valid: true,
            sent: Duration::ZERO,
            acknowledged: Some((Duration::ZERO, 0)),
            refused: None,
            refused_again: None,
            calls: 1,
        };
        Arc::new(Self {
            client: OperatorClient::new(control),
            size,
            started,
            changes: Mutex::new(vec![base]),
            readings: Mutex::default(),
            paths: Mutex::default(),
            slots: Arc::new(Semaphore::new(MAX_CALLS)),
            stop: AtomicBool::new(false),
        })
    }

    /// Asks the tasks to end.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Whether the tasks are to end.
    pub fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns all changes so far.
    pub fn changes(&self) -> Vec<Change> {
        self.changes.lock().expect("no holder panics").clone()
    }

    /// Returns all readings so far.
    pub fn readings(&self) -> Vec<Reading> {
        self.readings.lock().expect("no holder panics").clone()
    }

    /// Publishes changes until [`Self::stop`] is called, and waits for their answers.
    pub async fn publish_changes(self: Arc<Self>, plan: OperatorPlan, seed: u64) {
        let mut draft = Draft::new(plan, seed);
        let mut calls = JoinSet::new();
        let first = draft.next("first".to_string());
        self.clone().put_change(first, 0).await;
        while !self.is_stopped() {
            let kind = *CHANGE_KINDS.choose(&mut draft.rng).expect("kinds");
            self.send_change(kind, &mut draft, &mut calls);
            let percent = draft.rng.random_range(20..180);
            tokio::time::sleep(plan.interval * percent / 100).await;
        }
        while calls.join_next().await.is_some() {}
    }

    fn send_change(self: &Arc<Self>, kind: ChangeKind, draft: &mut Draft, calls: &mut JoinSet<()>) {
        let replica = draft.rng.random_range(0..self.client.replicas());
        draft.change(kind);
        let change = match kind {
            ChangeKind::Invalid => {
                calls.spawn(self.clone().put_invalid(draft.invalid(), replica));
                return;
            }
            ChangeKind::SameVersion => {
                calls.spawn(self.clone().put_under_same_version(replica));
                return;
            }
            _ => draft.next(format!("{kind:?}")),
        };
        match kind {
            ChangeKind::Race => {
                let other = draft.next(format!("{kind:?}"));
                calls.spawn(self.clone().put_change(other, replica + 1));
                calls.spawn(self.clone().put_change(change, replica));
            }
            ChangeKind::SentAgain => {
                calls.spawn(self.clone().put_twice(change, replica));
            }
            _ => {
                calls.spawn(self.clone().put_change(change, replica));
            }
        }
    }

    /// Sends a change until there is a clear answer and records it.
    async fn put_change(self: Arc<Self>, change: Change, replica: usize) {
        let body = change.release.document(&self.size).to_string();
        let release = change.release.clone();
        self.put(change, body, replica).await;
        self.paths.lock().expect("no holder panics").add(&release);
    }

    fn probe_invalid(&self, path: String) {
        let mut paths = self.paths.lock().expect("no holder panics");
        paths.invalid.push(path);
    }

    async fn put_invalid(self: Arc<Self>, (change, defect): (Change, Defect), replica: usize) {
        let body = defect.apply(change.release.document(&self.size));
        let path = marker(change.release.version);
        self.probe_invalid(path);
        self.put(change, body, replica).await;
    }

    /// Sends a change to all replicas again once it is acknowledged.
    async fn put_twice(self: Arc<Self>, change: Change, replica: usize) {
        let body = Bytes::from(change.release.document(&self.size).to_string());
        let timeout = self.timeout(&change.release);
        let version = change.release.version;
        self.clone().put_change(change, replica).await;
        for i in 0..self.client.replicas() {
            let status = self.client.post(i, &body, timeout).await;
            if let Some(status) = status.filter(|s| s.is_client_error()) {
                self.update(version, |c| c.refused_again = Some(status.as_u16()));
            }
        }
    }

    /// Sends content with another route under the version that was acknowledged last.
    async fn put_under_same_version(self: Arc<Self>, replica: usize) {
        let Some(mut release) = self.newest_acknowledged() else {
            return;
        };
        let path = format!("/not-{}/", release.version);
        release.routes.insert(path.clone(), ProbeRoute::default());
        self.probe_invalid(path);
        let body = Bytes::from(release.document(&self.size).to_string());
        for i in 0..self.client.replicas() {
            let replica = replica + i;
            self.client
                .post(replica, &body, self.timeout(&release))
                .await;
        }
    }

    fn newest_acknowledged(&self) -> Option<Release> {
        let changes = self.changes.lock().expect("no holder panics");
        let acknowledged = changes.iter().filter(|c| c.acknowledged.is_some());
        let newest = acknowledged.max_by_key(|c| c.release.version);
        newest.map(|c| c.release.clone())
    }

    async fn put(&self, mut change: Change, body: String, replica: usize) {
        let version = change.release.version;
        let timeout = self.timeout(&change.release);
        change.sent = self.elapsed();
        self.changes.lock().expect("no holder panics").push(change);
        let outcome = self
            .put_until_clear(Bytes::from(body), replica, timeout)
            .await;
        self.update(version, |c| {
            c.acknowledged = outcome.acknowledged;
            c.refused = outcome.refused;
            c.calls = outcome.calls;
        });
    }

    fn timeout(&self, release: &Release) -> Duration {
        CALL_TIMEOUT + CALL_TIMEOUT_PER_ROUTE * release.routes.len() as u32
    }

    fn update(&self, version: u64, update: impl FnOnce(&mut Change)) {
        let mut changes = self.changes.lock().expect("no holder panics");
        if let Some(change) = changes.iter_mut().find(|c| c.release.version == version) {
            update(change);
        }
    }

    /// Sends a body to the replicas in turn until there is a clear answer.
    async fn put_until_clear(&self, body: Bytes, replica: usize, timeout: Duration) -> PutOutcome {
        let _slot = self.slots.acquire().await;
        let end = Instant::now() + GIVE_UP_AFTER;
        let (mut pause, mut other_refusals) = (RETRY_PAUSE, 0);
        let mut outcome = PutOutcome {
            acknowledged: None,
            refused: None,
            calls: 0,
        };
        while Instant::now() < end {
            let replica = (replica + outcome.calls) % self.client.replicas();
            outcome.calls += 1;
            match self.client.post(replica, &body, timeout).await {
                Some(StatusCode::OK) => {
                    outcome.acknowledged = Some((self.elapsed(), replica));
                    return outcome;
                }
                Some(StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS) | None => {}
                Some(status) if status.is_client_error() => {
                    other_refusals += 1;
                    if REFUSALS.contains(&status.as_u16()) || other_refusals == MAX_OTHER_REFUSALS {
                        outcome.refused = Some(status.as_u16());
                        return outcome;
                    }
                }
                Some(_) => {}
            }
            if outcome.calls.is_multiple_of(self.client.replicas()) {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
        outcome
    }

    /// Reads the release at all replicas until [`Self::stop`] is called.
    pub async fn read_back(self: Arc<Self>) {
        while !self.is_stopped() {
            for replica in 0..self.client.replicas() {
                tokio::spawn(self.clone().read_once(replica));
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    async fn read_once(self: Arc<Self>, replica: usize) {
        if let Some(reading) = self.read(replica).await {
            let mut readings = self.readings.lock().expect("no holder panics");
            readings.push(reading);
        }
    }

    /// Reads the release at all replicas in turn for a while and returns what came.
    pub async fn read_at_end(&self) -> Vec<Reading> {
        let end = Instant::now() + END_READ_TIME;
        let mut readings = Vec::new();
        while Instant::now() < end {
            for replica in 0..self.client.replicas() {
                readings.extend(self.read(replica).await);
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
        readings
    }

    async fn read(&self, replica: usize) -> Option<Reading> {
        let sent = self.elapsed();
        let (status, body) = self.client.get(replica).await?;
        if status != StatusCode::OK {
            return None;
        }
        let document: Value = serde_json::from_slice(&body).unwrap_or_default();
        let version = document["version"].as_u64().unwrap_or(0);
        Some(Reading {
            replica,
            sent,
            answered: self.elapsed(),
            version,
            is_as_sent: self.is_as_sent(version, &document),
        })
    }

    fn is_as_sent(&self, version: u64, document: &Value) -> bool {
        let changes = self.changes.lock().expect("no holder panics");
        let sent = changes.iter().find(|c| c.release.version == version);
        let release = sent.filter(|c| c.is_valid).map(|c| c.release.clone());
        drop(changes);
        match release {
            Some(release) if version < FIRST_VERSION => {
                *document == self.size.release(release.version)
            }
            Some(release) => *document == release.document(&self.size),
            None => false,
        }
    }
}
