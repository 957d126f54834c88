//! Generated fault schedules: replicas compared with a non-replicated reference model.

mod simulation;

use rand::Rng;
use simulation::Simulation;
use simulation::schedule::{draw_faults, inject_fault, run_schedules, voter_count};

const SCHEDULES: u64 = 10_000;
const FAULT_PHASE_MS: u64 = 1_400;
const STEP_MS: u64 = 6;

/// Creates a simulation whose number of voters and faults are drawn from the seed.
fn generate(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, voter_count(seed), simulation::NO_FAULTS);
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

/// Runs one schedule and returns the number of commands accepted and of reads served.
fn run_schedule(seed: u64) -> [u64; 2] {
    let mut simulation = generate(seed);
    let fault_odds = simulation.random.random_range(6..50);
    while simulation.now < FAULT_PHASE_MS {
        simulation.run_for(STEP_MS);
        call(&mut simulation);
        if simulation.random.random_range(0..fault_odds) == 0 {
            inject_fault(&mut simulation);
        }
    }
    simulation.heal_and_check();
    let model = &simulation.model;
    [model.accepted_commands() as u64, model.done_reads() as u64]
}

#[test]
fn replicas_agree_with_a_single_copy() {
    let (count, [accepted, reads]) = run_schedules(SCHEDULES, run_schedule);
    println!("{count} schedules: {accepted} commands accepted, {reads} reads served");
    // Guards against schedules that exercise nothing.
    assert!(accepted > count * 3 && reads > count);
}
