//! Keeps a control replica going through failures of its disk.
//!
//! A replica that can't write must not vote or acknowledge. It stops, and begins
//! again from what its data folder holds, as after a restart of the process, as
//! soon as the folder can be used.

use super::driver::{Driver, TICK};
use super::handle::{ControlHandle, Inbox};
use super::peers::Senders;
use crate::context::Context;
use anyhow::{Context as _, Result};
use deckwind_config::ControlSettings;
use deckwind_core::replication::ReplicaId;
use deckwind_net::quic::QuicPeer;
use deckwind_store::{Disk, FsDisk, Opened, Store, StoreError};
use std::path::Path;
use std::time::{Duration, Instant};

/// Between two tries to open the data folder: as often as a supervisor would
/// start the process again.
const OPEN_AGAIN: Duration = Duration::from_millis(500);

/// What a replica is made of besides its data folder.
pub struct Keeper {
    pub cx: Context,
    pub cfg: ControlSettings,
    pub peer: QuicPeer,
    pub handle: ControlHandle,
    pub open_disk: OpenDisk,
}

/// Opens the disk under a data folder.
pub type OpenDisk = Box<dyn Fn(&Path) -> Result<Box<dyn Disk>> + Send>;

/// The folder on the VM's own disk.
pub fn open_fs_disk(folder: &Path) -> Result<Box<dyn Disk>> {
    Ok(Box::new(FsDisk::open(folder)?))
}

/// Opens the data folder of a replica.
pub fn open(open_disk: &OpenDisk, cfg: &ControlSettings) -> Result<(Store, Opened)> {
    let disk = open_disk(&cfg.data_folder)?;
    let fresh = ReplicaId {
        slot: cfg.slot,
        identity: rand::random(),
    };
    let (store, opened) = Store::open(disk, fresh)
        .with_context(|| format!("data folder {}", cfg.data_folder.display()))?;
    log::info!(
        "event=store_opened replica={} fresh={} entries={} cut_bytes={}",
        opened.id,
        opened.fresh,
        opened.stored.entries.len(),
        opened.cut_bytes
    );
    Ok((store, opened))
}

impl Keeper {
    /// A replica on an open data folder.
    pub fn driver(&self, store: Store, opened: Opened) -> Result<Driver> {
        let senders = Senders::new(&self.cx, &self.peer);
        let handle = self.handle.clone();
        Driver::new(&self.cx, &self.cfg, store, opened, senders, handle)
    }

    /// Runs until it is told to stop, or until something other than the disk
    /// fails.
    pub fn run(self, mut driver: Driver, inbox: &Inbox) -> Result<()> {
        loop {
            match driver.run(inbox) {
                Err(e) if is_of_disk(&e) => {}
                ended => return ended,
            }
            match self.open_again(inbox)? {
                Some(again) => driver = again,
                None => return Ok(()),
            }
        }
    }

    /// The replica as its folder holds it; nothing when it is time to stop.
    fn open_again(&self, inbox: &Inbox) -> Result<Option<Driver>> {
        loop {
            let until = Instant::now() + OPEN_AGAIN;
            while Instant::now() < until {
                // What comes meanwhile goes unanswered, as to a stopped process.
                if inbox.gather(TICK).is_none() {
                    return Ok(None);
                }
            }
            match open(&self.open_disk, &self.cfg) {
                Ok((store, opened)) => return self.driver(store, opened).map(Some),
                Err(e) if is_of_disk(&e) => {
                    log::warn!("event=store_not_opened error={:?}", format!("{e:#}"));
                }
                Err(e) => return Err(e),
            }
        }
    }
}

fn is_of_disk(e: &anyhow::Error) -> bool {
    e.chain().any(|cause| {
        let store = cause.downcast_ref::<StoreError>();
        matches!(store, Some(StoreError::Io(_))) || cause.is::<std::io::Error>()
    })
}
