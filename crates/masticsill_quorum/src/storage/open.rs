//! Opening a data folder: reading its identity, vote, snapshot and log from the disk.

use masticsill_types::{NodeId, Term, log_event};
use serde::de::DeserializeOwned;

use crate::storage::disk::sync_names;
use crate::storage::emptying::finish_emptying;
use crate::storage::record::{IdentityRecord, VoteRecord, decode_record, encode_record};
use crate::storage::replay::{Replay, Segment, segment_name, segment_sequence};
use crate::storage::{Disk, IDENTITY_FILE, SNAPSHOT_FILE, StorageError, VOTE_FILE};
use crate::wire::WireSnapshot;
use crate::{LogIndex, Snapshot, StoredState, VoterId, events};

/// A truncation of a last record that was only partly written. The record was never reported as
/// durable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TornTail {
    /// Name of the segment file within the data folder.
    pub file: String,
    /// Offset of the removed record and new size of the file, in bytes.
    pub offset_bytes: u64,
    /// Number of bytes removed.
    pub cut_bytes: u64,
}

/// The content of a data folder when it was opened.
#[derive(Debug)]
pub struct RecoveredStorage {
    /// The state that the replica starts from.
    pub state: StoredState,
    /// The truncation of a partly written record, if there was one.
    pub torn_tail: Option<TornTail>,
    /// Whether the folder was newly created.
    pub is_new: bool,
}

/// Reads a data folder, or assigns an identity to a new one.
pub(crate) fn recover(
    disk: &mut dyn Disk,
    cluster: &str,
    new_id: VoterId,
) -> Result<(RecoveredStorage, Vec<Segment>), StorageError> {
    // A killed process may have left names that are not durable yet.
    sync_names(disk)?;
    let names = finish_emptying(disk)?;
    let is_new = !names.iter().any(|name| name == IDENTITY_FILE);
    let id = if is_new {
        create_identity(disk, &names, cluster, new_id)?
    } else {
        read_identity(disk, cluster, &new_id.name)?
    };
    let vote: VoteRecord = read_required(disk, VOTE_FILE)?;
    let snapshot = read_snapshot(disk)?;
    let snapshot_index = snapshot.as_ref().map_or(LogIndex(0), |it| it.index);
    let mut replay = Replay::new(id.folder, snapshot_index);
    let torn_tail = read_log(disk, &names, &mut replay)?;
    check_first_segment(&replay, &vote, snapshot.as_ref())?;
    sync_last_segment(disk, &replay)?;
    let voted_for = vote.voted_for.map(VoterId::try_from).transpose();
    let to_corrupt = |_| StorageError::corrupt(VOTE_FILE, 0, "the vote is not valid");
    let state = StoredState {
        id,
        term: Term(vote.term),
        voted_for: voted_for.map_err(to_corrupt)?,
        snapshot,
        entries: replay.entries,
    };
    let recovered = RecoveredStorage {
        state,
        torn_tail,
        is_new,
    };
    Ok((recovered, replay.segments))
}

/// Makes the last records durable, which a killed process may have written without a sync.
fn sync_last_segment(disk: &mut dyn Disk, replay: &Replay) -> Result<(), StorageError> {
    let Some(last) = replay.segments.last() else {
        return Ok(());
    };
    let file = segment_name(last.sequence);
    disk.sync(&file).map_err(StorageError::io("sync", &file))
}

/// Rejects a log whose first segment is missing.
fn check_first_segment(
    replay: &Replay,
    vote: &VoteRecord,
    snapshot: Option<&Snapshot>,
) -> Result<(), StorageError> {
    let is_missing = match replay.segments.first() {
        Some(first) => first.sequence != 1 && snapshot.is_none(),
        None => vote.term > 0,
    };
    if is_missing {
        let file = segment_name(1);
        return Err(StorageError::Missing { file });
    }
    Ok(())
}

