//! Durable storage of a control replica's log and snapshots in a data folder.
//!
//! The crate stores what [`deckwind_core::replication`] requires to survive a crash.
//! Routers store nothing here.
//!
//! ```text
//!  data folder
//!  ├ identity       identifier of the replica; written once
//!  ├ first_start    slots of the seeds, if created at the first start of the whole system
//!  ├ snapshot       state up to an entry; replaced as a whole
//!  ├ log            one record per batch after it: magic, length, CRC-32, body
//!  └ lock           locked by the daemon that uses the folder
//! ```
//!
//! A batch is written as one record with one sync. A record torn by a crash is the
//! last one and was never acknowledged, so [`Store::open`] truncates it. A damaged
//! record followed by a valid one had been synced, so the disk has lost synced data:
//! [`Store::open`] then fails with the file and the offset. It also fails if a record is
//! whole by its checksum and can't be decoded: that one was not torn.

mod disk;
mod fs_disk;
mod record;
mod store;

pub use disk::{Disk, MemoryDisk};
pub use fs_disk::FsDisk;
pub use store::{OpenedStore, Store, StoreError};
