//! Opening a data folder, and writing, syncing and compacting its log.

use crate::disk::Disk;
use crate::record::{self, RecordError};
use deckwind_core::replication::{Entry, HardState, ReplicaId, SnapshotMeta, Stored};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use thiserror::Error;

const IDENTITY: &str = "identity";
const FIRST_START: &str = "first_start";
const SNAPSHOT: &str = "snapshot";
const LOG: &str = "log";

/// Suffix of the name of a file that is being written and will replace another one.
const TEMP_SUFFIX: &str = ".new";

/// Error of opening, reading or writing a data folder.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("the data folder can't be read or written: {0}")]
    Io(#[from] io::Error),
    /// Synced data is damaged or missing.
    #[error(
        "{file}: damaged at byte {at}, with good records behind it: the disk lost what it had \
         synced. Move the data folder away and start again: the replica comes back with a new \
         identity and gets the state from the others"
    )]
    Damaged {
        /// File in the data folder.
        file: &'static str,
        /// Offset of the damage in bytes.
        at: usize,
    },
    /// A record is whole, and its content is of a format that this version doesn't know.
    #[error(
        "{file}: the record at byte {at} is whole, but this version can't read it: start the \
         version that wrote it, or move the data folder away and start again"
    )]
    Unreadable {
        /// File in the data folder.
        file: &'static str,
        /// Offset of the record in bytes.
        at: usize,
    },
    /// The folder belongs to a replica with another slot.
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

/// Batch of writes, stored as one record of the log.
#[derive(Serialize, Deserialize)]
struct Batch {
    hard_state: Option<HardState>,
    /// Entries. They replace all earlier ones at or after the index of the first.
    entries: Vec<Entry>,
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    meta: SnapshotMeta,
    data: Vec<u8>,
}

/// Contents of a data folder when it was opened.
#[derive(Debug)]
pub struct OpenedStore {
    /// Identifier of the replica.
    pub id: ReplicaId,
    /// Whether the folder was new.
    pub is_new: bool,
    /// Slots of the seeds at the first start of the whole system, if the folder was created
    /// then.
    pub first_seeds: Option<BTreeSet<u32>>,
    /// State to pass to [`deckwind_core::replication::Replica::new`].
    pub stored: Stored,
    /// Encoded state in the snapshot, if there is one.
    pub snapshot: Option<Vec<u8>>,
    /// Number of bytes of a torn record that were truncated.
    pub truncated_bytes: usize,
}

/// Open data folder.
pub struct Store {
    disk: Box<dyn Disk>,
    batch: Batch,
    dirty: bool,
    log_bytes: u64,
    syncs: u64,
}

impl Store {
    /// Opens a data folder. `fresh` is the identifier that a new folder gets.
    pub fn open(disk: Box<dyn Disk>, fresh: ReplicaId) -> Result<(Self, OpenedStore), StoreError> {
        Self::open_at_start(disk, fresh, None)
    }

