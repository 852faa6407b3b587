//! Types of the settings.

use crate::duration::parse_duration;
use deckwind_core::state::{DataCentre, VmName};
use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Certificates. Without them, any peer that can reach an address is trusted.
    pub keys: Option<KeySettings>,
    /// All control VMs; empty if `seeds` are given instead.
    #[serde(default)]
    pub control_vms: Vec<ControlVm>,
    /// Discovery of control replicas, for settings without `control_vms`.
    pub seeds: Option<SeedSettings>,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// The platform's list of VMs.
    pub platform: Option<PlatformSettings>,
    /// Settings of the router, if this process runs one.
    pub router: Option<RouterSettings>,
    /// Settings of the control replica, if this process runs one.
    pub control: Option<ControlSettings>,
}

/// Paths of the certificates, relative to the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct KeySettings {
    /// Path of the CA certificate.
    pub ca: PathBuf,
    /// Path of this VM's certificate.
    pub certificate: PathBuf,
    /// Path of this VM's private key.
    pub key: PathBuf,
}

/// Entry of a VM in the list of control VMs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ControlVm {
    /// Slot of the control replica.
    pub slot: u32,
    /// UDP address of the control replica.
    pub address: SocketAddr,
}

/// Discovery of control replicas through a few known addresses.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct SeedSettings {
    /// IP address of this VM.
    pub ip: Ipv4Addr,
    /// UDP port of control replicas; the same on every VM.
    pub peer_port: u16,
    /// Addresses at which some control replicas accept calls. Only the IPs are used.
    pub control: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time; a new cluster is only formed
    /// then.
    #[serde(default)]
    pub first_start: bool,
    /// Number of control VMs that may be lost at the same time.
    #[serde(default = "one_lost", deserialize_with = "count")]
    pub lost_at_once: u8,
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Least severe log level that is written.
    pub level: String,
    /// Folder for log files; `None` for standard output.
    pub folder: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_string(),
            folder: None,
        }
    }
}

/// Settings for the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct PlatformSettings {
    /// TCP address of the list.
    pub list: SocketAddr,
    /// Interval at which the list is read.
    #[serde(default = "one_second", deserialize_with = "duration")]
    pub every: Duration,
}

/// Settings of the router.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RouterSettings {
    /// TCP address for callers of templates.
    pub callers: Option<SocketAddr>,
    /// TCP address for callers of published routes.
    pub routes: Option<SocketAddr>,
    /// TCP address for readiness checks of a load balancer.
    pub ready: Option<SocketAddr>,
    /// Time from SIGTERM until the process is killed. Requests in progress end before
    /// that.
    #[serde(default, deserialize_with = "maybe_duration")]
    pub killed_after: Option<Duration>,
    /// Memory of this VM, MB. At most a part of it is used to buffer data for slow
    /// callers.
    #[serde(default, deserialize_with = "maybe_number")]
    pub memory: Option<f64>,
    /// Number of file descriptors that the process may open; its own limit if not set.
    #[serde(default, deserialize_with = "maybe_number")]
    pub file_descriptors: Option<f64>,
    /// Retry budget over all routers.
    #[serde(default)]
    pub repeats: RetryBudgetSettings,
    /// Interval at which targets announce themselves. A value outside the usable range
    /// is ignored.
    #[serde(default, deserialize_with = "maybe_duration")]
    pub announce_every: Option<Duration>,
    /// UDP address for communication with control replicas.
    pub peers: SocketAddr,
    /// TCP address for health, metrics and reports.
    pub admin: SocketAddr,
    /// Length of a lease; the same on every VM.
    #[serde(default = "two_seconds", deserialize_with = "duration")]
    pub lease: Duration,
    /// Maximum time to wait for requests in progress at a graceful shutdown.
    #[serde(default = "one_hour", deserialize_with = "duration")]
    pub drain: Duration,
    /// Maximum size of a request body, bytes.
    #[serde(default = "one_mebibyte")]
    pub max_body_bytes: usize,
    /// Maximum number of requests queued for one pool of targets.
    #[serde(default = "two_thousand")]
    pub max_queued: usize,
    /// Time to compute one layer for one token, by accelerator kind.
    #[serde(default, deserialize_with = "durations")]
    pub accelerators: BTreeMap<String, Duration>,
    /// One-way network latency to each data centre.
    #[serde(default, deserialize_with = "durations")]
    pub links: BTreeMap<String, Duration>,
}

