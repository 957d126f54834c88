//! Generated schedules of faults: replicas against a naive single copy.

mod simulation;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use masticsill_quorum::Input;
use rand::Rng;
use simulation::{Faults, Simulation};

const SCHEDULES: u64 = 10_000;
const FAULTY_MS: u64 = 1_400;
const STRIDE_MS: u64 = 6;
const THREADS: usize = 2;

/// A schedule's number of voters and faults, all drawn from its seed.
fn generate(seed: u64) -> Simulation {
    let count = if seed.is_multiple_of(2) { 3 } else { 5 };
    let mut simulation = Simulation::new(seed, count, simulation::CALM);
    let random = &mut simulation.random;
    simulation.faults = Faults {
        loss_percent: random.random_range(0..20),
        duplicate_percent: random.random_range(0..15),
        delay_max_ms: random.random_range(1..30),
        sync_max_ms: [5, 25, 120][random.random_range(0..3)],
        stall_permille: random.random_range(0..4),
    };
    simulation
}

/// Nodes that may lose their folder now without a majority being lost.
fn spare_losses(simulation: &Simulation) -> usize {
    let tolerated = (simulation.nodes.len() - 1) / 2;
    if simulation.is_repaired() {
        tolerated
    } else {
        0
    }
}

fn inject_fault(simulation: &mut Simulation) {
    let count = simulation.nodes.len();
    let anyone = simulation.random.random_range(0..count);
    // Most of what can go wrong begins with a leader.
    let is_aimed = simulation.random.random_range(0..2) == 0;
    let leader = simulation.leader().filter(|_| is_aimed);
    let node = leader.unwrap_or(anyone);
    let other = (node + simulation.random.random_range(1..count)) % count;
    let duration_ms = simulation.random.random_range(1..250);
    match simulation.random.random_range(0..18) {
        0..=1 => simulation.restart(node, duration_ms),
        2 => {
            simulation.restart(node, duration_ms);
            simulation.restart(other, duration_ms);
        }
        3..=4 => simulation.pause(node, duration_ms),
        5 => simulation.isolate(node),
        6..=7 => simulation.set_cut(node, other, true),
        8 => {
            for place in 0..count {
                simulation.restart(place, duration_ms / 4);
            }
        }
        9 => {
            // Leaves the leader with a minority.
            simulation.isolate(node);
            simulation.set_cut(node, other, false);
            simulation.set_cut(other, node, false);
        }
        10 => simulation.input(node, Input::TransferLeadership { target: None }),
        11..=12 => {
            let spare = spare_losses(simulation);
            if spare > 0 {
                simulation.lose_folder(node, duration_ms);
            }
            if spare > 1 {
                simulation.lose_folder(other, duration_ms);
            }
        }
        _ => simulation.heal(),
    }
}

fn call(simulation: &mut Simulation) {
    let anyone = simulation.random.random_range(0..simulation.nodes.len());
    let node = simulation.leader().unwrap_or(anyone);
    match simulation.random.random_range(0..10) {
        0..=3 => {
            let count = simulation.random.random_range(1..4);
            simulation.propose_batch_to(node, count);
        }
        4..=6 => simulation.read_from(node),
        7 => {
            simulation.propose_to(anyone);
        }
        8 => simulation.read_from(anyone),
        _ => simulation.repair(),
    }
}

/// Runs one schedule; returns commands accepted and reads served.
fn run_schedule(seed: u64) -> (u64, u64) {
    let mut simulation = generate(seed);
    let rarity = simulation.random.random_range(6..50);
    while simulation.now < FAULTY_MS {
        simulation.run_for(STRIDE_MS);
        call(&mut simulation);
        if simulation.random.random_range(0..rarity) == 0 {
            inject_fault(&mut simulation);
        }
    }
    simulation.settle();
    let model = &simulation.model;
    (model.accepted_commands() as u64, model.done_reads() as u64)
}

#[test]
fn replicas_agree_with_a_single_copy() {
    let first: u64 = std::env::var("QUORUM_SEED").map_or(0, |text| text.parse().unwrap());
    let count: u64 =
        std::env::var("QUORUM_SCHEDULES").map_or(SCHEDULES, |text| text.parse().unwrap());
    let (accepted, reads) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for offset in 0..THREADS as u64 {
            let (accepted, reads) = (&accepted, &reads);
            scope.spawn(move || {
                for seed in (first + offset..first + count).step_by(THREADS) {
                    let run = catch_unwind(AssertUnwindSafe(|| run_schedule(seed)));
                    let Ok((commands, served)) = run else {
                        panic!("failed; run again with QUORUM_SEED={seed} QUORUM_SCHEDULES=1");
                    };
                    accepted.fetch_add(commands, Ordering::Relaxed);
                    reads.fetch_add(served, Ordering::Relaxed);
                }
            });
        }
    });
    println!("{count} schedules: {accepted:?} commands accepted, {reads:?} reads served");
    // A schedule that accepts nothing proves nothing.
    assert!(accepted.into_inner() > count * 3 && reads.into_inner() > count);
}
