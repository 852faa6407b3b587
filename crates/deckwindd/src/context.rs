//! What every part of a daemon is given: settings, clock, runtime, boot.

use anyhow::Result;
use deckwind_config::{SeedSettings, Settings};
use deckwind_core::control::{DEFAULT_PERIOD, PERIODS};
use deckwind_net::clock::Clock;
use deckwind_net::edge::Dialects;
use deckwind_net::keys::KeyFiles;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// Context of one daemon; cheap to clone.
#[derive(Clone)]
pub struct Context {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// Its clock.
    pub clock: Clock,
    /// Runtime for the borders.
    pub runtime: Handle,
    /// Random number of this start of the process.
    pub boot: u64,
    /// How callers, targets and operators of published routes speak.
    pub dialects: Dialects,
}

impl Context {
    /// For a daemon that starts now, by this clock.
    pub fn new(settings: Settings, runtime: Handle, clock: Clock) -> Self {
        Self {
            settings: Arc::new(settings),
            clock,
            runtime,
            boot: rand::random(),
            dialects: deckwind_platform::dialects(),
        }
    }

    /// Files of its certificates; nothing where any peer is trusted.
    pub fn key_files(&self) -> Option<KeyFiles> {
        let keys = self.settings.keys.as_ref()?;
        Some(KeyFiles {
            ca: keys.ca.clone(),
            certificate: keys.certificate.clone(),
            key: keys.key.clone(),
        })
    }

    /// Slots of the control replicas that are known from the settings.
    pub fn known_slots(&self) -> Vec<u32> {
        match &self.settings.seeds {
            Some(seeds) => slots_of(seeds),
            None => self.settings.control_vms.iter().map(|vm| vm.slot).collect(),
        }
    }

    /// UDP address of a control slot.
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

/// Slots of the replicas that seeds name: their addresses as numbers.
pub fn slots_of(seeds: &SeedSettings) -> Vec<u32> {
    let slot = |a: &SocketAddrV4| u32::from(*a.ip());
    seeds.control.iter().map(slot).collect()
}

/// How often targets announce themselves; the usual period where the settings don't say,
/// or say what can't be meant.
pub fn period_of_targets(given: Option<Duration>) -> Duration {
    match given {
        None => DEFAULT_PERIOD,
        Some(period) if PERIODS.contains(&period) => period,
        Some(period) => {
            log::warn!(
                "event=period_of_targets_not_usable given_ms={} used_ms={}",
                period.as_millis(),
                DEFAULT_PERIOD.as_millis()
            );
            DEFAULT_PERIOD
        }
    }
}
