//! The storage duty: many writes, one sync.

use std::collections::VecDeque;

use masticsill_quorum::storage::{Storage, StorageError};
use masticsill_quorum::{FolderId, Snapshot, StoredState, SyncPoint, Write};
use masticsill_runtime::Ring;
use tokio::sync::{oneshot, watch};

/// What the storage duty is told to do, in order.
#[derive(Debug)]
pub(crate) enum Job {
    /// Store the founding members and answer once they are durable.
    Found(Snapshot, oneshot::Sender<()>),
    /// Give the founding up and answer with what the folder holds then.
    GiveUp(oneshot::Sender<StoredState>),
    /// Write, and report the point once it is synced.
    Write(SyncPoint, Write),
}

/// How far the storage duty has come.
#[derive(Clone, Debug, Default)]
pub(crate) struct StorageProgress {
    /// Why nothing more is written.
    pub(crate) failure: Option<String>,
    /// Every write up to here is durable.
    pub(crate) synced: SyncPoint,
}

/// The quorum duty's end of the storage duty. It never loses a job: what the ring can't take
/// waits here.
#[derive(Debug)]
pub(crate) struct StorageQueue {
    asked: SyncPoint,
    backlog: VecDeque<Job>,
    jobs: Ring<Job>,
    synced: SyncPoint,
}

impl StorageQueue {
    pub(crate) fn new(jobs: Ring<Job>) -> Self {
        Self {
            asked: SyncPoint::default(),
            backlog: VecDeque::new(),
            jobs,
            synced: SyncPoint::default(),
        }
    }

    pub(crate) fn write(&mut self, point: SyncPoint, write: Write) {
        self.asked = point;
        self.push(Job::Write(point, write));
    }

    /// Stores the founding members; the order of points begins anew with the next write.
    pub(crate) fn found(&mut self, snapshot: Snapshot, done: oneshot::Sender<()>) {
        self.asked = SyncPoint::default();
        self.synced = SyncPoint::default();
        self.push(Job::Found(snapshot, done));
    }

    /// Gives the founding up; the order of points begins anew with the next write.
    pub(crate) fn give_up(&mut self, done: oneshot::Sender<StoredState>) {
        self.asked = SyncPoint::default();
        self.synced = SyncPoint::default();
        self.push(Job::GiveUp(done));
    }

    /// Whether every write is durable.
    pub(crate) fn is_synced(&self) -> bool {
        self.asked == self.synced
    }

    /// Notes that writes are durable; returns whether any is newly so.
    pub(crate) fn note_synced(&mut self, point: SyncPoint) -> bool {
        let is_news = point > self.synced && point <= self.asked;
        if is_news {
            self.synced = point;
        }
        is_news
    }

    /// Hands over what the ring could not take before.
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

/// Carries out everything that waits, with one sync at the end.
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

/// Keeps a copy of what storage holds in step with a write.
pub(crate) fn mirror(stored: &mut StoredState, write: &Write) {
    match write {
        Write::Append { entries } => stored.entries.extend(entries.iter().cloned()),
        Write::Snapshot { snapshot } => {
            stored.entries.retain(|entry| entry.index > snapshot.index);
            stored.snapshot = Some(snapshot.clone());
        }
        Write::TruncateFrom { index } => stored.entries.retain(|entry| entry.index < *index),
        Write::Vote { term, voted_for } => {
            stored.term = *term;
            stored.voted_for.clone_from(voted_for);
        }
    }
}
