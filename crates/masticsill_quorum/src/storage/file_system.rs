//! The operations of a file system that a data folder is built on, behind a trait so that tests can
//! lose power between any two of them.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::storage::StorageError;

const LOCK_FILE: &str = "lock";

/// Operations on the files of one folder, which are named without a path. A power loss keeps, loses
/// or tears each change on its own until it is synced.
pub trait FileSystem: fmt::Debug + Send {
    /// Appends to a file, creating it if it does not exist.
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

    /// Creates or empties a file, then writes its content.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn overwrite(&mut self, file: &str, bytes: &[u8]) -> io::Result<()>;

    /// A file's content; `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn remove(&mut self, file: &str) -> io::Result<()>;

    /// Renames a file, replacing any file of the new name.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Sets the size of an existing file.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn set_size(&mut self, file: &str, size_bytes: u64) -> io::Result<()>;

    /// Makes the content of an existing file durable.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn sync_file(&mut self, file: &str) -> io::Result<()>;

    /// Makes all created, renamed and removed names durable.
    ///
    /// # Errors
    ///
    /// The operating system's error.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A folder of the operating system.
#[derive(Debug)]
pub struct OsFolder {
    path: PathBuf,
    /// The file last appended to, kept open.
    appended: Option<OpenFile>,
    /// Held while the folder is open; `None` where another lock of the process covers it.
    _lock: Option<File>,
}

#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

impl OsFolder {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// # Errors
    ///
    /// [`StorageError::Locked`] if another process holds the lock, [`StorageError::Io`] for any
    /// other failure.
    pub(crate) fn open(path: &Path) -> Result<Self, StorageError> {
        let shown = path.display().to_string();
        create_folder(path).map_err(StorageError::io("create", &shown))?;
        let lock = File::create(path.join(LOCK_FILE));
        let lock = lock.map_err(StorageError::io("create", LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                return Err(StorageError::Locked(path.to_owned()));
            }
            Err(TryLockError::Error(error)) => {
                return Err(StorageError::io("lock", LOCK_FILE)(error));
            }
        }
        Ok(Self {
            _lock: Some(lock),
            ..Self::unlocked(path)
        })
    }

    /// A folder that is not locked by itself.
    pub(crate) fn unlocked(path: &Path) -> Self {
        Self {
            path: path.to_owned(),
            appended: None,
            _lock: None,
        }
    }

    /// Closes the handle of a file that is removed or replaced: a later one of its name is another
    /// file.
    fn close(&mut self, name: &str) {
        self.appended.take_if(|it| it.name == name);
    }

    fn appended(&mut self, name: &str) -> io::Result<&mut File> {
        let is_open = |it: &OpenFile| it.name == name;
        if !self.appended.as_ref().is_some_and(is_open) {
            let path = self.path.join(name);
            let file = OpenOptions::new().append(true).create(true).open(path)?;
            self.appended = Some(OpenFile {
                name: name.to_owned(),
                file,
            });
        }
        let opened = self.appended.as_mut().map(|it| &mut it.file);
        opened.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn open_to_write(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().write(true).open(self.path.join(name))
    }
}

/// Creates a folder and its parents, unless they exist, and makes their names durable.
fn create_folder(folder: &Path) -> io::Result<()> {
    if folder.is_dir() {
        return Ok(());
    }
    let parent = folder.parent();
    let parent = parent.filter(|parent| !parent.as_os_str().is_empty());
    let Some(parent) = parent else {
        return fs::create_dir_all(folder);
    };
    create_folder(parent)?;
    fs::create_dir_all(folder)?;
    File::open(parent)?.sync_all()
}

impl FileSystem for OsFolder {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.appended(file)?.write_all(bytes)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            let name = item?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn overwrite(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.close(file);
        File::create(self.path.join(file))?.write_all(bytes)
    }

    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(file)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.close(file);
        fs::remove_file(self.path.join(file))
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn set_size(&mut self, file: &str, size_bytes: u64) -> io::Result<()> {
        self.open_to_write(file)?.set_len(size_bytes)
    }

    fn sync_file(&mut self, file: &str) -> io::Result<()> {
        match &self.appended {
            Some(opened) if opened.name == file => opened.file.sync_data(),
            Some(_) | None => self.open_to_write(file)?.sync_all(),
        }
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
