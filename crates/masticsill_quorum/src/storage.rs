//! A replica's data folder: identity, vote, snapshot and the log in segments.
//!
//! Every file consists of checksummed frames. The log is append-only, with one frame per sync; a
//! truncation is a log record too. A failed write or sync is final: the state of the disk is then
//! unknown, so nothing more is written until a restarted process has read the folder again.

mod disk;
mod emptying;
mod error;
mod file_system;
mod frame;
mod frame_log;
mod open;
mod record;
mod replay;
mod space_wait;

use std::path::Path;

use masticsill_types::{NodeId, Term, log_event};

use crate::storage::disk::{remove, sync_names};
use crate::storage::emptying::{Emptying, set_aside};
use crate::storage::open::recover;
use crate::storage::record::{LogRecord, VoteRecord, encode_record};
use crate::storage::replay::{Segment, segment_name};
use crate::wire::{WireEntry, WireSnapshot, WireVoterId};
use crate::{
    Entry, FolderId, LogIndex, Membership, Payload, Snapshot, StoredState, SyncPoint, VoterId,
    Write, events,
};

pub use disk::{Disk, FileDisk};
pub use error::StorageError;
pub use file_system::{FileSystem, OsFolder};
pub use frame::{FrameEnd, FrameScan, encode_frame, scan_frames};
pub use frame_log::{FrameLog, read_frame_log};
pub use open::{RecoveredStorage, TornTail};
pub use space_wait::{SpaceWaitCanceller, SpaceWaitDisk};

pub(crate) const IDENTITY_FILE: &str = "identity";
pub(crate) const SNAPSHOT_FILE: &str = "snapshot";
pub(crate) const VOTE_FILE: &str = "vote";
/// Size at which a segment is closed and a new one is started.
const SEGMENT_ROLLOVER_BYTES: u64 = 4 * 1024 * 1024;

/// A replica's data folder, open for writing.
#[derive(Debug)]
pub struct Storage {
    cluster: String,
    disk: Box<dyn Disk>,
    id: VoterId,
    segments: Vec<Segment>,
    /// Records that the next sync will write.
    unwritten: Vec<LogRecord>,
    highest_unwritten: LogIndex,
    point: SyncPoint,
    is_pristine: bool,
    is_failed: bool,
    space_wait_canceller: SpaceWaitCanceller,
}

impl Storage {
    /// Opens the data folder of a node, or creates it with a new random identity. Writes wait while
    /// the disk is full; see [`Self::space_wait_canceller`].
    ///
    /// # Errors
    ///
    /// [`StorageError`], naming the file and the remedy.
    pub fn open(
        folder: &Path,
        cluster: &str,
        node: &NodeId,
    ) -> Result<(Self, RecoveredStorage), StorageError> {
        let disk = SpaceWaitDisk::new(FileDisk::open(folder)?);
        let space_wait_canceller = disk.space_wait_canceller();
        let opened = Self::open_with_disk(Box::new(disk), cluster, node, FolderId(rand::random()));
        let (mut storage, recovered) = opened?;
        storage.space_wait_canceller = space_wait_canceller;
        Ok((storage, recovered))
    }

    /// Opens the data folder on `disk`, or creates it with the identity `new_folder`, which must be
    /// random.
    ///
    /// # Errors
    ///
    /// [`StorageError`], naming the file and the remedy.
    pub fn open_with_disk(
        mut disk: Box<dyn Disk>,
        cluster: &str,
        node: &NodeId,
        new_folder: FolderId,
    ) -> Result<(Self, RecoveredStorage), StorageError> {
        let new_id = VoterId {
            name: node.clone(),
            folder: new_folder,
        };
        let (recovered, segments) = recover(disk.as_mut(), cluster, new_id)?;
        let state = &recovered.state;
        let mut storage = Self {
            cluster: cluster.to_owned(),
            disk,
            id: state.id.clone(),
            segments,
            unwritten: Vec::new(),
            highest_unwritten: LogIndex::default(),
            point: SyncPoint::default(),
            is_pristine: is_pristine(state),
            is_failed: false,
            space_wait_canceller: SpaceWaitCanceller::default(),
        };
        storage.ensure_open_segment()?;
        Ok((storage, recovered))
    }

    /// Sets the replica's files in a data folder aside, in place of those that were set aside before.
    /// The next opening gives the folder a new identity; the old one never votes again.
    ///
    /// This costs the cluster a voter's data, as a lost disk does, until the new identity has taken
    /// its place.
    ///
    /// # Errors
    ///
    /// [`StorageError`], naming the file and the remedy.
    pub fn set_aside(folder: &Path) -> Result<(), StorageError> {
        Self::set_aside_with_disk(&mut FileDisk::open(folder)?)
    }

