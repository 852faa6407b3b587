//! Disk on the file system: files of one folder, locked by one process.

use crate::disk::Disk;
use anyhow::{Context, anyhow};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Data folder on the file system. The folder is locked until this value is dropped:
/// no second daemon can write to it meanwhile, and the same daemon can open it again
/// afterwards.
pub struct FsDisk {
    folder: PathBuf,
    _lock: File,
    open_files: BTreeMap<String, File>,
}

const LOCK: &str = "lock";

impl FsDisk {
    /// Opens and locks a folder, creating it if it does not exist.
    pub fn open(folder: &Path) -> anyhow::Result<Self> {
        let context = || format!("data folder {}", folder.display());
        fs::create_dir_all(folder).with_context(context)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(folder.join(LOCK))
            .with_context(context)?;
        let locked = lock.try_lock().map_err(|_| {
            anyhow!(
                "another deckwindd uses this folder; stop it or set another control.data_folder"
            )
        });
        locked.with_context(context)?;
        Ok(Self {
            folder: folder.to_path_buf(),
            _lock: lock,
            open_files: BTreeMap::new(),
        })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new()
                .append(true)
                .read(true)
                .open(self.folder.join(name))?;
            self.open_files.insert(name.to_string(), file);
        }
        Ok(self.open_files.get_mut(name).expect("file is open"))
    }
}

impl Disk for FsDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.folder.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        File::create(self.folder.join(name))?;
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.file(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }
}
