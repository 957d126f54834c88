//! Power losses and kills at each operation of a data folder's disk.

mod simulation;

use std::sync::Arc;

use masticsill_quorum::storage::{Storage, StorageError};
use masticsill_quorum::{
    Entry, FolderId, LogIndex, Membership, Payload, Snapshot, StoredState, SyncPoint, VoterId,
    Write,
};
use masticsill_types::{NodeId, Term};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use simulation::disk::{MemoryDisk, PowerLoss};

const FIRST_FOLDER: FolderId = FolderId(7);
/// The folder's identity after an abandoned founding.
const SECOND_FOLDER: FolderId = FolderId(8);
/// The identity offered whenever the folder is opened again.
const LATER_FOLDER: FolderId = FolderId(9);
const MAX_OPERATIONS_OF_OPEN: usize = 16;

#[derive(Clone, Debug)]
enum Step {
    AbandonFounding,
    Found,
    SetAside,
    Write(Write),
}

fn voter(folder: FolderId) -> VoterId {
    VoterId {
        name: NodeId::new("control-0").unwrap(),
        folder,
    }
}

fn open(disk: &MemoryDisk, folder: FolderId) -> Result<(Storage, StoredState), StorageError> {
    let opened = Storage::open_with_disk(disk.boxed(), "cluster", &voter(folder).name, folder);
    opened.map(|(storage, recovered)| (storage, recovered.state))
}

fn append_sized(range: std::ops::RangeInclusive<u64>, term: u64, size_bytes: usize) -> Step {
    let entry = |index: u64| Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(Arc::from(vec![
            u8::try_from(index + 16 * term).unwrap();
            size_bytes
        ])),
    };
    Step::Write(Write::Append {
        entries: range.map(entry).collect(),
    })
}

fn append(range: std::ops::RangeInclusive<u64>, term: u64) -> Step {
    append_sized(range, term, 40)
}

fn truncate_from(index: u64) -> Step {
    let index = LogIndex(index);
    Step::Write(Write::TruncateFrom { index })
}

fn vote(term: u64, folder: FolderId) -> Step {
    Step::Write(Write::Vote {
        term: Term(term),
        voted_for: Some(voter(folder)),
    })
}

fn snapshot(index: u64, term: u64) -> Step {
    Step::Write(Write::Snapshot {
        snapshot: Snapshot {
            index: LogIndex(index),
            term: Term(term),
            membership: Membership::from_voters([voter(FIRST_FOLDER)]),
            data: Arc::from([u8::try_from(index).unwrap(); 30]),
        },
    })
}

fn new_state(folder: FolderId) -> StoredState {
    StoredState {
        id: voter(folder),
        term: Term::default(),
        voted_for: None,
        snapshot: None,
        entries: Vec::new(),
    }
}

/// The state that a folder holds after a step.
fn next_state(state: &StoredState, step: &Step) -> StoredState {
    let mut next = state.clone();
    match step {
        Step::AbandonFounding => return new_state(SECOND_FOLDER),
        Step::SetAside => return new_state(LATER_FOLDER),
        Step::Found => {
            let founders = Membership::from_voters([voter(FIRST_FOLDER)]);
            next.snapshot = Some(Snapshot::founding(founders));
        }
        Step::Write(write) => next.apply(write),
    }
    next
}

fn take_step(
    disk: &MemoryDisk,
    storage: &mut Storage,
    state: &mut StoredState,
    number: u64,
    step: &Step,
) -> Result<(), StorageError> {
    match step {
        Step::AbandonFounding => storage.abandon_founding(SECOND_FOLDER).map(drop),
        Step::Found => {
            let founders = Membership::from_voters([voter(FIRST_FOLDER)]);
            storage.found(state, founders)
        }
        Step::SetAside => Storage::set_aside_with_disk(disk.boxed().as_mut()),
        Step::Write(write) => {
            storage.write(SyncPoint(number), write)?;
            storage.sync().map(drop)
        }
    }
}

/// Takes steps on a new folder until the disk fails; returns the number of completed ones, and
/// whether all are.
fn take_steps(disk: &MemoryDisk, steps: &[Step]) -> (usize, bool) {
    let Ok((mut storage, mut state)) = open(disk, FIRST_FOLDER) else {
        return (0, false);
    };
    for (number, step) in steps.iter().enumerate() {
        if take_step(disk, &mut storage, &mut state, number as u64 + 1, step).is_err() {
            return (number, false);
        }
    }
    (steps.len(), true)
}

