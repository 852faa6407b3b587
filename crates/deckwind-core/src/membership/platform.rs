//! The platform's list of live and leaving VMs, which may be outdated.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Status of a VM as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformStatus {
    /// The VM is running.
    Live,
    /// The VM will stop soon.
    Leaving,
}

/// Latest list of VMs, by IP address. The list lags behind, so a missing VM may well
/// be running; only the status "leaving" is acted on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformView {
    sequence: u64,
    vms: BTreeMap<IpAddr, PlatformStatus>,
}

impl PlatformView {
    /// Replaces the list, unless its sequence number is lower than that of the current
    /// one. Returns whether it was replaced.
    pub fn update(
        &mut self,
        sequence: u64,
        vms: impl IntoIterator<Item = (IpAddr, PlatformStatus)>,
    ) -> bool {
        if sequence < self.sequence {
            return false;
        }
        self.sequence = sequence;
        self.vms = vms.into_iter().collect();
        true
    }

    /// Returns whether the VM at `ip` is leaving.
    pub fn is_leaving(&self, ip: IpAddr) -> bool {
        self.vms.get(&ip) == Some(&PlatformStatus::Leaving)
    }
}
