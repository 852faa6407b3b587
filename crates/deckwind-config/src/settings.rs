//! The settings as types.

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
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Certificates; without them any peer that reaches an address is trusted.
    pub keys: Option<KeySettings>,
    /// All control VMs; empty where `seeds` are given instead.
    #[serde(default)]
    pub control_vms: Vec<ControlVm>,
    /// How control replicas are found where there is no list of them.
    pub seeds: Option<SeedSettings>,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// The platform's list.
    pub platform: Option<PlatformSettings>,
    /// The router's role, if this process has it.
    pub router: Option<RouterSettings>,
    /// The control replica's role, if this process has it.
    pub control: Option<ControlSettings>,
}

/// Where the certificates are; relative to the settings file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct KeySettings {
    /// The CA's certificate.
    pub ca: PathBuf,
    /// This VM's certificate.
    pub certificate: PathBuf,
    /// This VM's private key.
    pub key: PathBuf,
}

/// A control VM.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ControlVm {
    /// Its slot.
    pub slot: u32,
    /// Its UDP address.
    pub address: SocketAddr,
}

/// Control replicas find each other by a few addresses.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct SeedSettings {
    /// This VM's address.
    pub ip: Ipv4Addr,
    /// UDP port of control replicas; the same on every VM.
    pub peer_port: u16,
    /// Where some control replicas take calls. Only their IPs matter here.
    pub control: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time: only then is a
    /// cluster formed.
    #[serde(default)]
    pub first_start: bool,
    /// Control VMs that may be lost at once.
    #[serde(default = "one_lost", deserialize_with = "count")]
    pub lost_at_once: u8,
}

/// Logs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: String,
    /// Folder for log files; standard output if there is none.
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

/// The platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct PlatformSettings {
    /// Its TCP address.
    pub list: SocketAddr,
    /// How often it is read.
    #[serde(default = "one_second", deserialize_with = "duration")]
    pub every: Duration,
}

/// The router's role.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RouterSettings {
    /// TCP address for callers of templates.
    pub callers: Option<SocketAddr>,
    /// TCP address for callers of published routes.
    pub routes: Option<SocketAddr>,
    /// TCP address at which a balancer asks whether it is ready.
    pub ready: Option<SocketAddr>,
    /// How long after SIGTERM the process is killed: requests in progress end
    /// before.
    #[serde(default, deserialize_with = "maybe_duration")]
    pub killed_after: Option<Duration>,
    /// Memory of this VM, MB: a part of it is held for slow callers at most.
    #[serde(default, deserialize_with = "maybe_number")]
    pub memory: Option<f64>,
    /// Bound on what is sent again, over all routers.
    #[serde(default)]
    pub repeats: RepeatSettings,
    /// How often targets announce themselves; what can't be meant counts as not said.
    #[serde(default, deserialize_with = "maybe_duration")]
    pub announce_every: Option<Duration>,
    /// UDP address towards the control replicas.
    pub peers: SocketAddr,
    /// TCP address for health, metrics and reports.
    pub admin: SocketAddr,
    /// Length of a lease; the same on every VM.
    #[serde(default = "two_seconds", deserialize_with = "duration")]
    pub lease: Duration,
    /// Longest wait for requests in progress at a planned stop.
    #[serde(default = "one_hour", deserialize_with = "duration")]
    pub drain: Duration,
    /// Longest body of a request.
    #[serde(default = "one_mebibyte")]
    pub max_body_bytes: usize,
    /// Most requests that wait for one pool of targets.
    #[serde(default = "two_thousand")]
    pub max_queued: usize,
    /// Time of one layer of one token, by accelerator kind.
    #[serde(default, deserialize_with = "durations")]
    pub accelerators: BTreeMap<String, Duration>,
    /// One-way time to each data centre.
    #[serde(default, deserialize_with = "durations")]
    pub links: BTreeMap<String, Duration>,
}

/// Bound on what is sent again, over all routers together: within any window at
/// most a share of the requests, and some more.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct RepeatSettings {
    /// Share of the requests.
    #[serde(deserialize_with = "number")]
    pub share: f64,
    /// Repeats beyond the share.
    #[serde(deserialize_with = "number")]
    pub beyond: f64,
    /// The window.
    #[serde(deserialize_with = "duration")]
    pub window: Duration,
}

impl Default for RepeatSettings {
    /// A fifth, as usual for retry budgets; a hundred over all routers so that
    /// the loss of one chain under little load is still repaired.
    fn default() -> Self {
        Self {
            share: 0.2,
            beyond: 100.0,
            window: Duration::from_secs(10),
        }
    }
}

/// The control replica's role.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ControlSettings {
    /// Its slot in `control_vms`; with `seeds` its address.
    #[serde(default)]
    pub slot: u32,
    /// Folder that it has for itself.
    pub data_folder: PathBuf,
    /// TCP address for operators.
    pub admin: SocketAddr,
    /// SHA-256 of the operators' token; without it no operator is let in there.
    pub operator_token_sha256: Option<String>,
    /// TCP address for published releases and announcements of targets.
    pub calls: Option<SocketAddr>,
    /// Length of a router's lease; the same on every VM.
    #[serde(default = "two_seconds", deserialize_with = "duration")]
    pub lease: Duration,
    /// How often targets announce themselves; what can't be meant counts as not said.
    #[serde(default, deserialize_with = "maybe_duration")]
    pub announce_every: Option<Duration>,
    /// This VM's link, Mbit/s: bounds how fast a leader hands out state.
    #[serde(default, deserialize_with = "maybe_number")]
    pub link_mbps: Option<f64>,
    /// Between two heartbeats of the leader.
    #[serde(default = "heartbeat", deserialize_with = "duration")]
    pub heartbeat: Duration,
    /// Shortest wait before an election.
    #[serde(default = "election_min", deserialize_with = "duration")]
    pub election_min: Duration,
    /// Longest wait before an election.
    #[serde(default = "election_max", deserialize_with = "duration")]
    pub election_max: Duration,
}

/// The fewest that agreement over several VMs is good for.
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
    duration_of(&text)
}

fn duration_of<E: serde::de::Error>(text: &str) -> Result<Duration, E> {
    parse_duration(text).ok_or_else(|| E::custom(format!("{text:?} is no time")))
}

/// A number as such or as text: templates fill gaps inside quotes.
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
    // The schema has checked that it is whole and small.
    number(d).map(|v| v as u8)
}

fn maybe_duration<'de, D: Deserializer<'de>>(d: D) -> Result<Option<Duration>, D::Error> {
    duration(d).map(Some)
}

fn durations<'de, D: Deserializer<'de>>(d: D) -> Result<BTreeMap<String, Duration>, D::Error> {
    let texts = BTreeMap::<String, String>::deserialize(d)?;
    texts
        .into_iter()
        .map(|(k, v)| Ok((k, duration_of(&v)?)))
        .collect()
}
