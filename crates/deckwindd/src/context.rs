//! Context shared by all parts of a daemon: settings, clock, runtime and boot number.

use crate::byte_budget::memory_share;
use anyhow::Result;
use deckwind_config::{SeedSettings, Settings};
use deckwind_core::control::{ANNOUNCE_INTERVAL_RANGE, DEFAULT_ANNOUNCE_INTERVAL};
use deckwind_net::clock::Clock;
use deckwind_net::edge::Dialects;
use deckwind_net::keys::KeyFiles;
use deckwind_net::targets::{Connector, ReceiveBudget};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Context of one daemon; cheap to clone.
#[derive(Clone)]
pub struct Context {
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// Clock of the daemon.
    pub clock: Clock,
    /// Runtime for network I/O and background tasks.
    pub runtime: Handle,
    /// Random number that identifies this start of the process.
    pub boot: u64,
    /// Protocols of callers, targets and operators of published routes.
    pub dialects: Dialects,
    /// Opens connections to targets of published routes.
    pub connector: Arc<dyn Connector>,
    /// Limit on what is held of all answers of targets together.
    pub receive_budget: Arc<ReceiveBudget>,
}

/// Share of the VM's memory that may be used for answers of targets while they are received,
/// in percent: half of what may wait for callers.
const RECEIVE_PERCENT: f64 = 12.5;

/// Minimum of that limit in bytes: two events, or answers, of the longest size that is not
/// passed on in parts.
const MIN_RECEIVE_BYTES: u64 = 2 << 20;

fn receive_budget(settings: &Settings) -> Arc<ReceiveBudget> {
    let memory_mb = settings.router.as_ref().and_then(|r| r.memory);
    let bytes = memory_share(memory_mb, RECEIVE_PERCENT, MIN_RECEIVE_BYTES);
    log::info!("event=receive_bound bytes={bytes} memory_mb={memory_mb:?}");
    ReceiveBudget::new(bytes)
}

impl Context {
    /// Creates the context of a daemon that starts now, uses `clock` and connects to targets
    /// through `connector`.
    pub fn new(
        settings: Settings,
        runtime: Handle,
        clock: Clock,
        connector: Arc<dyn Connector>,
    ) -> Self {
        Self {
            receive_budget: receive_budget(&settings),
            settings: Arc::new(settings),
            clock,
            runtime,
            boot: rand::random(),
            dialects: deckwind_platform::dialects(),
            connector,
        }
    }

    /// Returns the certificate files, or `None` if the settings trust any peer.
    pub fn key_files(&self) -> Option<KeyFiles> {
        let keys = self.settings.keys.as_ref()?;
        Some(KeyFiles {
            ca: keys.ca.clone(),
            certificate: keys.certificate.clone(),
            key: keys.key.clone(),
        })
    }

    /// Returns the slots of the control replicas named by the settings.
    pub fn known_slots(&self) -> Vec<u32> {
        match &self.settings.seeds {
            Some(seeds) => seed_slots(seeds),
            None => self.settings.control_vms.iter().map(|vm| vm.slot).collect(),
        }
    }

    /// Returns the UDP address of the control replica in a slot.
    ///
    /// # Errors
    ///
    /// Fails if the settings have no seeds and `control_vms` lacks the slot.
    pub fn control_address(&self, slot: u32) -> Result<SocketAddr> {
        if let Some(seeds) = &self.settings.seeds {
            let ip = Ipv4Addr::from(slot);
            return Ok(SocketAddr::from((ip, seeds.peer_port)));
        }
        let vm = self.settings.control_vms.iter().find(|vm| vm.slot == slot);
        vm.map(|vm| vm.address)
            .ok_or_else(|| anyhow::anyhow!("slot {slot} is not in control_vms"))
    }
}

/// Returns the slots of the replicas named as seeds: their IPv4 addresses as numbers.
pub fn seed_slots(seeds: &SeedSettings) -> Vec<u32> {
    let slot = |a: &SocketAddrV4| u32::from(*a.ip());
    seeds.control.iter().map(slot).collect()
}

/// Returns the interval at which targets announce themselves: `given`, or the default if
/// nothing is given or the value lies outside the accepted range.
pub fn announce_interval(given: Option<Duration>) -> Duration {
    match given {
        None => DEFAULT_ANNOUNCE_INTERVAL,
        Some(period) if ANNOUNCE_INTERVAL_RANGE.contains(&period) => period,
        Some(period) => {
            log::warn!(
                "event=period_of_targets_not_usable given_ms={} used_ms={}",
                period.as_millis(),
                DEFAULT_ANNOUNCE_INTERVAL.as_millis()
            );
            DEFAULT_ANNOUNCE_INTERVAL
        }
    }
}
