//! A full disk is waited for, and leaves no half record behind.

mod simulation;

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use masticsill_quorum::storage::{Disk, SpaceWaitDisk, Storage};
use masticsill_quorum::{FolderId, SyncPoint, Write};
use masticsill_types::{NodeId, Term};
use simulation::disk::MemoryDisk;

/// A file in memory that takes so many bytes, and more after each try that it refused.
#[derive(Clone, Debug, Default)]
struct SmallDisk {
    shared: Arc<Mutex<Small>>,
}

#[derive(Debug)]
struct Small {
    content: Vec<u8>,
    free_bytes: usize,
    /// What comes back after each refusal.
    freed_bytes: usize,
    refused: usize,
}

impl Default for Small {
    fn default() -> Self {
        Self {
            content: Vec::new(),
            free_bytes: 0,
            freed_bytes: 2,
            refused: 0,
        }
    }
}

fn full() -> io::Error {
    io::ErrorKind::StorageFull.into()
}

impl SmallDisk {
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

impl Disk for SmallDisk {
    fn append(&mut self, _: &str, bytes: &[u8]) -> io::Result<()> {
        let mut small = self.shared.lock().unwrap();
        let taken = bytes.len().min(small.free_bytes);
        small.content.extend(&bytes[..taken]);
        small.free_bytes -= taken;
        if taken == bytes.len() {
            return Ok(());
        }
        small.refused += 1;
        small.free_bytes += small.freed_bytes;
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

    fn replace(&mut self, _: &str, bytes: &[u8]) -> io::Result<()> {
        let mut small = self.shared.lock().unwrap();
        if bytes.len() > small.free_bytes {
            small.refused += 1;
            small.free_bytes += small.freed_bytes;
            return Err(full());
        }
        small.content = bytes.to_vec();
        Ok(())
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, _: &str, size_bytes: u64) -> io::Result<()> {
        let mut small = self.shared.lock().unwrap();
        let size = usize::try_from(size_bytes).unwrap();
        small.free_bytes += small.content.len() - size;
        small.content.truncate(size);
        Ok(())
    }
}

fn patient(disk: &SmallDisk) -> SpaceWaitDisk<SmallDisk> {
    SpaceWaitDisk::with_sleep(disk.clone(), |_: Duration| {})
}

#[test]
fn an_append_waits_for_space_and_leaves_nothing_half() {
    let disk = SmallDisk::with_free(10);
    let mut patient = patient(&disk);
    patient.append("log", b"12345678").unwrap();
    patient.append("log", b"abcdefgh").unwrap();
    let small = disk.shared.lock().unwrap();
    assert_eq!(small.content, b"12345678abcdefgh");
    assert!(small.refused >= 3);
}

#[test]
fn a_replacement_waits_for_space() {
    let disk = SmallDisk::with_free(0);
    patient(&disk).replace("vote", b"term 7").unwrap();
    assert_eq!(disk.shared.lock().unwrap().content, b"term 7");
}

#[test]
fn an_append_after_a_restart_is_cut_where_the_file_ended() {
    let disk = SmallDisk::with_free(4);
    disk.shared.lock().unwrap().content = b"before ".to_vec();
    patient(&disk).append("log", b"after").unwrap();
    assert_eq!(disk.shared.lock().unwrap().content, b"before after");
}

#[test]
fn a_wait_for_space_ends_when_it_is_told_to() {
    let disk = SmallDisk::full();
    disk.shared.lock().unwrap().content = b"before ".to_vec();
    let mut patient = patient(&disk);
    let space_wait_canceller = patient.space_wait_canceller();
    let waiting = thread::spawn(move || {
        let refused = patient.append("log", b"after").unwrap_err();
        (refused, patient.replace("vote", b"term 7").unwrap_err())
    });
    disk.await_refusal();
    space_wait_canceller.cancel();
    let (append, replacement) = waiting.join().unwrap();
    assert_eq!(append.kind(), io::ErrorKind::StorageFull);
    assert_eq!(replacement.kind(), io::ErrorKind::StorageFull);
    assert_eq!(disk.shared.lock().unwrap().content, b"before ");
}

#[test]
fn what_was_given_up_is_never_reported_as_durable() {
    let disk = MemoryDisk::default();
    let node = NodeId::new("control-1").unwrap();
    let opened = Storage::open_with_disk(Box::new(disk.clone()), "cluster", &node, FolderId(1));
    let (mut storage, _) = opened.unwrap();
    let vote = |term| Write::Vote {
        term: Term(term),
        voted_for: None,
    };
    storage.write(SyncPoint(1), &vote(1)).unwrap();
    assert_eq!(storage.sync().unwrap(), SyncPoint(1));
    // A disk whose wait was given up refuses like one that fails.
    disk.set_sync_failing(true);
    assert!(storage.write(SyncPoint(2), &vote(2)).is_err());
    disk.set_sync_failing(false);
    assert!(storage.write(SyncPoint(3), &vote(3)).is_err());
    assert!(storage.sync().is_err());
}
