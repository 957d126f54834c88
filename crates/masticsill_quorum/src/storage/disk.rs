//! The file operations that a data folder needs, behind a trait so that tests can inject failures.

use std::fmt;
use std::io;
use std::path::Path;

use crate::storage::StorageError;
use crate::storage::file_system::{FileSystem, OsFolder};

const TEMPORARY_SUFFIX: &str = ".tmp";

/// File operations within one data folder. Files are named without a path.
pub trait Disk: fmt::Debug + Send {
    /// Appends to a file, creating it if it does not exist. Not durable until [`Self::sync`].
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// The names of the files, in no particular order.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// A file's content; `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>>;

    /// Removes a file. Until [`Self::sync_names`] a power loss may bring it back, whatever became of
    /// other files.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// Renames a file, replacing any file of the new name. Until [`Self::sync_names`] a power loss may
    /// undo it, whatever became of other files.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Replaces a file's content atomically and durably, creating the file if it does not exist.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// Makes a file's content and its directory entry durable.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn sync(&mut self, file: &str) -> io::Result<()>;

    /// Makes all created, renamed and removed names durable.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn sync_names(&mut self) -> io::Result<()>;

    /// Truncates a file to a size in bytes and makes that durable.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn truncate(&mut self, file: &str, size_bytes: u64) -> io::Result<()>;
}

/// A data folder in a file system: the order of operations that makes changes durable.
#[derive(Debug)]
pub struct FileDisk<F = OsFolder> {
    files: F,
    /// The file last synced, whose name is durable.
    synced_name: Option<String>,
}

impl FileDisk {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// [`StorageError::Locked`] if another process holds the lock, [`StorageError::Io`] for any
    /// other failure.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        OsFolder::open(folder).map(Self::new)
    }

    /// A disk for a folder that no other process uses, since this one holds a lock beside or above it.
    #[must_use]
    pub fn unlocked(folder: &Path) -> Self {
        Self::new(OsFolder::unlocked(folder))
    }
}

impl<F: FileSystem> FileDisk<F> {
    /// A data folder in the folder `files`.
    #[must_use]
    pub fn new(files: F) -> Self {
        Self {
            files,
            synced_name: None,
        }
    }
}

impl<F: FileSystem> Disk for FileDisk<F> {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.files.append(file, bytes)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = self.files.list()?;
        names.retain(|name| !name.ends_with(TEMPORARY_SUFFIX));
        Ok(names)
    }

    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        self.files.read(file)
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.synced_name.take_if(|name| name == file);
        self.files.remove(file)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.synced_name
            .take_if(|name| [from, to].contains(&name.as_str()));
        self.files.rename(from, to)
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = format!("{file}{TEMPORARY_SUFFIX}");
        self.files.overwrite(&temporary, bytes)?;
        self.files.sync_file(&temporary)?;
        self.synced_name.take_if(|name| name == file);
        self.files.rename(&temporary, file)?;
        self.files.sync_names()
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.files.sync_file(file)?;
        if self.synced_name.as_deref() != Some(file) {
            self.files.sync_names()?;
            self.synced_name = Some(file.to_owned());
        }
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.files.sync_names()
    }

    fn truncate(&mut self, file: &str, size_bytes: u64) -> io::Result<()> {
        self.files.set_size(file, size_bytes)?;
        self.files.sync_file(file)
    }
}

/// The names of the files, in no particular order.
pub(crate) fn list(disk: &dyn Disk) -> Result<Vec<String>, StorageError> {
    disk.list().map_err(StorageError::io("list", "."))
}

/// Removes a file; not durable until [`sync_names`].
pub(crate) fn remove(disk: &mut dyn Disk, file: &str) -> Result<(), StorageError> {
    disk.remove(file).map_err(StorageError::io("remove", file))
}

/// Makes all created, renamed and removed names durable.
pub(crate) fn sync_names(disk: &mut dyn Disk) -> Result<(), StorageError> {
    disk.sync_names().map_err(StorageError::io("sync", "."))
}
