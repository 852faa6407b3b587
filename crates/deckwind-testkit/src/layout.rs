//! Addresses, keys and settings of a small cluster in a temporary folder.

use anyhow::{Context, Result};
use deckwind::ops::{new_keys, new_token};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use tempfile::TempDir;
use tokio::net::TcpSocket;

/// Addresses of one router.
#[derive(Clone, Copy, Debug)]
pub struct RouterAddresses {
    /// Address for callers of templates.
    pub callers: SocketAddr,
    /// Address for peers, over UDP.
    pub peers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for callers of published routes.
    pub routes: SocketAddr,
    /// Address for readiness checks of load balancers.
    pub ready: SocketAddr,
}

/// A cluster's folder, with keys, settings files and data folders, and its addresses.
pub struct Layout {
    folder: TempDir,
    _reserved_ports: ReservedPorts,
    token_sha256: String,
    /// UDP addresses of the control replicas, by slot.
    pub control: Vec<SocketAddr>,
    /// Addresses of the control replicas for operators, by slot.
    pub control_admin: Vec<SocketAddr>,
    /// Addresses at which the control replicas accept releases and announcements, by
    /// slot.
    pub control_calls: Vec<SocketAddr>,
    /// The routers.
    pub routers: Vec<RouterAddresses>,
    /// Address of the platform's list of VMs, if there is one.
    pub platform: Option<SocketAddr>,
    /// Retry budget of the routers: share of the requests that may be retried, and number
    /// of retries beyond that share.
    pub retry_budget: (f64, u32),
    /// Memory of a router's VM in MB.
    pub memory_mb: Option<f64>,
    /// Number of file descriptors that a router may open.
    pub file_descriptors: Option<u32>,
    /// Data centres that VMs are assigned to in turn.
    pub data_centres: Vec<&'static str>,
    /// Duration of a lease, if it isn't the default.
    pub lease: Option<&'static str>,
    /// Time from SIGTERM until a router's process is killed, if it is.
    pub killed_after: Option<&'static str>,
    /// Bandwidth of a control replica's link in Mbit/s, if it is limited.
    pub link_mbps: Option<f64>,
    /// Discovery through seeds, if there is no list of control VMs.
    pub seeds: Option<SeedLayout>,
}

/// Discovery of control replicas through seeds by VMs with IP addresses of their own.
#[derive(Clone, Copy, Debug)]
pub struct SeedLayout {
    /// Number of replicas that are seeds.
    pub count: usize,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}

/// Ports of VMs with IP addresses of their own.
const CALLS_PORT: u16 = 8229;
const ROUTES_PORT: u16 = 8227;
const READY_PORT: u16 = 8220;
const CALLERS_PORT: u16 = 8228;
const CONTROL_PEERS_PORT: u16 = 7340;
const ROUTER_PEERS_PORT: u16 = 7355;
const ADMIN_PORT: u16 = 9464;

/// Number of replicas that are seeds.
const SEED_COUNT: usize = 3;

/// Returns the loopback address of a VM of this process.
fn own_ip(vm: usize) -> Result<IpAddr> {
    let [_, _, second, third] = std::process::id().to_be_bytes();
    let last = u8::try_from(vm + 1).context("too many VMs for one block of addresses")?;
    Ok(Ipv4Addr::new(127, 128 | second, third, last).into())
}

/// Ports chosen by the OS and reserved until this value is dropped.
///
/// A TCP port stays bound here without listening. A daemon that sets `SO_REUSEADDR` can
/// listen on it, and the OS gives it to no other process. A UDP port can't be shared like
/// this, so it is only recorded, to not be given out twice by this process.
#[derive(Default)]
struct ReservedPorts {
    tcp: Vec<TcpSocket>,
}

/// UDP ports that this process has given out.
static USED_UDP_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

