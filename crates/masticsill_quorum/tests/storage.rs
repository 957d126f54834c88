//! Recovery of a data folder after a crash, damage or a failing disk.

mod simulation;

use std::sync::Arc;

use assert_matches::assert_matches;
use masticsill_quorum::storage::{FileSystem, RecoveredStorage, Storage, StorageError, TornTail};
use masticsill_quorum::{
    Entry, FolderId, LogIndex, Membership, Payload, Snapshot, SyncPoint, VoterId, Write,
};
use masticsill_types::{NodeId, Term};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use simulation::disk::{MemoryDisk, PowerLoss};

const SEGMENT: &str = "log-0000000000000001.segment";

fn node() -> NodeId {
    NodeId::new("control-0").unwrap()
}

fn random(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

fn open(disk: &MemoryDisk) -> Result<(Storage, RecoveredStorage), StorageError> {
    Storage::open_with_disk(disk.boxed(), "cluster", &node(), FolderId(7))
}

fn entries(range: std::ops::RangeInclusive<u64>, term: u64) -> Write {
    let entry = |index| Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(Arc::from([u8::try_from(index).unwrap(); 20])),
    };
    Write::Append {
        entries: range.map(entry).collect(),
    }
}

fn snapshot(index: u64, term: u64) -> Write {
    Write::Snapshot {
        snapshot: Snapshot {
            index: LogIndex(index),
            term: Term(term),
            membership: Membership::default(),
            data: Arc::from([1, 2, 3]),
        },
    }
}

/// Writes each of `writes`, with one sync per write.
fn write_all(disk: &MemoryDisk, writes: &[Write]) {
    let (mut storage, _) = open(disk).unwrap();
    for (number, write) in (1..).zip(writes) {
        storage.write(SyncPoint(number), write).unwrap();
        assert_eq!(storage.sync().unwrap(), SyncPoint(number));
    }
}

fn indexes_and_terms(recovered: &RecoveredStorage) -> Vec<(u64, u64)> {
    let entries = recovered.state.entries.iter();
    entries.map(|it| (it.index.0, it.term.0)).collect()
}

fn size_bytes(disk: &MemoryDisk) -> usize {
    let mut size_bytes = 0;
    disk.damage(SEGMENT, |bytes| size_bytes = bytes.len());
    size_bytes
}

/// A log whose last record holds entries 3 and 4, and its sizes without that record and with it.
fn with_last_record() -> (MemoryDisk, [usize; 2]) {
    let disk = MemoryDisk::default();
    let sizes = [entries(1..=2, 1), entries(3..=4, 1)].map(|record| {
        write_all(&disk, &[record]);
        size_bytes(&disk)
    });
    (disk, sizes)
}

#[test]
fn synced_writes_are_recovered() {
    let disk = MemoryDisk::default();
    let voted_for = Some(VoterId {
        name: node(),
        folder: FolderId(7),
    });
    let vote = Write::Vote {
        term: Term(3),
        voted_for: voted_for.clone(),
    };
    let truncate = Write::TruncateFrom { index: LogIndex(3) };
    write_all(
        &disk,
        &[vote, entries(1..=4, 1), truncate, entries(3..=5, 2)],
    );
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(recovered.state.term, Term(3));
    assert_eq!(recovered.state.voted_for, voted_for);
    let expected = [(1, 1), (2, 1), (3, 2), (4, 2), (5, 2)];
    assert_eq!(indexes_and_terms(&recovered), expected);
    assert_eq!(recovered.torn_tail, None);
    assert!(!recovered.is_new);
}

#[test]
fn unsynced_writes_are_lost_in_a_crash() {
    let disk = MemoryDisk::default();
    write_all(&disk, &[entries(1..=2, 1)]);
    let (mut storage, _) = open(&disk).unwrap();
    storage.write(SyncPoint(1), &entries(3..=4, 1)).unwrap();
    drop(storage);
    disk.lose_power(PowerLoss::All, &mut random(0));
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(indexes_and_terms(&recovered), [(1, 1), (2, 1)]);
}

#[test]
fn a_torn_tail_of_any_length_is_truncated_and_reported() {
    let (_, [whole, full]) = with_last_record();
    for kept in whole + 1..full {
        let (copy, _) = with_last_record();
        copy.damage(SEGMENT, |bytes| bytes.truncate(kept));
        let (_, recovered) = open(&copy).unwrap();
        assert_eq!(indexes_and_terms(&recovered), [(1, 1), (2, 1)], "at {kept}");
        let torn_tail = TornTail {
            file: SEGMENT.to_owned(),
            offset_bytes: whole as u64,
            cut_bytes: (kept - whole) as u64,
        };
        assert_eq!(recovered.torn_tail, Some(torn_tail));
        write_all(&copy, &[entries(3..=3, 2)]);
        let (_, recovered) = open(&copy).unwrap();
        assert_eq!(indexes_and_terms(&recovered), [(1, 1), (2, 1), (3, 2)]);
    }
}

