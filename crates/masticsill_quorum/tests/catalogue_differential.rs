//! Generated fault schedules: the replicated log with the control state, compared with a
//! non-replicated reference model.

mod control;
mod simulation;

use control::Control;
use control::followers::Followers;
use control::operators::Clients;
use masticsill_quorum::ReplicaSettings;
use rand::Rng;
use simulation::Simulation;
use simulation::schedule::{draw_faults, inject_fault, run_schedules, voter_count};

const SCHEDULES: u64 = 10_000;
const FAULT_PHASE_MS: u64 = 1_000;
const STEP_MS: u64 = 6;

/// Size limits suited to complete control states: a snapshot is sent in a few parts, not hundreds.
fn settings() -> ReplicaSettings {
    ReplicaSettings {
        max_append_bytes: 512,
        max_snapshot_chunk_bytes: 4 * 1024,
        ..simulation::settings()
    }
}

/// Creates a simulation whose number of voters and faults are drawn from the seed.
fn generate(seed: u64) -> Simulation<Control> {
    let (count, control) = (voter_count(seed), Control::default());
    let mut simulation =
        Simulation::with_settings(seed, count, simulation::NO_FAULTS, settings(), control);
    simulation.faults = draw_faults(&mut simulation.random);
    if simulation.random.random() {
        // Milder faults keep leaders in office longer, which produces longer histories.
        let faults = &mut simulation.faults;
        faults.delay_max_ms = faults.delay_max_ms.min(8);
        faults.loss_percent = faults.loss_percent.min(5);
        faults.sync_max_ms = faults.sync_max_ms.min(25);
    }
    simulation
}

fn call(simulation: &mut Simulation<Control>, clients: &mut Clients) {
    let anyone = simulation.random.random_range(0..simulation.nodes.len());
    let node = simulation.leader().unwrap_or(anyone);
    match simulation.random.random_range(0..12) {
        0..=2 => clients.send_concurrent_changes(simulation),
        3..=4 => clients.resend(simulation),
        5..=6 => clients.claim(simulation),
        7..=8 => simulation.read_from(node),
        9 => simulation.read_from(anyone),
        10 => simulation.repair(),
        _ => {}
    }
}

/// Runs one schedule and returns the counts of what it exercised.
fn run_schedule(seed: u64) -> [u64; 6] {
    let mut simulation = generate(seed);
    let mut clients = Clients::default();
    let mut followers = Followers::new(&mut simulation);
    let fault_odds = simulation.random.random_range(6..50);
    while simulation.now < FAULT_PHASE_MS {
        simulation.run_for(STEP_MS);
        call(&mut simulation, &mut clients);
        followers.step(&mut simulation);
        if simulation.random.random_range(0..fault_odds) == 0 {
            inject_fault(&mut simulation);
        }
        if simulation.random.random_range(0..fault_odds * 2) == 0 {
            followers.inject_fault(&mut simulation);
        }
    }
    simulation.heal_and_check();
    let states = simulation.nodes.iter().map(|node| &node.machine.control);
    assert!(
        states.is_sorted_by(PartialEq::eq),
        "the replicas' states differ"
    );
    followers.heal();
    simulation.run_until(
        "every follower is fresh with the newest version",
        |simulation| {
            followers.step(simulation);
            followers.are_current(simulation)
        },
    );
    let control = &simulation.application;
    [
        control.acceptances,
        control.repeats,
        control.reads,
        control.grants,
        followers.fresh,
        followers.stale,
    ]
}

#[test]
fn quorum_and_catalogue_agree_with_a_single_copy() {
    let (count, reached) = run_schedules(SCHEDULES, run_schedule);
    let [acceptances, repeats, reads, grants, fresh, stale] = reached;
    println!(
        "{count} schedules: {acceptances} acceptances, {repeats} repeated answers, {reads} reads, \
         {grants} grants, followers fresh in {fresh} steps and stale in {stale}"
    );
    // Guards against schedules that exercise nothing.
    assert!(reached.iter().all(|sum| *sum > count));
}
