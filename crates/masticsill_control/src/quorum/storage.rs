//! The storage duty: batches writes so that many share one sync.

use std::collections::VecDeque;

use masticsill_quorum::storage::{Storage, StorageError};
use masticsill_quorum::{FolderId, Snapshot, StoredState, SyncPoint, Write};
use masticsill_runtime::Ring;
use tokio::sync::{oneshot, watch};

/// A job for the storage duty; jobs are carried out in order.
#[derive(Debug)]
pub(crate) enum Job {
    /// Store the founding members and reply once they are durable.
    Found(Snapshot, oneshot::Sender<()>),
    /// Give up the founding and reply with the state that the folder holds afterwards.
    GiveUp(oneshot::Sender<StoredState>),
    /// Write, and report the sync point once the write is synced.
    Write(SyncPoint, Write),
}

/// Progress of the storage duty.
#[derive(Clone, Debug, Default)]
pub(crate) struct StorageProgress {
    /// The error after which nothing more is written.
    pub(crate) failure: Option<String>,
    /// Every write up to here is durable.
    pub(crate) synced: SyncPoint,
}

/// Queue of jobs for the storage duty. No job is lost: what the ring can't take waits in the
/// backlog.
#[derive(Debug)]
pub(crate) struct StorageQueue {
    requested: SyncPoint,
    backlog: VecDeque<Job>,
    jobs: Ring<Job>,
    synced: SyncPoint,
}

impl StorageQueue {
    pub(crate) fn new(jobs: Ring<Job>) -> Self {
        Self {
            requested: SyncPoint::default(),
            backlog: VecDeque::new(),
            jobs,
            synced: SyncPoint::default(),
        }
    }

    pub(crate) fn write(&mut self, point: SyncPoint, write: Write) {
        self.requested = point;
        self.push(Job::Write(point, write));
    }

    /// Queues the founding members for storage; sync points start from the beginning with the next
    /// write.
    pub(crate) fn found(&mut self, snapshot: Snapshot, done: oneshot::Sender<()>) {
        self.requested = SyncPoint::default();
        self.synced = SyncPoint::default();
        self.push(Job::Found(snapshot, done));
    }

    /// Queues giving up the founding; sync points start from the beginning with the next write.
    pub(crate) fn give_up(&mut self, done: oneshot::Sender<StoredState>) {
        self.requested = SyncPoint::default();
        self.synced = SyncPoint::default();
        self.push(Job::GiveUp(done));
    }

    /// Whether every write is durable.
    pub(crate) fn is_synced(&self) -> bool {
        self.requested == self.synced
    }

    /// Records that writes up to `point` are durable; returns whether this is newer than what was
    /// known.
    pub(crate) fn record_synced(&mut self, point: SyncPoint) -> bool {
        let is_newer = point > self.synced && point <= self.requested;
        if is_newer {
            self.synced = point;
        }
        is_newer
    }

    /// Moves jobs from the backlog to the ring as far as the ring has room.
    pub(crate) fn flush(&mut self) {
        while let Some(job) = self.backlog.pop_front() {
            if let Err(full) = self.jobs.push(job) {
                self.backlog.push_front(full.0);
                return;
            }
        }
    }

    fn push(&mut self, job: Job) {
        self.backlog.push_back(job);
        self.flush();
    }
}

/// Runs the storage duty until the ring is closed or a write fails.
pub(crate) async fn run_storage(
    mut storage: Storage,
    jobs: Ring<Job>,
    progress: watch::Sender<StorageProgress>,
) {
    while let Some(first) = jobs.pop().await {
        if let Err(error) = take_jobs(&mut storage, first, &jobs, &progress) {
            let failure = Some(error.to_string());
            progress.send_modify(|progress| progress.failure = failure);
            return;
        }
    }
}

/// Carries out all queued jobs, with one sync at the end.
fn take_jobs(
    storage: &mut Storage,
    first: Job,
    jobs: &Ring<Job>,
    progress: &watch::Sender<StorageProgress>,
) -> Result<(), StorageError> {
    let mut next = Some(first);
    let mut has_written = false;
    while let Some(job) = next {
        match job {
            Job::Found(snapshot, done) => {
                let write = Write::Snapshot { snapshot };
                storage.write(SyncPoint::default(), &write)?;
                storage.sync()?;
                progress.send_modify(|progress| progress.synced = SyncPoint::default());
                let _ = done.send(());
            }
            Job::GiveUp(done) => {
                let stored = storage.abandon_founding(FolderId(rand::random()))?;
                progress.send_modify(|progress| progress.synced = SyncPoint::default());
                let _ = done.send(stored);
            }
            Job::Write(point, write) => {
                storage.write(point, &write)?;
                has_written = true;
            }
        }
        next = jobs.try_pop();
    }
    if has_written {
        let synced = storage.sync()?;
        progress.send_modify(|progress| progress.synced = synced);
    }
    Ok(())
}
