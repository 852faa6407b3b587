//! Opening, writing, syncing and compacting.

use crate::disk::Disk;
use crate::record;
use deckwind_core::replication::{Entry, HardState, ReplicaId, SnapshotMeta, Stored};
use serde::{Deserialize, Serialize};
use std::io;
use thiserror::Error;

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

/// Added to a name while the file is being made.
const NEW: &str = ".new";

/// Why a data folder can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The disk failed.
    #[error("the data folder can't be read or written: {0}")]
    Io(#[from] io::Error),
    /// What was synced is no longer what it was.
    #[error(
        "{file}: damaged at byte {at}, with good records behind it: the disk lost what it had \
         synced. Move the data folder away and start again: the replica comes back with a new \
         identity and gets the state from the others"
    )]
    Damaged {
        /// File in the data folder.
        file: &'static str,
        /// Where.
        at: usize,
    },
    /// The folder is another replica's.
    #[error(
        "identity: the folder belongs to slot {found}, the settings say slot {wanted}; give each \
         replica its own control.data_folder"
    )]
    OtherSlot {
        /// Slot in the folder.
        found: u32,
        /// Slot in the settings.
        wanted: u32,
    },
}

/// One batch in the log.
#[derive(Serialize, Deserialize)]
struct Batch {
    hard_state: Option<HardState>,
    /// Take the place of whatever stood at or after the first of them.
    entries: Vec<Entry>,
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

/// What a data folder held.
#[derive(Debug)]
pub struct Opened {
    /// Which replica it is.
    pub id: ReplicaId,
    /// Whether the folder was new.
    pub fresh: bool,
    /// For [`deckwind_core::replication::Replica::new`].
    pub stored: Stored,
    /// The state in the snapshot; nothing if there is none.
    pub snapshot: Option<Vec<u8>>,
    /// Bytes of a torn record that were cut off.
    pub cut_bytes: usize,
}

/// An open data folder.
pub struct Store {
    disk: Box<dyn Disk>,
    batch: Batch,
    dirty: bool,
    log_bytes: u64,
    syncs: u64,
}

impl Store {
    /// Opens a folder. `fresh` is the id that a new folder gets.
    pub fn open(mut disk: Box<dyn Disk>, fresh: ReplicaId) -> Result<(Self, Opened), StoreError> {
        let (id, is_fresh) = open_identity(disk.as_mut(), fresh)?;
        let snapshot: Option<Snapshot> = read_one(disk.as_ref(), SNAPSHOT)?;
        let (batches, end, cut_bytes) = open_log(disk.as_mut())?;
        let mut stored = Stored::default();
        let mut data = None;
        if let Some(s) = snapshot {
            stored.snapshot = s.meta;
            data = Some(s.data);
        }
        for batch in batches {
            add_batch(&mut stored, batch);
        }
        let base = stored.snapshot.last.index;
        stored.entries.retain(|e| e.at.index > base);
        let store = Self {
            disk,
            batch: Batch::empty(),
            dirty: false,
            log_bytes: end as u64,
            syncs: 0,
        };
        let opened = Opened {
            id,
            fresh: is_fresh,
            stored,
            snapshot: data,
            cut_bytes,
        };
        Ok((store, opened))
    }

    /// The state in the snapshot, read back.
    pub fn read_snapshot(&self) -> Result<Option<Vec<u8>>, StoreError> {
        let snapshot: Option<Snapshot> = read_one(self.disk.as_ref(), SNAPSHOT)?;
        Ok(snapshot.map(|s| s.data))
    }

    /// Bytes of the log file.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Syncs of the log since it was opened.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Adds term and vote to the batch.
    pub fn put_hard_state(&mut self, hard_state: HardState) {
        self.batch.hard_state = Some(hard_state);
        self.dirty = true;
    }

    /// Adds entries to the batch; they replace what stands at or after the first.
    pub fn put_entries(&mut self, entries: Vec<Entry>) {
        push_entries(&mut self.batch.entries, entries);
        self.dirty = true;
    }

