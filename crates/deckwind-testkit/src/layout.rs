//! Addresses, keys and settings of a small cluster in a temporary folder.

use anyhow::Result;
use deckwind::ops::{new_keys, new_token};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Addresses of one router.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// For callers.
    pub callers: SocketAddr,
    /// UDP.
    pub peers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// A cluster's folder: keys, settings files, data folders.
pub struct Layout {
    folder: TempDir,
    token_sha256: String,
    /// UDP addresses of the control replicas, by slot.
    pub control: Vec<SocketAddr>,
    /// Operators' addresses of the control replicas, by slot.
    pub control_admin: Vec<SocketAddr>,
    /// The routers.
    pub routers: Vec<Placement>,
    /// The platform's list, if there is one.
    pub platform: Option<SocketAddr>,
}

/// A free TCP port of the OS's choice.
pub fn free_tcp() -> Result<SocketAddr> {
    Ok(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}

fn free_udp() -> Result<SocketAddr> {
    Ok(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?)
}

impl Layout {
    /// Keys and addresses for so many replicas and routers.
    pub fn new(control: usize, routers: usize) -> Result<Self> {
        let folder = TempDir::new()?;
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        new_keys(&folder.path().join("keys"), &[("vm".to_string(), ip)])?;
        let token_sha256 = new_token(&folder.path().join("token"))?;
        let placement = |_| {
            Ok(Placement {
                callers: free_tcp()?,
                peers: free_udp()?,
                admin: free_tcp()?,
            })
        };
        Ok(Self {
            folder,
            token_sha256,
            control: (0..control).map(|_| free_udp()).collect::<Result<_>>()?,
            control_admin: (0..control).map(|_| free_tcp()).collect::<Result<_>>()?,
            routers: (0..routers).map(placement).collect::<Result<_>>()?,
            platform: None,
        })
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// File with the operators' token.
    pub fn token_file(&self) -> PathBuf {
        self.folder().join("token")
    }

    /// Data folder of a control replica.
    pub fn data_folder(&self, slot: usize) -> PathBuf {
        self.folder().join(format!("data-{slot}"))
    }

    fn common(&self, vm: &str) -> serde_json::Value {
        let control_vms: Vec<serde_json::Value> = self
            .control
            .iter()
            .enumerate()
            .map(|(slot, address)| serde_json::json!({ "slot": slot, "address": address }))
            .collect();
        serde_json::json!({
            "vm": vm,
            "data_centre": "recife-a",
            "keys": { "ca": "keys/ca.pem", "certificate": "keys/vm.pem", "key": "keys/vm.key" },
            "control_vms": control_vms,
            "log": { "level": "info" },
        })
    }

    fn write(&self, name: &str, settings: &serde_json::Value) -> Result<PathBuf> {
        let file = self.folder().join(format!("{name}.jsonc"));
        std::fs::write(&file, serde_json::to_string_pretty(settings)?)?;
        Ok(file)
    }

    /// Writes the settings of a control replica.
    pub fn control_settings(&self, slot: usize) -> Result<PathBuf> {
        let name = format!("control-{slot}");
        let mut settings = self.common(&name);
        settings["control"] = serde_json::json!({
            "slot": slot,
            "data_folder": self.data_folder(slot),
            "admin": self.control_admin[slot],
            "operator_token_sha256": self.token_sha256,
        });
        self.write(&name, &settings)
    }

    /// Writes the settings of a router.
    pub fn router_settings(&self, i: usize) -> Result<PathBuf> {
        let name = format!("router-{i}");
        let mut settings = self.common(&name);
        let at = self.routers[i];
        settings["router"] = serde_json::json!({
            "callers": at.callers,
            "peers": at.peers,
            "admin": at.admin,
            "accelerators": { "fake": "50us" },
        });
        if let Some(list) = self.platform {
            settings["platform"] = serde_json::json!({ "list": list, "every": "100ms" });
        }
        self.write(&name, &settings)
    }
}
