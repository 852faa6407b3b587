//! Sizes of deployments and the release that they run.

use super::operator::OperatorPlan;
use deckwind_fakes::{AcceleratorKind, FleetConfig, fleet_release_document};
use serde_json::Value;
use std::time::Duration;

/// Pools of the engines and of the plain targets.
pub const ENGINES: &str = "engines";
pub const PLAIN: &str = "plain";

/// API key of the callers.
pub const KEY: &str = "a-key";

/// Data centres of a deployment.
pub const DATA_CENTRES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Engines with one kind of accelerator.
#[derive(Clone, Copy, Debug)]
pub struct EngineGroup {
    /// Name of the accelerator kind.
    pub kind: &'static str,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Step time relative to the fastest kind.
    pub step_factor: f64,
    /// Time to read prompts, relative to the fastest kind.
    pub read_factor: f64,
    /// Number of engines in each data centre.
    pub engines: [usize; 3],
}

/// Size and load of a deployment.
#[derive(Clone, Debug)]
pub struct Size {
    /// Number of control replicas.
    pub control: usize,
    /// Number of routers.
    pub routers: usize,
    /// Engines by kind of accelerator.
    pub engine_groups: Vec<EngineGroup>,
    /// Number of plain targets.
    pub plain: usize,
    /// Streams per second.
    pub streams_per_s: f64,
    /// Plain requests per second: those that must run at most once, and those that may be
    /// retried.
    pub plain_per_s: (f64, f64),
    /// Number of callers. Each uses one router while that is ready.
    pub callers: usize,
    /// Retry budget of a pool: share of its requests that may be retried, and number of
    /// retries beyond that share.
    pub retry_budget: (f64, u32),
    /// Window of the retry budget.
    pub window: Duration,
    /// Maximum number of targets that may run one request.
    pub attempts: u32,
    /// Speed and capacity of the engines.
    pub pace: FleetConfig,
    /// Changes of the release during a run, if there are any.
    pub operator: Option<OperatorPlan>,
    /// Bandwidth of a control replica's link in Mbit/s, if it is limited.
    pub link_mbps: Option<f64>,
    /// Whether VMs have addresses of their own and find the control replicas through seeds.
    pub has_seeds: bool,
}

impl Size {
    /// The size of a large deployment: 59 routers, 5 replicas, 93 engines with three
    /// kinds of accelerators, 3 plain targets, 296 requests per second.
    pub fn large() -> Self {
        let group = |kind, memory_mb, step_factor, read_factor, engines| EngineGroup {
            kind,
            memory_mb,
            step_factor,
            read_factor,
            engines,
        };
        Self {
            control: 5,
            routers: 59,
            engine_groups: vec![
                group("a100", 72_000.0, 2.4, 3.2, [4, 3, 2]),
                group("v100", 14_400.0, 5.3, 7.9, [10, 14, 24]),
                group("l4", 21_600.0, 16.0, 8.2, [11, 16, 9]),
            ],
            plain: 3,
            streams_per_s: 264.0,
            plain_per_s: (22.7, 9.1),
            callers: 227,
            retry_budget: (0.2, 302),
            window: Duration::from_secs(10),
            attempts: 2,
            pace: FleetConfig {
                mean_events: 45,
                event_interval: Duration::from_millis(90),
                stall_timeout: Duration::from_millis(2_500),
                max_streams: 160,
            },
            operator: None,
            link_mbps: None,
            has_seeds: false,
        }
    }

    /// A tenth of that with short paths, for short runs: several paths remain while some
    /// engines are down, and the retry budget suffices for the retries that this costs.
    pub fn small() -> Self {
        let mut size = Self::large();
        size.control = 3;
        size.routers = 6;
        size.callers = 24;
        size.engine_groups.truncate(1);
        size.engine_groups[0].engines = [6, 6, 6];
        size.streams_per_s = 20.0;
        size.plain_per_s = (3.0, 3.0);
        size
    }

    /// Returns the release document with this version.
    pub fn release(&self, version: u64) -> Value {
        let kind = |g: &EngineGroup| AcceleratorKind {
            name: g.kind,
            memory_mb: g.memory_mb,
            step_factor: g.step_factor,
            read_factor: g.read_factor,
        };
        let kinds: Vec<AcceleratorKind> = self.engine_groups.iter().map(kind).collect();
        fleet_release_document(version, KEY, self.attempts, &kinds)
    }
}
