//! The platform's lagging list of live and leaving VMs.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformStatus {
    /// It runs.
    Live,
    /// It will stop soon.
    Leaving,
}

/// The latest list, by IP. The list lags: absence proves nothing, so only
/// "leaving" is acted on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlatformView {
    sequence: u64,
    vms: BTreeMap<IpAddr, PlatformStatus>,
}

impl PlatformView {
    /// Takes a list, unless a later one came before it.
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

    /// Whether the VM at `ip` is leaving.
    pub fn is_leaving(&self, ip: IpAddr) -> bool {
        self.vms.get(&ip) == Some(&PlatformStatus::Leaving)
    }
}
