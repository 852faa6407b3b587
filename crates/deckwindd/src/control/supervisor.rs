//! Restarts a control replica after failures of its disk.
//!
//! A replica that can't write must not vote or acknowledge entries. It stops, and starts
//! again from the contents of its data folder, as after a restart of the process, once
//! the folder can be opened.

use super::driver::Driver;
use super::handle::{ControlHandle, Inbox};
use super::node::TICK;
use super::peers::Senders;
use crate::context::Context;
use anyhow::{Context as _, Result};
use deckwind_config::ControlSettings;
use deckwind_core::replication::ReplicaId;
use deckwind_net::quic::QuicPeer;
use deckwind_store::{Disk, FsDisk, OpenedStore, Store, StoreError};
use std::path::Path;
use std::time::{Duration, Instant};

/// Interval between two attempts to open the data folder, as often as a process manager
/// would restart the process.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Parts of a replica that outlive a failure of its disk.
pub struct Supervisor {
    pub cx: Context,
    pub cfg: ControlSettings,
    pub peer: QuicPeer,
    pub handle: ControlHandle,
    pub open_disk: OpenDisk,
}

/// Function that opens the disk of a data folder.
pub type OpenDisk = Box<dyn Fn(&Path) -> Result<Box<dyn Disk>> + Send>;

/// Opens a data folder in the VM's file system.
pub fn open_fs_disk(folder: &Path) -> Result<Box<dyn Disk>> {
    Ok(Box::new(FsDisk::open(folder)?))
}

/// Opens the data folder of a replica, with a new random identity if it holds none.
pub fn open(
    cx: &Context,
    open_disk: &OpenDisk,
    cfg: &ControlSettings,
) -> Result<(Store, OpenedStore)> {
    let disk = open_disk(&cfg.data_folder)?;
    let fresh = ReplicaId {
        slot: cfg.slot,
        identity: rand::random(),
    };
    let is_first_start = cx.settings.seeds.as_ref().is_some_and(|s| s.first_start);
    let first_seeds = is_first_start.then(|| cx.known_slots().into_iter().collect());
    let (store, opened) = Store::open_at_start(disk, fresh, first_seeds.as_ref())
        .with_context(|| format!("data folder {}", cfg.data_folder.display()))?;
    log::info!(
        "event=store_opened replica={} fresh={} first_start={} entries={} cut_bytes={}",
        opened.id,
        opened.is_new,
        opened.first_seeds.is_some(),
        opened.stored.entries.len(),
        opened.truncated_bytes
    );
    Ok((store, opened))
}

impl Supervisor {
    /// Creates the driver of a replica on an open data folder.
    pub fn driver(&self, store: Store, opened: OpenedStore) -> Result<Driver> {
        let senders = Senders::new(&self.cx, &self.peer);
        let handle = self.handle.clone();
        Driver::new(&self.cx, &self.cfg, store, opened, senders, handle)
    }

    /// Runs the replica until it must stop, or until something other than the disk fails.
    pub fn run(self, mut driver: Driver, inbox: &Inbox) -> Result<()> {
        loop {
            match driver.run(inbox) {
                Err(e) if is_disk_error(&e) => {}
                result => return result,
            }
            match self.reopen(inbox)? {
                Some(reopened) => driver = reopened,
                None => return Ok(()),
            }
        }
    }

    /// Opens the data folder again, with retries, and returns a driver on it. Returns
    /// `None` when the replica must stop.
    fn reopen(&self, inbox: &Inbox) -> Result<Option<Driver>> {
        loop {
            let retry_at = Instant::now() + REOPEN_INTERVAL;
            while Instant::now() < retry_at {
                // Inputs received meanwhile are dropped, as by a stopped process.
                if inbox.gather(TICK).is_none() {
                    return Ok(None);
                }
            }
            match open(&self.cx, &self.open_disk, &self.cfg) {
                Ok((store, opened)) => return self.driver(store, opened).map(Some),
                Err(e) if is_disk_error(&e) => {
                    log::warn!("event=store_not_opened error={:?}", format!("{e:#}"));
                }
                Err(e) => return Err(e),
            }
        }
    }
}

fn is_disk_error(e: &anyhow::Error) -> bool {
    e.chain().any(|cause| {
        let store = cause.downcast_ref::<StoreError>();
        matches!(store, Some(StoreError::Io(_))) || cause.is::<std::io::Error>()
    })
}