    /// Writes and syncs the batch, if there is anything in it.
    pub fn commit(&mut self) -> Result<(), StoreError> {
        if !self.dirty {
            return Ok(());
        }
        let bytes = record::encode(&self.batch);
        self.disk.append(LOG, &bytes)?;
        self.disk.sync(LOG)?;
        self.syncs += 1;
        self.log_bytes += bytes.len() as u64;
        self.batch = Batch::empty();
        self.dirty = false;
        Ok(())
    }

    /// Writes a snapshot, then a log that starts after it. A crash between the
    /// two leaves the old log, whose entries the snapshot covers are skipped.
    pub fn compact(
        &mut self,
        meta: SnapshotMeta,
        data: Vec<u8>,
        hard_state: HardState,
        rest: Vec<Entry>,
    ) -> Result<(), StoreError> {
        replace(
            self.disk.as_mut(),
            SNAPSHOT,
            &record::encode(&Snapshot { meta, data }),
        )?;
        let first = Batch {
            hard_state: Some(hard_state),
            entries: rest,
        };
        let bytes = record::encode(&first);
        replace(self.disk.as_mut(), LOG, &bytes)?;
        self.log_bytes = bytes.len() as u64;
        self.batch = Batch::empty();
        self.dirty = false;
        Ok(())
    }
}

impl Batch {
    fn empty() -> Self {
        Self {
            hard_state: None,
            entries: Vec::new(),
        }
    }
}

fn push_entries(all: &mut Vec<Entry>, entries: Vec<Entry>) {
    if let Some(first) = entries.first() {
        let from = first.at.index;
        while all.last().is_some_and(|e| e.at.index >= from) {
            all.pop();
        }
    }
    all.extend(entries);
}

fn add_batch(stored: &mut Stored, batch: Batch) {
    if let Some(h) = batch.hard_state {
        stored.hard_state = h;
    }
    push_entries(&mut stored.entries, batch.entries);
}

fn open_identity(disk: &mut dyn Disk, fresh: ReplicaId) -> Result<(ReplicaId, bool), StoreError> {
    if let Some(id) = read_one::<ReplicaId>(disk, IDENTITY)? {
        if id.slot != fresh.slot {
            return Err(StoreError::OtherSlot {
                found: id.slot,
                wanted: fresh.slot,
            });
        }
        return Ok((id, false));
    }
    replace(disk, LOG, &[])?;
    replace(disk, IDENTITY, &record::encode(&fresh))?;
    Ok((fresh, true))
}

fn open_log(disk: &mut dyn Disk) -> Result<(Vec<Batch>, usize, usize), StoreError> {
    let bytes = disk
        .read(LOG)?
        .ok_or(StoreError::Damaged { file: LOG, at: 0 })?;
    let records = record::read_all(&bytes).map_err(|at| StoreError::Damaged { file: LOG, at })?;
    let cut = bytes.len() - records.end;
    if cut > 0 {
        disk.truncate(LOG, records.end as u64)?;
        disk.sync(LOG)?;
    }
    Ok((records.values, records.end, cut))
}

/// Reads a file that is one record and was put in place as a whole.
fn read_one<T: for<'de> Deserialize<'de>>(
    disk: &dyn Disk,
    file: &'static str,
) -> Result<Option<T>, StoreError> {
    let Some(bytes) = disk.read(file)? else {
        return Ok(None);
    };
    let damaged = StoreError::Damaged { file, at: 0 };
    match record::read_all::<T>(&bytes) {
        Ok(mut records) if records.end == bytes.len() => {
            records.values.pop().map(Some).ok_or(damaged)
        }
        _ => Err(damaged),
    }
}

/// Puts a file in place as a whole: a crash leaves the old one or the new one.
fn replace(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let new = format!("{name}{NEW}");
    disk.create(&new)?;
    disk.append(&new, bytes)?;
    disk.sync(&new)?;
    disk.rename(&new, name)?;
    disk.sync_names()
}
