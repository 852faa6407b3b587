//! The objects that operators write: templates, client accounts, targets.

use super::names::{AccountName, DataCentre, TargetName, TemplateName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Order of service. A lower number goes first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Gates and validators: somebody stands in front of one.
    Gate,
    /// Roster drafts and confirmations.
    Roster,
    /// Reply drafts.
    #[default]
    Draft,
    /// Summaries.
    Summary,
}

impl Priority {
    /// All priorities, first served first.
    pub const ALL: [Priority; 4] = [
        Priority::Gate,
        Priority::Roster,
        Priority::Draft,
        Priority::Summary,
    ];

    /// Position in [`Priority::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// Layers `first..last` of a model; `last` is not included.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LayerRange {
    /// First layer.
    pub first: u32,
    /// One past the last layer.
    pub last: u32,
}

impl LayerRange {
    /// The range `first..last`.
    pub const fn new(first: u32, last: u32) -> Self {
        Self { first, last }
    }

    /// Number of layers.
    pub fn len(self) -> u32 {
        self.last.saturating_sub(self.first)
    }

    /// Whether the range holds no layer.
    pub fn is_empty(self) -> bool {
        self.last <= self.first
    }

    /// Whether `layer` is in the range.
    pub fn contains(self, layer: u32) -> bool {
        self.first <= layer && layer < self.last
    }
}

/// What a template's requests are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Workload {
    /// Chat completions over a pipeline of engines.
    Chat {
        /// Model name.
        model: String,
        /// Number of layers of the model.
        layers: u32,
    },
    /// Calls to a plain service, by template path.
    Service {
        /// Upper bound of one call, in milliseconds.
        timeout_ms: u64,
    },
}

/// A service-level objective: which share of answers must be on time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Share of answers on time, in 0..1.
    pub share: f64,
    /// Time to the first token or the whole answer, in milliseconds.
    pub within_ms: u64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            share: 0.95,
            within_ms: 1_300,
        }
    }
}

/// Values a template gives, which a client account may override.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Parameters {
    /// Order of service.
    pub priority: Option<Priority>,
    /// Version of the model.
    pub model_version: Option<String>,
    /// Adapter loaded on top of the model.
    pub adapter: Option<String>,
}

impl Parameters {
    /// These parameters, with those that `over` sets taking their place.
    pub fn overridden_by(&self, over: Option<&Parameters>) -> Parameters {
        let Some(over) = over else {
            return self.clone();
        };
        Parameters {
            priority: over.priority.or(self.priority),
            model_version: over.model_version.clone().or(self.model_version.clone()),
            adapter: over.adapter.clone().or(self.adapter.clone()),
        }
    }
}

/// One workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name; also the path of a plain service.
    pub name: TemplateName,
    /// What its requests are.
    pub workload: Workload,
    /// Defaults for every client account.
    #[serde(default)]
    pub parameters: Parameters,
    /// Whether a request may run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// What callers are promised.
    #[serde(default)]
    pub objective: Objective,
    /// A request that can't start within this time is refused, milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// How long a router whose lease has run out may go on serving the last
    /// revision, in milliseconds. Never used for not-repeatable requests.
    #[serde(default)]
    pub serve_stale_ms: u64,
}

fn yes() -> bool {
    true
}

fn default_deadline_ms() -> u64 {
    30_000
}

/// Bounds of one client account over all routers together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AccountLimits {
    /// Requests a second.
    pub requests_per_s: f64,
    /// Weight in fair sharing.
    pub weight: u32,
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self {
            requests_per_s: 1_000.0,
            weight: 1,
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// SHA-256 of its bearer key, in hexadecimal. The key itself is not kept.
    pub key_sha256: String,
    /// Bounds over all routers.
    #[serde(default)]
    pub limits: AccountLimits,
    /// Overrides by template.
    #[serde(default)]
    pub parameters: BTreeMap<TemplateName, Parameters>,
}

/// What a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum TargetKind {
    /// A model engine that holds a range of layers.
    Engine {
        /// Model name.
        model: String,
        /// Version of the model.
        version: String,
        /// Adapters it has loaded.
        #[serde(default)]
        adapters: Vec<String>,
        /// Layers that it holds.
        layers: LayerRange,
        /// Kind of accelerator, for its cost.
        accelerator: String,
    },
    /// A plain service.
    Service {
        /// Template whose calls it answers.
        template: TemplateName,
    },
}

/// Where a target is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetStatus {
    /// Takes new work.
    #[default]
    Active,
    /// Finishes what it has, takes nothing new.
    Leaving,
    /// Gone.
    Retired,
}

/// A model engine or plain service that requests are sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its name.
    pub name: TargetName,
    /// IP and port.
    pub address: std::net::SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What it serves.
    pub kind: TargetKind,
    /// Where it is in its life.
    #[serde(default)]
    pub status: TargetStatus,
    /// Whether it refuses orders with an old fence.
    #[serde(default)]
    pub checks_fences: bool,
    /// Requests or sessions that it serves at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    64
}
