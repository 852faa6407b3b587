//! What every part of a daemon is given: settings, clock, runtime, boot.

use crate::clock::Clock;
use anyhow::Result;
use deckwind_config::Settings;
use deckwind_net::keys::KeyFiles;
use std::net::SocketAddr;
use std::sync::Arc;
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
}

impl Context {
    /// For a daemon that starts now.
    pub fn new(settings: Settings, runtime: Handle) -> Self {
        Self {
            settings: Arc::new(settings),
            clock: Clock::start(),
            runtime,
            boot: rand::random(),
        }
    }

    /// Files of its certificates.
    pub fn key_files(&self) -> KeyFiles {
        let keys = &self.settings.keys;
        KeyFiles {
            ca: keys.ca.clone(),
            certificate: keys.certificate.clone(),
            key: keys.key.clone(),
        }
    }

    /// UDP address of a control slot.
    pub fn control_address(&self, slot: u8) -> Result<SocketAddr> {
        let vm = self.settings.control_vms.iter().find(|vm| vm.slot == slot);
        vm.map(|vm| vm.address)
            .ok_or_else(|| anyhow::anyhow!("slot {slot} is not in control_vms"))
    }
}
