//! The replica's log and snapshots under one data folder.
//!
//! For: keeping what [`deckwind_core::replication`] asks to be kept, so that it
//! is there after any crash. Not for: anything a router knows.
//!
//! ```text
//!  data folder
//!  ├ identity       which replica this folder is; written once
//!  ├ snapshot       state up to an entry; replaced as a whole
//!  ├ log            records after it, one a batch: magic, length, CRC-32, body
//!  └ lock           held by the one daemon that uses the folder
//! ```
//!
//! A batch is one record and one sync. A record that was cut short by a crash
//! is the last one: it was never acknowledged, and is cut off. A damaged record
//! with a good one behind it was once synced: the disk lost what it had
//! promised, and [`Store::open`] refuses with the file and place.

mod disk;
mod fs_disk;
mod record;
mod store;

pub use disk::{Disk, MemoryDisk};
pub use fs_disk::FsDisk;
pub use store::{Opened, Store, StoreError};
