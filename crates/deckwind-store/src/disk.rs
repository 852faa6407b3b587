//! File operations that the store needs, and an in-memory disk for tests that loses
//! unsynced data in a simulated crash.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// Files of one folder. Changes are durable only once they are synced: contents by
/// [`Disk::sync`], names by [`Disk::sync_names`].
pub trait Disk: Send {
    /// Returns the contents of a file, or `None` if it does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Creates an empty file, replacing any existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends bytes to a file.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    /// Syncs the contents of a file.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing any existing one of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Syncs the file names, that is, created and renamed files.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// File of a [`MemoryDisk`]: current contents and those that survive a crash.
#[derive(Clone, Debug, Default)]
struct MemoryFile {
    contents: Vec<u8>,
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

/// In-memory disk that keeps only synced data in a simulated
/// [`MemoryDisk::crash`] and can be set to fail from any operation on. Clones share
/// the same disk.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Arc<Mutex<Inner>>);

impl MemoryDisk {
    /// Lets `operations` further operations succeed; all later ones fail without effect
    /// until the next crash.
    pub fn fail_after(&self, operations: u64) {
        self.with_inner(|d| d.fail_at = Some(d.operations + operations));
    }

    /// Reverts [`MemoryDisk::fail_after`].
    pub fn clear_failure(&self) {
        self.with_inner(|d| d.fail_at = None);
    }

    /// Returns the number of successful operations so far, except reads.
    pub fn operations(&self) -> u64 {
        self.with_inner(|d| d.operations)
    }

    /// Returns the number of content syncs so far.
    pub fn syncs(&self) -> u64 {
        self.with_inner(|d| d.syncs)
    }

    /// Simulates a power failure: unsynced changes are lost, except for the first `torn`
    /// bytes that were appended to each file since its last sync.
    pub fn crash(&self, torn: usize) {
        self.with_inner(|d| {
            d.fail_at = None;
            d.names = d.synced_names.clone();
            for f in &mut d.files {
                let has_grown = f.contents.starts_with(&f.synced);
                let keep = if has_grown { f.synced.len() + torn } else { 0 };
                if has_grown {
                    f.contents.truncate(keep);
                } else {
                    f.contents = f.synced.clone();
                }
                f.synced = f.contents.clone();
            }
        });
    }

    /// Deletes all files and resets the counters.
    pub fn wipe(&self) {
        self.with_inner(|d| *d = Inner::default());
    }

    /// Inverts one byte of a file, in its synced contents too.
    pub fn corrupt_byte(&self, name: &str, at: usize) {
        self.with_inner(|d| {
            if let Some(&i) = d.names.get(name) {
                d.files[i].contents[at] ^= 0xff;
                d.files[i].synced = d.files[i].contents.clone();
            }
        });
    }

    fn with_inner<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.0.lock().expect("no holder panics"))
    }

    fn run_operation(&self, f: impl FnOnce(&mut Inner) -> io::Result<()>) -> io::Result<()> {
        self.with_inner(|d| {
            if d.fail_at.is_some_and(|at| d.operations >= at) {
                return Err(io::Error::other("simulated disk failure"));
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
        Ok(self.with_inner(|d| {
            let i = d.names.get(name)?;
            Some(d.files[*i].contents.clone())
        }))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.run_operation(|d| {
            d.files.push(MemoryFile::default());
            d.names.insert(name.to_string(), d.files.len() - 1);
            Ok(())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.run_operation(|d| {
            d.file(name)?.contents.extend_from_slice(bytes);
            Ok(())
        })
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.run_operation(|d| {
            d.file(name)?.contents.truncate(len as usize);
            Ok(())
        })
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.run_operation(|d| {
            d.syncs += 1;
            let f = d.file(name)?;
            f.synced = f.contents.clone();
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.run_operation(|d| {
            let i = d.names.remove(from);
            let i = i.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))?;
            d.names.insert(to.to_string(), i);
            Ok(())
        })
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.run_operation(|d| {
            d.synced_names = d.names.clone();
            Ok(())
        })
    }
}