/// Ends a process, or the power of its machine, at random.
fn interrupt(disk: &MemoryDisk, random: &mut ChaCha8Rng) {
    if random.random_bool(0.3) {
        disk.restore();
    } else {
        disk.lose_power(PowerLoss::draw(random), random);
    }
}

/// Whether a folder may be found in `found` after `completed` steps and a part of the next one.
fn is_allowed(
    found: &StoredState,
    states: &[StoredState],
    steps: &[Step],
    completed: usize,
) -> bool {
    let is_emptied = matches!(
        steps.get(completed),
        Some(Step::AbandonFounding | Step::SetAside)
    );
    if (completed == 0 || is_emptied) && *found == new_state(LATER_FOLDER) {
        return true;
    }
    let last = states.len().min(completed + 2);
    states[completed..last].contains(found)
}

/// Interrupts the steps at each operation, and the opening that follows, in `seeds` ways each; the
/// folder must open with a state that lost nothing completed, and keep that state.
fn check_interruptions(steps: &[Step], seeds: u64) {
    let mut states = vec![new_state(FIRST_FOLDER)];
    for step in steps {
        states.push(next_state(states.last().unwrap(), step));
    }
    for operations in 0.. {
        let mut is_complete = false;
        for seed in 0..seeds {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let disk = MemoryDisk::default();
            disk.fail_after(operations);
            let (completed, is_last) = take_steps(&disk, steps);
            is_complete = is_last;
            interrupt(&disk, &mut random);
            disk.fail_after(random.random_range(0..MAX_OPERATIONS_OF_OPEN));
            open(&disk, LATER_FOLDER).ok();
            interrupt(&disk, &mut random);
            let at = format!("operation {operations}, seed {seed}, {completed} steps completed");
            let opened = open(&disk, LATER_FOLDER);
            let (_, found) = opened.unwrap_or_else(|error| panic!("{at}: {error}"));
            assert!(
                is_allowed(&found, &states, steps, completed),
                "{at}: {found:?}"
            );
            disk.lose_power(PowerLoss::draw(&mut random), &mut random);
            let (_, kept) = open(&disk, LATER_FOLDER).unwrap();
            assert_eq!(kept, found, "{at}: after another power loss");
        }
        if is_complete {
            return;
        }
    }
}

/// Guards against data folders that are refused, or have lost what was acknowledged, after a power
/// loss.
#[test]
fn a_folder_with_a_log_survives_interruptions() {
    let steps = [
        Step::Found,
        vote(1, FIRST_FOLDER),
        append(1..=3, 1),
        vote(2, FolderId(3)),
        truncate_from(3),
        append(3..=5, 2),
        snapshot(4, 2),
        append(6..=9, 2),
        snapshot(8, 2),
        append(10..=11, 2),
        vote(3, FIRST_FOLDER),
        truncate_from(10),
        snapshot(13, 3),
        append(14..=14, 3),
        snapshot(14, 3),
    ];
    check_interruptions(&steps, 60);
}

/// Guards against a replica that votes again under the identity of an abandoned founding.
#[test]
fn a_founding_is_abandoned_despite_interruptions() {
    let steps = [
        Step::Found,
        vote(3, FIRST_FOLDER),
        Step::AbandonFounding,
        vote(4, SECOND_FOLDER),
        append(1..=2, 4),
    ];
    check_interruptions(&steps, 600);
}

/// Guards against a folder that is set aside in part and used as a whole one.
#[test]
fn a_folder_is_set_aside_despite_interruptions() {
    let steps = [
        Step::Found,
        vote(1, FIRST_FOLDER),
        append(1..=3, 1),
        snapshot(2, 1),
        Step::SetAside,
    ];
    check_interruptions(&steps, 200);
}

/// Guards against gaps between segments that a snapshot removes together.
#[test]
fn full_segments_survive_interruptions() {
    let size_bytes = 1_500_000;
    let steps = [
        Step::Found,
        vote(1, FIRST_FOLDER),
        append_sized(1..=3, 1, size_bytes),
        append_sized(4..=6, 1, size_bytes),
        append(7..=7, 1),
        snapshot(7, 1),
        append(8..=8, 1),
    ];
    check_interruptions(&steps, 4);
}