impl ReservedPorts {
    fn tcp(&mut self) -> Result<SocketAddr> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = socket.local_addr()?;
        self.tcp.push(socket);
        Ok(address)
    }

    fn udp(&mut self) -> Result<SocketAddr> {
        let mut duplicates = Vec::new();
        loop {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
            let address = socket.local_addr()?;
            let mut used = USED_UDP_PORTS.lock().expect("no holder panics");
            if used.insert(address.port()) {
                return Ok(address);
            }
            duplicates.push(socket);
        }
    }
}

impl Layout {
    /// Creates keys and addresses for this number of replicas and routers.
    pub fn new(control: usize, routers: usize) -> Result<Self> {
        let folder = TempDir::new()?;
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        new_keys(&folder.path().join("keys"), &[("vm".to_string(), ip)])?;
        let token_sha256 = new_token(&folder.path().join("token"))?;
        let mut ports = ReservedPorts::default();
        let mut router_addresses = Vec::new();
        for _ in 0..routers {
            router_addresses.push(RouterAddresses {
                callers: ports.tcp()?,
                peers: ports.udp()?,
                admin: ports.tcp()?,
                routes: ports.tcp()?,
                ready: ports.tcp()?,
            });
        }
        let control_admin = (0..control).map(|_| ports.tcp());
        let control_admin = control_admin.collect::<Result<_>>()?;
        let control_calls = (0..control).map(|_| ports.tcp());
        let control_calls = control_calls.collect::<Result<_>>()?;
        let control = (0..control).map(|_| ports.udp());
        Ok(Self {
            folder,
            token_sha256,
            control: control.collect::<Result<_>>()?,
            control_admin,
            control_calls,
            routers: router_addresses,
            // A router that has just started can't use the retries beyond the share, so
            // the share alone must allow the retries of a short test.
            retry_budget: (8.0, 100),
            platform: None,
            memory_mb: None,
            file_descriptors: None,
            data_centres: vec!["recife-a"],
            lease: None,
            killed_after: None,
            link_mbps: None,
            seeds: None,
            _reserved_ports: ports,
        })
    }

    /// Creates a layout in which each VM has a loopback address of its own and finds the
    /// control replicas through seeds.
    pub fn with_seeds(control: usize, routers: usize) -> Result<Self> {
        let mut layout = Self::new(control, routers)?;
        for i in 0..control {
            let ip = own_ip(i)?;
            layout.control[i] = (ip, CONTROL_PEERS_PORT).into();
            layout.control_admin[i] = (ip, ADMIN_PORT).into();
            layout.control_calls[i] = (ip, CALLS_PORT).into();
        }
        for i in 0..routers {
            let ip = own_ip(control + i)?;
            layout.routers[i] = RouterAddresses {
                callers: (ip, CALLERS_PORT).into(),
                peers: (ip, ROUTER_PEERS_PORT).into(),
                admin: (ip, ADMIN_PORT).into(),
                routes: (ip, ROUTES_PORT).into(),
                ready: (ip, READY_PORT).into(),
            };
        }
        layout.seeds = Some(SeedLayout {
            count: control.min(SEED_COUNT),
            first_start: true,
        });
        Ok(layout)
    }

    /// Keeps the folder when this is dropped.
    pub fn keep_folder(&mut self) {
        self.folder.disable_cleanup(true);
    }

    /// Path of the folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Path of the file with the operators' token.
    pub fn token_file(&self) -> PathBuf {
        self.folder().join("token")
    }

    /// Data folder of a control replica.
    pub fn data_folder(&self, slot: usize) -> PathBuf {
        self.folder().join(format!("data-{slot}"))
    }

    /// Settings of a VM that finds the control replicas through seeds.
    fn seed_settings(&self, vm: &str, index: usize, ip: IpAddr) -> Option<serde_json::Value> {
        let seeds = self.seeds?;
        Some(serde_json::json!({
            "vm": vm,
            "data_centre": self.data_centres[index % self.data_centres.len()],
            "seeds": {
                "ip": ip,
                "peer_port": CONTROL_PEERS_PORT,
                "control": self.control_calls[..seeds.count],
                "first_start": seeds.first_start,
                "lost_at_once": self.control.len() / 2,
            },
            "log": { "level": "info" },
        }))
    }

