//! Generated fault schedules: faults drawn from a seed, and a runner that reports failing seeds.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use masticsill_quorum::Input;
use rand::Rng;

use super::{Application, Faults, Simulation};

const THREADS: usize = 2;

/// Number of voters in a schedule.
pub fn voter_count(seed: u64) -> usize {
    if seed.is_multiple_of(2) { 3 } else { 5 }
}

/// Draws the network and disk faults that apply to every node.
pub fn draw_faults(random: &mut impl Rng) -> Faults {
    Faults {
        loss_percent: random.random_range(0..20),
        duplicate_percent: random.random_range(0..15),
        delay_max_ms: random.random_range(1..30),
        sync_max_ms: [5, 25, 120][random.random_range(0..3)],
        stall_permille: random.random_range(0..4),
    }
}

/// Number of nodes that may lose their folder now without a majority being lost.
fn tolerable_losses<A: Application>(simulation: &Simulation<A>) -> usize {
    let tolerated = (simulation.nodes.len() - 1) / 2;
    if simulation.is_repaired() {
        tolerated
    } else {
        0
    }
}

pub fn inject_fault<A: Application>(simulation: &mut Simulation<A>) {
    let count = simulation.nodes.len();
    let anyone = simulation.random.random_range(0..count);
    // Most failures involve the leader, so half of the faults target it.
    let targets_leader = simulation.random.random_range(0..2) == 0;
    let leader = simulation.leader().filter(|_| targets_leader);
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
            for node_index in 0..count {
                simulation.restart(node_index, duration_ms / 4);
            }
        }
        9 => {
            // Leaves the node connected to a single other node.
            simulation.isolate(node);
            simulation.set_cut(node, other, false);
            simulation.set_cut(other, node, false);
        }
        10 => simulation.input(node, Input::TransferLeadership { target: None }),
        11..=12 => {
            let tolerable = tolerable_losses(simulation);
            if tolerable > 0 {
                simulation.lose_folder(node, duration_ms);
            }
            if tolerable > 1 {
                simulation.lose_folder(other, duration_ms);
            }
        }
        _ => simulation.heal(),
    }
}

/// Runs schedules on [`THREADS`] threads: by default `count` schedules from seed zero. The
/// environment variables `QUORUM_SEED` and `QUORUM_SCHEDULES` override the first seed and the
/// count.
///
/// Each run returns counts of what it exercised. Returns the number of schedules run and the sums
/// of these counts.
pub fn run_schedules<const COUNTS: usize>(
    count: u64,
    run_schedule: impl Fn(u64) -> [u64; COUNTS] + Sync,
) -> (u64, [u64; COUNTS]) {
    let first: u64 = std::env::var("QUORUM_SEED").map_or(0, |text| text.parse().unwrap());
    let count: u64 = std::env::var("QUORUM_SCHEDULES").map_or(count, |text| text.parse().unwrap());
    let next = AtomicU64::new(first);
    let sums = [const { AtomicU64::new(0) }; COUNTS];
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                // Schedules differ in duration, so each thread takes the next one that is not
                // taken.
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    let run = catch_unwind(AssertUnwindSafe(|| run_schedule(seed)));
                    let Ok(reached) = run else {
                        panic!("failed; run again with QUORUM_SEED={seed} QUORUM_SCHEDULES=1");
                    };
                    for (sum, reached) in sums.iter().zip(reached) {
                        sum.fetch_add(reached, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    (count, sums.map(AtomicU64::into_inner))
}
