//! A log of frames survives a power loss at each of its operations.

mod simulation;

use std::io;

use masticsill_quorum::storage::{FileDisk, FrameLog, read_frame_log};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use simulation::disk::{MemoryDisk, PowerLoss};

const FILE: &str = "log";
const SEEDS: u64 = 60;
/// A record is replaced together with those before it after this many.
const RECORDS_BEFORE_REPLACEMENT: u8 = 4;
const RECORDS: u8 = 10;

/// The records in the log.
fn read(disk: &MemoryDisk) -> Vec<u8> {
    let disk = FileDisk::new(disk.clone());
    let bodies = read_frame_log(&disk, FILE).unwrap();
    bodies.unwrap_or_default().concat()
}

/// Stores records one by one behind those that are there, until an operation fails; `stored` gets each
/// that is.
fn store(disk: &MemoryDisk, stored: &mut Vec<u8>) -> io::Result<()> {
    let mut log = FrameLog::create(disk.boxed(), FILE, &read(disk))?;
    for record in 0..RECORDS {
        if record == RECORDS_BEFORE_REPLACEMENT {
            let all = [stored.as_slice(), &[record]].concat();
            log.replace(&all)?;
        } else {
            log.append(&[record])?;
        }
        stored.push(record);
    }
    Ok(())
}

/// Guards against records that are lost though they were reported as stored.
#[test]
fn stored_records_survive_a_power_loss_at_each_operation() {
    for operations in 0.. {
        let mut is_complete = false;
        for seed in 0..SEEDS {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let disk = MemoryDisk::default();
            disk.fail_after(operations);
            let mut stored = Vec::new();
            is_complete = store(&disk, &mut stored).is_ok();
            disk.lose_power(PowerLoss::draw(&mut random), &mut random);
            let found = read(&disk);
            let at = format!("operation {operations}, seed {seed}");
            // The record that was being written may be there as well.
            assert!(found.starts_with(&stored), "{at}: {found:?} of {stored:?}");
            assert!(found.len() <= stored.len() + 1, "{at}: {found:?}");
            // What a later process read is durable once it has created its log.
            drop(FrameLog::create(disk.boxed(), FILE, &found).unwrap());
            disk.lose_power(PowerLoss::draw(&mut random), &mut random);
            assert_eq!(read(&disk), found, "{at}: after another power loss");
        }
        if is_complete {
            return;
        }
    }
}

/// Guards against a log that ends before the records that follow an interrupted one.
#[test]
fn records_behind_an_interrupted_write_are_kept() {
    for operations in 0..30 {
        for seed in 0..SEEDS {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            let disk = MemoryDisk::default();
            disk.fail_after(operations);
            let mut stored = Vec::new();
            let _ = store(&disk, &mut stored);
            disk.lose_power(PowerLoss::draw(&mut random), &mut random);
            let before = read(&disk);
            let mut log = FrameLog::create(disk.boxed(), FILE, &before).unwrap();
            log.append(&[RECORDS]).unwrap();
            disk.lose_power(PowerLoss::draw(&mut random), &mut random);
            let found = read(&disk);
            assert_eq!(found, [before.as_slice(), &[RECORDS]].concat());
        }
    }
}
