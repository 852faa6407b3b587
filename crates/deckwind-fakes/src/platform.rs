//! Fake platform list of VMs.

use deckwind_core::membership::PlatformStatus;
use deckwind_net::BoxFuture;
use deckwind_net::targets::{PlatformList, PlatformSnapshot, TargetError};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};

/// A list of VMs and their status whose answers may lag behind by a fixed number
/// of changes. Clones share the list.
#[derive(Clone, Default)]
pub struct FakePlatformList {
    lag: usize,
    history: Arc<Mutex<Vec<PlatformSnapshot>>>,
}

impl FakePlatformList {
    /// Creates a list whose answers omit the last `lag` changes.
    pub fn with_lag(lag: usize) -> Self {
        Self {
            lag,
            history: Arc::default(),
        }
    }

    /// Sets the platform's status of a VM.
    pub fn set(&self, ip: IpAddr, status: PlatformStatus) {
        let mut history = self.history.lock().expect("no holder panics");
        let latest = history.last().cloned().unwrap_or_default();
        let mut vms: BTreeMap<IpAddr, PlatformStatus> = latest.vms.into_iter().collect();
        vms.insert(ip, status);
        history.push(PlatformSnapshot {
            sequence: latest.sequence + 1,
            vms: vms.into_iter().collect(),
        });
    }
}

impl PlatformList for FakePlatformList {
    fn list(&self) -> BoxFuture<'_, Result<PlatformSnapshot, TargetError>> {
        let history = self.history.lock().expect("no holder panics");
        let visible = history.len().checked_sub(1 + self.lag);
        let answer = visible
            .and_then(|i| history.get(i))
            .cloned()
            .unwrap_or_default();
        Box::pin(async move { Ok(answer) })
    }
}
