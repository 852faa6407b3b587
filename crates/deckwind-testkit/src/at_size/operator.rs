//! An operator who publishes changes, resends those without a clear answer and reads the
//! release back.

use super::checks::{Change, Reading};
use super::releases::{
    FIXED_PATH, MOVED_PATH, PROBE_POOLS, PROBE_TIMEOUT_MS, ProbeRoute, Release, extend, marker,
};
use super::size::Size;
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Timeout of a call, and what each route of its release adds.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT_PER_ROUTE: Duration = Duration::from_millis(3);

/// Pause after a call without a clear answer: at first, and at most.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Time after which an operator gives a change up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(20);

/// Number of calls in progress at the same time.
const MAX_CALLS: usize = 8;

/// Number of redirects that are followed.
const MAX_REDIRECTS: usize = 2;

/// Number of answers with another 4xx after which an operator takes a change as refused.
const MAX_OTHER_REFUSALS: usize = 3;

/// Statuses of an immediate refusal.
const REFUSALS: [u16; 5] = [400, 409, 412, 413, 422];

/// First version of an operator, above those that start a deployment.
const FIRST_VERSION: u64 = 1_000;

/// Largest step from one version to the next.
const MAX_STEP: u64 = 7;

/// Number of changes for which the route that a change added is kept.
const MARKERS_KEPT: usize = 16;

/// Number of routes that are added at once.
const MANY_ROUTES: usize = 300;

/// Number of latest versions whose routes are probed.
const PROBED_VERSIONS: usize = 24;

/// Number of latest keys that are probed.
const PROBED_KEYS: usize = 6;

/// Interval between two readings.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which the release is read at the end.
const END_READ_TIME: Duration = Duration::from_secs(5);

/// Changes of an operator. Each also adds a route of its own, and removes an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeKind {
    /// A route moves to the other pool.
    Move,
    /// The timeout of a route changes.
    Timeout,
    /// A key is added.
    AddKey,
    /// The oldest added key is removed.
    RemoveKey,
    /// Hundreds of routes are added; the earlier ones are removed.
    ManyRoutes,
    /// An invalid release is sent.
    Invalid,
    /// Two changes are sent to two replicas at once.
    Race,
    /// A change is sent to all replicas again once it is acknowledged.
    SentAgain,
    /// Other content is sent under the version that was acknowledged last.
    SameVersion,
}

const CHANGE_KINDS: [ChangeKind; 9] = [
    ChangeKind::Move,
    ChangeKind::Timeout,
    ChangeKind::AddKey,
    ChangeKind::RemoveKey,
    ChangeKind::ManyRoutes,
    ChangeKind::Invalid,
    ChangeKind::Race,
    ChangeKind::SentAgain,
    ChangeKind::SameVersion,
];

/// Ways in which a release is invalid.
#[derive(Clone, Copy, Debug)]
enum Defect {
    UnknownPool,
    SamePrefix,
    NoTimeout,
    SharedKey,
    NoWeight,
    CutShort,
}

const DEFECTS: [Defect; 6] = [
    Defect::UnknownPool,
    Defect::SamePrefix,
    Defect::NoTimeout,
    Defect::SharedKey,
    Defect::NoWeight,
    Defect::CutShort,
];

/// What an operator does in a run.
#[derive(Clone, Copy, Debug)]
pub struct OperatorPlan {
    /// Mean interval between two changes.
    pub interval: Duration,
    /// Number of routes of each release beside those that change.
    pub routes: usize,
}

