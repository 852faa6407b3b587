//! Sizes of deployments and the release that they run.

use super::operator::OperatorPlan;
use super::releases::extend;
use deckwind_fakes::{AcceleratorKind, FleetConfig, fleet_release_document};
use serde_json::{Value, json};
use std::time::Duration;

/// Pools of the engines and of the plain targets.
pub const ENGINES: &str = "engines";
pub const PLAIN: &str = "plain";

/// API key of the first account.
pub const KEY: &str = "a-key";

/// Data centres of a deployment with three, and of one with five.
const THREE_CENTRES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const FIVE_CENTRES: [&str; 5] = ["hall-a", "hall-b", "hall-c", "hall-d", "hall-e"];

/// Engines with one kind of accelerator.
#[derive(Clone, Debug)]
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
    pub engines: Vec<usize>,
}

/// What streams have in common.
#[derive(Clone, Copy, Debug)]
pub struct StreamMix {
    /// Number of prompt tokens and of answer tokens.
    pub tokens: (u32, u32),
    /// Number of parts that prompts share. Each prompt begins with one of them; the n-th is
    /// drawn with a weight of 1/√n.
    pub shared_parts: usize,
    /// Number of client accounts; the n-th sends with a weight of 1/n.
    pub accounts: usize,
}

/// Size and load of a deployment.
#[derive(Clone, Debug)]
pub struct Size {
    /// Names of the data centres.
    pub data_centres: Vec<&'static str>,
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
    /// Prompts and accounts of the streams.
    pub streams: StreamMix,
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
    /// Share of a core that each control process may use, if it is limited.
    pub control_share: Option<f64>,
    /// Bandwidth of a control replica's link in Mbit/s, if it is limited.
    pub link_mbps: Option<f64>,
    /// Whether VMs have addresses of their own and find the control replicas through seeds.
    pub has_seeds: bool,
}

impl Size {
    /// The size of a large deployment: 59 routers, 5 replicas, 93 engines with three
    /// kinds of accelerators, 3 plain targets, 296 requests per second.
    pub fn large() -> Self {
        Self {
            data_centres: THREE_CENTRES.to_vec(),
            control: 5,
            routers: 59,
            engine_groups: vec![
                group("a100", 72_000.0, 2.4, 3.2, &[4, 3, 2]),
                group("v100", 14_400.0, 5.3, 7.9, &[10, 14, 24]),
                group("l4", 21_600.0, 16.0, 8.2, &[11, 16, 9]),
            ],
            plain: 3,
            streams_per_s: 264.0,
            plain_per_s: (22.7, 9.1),
            callers: 227,
            streams: StreamMix {
                tokens: (400, 150),
                shared_parts: 1,
                accounts: 1,
            },
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
            control_share: None,
            link_mbps: None,
            has_seeds: false,
        }
    }

    /// The size of a deployment in five data centres: 195 routers, 5 replicas, 218 engines
    /// with three kinds of accelerators that hold 20, 12 and 8 of 80 layers, 6 plain targets,
    /// 376 requests per second by 40 accounts, with 60 parts that prompts share.
    pub fn five_centres() -> Self {
        Self {
            data_centres: FIVE_CENTRES.to_vec(),
            routers: 195,
            engine_groups: vec![
                group("a100s", 36_000.0, 3.1, 3.2, &[4, 3, 2, 4, 2]),
                group("l4", 21_600.0, 16.0, 8.2, &[13, 20, 32, 13, 19]),
                group("t4", 14_400.0, 15.0, 15.0, &[18, 28, 15, 18, 27]),
            ],
            plain: 6,
            streams_per_s: 335.0,
            plain_per_s: (28.8, 11.5),
            callers: 228,
            streams: StreamMix {
                tokens: (780, 141),
                shared_parts: 60,
                accounts: 40,
            },
            retry_budget: (0.2, 574),
            pace: FleetConfig {
                mean_events: 47,
                event_interval: Duration::from_millis(60),
                stall_timeout: Duration::from_millis(2_500),
                max_streams: 192,
            },
            link_mbps: Some(170.0),
            ..Self::large()
        }
    }

    /// A tenth of [`Self::large`] with short paths, for short runs: several paths remain while some
    /// engines are down, and the retry budget suffices for the retries that this costs.
    pub fn small() -> Self {
        let mut size = Self::large();
        size.control = 3;
        size.routers = 6;
        size.callers = 24;
        size.engine_groups.truncate(1);
        size.engine_groups[0].engines = vec![6, 6, 6];
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
        let mut document = fleet_release_document(version, KEY, self.attempts, &kinds);
        let others = (1..self.streams.accounts).map(|account| {
            json!({
                "name": format!("account-{account}"),
                "apiKeys": [key_of(account)],
                "priority": 1,
            })
        });
        extend(&mut document["tenants"], others);
        document
    }
}

fn group(
    kind: &'static str,
    memory_mb: f64,
    step_factor: f64,
    read_factor: f64,
    engines: &[usize],
) -> EngineGroup {
    EngineGroup {
        kind,
        memory_mb,
        step_factor,
        read_factor,
        engines: engines.to_vec(),
    }
}

/// Returns the API key of an account.
pub fn key_of(account: usize) -> String {
    match account {
        0 => KEY.to_string(),
        _ => format!("{KEY}-{account}"),
    }
}