    fn common_settings(&self, vm: &str, index: usize, ip: IpAddr) -> serde_json::Value {
        if let Some(settings) = self.seed_settings(vm, index, ip) {
            return settings;
        }
        let control_vms: Vec<serde_json::Value> = self
            .control
            .iter()
            .enumerate()
            .map(|(slot, address)| serde_json::json!({ "slot": slot, "address": address }))
            .collect();
        serde_json::json!({
            "vm": vm,
            "data_centre": self.data_centres[index % self.data_centres.len()],
            "keys": { "ca": "keys/ca.pem", "certificate": "keys/vm.pem", "key": "keys/vm.key" },
            "control_vms": control_vms,
            "log": { "level": "info" },
        })
    }

    fn set_lease(&self, role: &mut serde_json::Value) {
        if let Some(lease) = self.lease {
            role["lease"] = serde_json::json!(lease);
        }
    }

    fn write(&self, name: &str, settings: &serde_json::Value) -> Result<PathBuf> {
        let file = self.folder().join(format!("{name}.jsonc"));
        std::fs::write(&file, serde_json::to_string_pretty(settings)?)?;
        Ok(file)
    }

    /// Writes the settings of a control replica.
    pub fn control_settings(&self, slot: usize) -> Result<PathBuf> {
        let name = format!("control-{slot}");
        let mut settings = self.common_settings(&name, slot, self.control[slot].ip());
        settings["control"] = serde_json::json!({
            "slot": slot,
            "data_folder": self.data_folder(slot),
            "admin": self.control_admin[slot],
            "calls": self.control_calls[slot],
            "operator_token_sha256": self.token_sha256,
        });
        self.set_lease(&mut settings["control"]);
        if self.seeds.is_some() {
            settings["control"]["heartbeat"] = serde_json::json!("80ms");
            settings["control"]["election_min"] = serde_json::json!("400ms");
            settings["control"]["election_max"] = serde_json::json!("800ms");
        }
        if let Some(mbps) = self.link_mbps {
            settings["control"]["link_mbps"] = serde_json::json!(mbps);
        }
        self.write(&name, &settings)
    }

    /// Writes the settings of the first control replica, with seeds in place of a list of
    /// control VMs and without a token for operators.
    pub fn control_without_token_settings(&self) -> Result<PathBuf> {
        let address = self.control[0];
        let settings = serde_json::json!({
            "vm": "open",
            "data_centre": "recife-a",
            "seeds": {
                "ip": address.ip(),
                "peer_port": address.port(),
                "control": [address],
                "first_start": true,
            },
            "control": {
                "data_folder": self.data_folder(0),
                "admin": self.control_admin[0],
                "calls": self.control_calls[0],
            },
        });
        self.write("open", &settings)
    }

    /// Writes the settings of a router.
    pub fn router_settings(&self, i: usize) -> Result<PathBuf> {
        let name = format!("router-{i}");
        let addresses = self.routers[i];
        let mut settings = self.common_settings(&name, i, addresses.peers.ip());
        settings["router"] = serde_json::json!({
            "callers": addresses.callers,
            "peers": addresses.peers,
            "admin": addresses.admin,
            "routes": addresses.routes,
            "ready": addresses.ready,
            "accelerators": { "fake": "50us" },
            "repeats": { "share": self.retry_budget.0, "beyond": self.retry_budget.1, "window": "10s" },
        });
        self.set_lease(&mut settings["router"]);
        if let Some(memory) = self.memory_mb {
            settings["router"]["memory"] = serde_json::json!(memory);
        }
        if let Some(killed_after) = self.killed_after {
            settings["router"]["killed_after"] = serde_json::json!(killed_after);
        }
        if let Some(descriptors) = self.file_descriptors {
            settings["router"]["file_descriptors"] = serde_json::json!(descriptors);
        }
        if let Some(list) = self.platform {
            settings["platform"] = serde_json::json!({ "list": list, "every": "100ms" });
        }
        self.write(&name, &settings)
    }
}
