//! Generated schedules of faults: log and control state together against a naive single copy.

mod control;
mod simulation;

use control::Control;
use control::followers::Followers;
use control::operators::Clients;
use masticsill_quorum::ReplicaSettings;
use rand::Rng;
use simulation::Simulation;
use simulation::schedule::{draw_faults, inject_fault, run_schedules, voters_of};

const SCHEDULES: u64 = 10_000;
const FAULTY_MS: u64 = 1_000;
const STRIDE_MS: u64 = 6;

/// Sizes for whole states: a snapshot goes in a few parts, not hundreds.
fn settings() -> ReplicaSettings {
    ReplicaSettings {
        max_append_bytes: 512,
        max_snapshot_chunk_bytes: 4 * 1024,
        ..simulation::settings()
    }
}

/// A schedule's number of voters and faults, all drawn from its seed.
fn generate(seed: u64) -> Simulation<Control> {
    let (count, control) = (voters_of(seed), Control::default());
    let mut simulation = Simulation::found(seed, count, simulation::CALM, settings(), control);
    simulation.faults = draw_faults(&mut simulation.random);
    if simulation.random.random() {
        // Leaders last longer here, so histories grow longer.
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
        0..=2 => clients.race(simulation),
        3..=4 => clients.resend(simulation),
        5..=6 => clients.claim(simulation),
        7..=8 => simulation.read_from(node),
        9 => simulation.read_from(anyone),
        10 => simulation.repair(),
        _ => {}
    }
}

/// Runs one schedule; returns what it reached.
fn run_schedule(seed: u64) -> [u64; 6] {
    let mut simulation = generate(seed);
    let mut clients = Clients::default();
    let mut followers = Followers::new(&mut simulation);
    let rarity = simulation.random.random_range(6..50);
    while simulation.now < FAULTY_MS {
        simulation.run_for(STRIDE_MS);
        call(&mut simulation, &mut clients);
        followers.step(&mut simulation);
        if simulation.random.random_range(0..rarity) == 0 {
            inject_fault(&mut simulation);
        }
        if simulation.random.random_range(0..rarity * 2) == 0 {
            followers.inject_fault(&mut simulation);
        }
    }
    simulation.settle();
    let states = simulation.nodes.iter().map(|node| &node.machine.control);
    assert!(states.is_sorted_by(PartialEq::eq), "the replicas differ");
    followers.heal();
    simulation.run_until("current followers", |simulation| {
        followers.step(simulation);
        followers.are_current(simulation)
    });
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
         {grants} grants, followers fresh in {fresh} strides and stale in {stale}"
    );
    // A schedule that reaches nothing proves nothing.
    assert!(reached.iter().all(|sum| *sum > count));
}