#[test]
fn a_damaged_last_record_or_a_tail_of_zeros_counts_as_torn() {
    for is_zeros in [false, true] {
        let (disk, [whole, _]) = with_last_record();
        disk.damage(SEGMENT, |bytes| {
            let last = bytes.len() - 1;
            if is_zeros {
                bytes[whole..].fill(0);
            } else {
                bytes[last] ^= 1;
            }
        });
        let (_, recovered) = open(&disk).unwrap();
        assert_eq!(indexes_and_terms(&recovered), [(1, 1), (2, 1)]);
        assert!(recovered.torn_tail.is_some());
    }
}

/// Guards against a power loss that keeps only a later part of the last record, after which the
/// folder is refused for good.
#[test]
fn a_last_record_torn_at_any_place_is_truncated() {
    let (_, [whole, full]) = with_last_record();
    for lost_from in whole..full {
        for lost_to in lost_from + 1..=full {
            let (copy, _) = with_last_record();
            copy.damage(SEGMENT, |bytes| bytes[lost_from..lost_to].fill(0));
            let (_, recovered) = open(&copy).unwrap();
            let expected: &[_] = if recovered.torn_tail.is_some() {
                &[(1, 1), (2, 1)]
            } else {
                // The lost bytes were zeros.
                &[(1, 1), (2, 1), (3, 1), (4, 1)]
            };
            assert_eq!(indexes_and_terms(&recovered), expected);
        }
    }
}

#[test]
fn damage_before_the_last_record_fails_the_open() {
    let disk = MemoryDisk::default();
    write_all(&disk, &[entries(1..=2, 1)]);
    let whole = size_bytes(&disk);
    for position in 0..whole {
        for flip in [1, 0x80, 0xff] {
            let copy = MemoryDisk::default();
            write_all(&copy, &[entries(1..=2, 1), entries(3..=4, 1)]);
            copy.damage(SEGMENT, |bytes| bytes[position] ^= flip);
            let error = open(&copy).unwrap_err();
            assert_matches!(&error, StorageError::Corrupt { file, offset_bytes, .. } => {
                assert_eq!(file, SEGMENT);
                assert!(*offset_bytes <= position as u64);
            });
            let text = error.to_string();
            assert!(text.contains("join in place of the old one"), "{text}");
        }
    }
}

#[test]
fn a_snapshot_replaces_the_log_before_it() {
    let disk = MemoryDisk::default();
    write_all(
        &disk,
        &[
            entries(1..=6, 1),
            snapshot(4, 1),
            entries(7..=7, 1),
            snapshot(6, 1),
        ],
    );
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(indexes_and_terms(&recovered), [(7, 1)]);
    let kept = recovered.state.snapshot.unwrap();
    assert_eq!(
        (kept.index, kept.data.as_ref()),
        (LogIndex(6), [1, 2, 3].as_slice())
    );
    disk.damage("snapshot", |bytes| bytes[15] ^= 1);
    assert_matches!(open(&disk), Err(StorageError::Corrupt { file, .. }) if file == "snapshot");
}

#[test]
fn a_truncation_is_durable_before_the_snapshot_that_depends_on_it() {
    let disk = MemoryDisk::default();
    write_all(&disk, &[entries(1..=6, 1)]);
    let (mut storage, _) = open(&disk).unwrap();
    let truncate = Write::TruncateFrom { index: LogIndex(3) };
    storage.write(SyncPoint(1), &truncate).unwrap();
    storage.write(SyncPoint(2), &snapshot(4, 2)).unwrap();
    drop(storage);
    disk.lose_power(PowerLoss::All, &mut random(0));
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(indexes_and_terms(&recovered), []);
}

#[test]
fn a_failed_sync_is_final() {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk).unwrap();
    disk.set_sync_failing(true);
    storage.write(SyncPoint(1), &entries(1..=1, 1)).unwrap();
    assert_matches!(storage.sync(), Err(StorageError::Io { .. }));
    disk.set_sync_failing(false);
    assert_matches!(storage.sync(), Err(StorageError::Failed));
    let vote = Write::Vote {
        term: Term(1),
        voted_for: None,
    };
    assert_matches!(
        storage.write(SyncPoint(2), &vote),
        Err(StorageError::Failed)
    );
}

#[test]
fn a_folder_of_another_cluster_or_node_is_refused() {
    let disk = MemoryDisk::default();
    write_all(&disk, &[entries(1..=1, 1)]);
    let open_as = |cluster: &str, name: &str| {
        let name = NodeId::new(name).unwrap();
        Storage::open_with_disk(disk.boxed(), cluster, &name, FolderId(8))
    };
    assert_matches!(
        open_as("other", "control-0"),
        Err(StorageError::WrongCluster { .. })
    );
    assert_matches!(
        open_as("cluster", "control-1"),
        Err(StorageError::WrongNode { .. })
    );
    assert_eq!(
        open_as("cluster", "control-0").unwrap().0.id().folder,
        FolderId(7)
    );
}