/// What probes may ask for, kept up to date by the operator.
#[derive(Debug, Default)]
pub struct ProbePaths {
    /// Routes that versions added, with the newest acknowledged one last.
    pub markers: VecDeque<String>,
    /// Routes of invalid releases.
    pub invalid: Vec<String>,
    /// Keys that were added, with the newest one last.
    pub keys: Vec<String>,
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

/// The release as it is changed, and what the next changes depend on.
struct Draft {
    release: Release,
    markers: VecDeque<String>,
    many: Vec<String>,
    added_keys: VecDeque<String>,
    rng: ChaCha8Rng,
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
        let replica = draft.rng.random_range(0..self.client.control.len());
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
        for i in 0..self.client.control.len() {
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
        for i in 0..self.client.control.len() {
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
            let replica = (replica + outcome.calls) % self.client.control.len();
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
            if outcome.calls.is_multiple_of(self.client.control.len()) {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
        outcome
    }

    /// Reads the release at all replicas until [`Self::stop`] is called.
    pub async fn read_back(self: Arc<Self>) {
        while !self.is_stopped() {
            for replica in 0..self.client.control.len() {
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
            for replica in 0..self.client.control.len() {
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

impl Draft {
    fn new(plan: OperatorPlan, seed: u64) -> Self {
        let mut release = Release::without_probes(FIRST_VERSION);
        let constant = (0..plan.routes).map(|i| format!("/extra-{i}/"));
        for path in constant.chain([FIXED_PATH.to_string(), MOVED_PATH.to_string()]) {
            release.routes.insert(path, ProbeRoute::default());
        }
        Self {
            release,
            markers: VecDeque::new(),
            many: Vec::new(),
            added_keys: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn change(&mut self, kind: ChangeKind) {
        let version = self.release.version;
        match kind {
            ChangeKind::Move => {
                let route = self
                    .release
                    .routes
                    .entry(MOVED_PATH.to_string())
                    .or_default();
                let is_first = route.pool == PROBE_POOLS[0];
                route.pool = PROBE_POOLS[usize::from(is_first)];
            }
            ChangeKind::Timeout => {
                let route = self
                    .release
                    .routes
                    .entry(FIXED_PATH.to_string())
                    .or_default();
                route.timeout_ms = PROBE_TIMEOUT_MS + version % 1_000;
            }
            ChangeKind::AddKey => {
                let key = format!("key-{version}");
                self.release.keys.insert(key.clone());
                self.added_keys.push_back(key);
            }
            ChangeKind::RemoveKey => {
                if let Some(key) = self.added_keys.pop_front() {
                    self.release.keys.remove(&key);
                }
            }
            ChangeKind::ManyRoutes => {
                for path in self.many.drain(..) {
                    self.release.routes.remove(&path);
                }
                self.many = (0..MANY_ROUTES)
                    .map(|i| format!("/many-{version}-{i}/"))
                    .collect();
                let added = self.many.iter().cloned();
                self.release
                    .routes
                    .extend(added.map(|p| (p, ProbeRoute::default())));
            }
            ChangeKind::Invalid
            | ChangeKind::Race
            | ChangeKind::SentAgain
            | ChangeKind::SameVersion => {}
        }
    }

    fn raise_version(&mut self) -> u64 {
        self.release.version += self.rng.random_range(1..=MAX_STEP);
        self.release.version
    }

    /// Returns the next valid change.
    fn next(&mut self, kind: String) -> Change {
        let added = marker(self.raise_version());
        self.release
            .routes
            .insert(added.clone(), ProbeRoute::default());
        self.markers.push_back(added);
        if self.markers.len() > MARKERS_KEPT
            && let Some(oldest) = self.markers.pop_front()
        {
            self.release.routes.remove(&oldest);
        }
        new_change(kind, self.release.clone(), true)
    }

    /// Returns an invalid change, which the next ones don't build on.
    fn invalid(&mut self) -> (Change, Defect) {
        let defect = *DEFECTS.choose(&mut self.rng).expect("defects");
        let version = self.raise_version();
        let mut release = self.release.clone();
        release
            .routes
            .insert(marker(version), ProbeRoute::default());
        (new_change(format!("{defect:?}"), release, false), defect)
    }
}

fn new_change(kind: String, release: Release, is_valid: bool) -> Change {
    Change {
        kind,
        release,
        is_valid,
        sent: Duration::ZERO,
        acknowledged: None,
        refused: None,
        refused_again: None,
        calls: 0,
    }
}

impl Defect {
    /// Returns the body of a release with this defect.
    fn apply(self, mut document: Value) -> String {
        let mut bad = document["routes"][0].clone();
        bad["name"] = json!("bad");
        bad["pathPrefix"] = json!("/bad/");
        match self {
            Self::UnknownPool => bad["backend"] = json!("nobody"),
            Self::SamePrefix => bad["pathPrefix"] = document["routes"][0]["pathPrefix"].clone(),
            Self::NoTimeout => bad["timeoutMs"] = json!(0),
            Self::NoWeight => {
                let backend = bad["backend"].take();
                bad["split"] = json!([{"backend": backend, "weight": 0}]);
                if let Some(bad) = bad.as_object_mut() {
                    bad.remove("backend");
                }
            }
            Self::SharedKey => {
                let mut account = document["tenants"][0].clone();
                account["name"] = json!("other");
                extend(&mut document["tenants"], [account]);
            }
            Self::CutShort => {
                let text = document.to_string();
                return text[..text.len() / 2].to_string();
            }
        }
        if !matches!(self, Self::SharedKey) {
            extend(&mut document["routes"], [bad]);
        }
        document.to_string()
    }
}

/// HTTP client of an operator; follows redirects.
struct OperatorClient {
    http: Client<HttpConnector, Full<Bytes>>,
    control: Vec<SocketAddr>,
}

impl OperatorClient {
    fn new(control: Vec<SocketAddr>) -> Self {
        let http = Client::builder(TokioExecutor::new()).build_http();
        Self { http, control }
    }

    async fn post(&self, replica: usize, body: &Bytes, timeout: Duration) -> Option<StatusCode> {
        let called = self.call("POST", replica, "/v1/config/put", body, timeout);
        called.await.map(|(status, _)| status)
    }

    async fn get(&self, replica: usize) -> Option<(StatusCode, Bytes)> {
        let none = Bytes::new();
        self.call("GET", replica, "/v1/config/get", &none, CALL_TIMEOUT)
            .await
    }

    /// Calls a replica; returns `None` if no whole answer came in time.
    async fn call(
        &self,
        method: &str,
        replica: usize,
        path: &str,
        body: &Bytes,
        timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let address = self.control[replica % self.control.len()];
        let mut url = format!("http://{address}{path}");
        let mut last = None;
        for _ in 0..=MAX_REDIRECTS {
            let req = Request::builder().method(method).uri(&url);
            let req = req.body(Full::new(body.clone())).ok()?;
            let res = tokio::time::timeout(timeout, async {
                let res = self.http.request(req).await.ok()?;
                let location = res.headers().get(header::LOCATION);
                let location = location.and_then(|l| l.to_str().ok().map(str::to_string));
                let status = res.status();
                let body = res.into_body().collect().await.ok()?.to_bytes();
                Some((status, location, body))
            });
            let (status, location, body) = res.await.ok()??;
            last = Some((status, body));
            match location {
                Some(location) if status == StatusCode::TEMPORARY_REDIRECT => url = location,
                _ => break,
            }
        }
        last
    }
}

impl ProbePaths {
    /// Adds what a change brought.
    fn add(&mut self, release: &Release) {
        self.markers.push_back(marker(release.version));
        while self.markers.len() > PROBED_VERSIONS {
            self.markers.pop_front();
        }
        let added = release.keys.iter().filter(|k| !self.keys.contains(k));
        let added: Vec<String> = added.cloned().collect();
        self.keys.extend(added);
        let old = self.keys.len().saturating_sub(PROBED_KEYS);
        self.keys.drain(..old);
    }
}