    /// Like [`Self::set_aside`], on `disk`.
    ///
    /// # Errors
    ///
    /// [`StorageError`], naming the file and the remedy.
    pub fn set_aside_with_disk(disk: &mut dyn Disk) -> Result<(), StorageError> {
        set_aside(disk)
    }

    /// Makes a new folder a founding member of a new cluster. Every founding member must be given
    /// the same membership, once.
    ///
    /// # Errors
    ///
    /// [`StorageError::NotNew`] if the folder holds a log, a term or a snapshot; [`StorageError`]
    /// if the write fails.
    pub fn found(
        &mut self,
        state: &mut StoredState,
        membership: Membership,
    ) -> Result<(), StorageError> {
        if !self.is_pristine {
            return Err(StorageError::NotNew);
        }
        let snapshot = Snapshot::founding(membership);
        self.run_checked(|storage| storage.write_snapshot(snapshot.clone()))?;
        state.snapshot = Some(snapshot);
        Ok(())
    }

    /// Abandons a founding: empties the folder and gives it the new identity `new_folder`, which
    /// must be random. The folder then belongs to no cluster.
    ///
    /// This is safe as long as the log is empty: no committed entry depends on this folder, and its
    /// old identity never votes again, as if the disk had been lost.
    ///
    /// # Errors
    ///
    /// [`StorageError::NotNew`] if the folder holds an entry; [`StorageError`] if a write fails.
    pub fn abandon_founding(&mut self, new_folder: FolderId) -> Result<StoredState, StorageError> {
        let has_entries = |segment: &Segment| segment.highest_index > LogIndex(0);
        if !self.unwritten.is_empty() || self.segments.iter().any(has_entries) {
            return Err(StorageError::NotNew);
        }
        let mut new_state = None;
        self.run_checked(|storage| {
            Emptying::Abandoned.begin(storage.disk.as_mut())?;
            let new_id = VoterId {
                name: storage.id.name.clone(),
                folder: new_folder,
            };
            let (recovered, segments) = recover(storage.disk.as_mut(), &storage.cluster, new_id)?;
            storage.id = recovered.state.id.clone();
            storage.segments = segments;
            storage.point = SyncPoint::default();
            storage.is_pristine = true;
            new_state = Some(recovered.state);
            storage.ensure_open_segment()
        })?;
        new_state.ok_or(StorageError::Failed)
    }

    /// Makes this replica the only voter, after the majority of the voters was lost permanently.
    ///
    /// Entries that the lost voters had accepted and this replica had not received are lost. The
    /// data folders of all other voters must never be used again: they would form a second cluster.
    ///
    /// # Errors
    ///
    /// [`StorageError`] if a write fails.
    pub fn force_sole_voter(&mut self, state: &mut StoredState) -> Result<(), StorageError> {
        let snapshot_index = state.snapshot.as_ref().map_or(LogIndex(0), |it| it.index);
        let last_index = state.entries.last().map_or(snapshot_index, |it| it.index);
        let term = state.term.next();
        let entry = Entry {
            index: last_index.next(),
            term,
            payload: Payload::Membership(Membership::from_voters([self.id.clone()])),
        };
        let vote = Write::Vote {
            term,
            voted_for: Some(self.id.clone()),
        };
        let append = Write::Append {
            entries: vec![entry.clone()],
        };
        self.write(self.point, &vote)?;
        self.write(self.point, &append)?;
        self.sync()?;
        state.term = term;
        state.voted_for = Some(self.id.clone());
        state.entries.push(entry);
        log_event!(warn, events::SOLE_VOTER_FORCED, replica = self.id);
        Ok(())
    }

    /// Accepts a write, which is durable after the next [`Self::sync`].
    ///
    /// # Errors
    ///
    /// [`StorageError`]; after any error the storage refuses every operation.
    pub fn write(&mut self, point: SyncPoint, write: &Write) -> Result<(), StorageError> {
        self.is_pristine = false;
        match write {
            Write::Append { entries } => self.buffer_entries(entries),
            Write::Snapshot { snapshot } => {
                let snapshot = snapshot.clone();
                self.run_checked(|storage| storage.write_snapshot(snapshot))?;
            }
            Write::TruncateFrom { index } => {
                self.unwritten.push(LogRecord::TruncateFrom(index.0));
            }
            Write::Vote { term, voted_for } => {
                let record = VoteRecord {
                    term: term.0,
                    voted_for: voted_for.clone().map(WireVoterId::from),
                };
                self.run_checked(|storage| storage.replace(VOTE_FILE, &encode_record(&record)))?;
            }
        }
        self.point = point;
        Ok(())
    }

