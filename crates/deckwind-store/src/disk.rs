//! What the store needs of a disk, and a disk in memory that forgets.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// Files of one folder. Nothing lasts before it is synced: contents by
/// [`Disk::sync`], names by [`Disk::sync_names`].
pub trait Disk: Send {
    /// The contents, if the file exists.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Makes an empty file, in place of any that was there.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Adds to the end of a file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to a length.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    /// Makes a file's contents last.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name, in place of any that has it.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Makes names last.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// One file: its contents now, and those that last.
#[derive(Clone, Debug, Default)]
struct MemoryFile {
    now: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct Inner {
    files: Vec<MemoryFile>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    operations: u64,
    syncs: u64,
    fail_at: Option<u64>,
}

/// A disk in memory that keeps over [`MemoryDisk::crash`] only what was synced,
/// and can be told to die at any operation. Clones share the same disk.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Arc<Mutex<Inner>>);

impl MemoryDisk {
    /// Makes the operation after `operations` more ones, and all later ones,
    /// fail without effect until the next crash.
    pub fn fail_after(&self, operations: u64) {
        self.with(|d| d.fail_at = Some(d.operations + operations));
    }

    /// Takes back what [`MemoryDisk::fail_after`] announced.
    pub fn mend(&self) {
        self.with(|d| d.fail_at = None);
    }

    /// Operations so far, reads left out.
    pub fn operations(&self) -> u64 {
        self.with(|d| d.operations)
    }

    /// Syncs of contents so far.
    pub fn syncs(&self) -> u64 {
        self.with(|d| d.syncs)
    }

    /// Power goes: what was not synced is lost, but for the first `torn` bytes
    /// that were added to each file since.
    pub fn crash(&self, torn: usize) {
        self.with(|d| {
            d.fail_at = None;
            d.names = d.synced_names.clone();
            for f in &mut d.files {
                let grown = f.now.starts_with(&f.synced);
                let keep = if grown { f.synced.len() + torn } else { 0 };
                if grown {
                    f.now.truncate(keep);
                } else {
                    f.now = f.synced.clone();
                }
                f.synced = f.now.clone();
            }
        });
    }

    /// Everything is lost.
    pub fn wipe(&self) {
        self.with(|d| *d = Inner::default());
    }

    /// Flips one byte of a file.
    pub fn damage(&self, name: &str, at: usize) {
        self.with(|d| {
            if let Some(&i) = d.names.get(name) {
                d.files[i].now[at] ^= 0xff;
                d.files[i].synced = d.files[i].now.clone();
            }
        });
    }

    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().expect("no holder panics"))
    }

    fn operate(&self, f: impl FnOnce(&mut Inner) -> io::Result<()>) -> io::Result<()> {
        self.with(|d| {
            if d.fail_at.is_some_and(|at| d.operations >= at) {
                return Err(io::Error::other("the disk is gone"));
            }
            d.operations += 1;
            f(d)
        })
    }
}

impl Inner {
    fn file(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        let i = self.names.get(name).copied();
        let i = i.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
        Ok(&mut self.files[i])
    }
}

impl Disk for MemoryDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.with(|d| {
            let i = d.names.get(name)?;
            Some(d.files[*i].now.clone())
        }))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.operate(|d| {
            d.files.push(MemoryFile::default());
            d.names.insert(name.to_string(), d.files.len() - 1);
            Ok(())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.operate(|d| {
            d.file(name)?.now.extend_from_slice(bytes);
            Ok(())
        })
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.operate(|d| {
            d.file(name)?.now.truncate(len as usize);
            Ok(())
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.operate(|d| {
            d.syncs += 1;
            let f = d.file(name)?;
            f.synced = f.now.clone();
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.operate(|d| {
            let i = d.names.remove(from);
            let i = i.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
            d.names.insert(to.to_string(), i);
            Ok(())
        })
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.operate(|d| {
            d.synced_names = d.names.clone();
            Ok(())
        })
    }
}
