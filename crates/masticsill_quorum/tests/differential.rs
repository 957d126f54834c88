//! Generated schedules of faults: replicas against a naive single copy.

mod simulation;

use rand::Rng;
use simulation::Simulation;
use simulation::schedule::{draw_faults, inject_fault, run_schedules, voters_of};

const SCHEDULES: u64 = 10_000;
const FAULTY_MS: u64 = 1_400;
const STRIDE_MS: u64 = 6;

/// A schedule's number of voters and faults, all drawn from its seed.
fn generate(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, voters_of(seed), simulation::CALM);
    simulation.faults = draw_faults(&mut simulation.random);
    simulation
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
fn run_schedule(seed: u64) -> [u64; 2] {
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
    [model.accepted_commands() as u64, model.done_reads() as u64]
}

#[test]
fn replicas_agree_with_a_single_copy() {
    let (count, [accepted, reads]) = run_schedules(SCHEDULES, run_schedule);
    println!("{count} schedules: {accepted} commands accepted, {reads} reads served");
    // A schedule that accepts nothing proves nothing.
    assert!(accepted > count * 3 && reads > count);
}