    /// Makes every write accepted so far durable and returns the point of the last one.
    ///
    /// # Errors
    ///
    /// [`StorageError`]; after any error the storage refuses every operation.
    pub fn sync(&mut self) -> Result<SyncPoint, StorageError> {
        self.run_checked(Self::flush)?;
        Ok(self.point)
    }

    /// The replica's identity, as stored in the folder.
    #[must_use]
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// A handle that cancels this storage's waits for disk space. A cancelled write fails, which is
    /// final.
    #[must_use]
    pub fn space_wait_canceller(&self) -> SpaceWaitCanceller {
        self.space_wait_canceller.clone()
    }

    /// Runs an operation unless an earlier one failed. A failure is final.
    fn run_checked(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.is_failed {
            return Err(StorageError::Failed);
        }
        // A sync that is retried after a failure may succeed although data was lost.
        let done = operation(self);
        if let Err(error) = &done {
            self.is_failed = true;
            log_event!(error, events::STORAGE_FAILED, error = error);
        }
        done
    }

    fn buffer_entries(&mut self, entries: &[Entry]) {
        let records = entries.iter().cloned().map(WireEntry::from);
        self.unwritten.extend(records.map(LogRecord::Append));
        if let Some(last) = entries.last() {
            self.highest_unwritten = self.highest_unwritten.max(last.index);
        }
    }

    fn flush(&mut self) -> Result<(), StorageError> {
        if self.unwritten.is_empty() {
            return Ok(());
        }
        let frame = encode_record(&self.unwritten);
        self.unwritten.clear();
        let highest = std::mem::take(&mut self.highest_unwritten);
        let segment = self
            .segments
            .last_mut()
            .expect("an open storage always has a segment");
        segment.highest_index = segment.highest_index.max(highest);
        segment.size_bytes += frame.len() as u64;
        let (sequence, size_bytes) = (segment.sequence, segment.size_bytes);
        self.append(sequence, &frame)?;
        if size_bytes >= SEGMENT_ROLLOVER_BYTES {
            self.start_segment(sequence + 1)?;
        }
        Ok(())
    }

    fn append(&mut self, sequence: u64, frame: &[u8]) -> Result<(), StorageError> {
        let file = segment_name(sequence);
        let appended = self.disk.append(&file, frame);
        appended.map_err(StorageError::io("append to", &file))?;
        let synced = self.disk.sync(&file);
        synced.map_err(StorageError::io("sync", &file))
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let replaced = self.disk.replace(file, bytes);
        replaced.map_err(StorageError::io("replace", file))
    }

    /// Starts the first segment, or restarts the last one if it holds no complete record.
    fn ensure_open_segment(&mut self) -> Result<(), StorageError> {
        match self.segments.last().copied() {
            None => self.start_segment(1),
            Some(last) if last.size_bytes == 0 => {
                self.segments.pop();
                self.start_segment(last.sequence)
            }
            Some(_) => Ok(()),
        }
    }

    fn start_segment(&mut self, sequence: u64) -> Result<(), StorageError> {
        let start = LogRecord::SegmentStart {
            folder: self.id.folder.0,
            sequence,
        };
        let frame = encode_record(&vec![start]);
        self.append(sequence, &frame)?;
        self.segments.push(Segment {
            sequence,
            highest_index: LogIndex::default(),
            size_bytes: frame.len() as u64,
        });
        Ok(())
    }

    /// Writes a snapshot, then removes the segments that it covers.
    fn write_snapshot(&mut self, snapshot: Snapshot) -> Result<(), StorageError> {
        // A truncation that the snapshot depends on must be durable before the snapshot is.
        self.flush()?;
        let index = snapshot.index;
        let bytes = encode_record(&WireSnapshot::from(snapshot));
        self.replace(SNAPSHOT_FILE, &bytes)?;
        let last = self.segments.last().copied();
        if let Some(last) = last.filter(|it| it.highest_index > LogIndex(0)) {
            self.start_segment(last.sequence + 1)?;
        }
        while self.segments.len() > 1 && self.segments[0].highest_index <= index {
            let file = segment_name(self.segments.remove(0).sequence);
            remove(self.disk.as_mut(), &file)?;
            // Before the next removal, so that a power loss never leaves a gap between segments.
            sync_names(self.disk.as_mut())?;
        }
        Ok(())
    }
}

/// Whether a folder holds no snapshot, no entry and no term.
fn is_pristine(state: &StoredState) -> bool {
    state.snapshot.is_none() && state.entries.is_empty() && state.term == Term::default()
}