    /// Opens a data folder like [`Store::open`]. With `first_seeds` the whole system starts
    /// for the first time: a new folder remembers that, and these slots of the seeds.
    pub fn open_at_start(
        mut disk: Box<dyn Disk>,
        fresh: ReplicaId,
        first_seeds: Option<&BTreeSet<u32>>,
    ) -> Result<(Self, OpenedStore), StoreError> {
        let (id, is_fresh) = open_identity(disk.as_mut(), fresh, first_seeds)?;
        let first_seeds = read_single_record(disk.as_ref(), FIRST_START)?;
        let snapshot: Option<Snapshot> = read_single_record(disk.as_ref(), SNAPSHOT)?;
        let (batches, end, truncated_bytes) = open_log(disk.as_mut())?;
        let mut stored = Stored::default();
        let mut snapshot_data = None;
        if let Some(s) = snapshot {
            stored.snapshot = s.meta;
            snapshot_data = Some(s.data);
        }
        for batch in batches {
            apply_batch(&mut stored, batch);
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
        let opened = OpenedStore {
            id,
            is_new: is_fresh,
            first_seeds,
            stored,
            snapshot: snapshot_data,
            truncated_bytes,
        };
        Ok((store, opened))
    }

    /// Reads the encoded state in the snapshot, if there is one.
    pub fn read_snapshot(&self) -> Result<Option<Vec<u8>>, StoreError> {
        let snapshot: Option<Snapshot> = read_single_record(self.disk.as_ref(), SNAPSHOT)?;
        Ok(snapshot.map(|s| s.data))
    }

    /// Returns the size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Returns the number of batches that were synced to the log since it was opened.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Adds term, vote and cluster to the batch.
    pub fn put_hard_state(&mut self, hard_state: HardState) {
        self.batch.hard_state = Some(hard_state);
        self.dirty = true;
    }

    /// Adds entries to the batch. They replace all earlier ones at or after the index of
    /// the first.
    pub fn put_entries(&mut self, entries: Vec<Entry>) {
        replace_from_first(&mut self.batch.entries, entries);
        self.dirty = true;
    }

    /// Writes and syncs the batch, unless it is empty.
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

    /// Writes a snapshot, then a new log that starts after it. After a crash between the
    /// two, the old log is still in place; [`Store::open`] skips the entries in it that
    /// the snapshot covers.
    pub fn compact(
        &mut self,
        meta: SnapshotMeta,
        data: Vec<u8>,
        hard_state: HardState,
        remaining: Vec<Entry>,
    ) -> Result<(), StoreError> {
        replace_file(
            self.disk.as_mut(),
            SNAPSHOT,
            &record::encode(&Snapshot { meta, data }),
        )?;
        let first = Batch {
            hard_state: Some(hard_state),
            entries: remaining,
        };
        let bytes = record::encode(&first);
        replace_file(self.disk.as_mut(), LOG, &bytes)?;
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

fn replace_from_first(all: &mut Vec<Entry>, entries: Vec<Entry>) {
    if let Some(first) = entries.first() {
        let from = first.at.index;
        while all.last().is_some_and(|e| e.at.index >= from) {
            all.pop();
        }
    }
    all.extend(entries);
}

fn apply_batch(stored: &mut Stored, batch: Batch) {
    if let Some(h) = batch.hard_state {
        stored.hard_state = h;
    }
    replace_from_first(&mut stored.entries, batch.entries);
}

/// Returns the identifier in the folder and whether the folder is new. A new folder
/// gets an empty log, the slots of the seeds at a first start, and the identifier `fresh`.
/// The identifier comes last: a folder without one is new.
fn open_identity(
    disk: &mut dyn Disk,
    fresh: ReplicaId,
    first_seeds: Option<&BTreeSet<u32>>,
) -> Result<(ReplicaId, bool), StoreError> {
    if let Some(id) = read_single_record::<ReplicaId>(disk, IDENTITY)? {
        if id.slot != fresh.slot {
            return Err(StoreError::OtherSlot {
                found: id.slot,
                wanted: fresh.slot,
            });
        }
        return Ok((id, false));
    }
    replace_file(disk, LOG, &[])?;
    if let Some(seeds) = first_seeds {
        replace_file(disk, FIRST_START, &record::encode(seeds))?;
    }
    replace_file(disk, IDENTITY, &record::encode(&fresh))?;
    Ok((fresh, true))
}

/// Reads the log and truncates a torn last record. Returns the batches, the size of
/// the log and the number of bytes truncated. What is returned is synced: a process that
/// was killed may have written it without a sync, and it counts as synced from now on.
fn open_log(disk: &mut dyn Disk) -> Result<(Vec<Batch>, usize, usize), StoreError> {
    let bytes = disk
        .read(LOG)?
        .ok_or(StoreError::Damaged { file: LOG, at: 0 })?;
    let records = record::read_all(&bytes).map_err(|e| file_error(LOG, e))?;
    let torn_bytes = bytes.len() - records.end;
    if torn_bytes > 0 {
        disk.truncate(LOG, records.end as u64)?;
    }
    disk.sync(LOG)?;
    Ok((records.values, records.end, torn_bytes))
}

/// Reads a file that consists of one record. Such files are replaced as a whole, so a
/// torn record in one is damage.
fn read_single_record<T: for<'de> Deserialize<'de>>(
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
        Ok(_) => Err(damaged),
        Err(e) => Err(file_error(file, e)),
    }
}

fn file_error(file: &'static str, error: RecordError) -> StoreError {
    match error {
        RecordError::Damaged(at) => StoreError::Damaged { file, at },
        RecordError::Unreadable(at) => StoreError::Unreadable { file, at },
    }
}

/// Replaces a file atomically: after a crash, either the old or the new one is there.
fn replace_file(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temp = format!("{name}{TEMP_SUFFIX}");
    disk.create(&temp)?;
    disk.append(&temp, bytes)?;
    disk.sync(&temp)?;
    disk.rename(&temp, name)?;
    disk.sync_names()
}
