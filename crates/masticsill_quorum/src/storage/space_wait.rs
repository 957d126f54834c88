//! A disk that waits while the one below it is full.
//!
//! A full disk is no reason to end: nothing is acknowledged meanwhile, while heartbeats and reads
//! go on, and the replica is whole again as soon as there is space. What a refused append left
//! behind is cut before it is tried again, so that no half record stands in the log. A process that
//! ends gives up waiting; what it could not write never counted.

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

/// Pause between tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Lets a process that ends give up waiting for space. Copies share one state.
#[derive(Clone, Debug, Default)]
pub struct SpaceWaitCanceller {
    is_cancelled: Arc<AtomicBool>,
}

impl SpaceWaitCanceller {
    /// Lets every write for which there is no space be refused from now on.
    pub fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::Release);
    }

    fn is_cancelled(&self) -> bool {
        self.is_cancelled.load(Ordering::Acquire)
    }
}

/// A disk that waits for space. It blocks its caller, which must be a thread of its own.
pub struct SpaceWaitDisk<D> {
    disk: D,
    space_wait_canceller: SpaceWaitCanceller,
    /// Sizes of the files that were appended to, as far as every append was whole.
    sizes_bytes: IndexMap<String, u64>,
    sleep_fn: fn(Duration),
}

impl<D: fmt::Debug> fmt::Debug for SpaceWaitDisk<D> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("PatientDisk");
        shown.field("disk", &self.disk).finish_non_exhaustive()
    }
}

impl<D: Disk> SpaceWaitDisk<D> {
    /// Waits on the thread that writes.
    pub fn new(disk: D) -> Self {
        Self::with_sleep(disk, thread::sleep)
    }

    /// The same with another way to wait, for tests.
    pub fn with_sleep(disk: D, sleep_fn: fn(Duration)) -> Self {
        Self {
            disk,
            space_wait_canceller: SpaceWaitCanceller::default(),
            sizes_bytes: IndexMap::new(),
            sleep_fn,
        }
    }

    /// What ends its waits.
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

    /// Runs a write until the disk is no longer full or patience is over; `undo` removes what a
    /// refused one left.
    fn retry_while_full(
        &mut self,
        file: &str,
        write: impl Fn(&mut D) -> io::Result<()>,
        undo: impl Fn(&mut D),
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
            undo(&mut self.disk);
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
        let undo = |disk: &mut D| {
            // A cut that fails shows at the next append, which is tried on the same file.
            let _ = disk.truncate(file, before_bytes);
        };
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

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.sizes_bytes.swap_remove(file);
        // A refused replacement leaves the file as it was.
        self.retry_while_full(file, |disk| disk.replace(file, bytes), |_| {})
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.disk.sync(file)
    }

    fn truncate(&mut self, file: &str, size_bytes: u64) -> io::Result<()> {
        self.sizes_bytes.swap_remove(file);
        self.disk.truncate(file, size_bytes)
    }
}
