//! Handing leadership over before a planned stop.

mod simulation;

use masticsill_quorum::Input;
use simulation::{CALM, Fate, Simulation, settings};

#[test]
fn a_transfer_leaves_no_command_in_doubt_and_no_gap() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed, 3, CALM);
        let leader = simulation.wait_for_leader();
        let commands = simulation.propose_batch_to(leader, 7);
        simulation.input(leader, Input::TransferLeadership { target: None });
        let during = simulation.propose_to(leader);
        assert_eq!(simulation.model.fate(during), Some(Fate::Refused));
        simulation.run_for(settings().election_min_ms / 2);
        let successor = simulation
            .leader()
            .expect("nobody waits for an election timeout");
        assert_ne!(successor, leader, "seed {seed}");
        for command in commands {
            assert!(matches!(
                simulation.model.fate(command),
                Some(Fate::Accepted(_))
            ));
        }
        simulation.settle();
    }
}

#[test]
fn a_transfer_goes_to_the_replica_that_is_named() {
    let mut simulation = Simulation::new(3, 5, CALM);
    let leader = simulation.wait_for_leader();
    let target = (leader + 3) % 5;
    let id = simulation.nodes[target].id.clone();
    simulation.input(leader, Input::TransferLeadership { target: Some(id) });
    assert_eq!(simulation.wait_for_leader(), target);
}

#[test]
fn a_transfer_to_a_lost_replica_is_given_up() {
    let mut simulation = Simulation::new(4, 3, CALM);
    let leader = simulation.wait_for_leader();
    let target = (leader + 1) % 3;
    let id = simulation.nodes[target].id.clone();
    simulation.isolate(target);
    simulation.propose_to(leader);
    simulation.input(leader, Input::TransferLeadership { target: Some(id) });
    simulation.run_for(settings().election_min_ms + 30);
    let command = simulation.propose_to(leader);
    simulation.run_for(50);
    assert!(matches!(
        simulation.model.fate(command),
        Some(Fate::Accepted(_))
    ));
}