#[test]
fn a_missing_file_is_refused() {
    for file in ["identity", "vote", SEGMENT] {
        let mut disk = MemoryDisk::default();
        let vote = Write::Vote {
            term: Term(1),
            voted_for: None,
        };
        write_all(&disk, &[vote, entries(1..=1, 1)]);
        disk.remove(file).unwrap();
        assert_matches!(open(&disk), Err(StorageError::Missing { file: named }) if named == file);
    }
}

#[test]
fn a_cluster_is_founded_on_new_folders_only() {
    let disk = MemoryDisk::default();
    let (mut storage, mut recovered) = open(&disk).unwrap();
    assert!(recovered.is_new);
    let membership = Membership::from_voters([recovered.state.id.clone()]);
    storage
        .found(&mut recovered.state, membership.clone())
        .unwrap();
    drop(storage);
    let (mut storage, mut recovered) = open(&disk).unwrap();
    let founding = recovered.state.snapshot.as_ref();
    assert_eq!(founding.map(|it| &it.membership), Some(&membership));
    let again = storage.found(&mut recovered.state, membership);
    assert_matches!(again, Err(StorageError::NotNew));
}

/// A founded folder that has stored a term since, and its identity.
fn founded_folder(disk: &MemoryDisk) -> VoterId {
    let (mut storage, mut recovered) = open(disk).unwrap();
    let id = recovered.state.id.clone();
    let membership = Membership::from_voters([id.clone()]);
    storage.found(&mut recovered.state, membership).unwrap();
    let term = Term(3);
    let vote = Write::Vote {
        term,
        voted_for: None,
    };
    storage.write(SyncPoint(1), &vote).unwrap();
    storage.sync().unwrap();
    id
}

#[test]
fn a_founding_on_a_folder_with_entries_is_not_abandoned() {
    let disk = MemoryDisk::default();
    founded_folder(&disk);
    let (mut storage, _) = open(&disk).unwrap();
    storage.write(SyncPoint(1), &entries(1..=1, 3)).unwrap();
    assert_matches!(
        storage.abandon_founding(FolderId(9)),
        Err(StorageError::NotNew)
    );
    storage.sync().unwrap();
    assert_matches!(
        storage.abandon_founding(FolderId(9)),
        Err(StorageError::NotNew)
    );
}

#[test]
fn a_founding_on_a_file_system_folder_is_abandoned() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, mut recovered) = Storage::open(folder.path(), "cluster", &node()).unwrap();
    let membership = Membership::from_voters([recovered.state.id.clone()]);
    storage.found(&mut recovered.state, membership).unwrap();
    let state = storage.abandon_founding(FolderId(9)).unwrap();
    assert_eq!((state.id.folder, state.snapshot), (FolderId(9), None));
    // Later writes must go to the new files, not to a removed one that is still open.
    storage.write(SyncPoint(1), &entries(1..=2, 1)).unwrap();
    storage.sync().unwrap();
    drop(storage);
    let (_, recovered) = Storage::open(folder.path(), "cluster", &node()).unwrap();
    assert_eq!(recovered.state.id.folder, FolderId(9));
    assert_eq!(indexes_and_terms(&recovered), [(1, 1), (2, 1)]);
}

#[test]
fn a_file_system_folder_is_locked_and_read_back() {
    let folder = tempfile::tempdir().unwrap();
    let (mut storage, recovered) = Storage::open(folder.path(), "cluster", &node()).unwrap();
    let id = recovered.state.id;
    let second = Storage::open(folder.path(), "cluster", &node());
    assert_matches!(second, Err(StorageError::Locked(_)));
    storage.write(SyncPoint(1), &entries(1..=3, 1)).unwrap();
    storage.write(SyncPoint(2), &snapshot(2, 1)).unwrap();
    assert_eq!(storage.sync().unwrap(), SyncPoint(2));
    drop(storage);
    let (_, recovered) = Storage::open(folder.path(), "cluster", &node()).unwrap();
    assert_eq!(recovered.state.id, id);
    assert_eq!(indexes_and_terms(&recovered), [(3, 1)]);
}

#[test]
fn a_forced_sole_voter_keeps_its_log() {
    let disk = MemoryDisk::default();
    write_all(&disk, &[entries(1..=2, 1)]);
    let (mut storage, mut recovered) = open(&disk).unwrap();
    storage.force_sole_voter(&mut recovered.state).unwrap();
    drop(storage);
    let (_, read_back) = open(&disk).unwrap();
    assert_eq!(read_back.state, recovered.state);
    let alone = Membership::from_voters([recovered.state.id]);
    let last = read_back.state.entries.last().map(|it| &it.payload);
    assert_eq!(last, Some(&Payload::Membership(alone)));
}
