//! The file operations that a data folder needs, behind a trait so that tests can inject failures.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::storage::StorageError;

const LOCK_FILE: &str = "lock";
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

    /// Removes a file. Until [`Self::sync_removals`] a power loss may bring it back, whatever became
    /// of other files.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn remove(&mut self, file: &str) -> io::Result<()>;

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

    /// Makes all removals durable.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn sync_removals(&mut self) -> io::Result<()>;

    /// Truncates a file to a size in bytes and makes that durable.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn truncate(&mut self, file: &str, size_bytes: u64) -> io::Result<()>;
}

/// A data folder in the file system, locked against other processes.
#[derive(Debug)]
pub struct FileDisk {
    folder: PathBuf,
    /// The file last appended to, kept open.
    append_handle: Option<AppendHandle>,
    _lock: File,
}

/// Creates a folder, unless it exists, and makes its name durable.
fn create_folder(folder: &Path) -> io::Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(folder)?;
    match folder.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => File::open(parent)?.sync_all(),
        Some(_) | None => Ok(()),
    }
}

#[derive(Debug)]
struct AppendHandle {
    name: String,
    file: File,
    is_name_synced: bool,
}

impl FileDisk {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// [`StorageError::Locked`] if another process holds the lock, [`StorageError::Io`] for any
    /// other failure.
    pub fn open(folder: &Path) -> Result<Self, StorageError> {
        let shown = folder.display().to_string();
        create_folder(folder).map_err(StorageError::io("create", &shown))?;
        let lock = File::create(folder.join(LOCK_FILE));
        let lock = lock.map_err(StorageError::io("create", LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(StorageError::Locked(folder.to_owned()));
            }
            Err(TryLockError::Error(error)) => {
                return Err(StorageError::io("lock", LOCK_FILE)(error));
            }
        }
        Ok(Self {
            folder: folder.to_owned(),
            append_handle: None,
            _lock: lock,
        })
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    /// Closes the handle of a file that is removed or replaced: a later one of its name is another
    /// file.
    fn close_append_handle(&mut self, name: &str) {
        self.append_handle.take_if(|it| it.name == name);
    }

    fn append_handle(&mut self, name: &str) -> io::Result<&mut AppendHandle> {
        let is_open = |it: &AppendHandle| it.name == name;
        if !self.append_handle.as_ref().is_some_and(is_open) {
            let path = self.folder.join(name);
            let file = OpenOptions::new().append(true).create(true).open(path)?;
            self.append_handle = Some(AppendHandle {
                name: name.to_owned(),
                file,
                // An existing file's directory entry may not be durable yet.
                is_name_synced: false,
            });
        }
        self.append_handle
            .as_mut()
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for FileDisk {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.append_handle(file)?.file.write_all(bytes)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.folder)? {
            let name = item?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE && !name.ends_with(TEMPORARY_SUFFIX) {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.folder.join(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.close_append_handle(file);
        fs::remove_file(self.folder.join(file))
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.folder.join(format!("{file}{TEMPORARY_SUFFIX}"));
        let mut written = File::create(&temporary)?;
        written.write_all(bytes)?;
        written.sync_all()?;
        self.close_append_handle(file);
        fs::rename(&temporary, self.folder.join(file))?;
        self.sync_folder()
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let append_handle = self.append_handle(file)?;
        append_handle.file.sync_data()?;
        if !append_handle.is_name_synced {
            append_handle.is_name_synced = true;
            self.sync_folder()?;
        }
        Ok(())
    }

    fn sync_removals(&mut self) -> io::Result<()> {
        self.sync_folder()
    }

    fn truncate(&mut self, file: &str, size_bytes: u64) -> io::Result<()> {
        let opened = OpenOptions::new()
            .write(true)
            .open(self.folder.join(file))?;
        opened.set_len(size_bytes)?;
        opened.sync_all()
    }
}
