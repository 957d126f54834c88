//! Writes wait while the disk is full and leave no partial record behind.

mod simulation;

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use masticsill_quorum::storage::{Disk, SpaceWaitDisk, Storage};
use masticsill_quorum::{FolderId, SyncPoint, Write};
use masticsill_types::{NodeId, Term};
use simulation::disk::MemoryDisk;

/// An in-memory file of limited size. Each refused write frees some more space.
#[derive(Clone, Debug, Default)]
struct LimitedDisk {
    shared: Arc<Mutex<LimitedDiskState>>,
}

#[derive(Debug)]
struct LimitedDiskState {
    content: Vec<u8>,
    free_bytes: usize,
    /// Number of bytes freed after each refused write.
    freed_bytes: usize,
    refused: usize,
    is_truncation_failing: bool,
}

impl Default for LimitedDiskState {
    fn default() -> Self {
        Self {
            content: Vec::new(),
            free_bytes: 0,
            freed_bytes: 2,
            refused: 0,
            is_truncation_failing: false,
        }
    }
}

fn full() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

impl LimitedDisk {
    fn with_free(free_bytes: usize) -> Self {
        let disk = Self::default();
        disk.shared.lock().unwrap().free_bytes = free_bytes;
        disk
    }

    /// A disk that stays full.
    fn full() -> Self {
        let disk = Self::default();
        disk.shared.lock().unwrap().freed_bytes = 0;
        disk
    }

    fn await_refusal(&self) {
        while self.shared.lock().unwrap().refused == 0 {
            thread::yield_now();
        }
    }
}

impl Disk for LimitedDisk {
    fn append(&mut self, _: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.shared.lock().unwrap();
        let taken = bytes.len().min(state.free_bytes);
        state.content.extend(&bytes[..taken]);
        state.free_bytes -= taken;
        if taken == bytes.len() {
            return Ok(());
        }
        state.refused += 1;
        state.free_bytes += state.freed_bytes;
        Err(full())
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(Vec::new())
    }

    fn read(&self, _: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(Some(self.shared.lock().unwrap().content.clone()))
    }

    fn remove(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, _: &str, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn replace(&mut self, _: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.shared.lock().unwrap();
        if bytes.len() > state.free_bytes {
            state.refused += 1;
            state.free_bytes += state.freed_bytes;
            return Err(full());
        }
        state.content = bytes.to_vec();
        Ok(())
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, _: &str, size_bytes: u64) -> io::Result<()> {
        let mut state = self.shared.lock().unwrap();
        if state.is_truncation_failing {
            return Err(io::Error::other("truncation refused"));
        }
        let size = usize::try_from(size_bytes).unwrap();
        state.free_bytes += state.content.len() - size;
        state.content.truncate(size);
        Ok(())
    }
}

fn waiting_disk(disk: &LimitedDisk) -> SpaceWaitDisk<LimitedDisk> {
    SpaceWaitDisk::with_sleep(disk.clone(), |_: Duration| {})
}

#[test]
fn an_append_waits_for_space_and_leaves_no_partial_write() {
    let disk = LimitedDisk::with_free(10);
    let mut waiting_disk = waiting_disk(&disk);
    waiting_disk.append("log", b"12345678").unwrap();
    waiting_disk.append("log", b"abcdefgh").unwrap();
    let state = disk.shared.lock().unwrap();
    assert_eq!(state.content, b"12345678abcdefgh");
    assert!(state.refused >= 3);
}

/// Guards against a complete record behind a partial one, which is refused as damage.
#[test]
fn nothing_is_appended_behind_a_partial_write() {
    let disk = LimitedDisk::with_free(4);
    disk.shared.lock().unwrap().is_truncation_failing = true;
    let refused = waiting_disk(&disk).append("log", b"12345678");
    assert_eq!(refused.unwrap_err().to_string(), "truncation refused");
    assert_eq!(disk.shared.lock().unwrap().content, b"1234");
}

#[test]
fn a_replacement_waits_for_space() {
    let disk = LimitedDisk::with_free(0);
    waiting_disk(&disk).replace("vote", b"term 7").unwrap();
    assert_eq!(disk.shared.lock().unwrap().content, b"term 7");
}

#[test]
fn a_failed_append_after_a_restart_is_truncated_to_the_original_size() {
    let disk = LimitedDisk::with_free(4);
    disk.shared.lock().unwrap().content = b"before ".to_vec();
    waiting_disk(&disk).append("log", b"after").unwrap();
    assert_eq!(disk.shared.lock().unwrap().content, b"before after");
}

#[test]
fn a_wait_for_space_can_be_cancelled() {
    let disk = LimitedDisk::full();
    disk.shared.lock().unwrap().content = b"before ".to_vec();
    let mut waiting_disk = waiting_disk(&disk);
    let space_wait_canceller = waiting_disk.space_wait_canceller();
    let waiting = thread::spawn(move || {
        let refused = waiting_disk.append("log", b"after").unwrap_err();
        (
            refused,
            waiting_disk.replace("vote", b"term 7").unwrap_err(),
        )
    });
    disk.await_refusal();
    space_wait_canceller.cancel();
    let (append, replacement) = waiting.join().unwrap();
    assert_eq!(append.kind(), io::ErrorKind::StorageFull);
    assert_eq!(replacement.kind(), io::ErrorKind::StorageFull);
    assert_eq!(disk.shared.lock().unwrap().content, b"before ");
}

#[test]
fn a_cancelled_write_is_never_reported_as_durable() {
    let disk = MemoryDisk::default();
    let node = NodeId::new("control-1").unwrap();
    let opened = Storage::open_with_disk(disk.boxed(), "cluster", &node, FolderId(1));
    let (mut storage, _) = opened.unwrap();
    let vote = |term| Write::Vote {
        term: Term(term),
        voted_for: None,
    };
    storage.write(SyncPoint(1), &vote(1)).unwrap();
    assert_eq!(storage.sync().unwrap(), SyncPoint(1));
    // A cancelled wait returns the same error as a failing disk.
    disk.set_sync_failing(true);
    assert!(storage.write(SyncPoint(2), &vote(2)).is_err());
    disk.set_sync_failing(false);
    assert!(storage.write(SyncPoint(3), &vote(3)).is_err());
    assert!(storage.sync().is_err());
}