/// Retry budget over all routers together. Within any window, the number of retries is at
/// most a share of the requests plus a constant.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct RetryBudgetSettings {
    /// Retries as a share of the requests.
    #[serde(deserialize_with = "number")]
    pub share: f64,
    /// Number of retries in addition to the share.
    #[serde(deserialize_with = "number")]
    pub beyond: f64,
    /// Length of the window.
    #[serde(deserialize_with = "duration")]
    pub window: Duration,
}

impl Default for RetryBudgetSettings {
    /// Returns a budget of a fifth of the requests, which is usual for retry budgets,
    /// plus 100 retries over all routers, so that requests survive the loss of one
    /// chain of engines at low load.
    fn default() -> Self {
        Self {
            share: 0.2,
            beyond: 100.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Settings of the control replica.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ControlSettings {
    /// Slot of the replica in `control_vms`; with `seeds`, its IP address as a number.
    #[serde(default)]
    pub slot: u32,
    /// Data folder, used by this replica only.
    pub data_folder: PathBuf,
    /// TCP address for operators.
    pub admin: SocketAddr,
    /// SHA-256 of the operators' token. Without it, `admin` refuses all operators.
    pub operator_token_sha256: Option<String>,
    /// TCP address for published releases and announcements of targets.
    pub calls: Option<SocketAddr>,
    /// Length of a router's lease; the same on every VM.
    #[serde(default = "two_seconds", deserialize_with = "duration")]
    pub lease: Duration,
    /// Interval at which targets announce themselves. A value outside the usable range
    /// is ignored.
    #[serde(default, deserialize_with = "maybe_duration")]
    pub announce_every: Option<Duration>,
    /// Bandwidth of this VM's network link, Mbit/s. Limits the rate at which a leader
    /// sends state.
    #[serde(default, deserialize_with = "maybe_number")]
    pub link_mbps: Option<f64>,
    /// Interval between heartbeats of the leader.
    #[serde(default = "heartbeat", deserialize_with = "duration")]
    pub heartbeat: Duration,
    /// Minimum election timeout.
    #[serde(default = "election_min", deserialize_with = "duration")]
    pub election_min: Duration,
    /// Maximum election timeout.
    #[serde(default = "election_max", deserialize_with = "duration")]
    pub election_max: Duration,
}

/// Default for `lost_at_once`: the smallest value for which a quorum of several VMs is
/// useful.
fn one_lost() -> u8 {
    1
}

fn one_second() -> Duration {
    Duration::from_secs(1)
}

fn two_seconds() -> Duration {
    Duration::from_secs(2)
}

fn one_hour() -> Duration {
    Duration::from_secs(3_600)
}

fn heartbeat() -> Duration {
    Duration::from_millis(100)
}

fn election_min() -> Duration {
    Duration::from_millis(600)
}

fn election_max() -> Duration {
    Duration::from_millis(1_200)
}

fn one_mebibyte() -> usize {
    1 << 20
}

fn two_thousand() -> usize {
    2_000
}

fn duration<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    duration_from_text(&text)
}

fn duration_from_text<E: serde::de::Error>(text: &str) -> Result<Duration, E> {
    parse_duration(text).ok_or_else(|| E::custom(format!("{text:?} is not a duration")))
}

/// A number, or a number as text: templates insert values inside quotes.
#[derive(Deserialize)]
#[serde(untagged)]
enum NumberOrText {
    Number(f64),
    Text(String),
}

fn number<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    match NumberOrText::deserialize(d)? {
        NumberOrText::Number(v) => Ok(v),
        NumberOrText::Text(text) => text.parse().map_err(serde::de::Error::custom),
    }
}

fn maybe_number<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    number(d).map(Some)
}

fn count<'de, D: Deserializer<'de>>(d: D) -> Result<u8, D::Error> {
    // The schema has checked that the value is a small integer.
    number(d).map(|v| v as u8)
}

fn maybe_duration<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Duration>, D::Error> {
    duration(d).map(Some)
}

fn durations<'de, D: Deserializer<'de>>(d: D) -> Result<BTreeMap<String, Duration>, D::Error> {
    let texts = BTreeMap::<String, String>::deserialize(d)?;
    texts
        .into_iter()
        .map(|(k, v)| Ok((k, duration_from_text(&v)?)))
        .collect()
}
