//! The changes that an operator makes to a release.

use super::OperatorPlan;
use crate::at_size::checks::Change;
use crate::at_size::releases::{
    FIXED_PATH, MOVED_PATH, PROBE_POOLS, PROBE_TIMEOUT_MS, ProbeRoute, Release, extend, marker,
};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::time::Duration;

/// First version of an operator, above those that start a deployment.
pub const FIRST_VERSION: u64 = 1_000;

/// Largest step from one version to the next.
const MAX_STEP: u64 = 7;

/// Number of changes for which the route that a change added is kept.
const MARKERS_KEPT: usize = 16;

/// Number of routes that are added at once.
const MANY_ROUTES: usize = 300;

/// Changes of an operator. Each also adds a route of its own, and removes an older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
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

/// All kinds of changes.
pub const CHANGE_KINDS: [ChangeKind; 9] = [
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
pub enum Defect {
    /// A route uses a pool that doesn't exist.
    UnknownPool,
    /// Two routes have the same prefix.
    SamePrefix,
    /// A route has no timeout.
    NoTimeout,
    /// Two accounts share a key.
    SharedKey,
    /// A route is split without weights.
    NoWeight,
    /// The document ends in the middle.
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
/// The release as it is changed, and what the next changes depend on.
pub struct Draft {
    release: Release,
    markers: VecDeque<String>,
    many: Vec<String>,
    added_keys: VecDeque<String>,
    /// Source of the random draws.
    pub rng: ChaCha8Rng,
}

impl Draft {
    /// Creates the draft of the first change.
    pub fn new(plan: OperatorPlan, seed: u64) -> Self {
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

    /// Makes a change of this kind.
    pub fn change(&mut self, kind: ChangeKind) {
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
    pub fn next(&mut self, kind: String) -> Change {
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
    pub fn invalid(&mut self) -> (Change, Defect) {
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
    pub fn apply(self, mut document: Value) -> String {
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
