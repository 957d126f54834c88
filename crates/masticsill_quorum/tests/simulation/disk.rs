//! An in-memory disk that loses unsynced data in a crash.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use indexmap::IndexMap;
use masticsill_quorum::storage::Disk;

#[derive(Debug, Default)]
struct MemoryFile {
    bytes: Vec<u8>,
    synced_bytes: usize,
}

#[derive(Debug, Default)]
struct MemoryFolder {
    files: IndexMap<String, MemoryFile>,
    /// Removed files that a power loss may bring back.
    removed: IndexMap<String, MemoryFile>,
    is_sync_failing: bool,
}

/// An in-memory disk. Clones share one folder.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    folder: Arc<Mutex<MemoryFolder>>,
}

impl MemoryDisk {
    fn folder(&self) -> MutexGuard<'_, MemoryFolder> {
        self.folder.lock().unwrap()
    }

    pub fn set_sync_failing(&self, is_failing: bool) {
        self.folder().is_sync_failing = is_failing;
    }

    /// Truncates each file to its synced part plus as many of its unsynced bytes as `keep` returns,
    /// given their number.
    pub fn crash(&self, mut keep: impl FnMut(usize) -> usize) {
        let mut folder = self.folder();
        folder.is_sync_failing = false;
        for file in folder.files.values_mut() {
            let unsynced = file.bytes.len() - file.synced_bytes;
            let kept = file.synced_bytes + keep(unsynced);
            file.bytes.truncate(kept);
            file.synced_bytes = kept;
        }
    }

    /// Brings back the removed files for which `returns` is true, as a power loss may.
    pub fn restore_removed(&self, mut returns: impl FnMut(&str) -> bool) {
        let mut folder = self.folder();
        let removed = std::mem::take(&mut folder.removed);
        for (name, file) in removed {
            if returns(&name) {
                folder.files.entry(name).or_insert(file);
            }
        }
    }

    /// Damages a file by changing its content.
    pub fn damage(&self, file: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut folder = self.folder();
        let damaged = folder.files.get_mut(file).unwrap();
        change(&mut damaged.bytes);
        damaged.synced_bytes = damaged.bytes.len();
    }
}

fn failing() -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, "disk full")
}

impl Disk for MemoryDisk {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut folder = self.folder();
        let appended = folder.files.entry(file.to_owned()).or_default();
        appended.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.folder().files.keys().cloned().collect())
    }

    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.folder().files.get(file).map(|it| it.bytes.clone()))
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        let mut folder = self.folder();
        if let Some(removed) = folder.files.shift_remove(file) {
            folder.removed.insert(file.to_owned(), removed);
        }
        Ok(())
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut folder = self.folder();
        if folder.is_sync_failing {
            return Err(failing());
        }
        let replaced = MemoryFile {
            bytes: bytes.to_vec(),
            synced_bytes: bytes.len(),
        };
        folder.files.insert(file.to_owned(), replaced);
        folder.removed.clear();
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut folder = self.folder();
        if folder.is_sync_failing {
            return Err(failing());
        }
        let synced = folder.files.get_mut(file).ok_or_else(failing)?;
        synced.synced_bytes = synced.bytes.len();
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let mut folder = self.folder();
        if folder.is_sync_failing {
            return Err(failing());
        }
        folder.removed.clear();
        Ok(())
    }

    fn truncate(&mut self, file: &str, size_bytes: u64) -> io::Result<()> {
        let size_bytes = usize::try_from(size_bytes).unwrap();
        self.damage(file, |bytes| bytes.truncate(size_bytes));
        Ok(())
    }
}
