//! A disk wrapper that retries writes while the underlying disk is full.
//!
//! A full disk need not stop the process: no write is acknowledged in the meantime, heartbeats and
//! reads continue, and the replica recovers as soon as space is available. Bytes left by a failed
//! append are truncated before the retry, so that the log contains no partial record. A process
//! that shuts down cancels the wait; the write that it could not complete was never acknowledged.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_types::log_event;

use crate::events;
use crate::storage::Disk;

/// Interval between retries of a write while the disk is full.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Cancels waits for disk space when the process shuts down. Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct SpaceWaitCanceller {
    is_cancelled: Arc<AtomicBool>,
}

impl SpaceWaitCanceller {
    /// Makes every current and later write that finds no space fail instead of waiting.
    pub fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::Release);
    }

    fn is_cancelled(&self) -> bool {
        self.is_cancelled.load(Ordering::Acquire)
    }
}

/// A disk that retries writes until there is space. It blocks the calling thread, which must be a
/// dedicated one.
pub struct SpaceWaitDisk<D> {
    disk: D,
    space_wait_canceller: SpaceWaitCanceller,
    /// Sizes of the files appended to, counting complete appends only.
    sizes_bytes: IndexMap<String, u64>,
    sleep_fn: fn(Duration),
}

impl<D: fmt::Debug> fmt::Debug for SpaceWaitDisk<D> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A fixed name in the debug output, which does not follow the name of the type.
        let mut shown = formatter.debug_struct("PatientDisk");
        shown.field("disk", &self.disk).finish_non_exhaustive()
    }
}

impl<D: Disk> SpaceWaitDisk<D> {
    /// Wraps a disk; retries sleep on the writing thread.
    pub fn new(disk: D) -> Self {
        Self::with_sleep(disk, thread::sleep)
    }

    /// Like [`Self::new`], with a replacement for the sleep, for tests.
    pub fn with_sleep(disk: D, sleep_fn: fn(Duration)) -> Self {
        Self {
            disk,
            space_wait_canceller: SpaceWaitCanceller::default(),
            sizes_bytes: IndexMap::new(),
            sleep_fn,
        }
    }

    /// A handle that cancels this disk's waits.
    pub fn space_wait_canceller(&self) -> SpaceWaitCanceller {
        self.space_wait_canceller.clone()
    }

    fn size_bytes(&mut self, file: &str) -> io::Result<u64> {
        if let Some(size_bytes) = self.sizes_bytes.get(file) {
            return Ok(*size_bytes);
        }
        let content = self.disk.read(file)?.unwrap_or_default();
        Ok(content.len() as u64)
    }

    /// Retries a write until the disk is no longer full or the wait is cancelled. `undo` removes
    /// what a failed attempt left behind; the next one must not be appended to it.
    fn retry_while_full(
        &mut self,
        file: &str,
        write: impl Fn(&mut D) -> io::Result<()>,
        undo: impl Fn(&mut D) -> io::Result<()>,
    ) -> io::Result<()> {
        let mut is_full_logged = false;
        loop {
            let refused = match write(&mut self.disk) {
                Err(error) if error.kind() == io::ErrorKind::StorageFull => error,
                done => {
                    if is_full_logged {
                        log_event!(info, events::DISK_HAS_SPACE, file = file);
                    }
                    return done;
                }
            };
            undo(&mut self.disk)?;
            if self.space_wait_canceller.is_cancelled() {
                return Err(refused);
            }
            if !is_full_logged {
                log_event!(warn, events::DISK_FULL, file = file);
            }
            is_full_logged = true;
            (self.sleep_fn)(RETRY_INTERVAL);
        }
    }
}

impl<D: Disk> Disk for SpaceWaitDisk<D> {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let before_bytes = self.size_bytes(file)?;
        let undo = |disk: &mut D| disk.truncate(file, before_bytes);
        self.retry_while_full(file, |disk| disk.append(file, bytes), undo)?;
        let size_bytes = before_bytes + bytes.len() as u64;
        self.sizes_bytes.insert(file.to_owned(), size_bytes);
        Ok(())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.list()
    }

    fn read(&self, file: &str) -> io::Result<Option<Vec<u8>>> {
        self.disk.read(file)
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.sizes_bytes.swap_remove(file);
        self.disk.remove(file)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.sizes_bytes.swap_remove(from);
        self.sizes_bytes.swap_remove(to);
        self.disk.rename(from, to)
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.sizes_bytes.swap_remove(file);
        // A refused replacement leaves the file as it was.
        self.retry_while_full(file, |disk| disk.replace(file, bytes), |_| Ok(()))
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.disk.sync(file)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.disk.sync_names()
    }

    fn truncate(&mut self, file: &str, size_bytes: u64) -> io::Result<()> {
        self.sizes_bytes.swap_remove(file);
        self.disk.truncate(file, size_bytes)
    }
}
