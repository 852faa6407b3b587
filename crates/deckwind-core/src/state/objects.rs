//! Objects written by operators: templates, client accounts and targets.

use super::names::{AccountName, DataCentre, TargetName, TemplateName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Scheduling priority. Variants declared first are served first.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Gates and validators, where a person is waiting.
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
    /// All priorities, from highest to lowest.
    pub const ALL: [Priority; 4] = [
        Priority::Gate,
        Priority::Roster,
        Priority::Draft,
        Priority::Summary,
    ];

    /// Returns the position in [`Priority::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// Half-open range `first..last` of model layers.
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
    /// Creates the range `first..last`.
    pub const fn new(first: u32, last: u32) -> Self {
        Self { first, last }
    }

    /// Returns the number of layers.
    pub fn len(self) -> u32 {
        self.last.saturating_sub(self.first)
    }

    /// Returns whether the range contains no layers.
    pub fn is_empty(self) -> bool {
        self.last <= self.first
    }

    /// Returns whether `layer` is in the range.
    pub fn contains(self, layer: u32) -> bool {
        self.first <= layer && layer < self.last
    }
}

/// Kind of requests that a template describes.
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
    /// Calls to a plain service, addressed by the template's path.
    Service {
        /// Timeout of one call, milliseconds.
        timeout_ms: u64,
    },
}

/// A service-level objective: the share of answers that must be on time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Required share of answers on time, above 0 and below 1.
    pub share: f64,
    /// Time limit for the first token or the whole answer, milliseconds.
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

/// Request parameters set by a template; a client account may override them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Parameters {
    /// Scheduling priority.
    pub priority: Option<Priority>,
    /// Version of the model.
    pub model_version: Option<String>,
    /// Adapter applied to the model.
    pub adapter: Option<String>,
}

impl Parameters {
    /// Returns these parameters, with those that `overrides` sets replaced.
    pub fn overridden_by(&self, overrides: Option<&Parameters>) -> Parameters {
        let Some(overrides) = overrides else {
            return self.clone();
        };
        Parameters {
            priority: overrides.priority.or(self.priority),
            model_version: overrides
                .model_version
                .clone()
                .or(self.model_version.clone()),
            adapter: overrides.adapter.clone().or(self.adapter.clone()),
        }
    }
}

/// A template: the configuration of one workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Name of the template; also the path of a plain service.
    pub name: TemplateName,
    /// Kind of requests.
    pub workload: Workload,
    /// Default parameters for all client accounts.
    #[serde(default)]
    pub parameters: Parameters,
    /// Whether requests are idempotent and may run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Service-level objective.
    #[serde(default)]
    pub objective: Objective,
    /// Time within which a request must start, milliseconds; it is refused otherwise.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Time for which a router with an expired lease may continue to serve the last
    /// known revision, milliseconds. Does not apply to non-idempotent requests.
    #[serde(default)]
    pub serve_stale_ms: u64,
}

fn yes() -> bool {
    true
}

fn default_deadline_ms() -> u64 {
    30_000
}

/// Limits of a client account, summed over all routers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AccountLimits {
    /// Rate limit, requests per second.
    pub requests_per_s: f64,
    /// Weight in fair scheduling.
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

/// A client account and its configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// SHA-256 of the bearer key, in hexadecimal. The key itself is not stored.
    pub key_sha256: String,
    /// Limits, summed over all routers.
    #[serde(default)]
    pub limits: AccountLimits,
    /// Parameter overrides by template.
    #[serde(default)]
    pub parameters: BTreeMap<TemplateName, Parameters>,
}

/// Kind of a target, and what it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum TargetKind {
    /// A model engine that holds a range of layers.
    Engine {
        /// Model name.
        model: String,
        /// Version of the model.
        version: String,
        /// Loaded adapters.
        #[serde(default)]
        adapters: Vec<String>,
        /// Layers that the engine holds.
        layers: LayerRange,
        /// Accelerator kind, used for cost estimates.
        accelerator: String,
    },
    /// A plain service.
    Service {
        /// Template whose calls the service answers.
        template: TemplateName,
    },
}

/// Lifecycle status of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetStatus {
    /// Accepts new work.
    #[default]
    Active,
    /// Finishes the work in progress and accepts no new work.
    Leaving,
    /// Out of service.
    Retired,
}

/// A model engine or plain service that requests are forwarded to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the target.
    pub name: TargetName,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: DataCentre,
    /// Kind of the target, and what it serves.
    pub kind: TargetKind,
    /// Lifecycle status.
    #[serde(default)]
    pub status: TargetStatus,
    /// Whether the target rejects orders with a stale fencing token.
    #[serde(default)]
    pub checks_fences: bool,
    /// Maximum number of concurrent requests or sessions.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    64
}