fn create_identity(
    disk: &mut dyn Disk,
    names: &[String],
    cluster: &str,
    id: VoterId,
) -> Result<VoterId, StorageError> {
    let holds_log = |name: &String| name == SNAPSHOT_FILE || segment_sequence(name).is_some();
    if names.iter().any(holds_log) {
        let file = IDENTITY_FILE.to_owned();
        return Err(StorageError::Missing { file });
    }
    let identity = IdentityRecord {
        cluster: cluster.to_owned(),
        replica: id.clone().into(),
    };
    // The identity is written last, so that a folder with an identity always has a vote file.
    let vote = encode_record(&VoteRecord::default());
    disk.replace(VOTE_FILE, &vote)
        .map_err(StorageError::io("replace", VOTE_FILE))?;
    disk.replace(IDENTITY_FILE, &encode_record(&identity))
        .map_err(StorageError::io("replace", IDENTITY_FILE))?;
    log_event!(info, events::FOLDER_CREATED, replica = id);
    Ok(id)
}

fn read_identity(disk: &dyn Disk, cluster: &str, node: &NodeId) -> Result<VoterId, StorageError> {
    let identity: IdentityRecord = read_required(disk, IDENTITY_FILE)?;
    if identity.cluster != cluster {
        return Err(StorageError::WrongCluster {
            expected: cluster.to_owned(),
            found: identity.cluster,
        });
    }
    if identity.replica.name != node.as_str() {
        return Err(StorageError::WrongNode {
            expected: node.clone(),
            found: identity.replica.name,
        });
    }
    let to_corrupt = |_| StorageError::corrupt(IDENTITY_FILE, 0, "the identity is not valid");
    VoterId::try_from(identity.replica).map_err(to_corrupt)
}

fn read_file(disk: &dyn Disk, file: &str) -> Result<Option<Vec<u8>>, StorageError> {
    disk.read(file).map_err(StorageError::io("read", file))
}

fn read_required<T: DeserializeOwned>(disk: &dyn Disk, file: &str) -> Result<T, StorageError> {
    let Some(bytes) = read_file(disk, file)? else {
        let file = file.to_owned();
        return Err(StorageError::Missing { file });
    };
    decode_record(file, &bytes)
}

fn read_snapshot(disk: &dyn Disk) -> Result<Option<Snapshot>, StorageError> {
    let Some(bytes) = read_file(disk, SNAPSHOT_FILE)? else {
        return Ok(None);
    };
    let wire: WireSnapshot = decode_record(SNAPSHOT_FILE, &bytes)?;
    let to_corrupt = |_| StorageError::corrupt(SNAPSHOT_FILE, 0, "the snapshot is not valid");
    Snapshot::try_from(wire).map(Some).map_err(to_corrupt)
}

/// Reads every segment in order and truncates a torn tail of the last one.
fn read_log(
    disk: &mut dyn Disk,
    names: &[String],
    replay: &mut Replay,
) -> Result<Option<TornTail>, StorageError> {
    let sequences = names.iter().filter_map(|name| segment_sequence(name));
    let mut sequences: Vec<u64> = sequences.collect();
    sequences.sort_unstable();
    let mut torn_tail = None;
    for sequence in &sequences {
        let file = segment_name(*sequence);
        let bytes = read_file(disk, &file)?.unwrap_or_default();
        let is_last = Some(sequence) == sequences.last();
        if let Some(offset) = replay.read_segment(*sequence, &bytes, is_last)? {
            torn_tail = Some(truncate_torn_tail(
                disk,
                file,
                offset as u64,
                bytes.len() as u64,
            )?);
        }
    }
    Ok(torn_tail)
}

fn truncate_torn_tail(
    disk: &mut dyn Disk,
    file: String,
    offset_bytes: u64,
    size_bytes: u64,
) -> Result<TornTail, StorageError> {
    let truncated = disk.truncate(&file, offset_bytes);
    truncated.map_err(StorageError::io("truncate", &file))?;
    let cut_bytes = size_bytes - offset_bytes;
    log_event!(
        warn,
        events::TORN_TAIL_CUT,
        file = file,
        offset_bytes = offset_bytes,
        cut_bytes = cut_bytes
    );
    Ok(TornTail {
        file,
        offset_bytes,
        cut_bytes,
    })
}
