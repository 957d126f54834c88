//! Leadership transfer before a planned stop.

mod simulation;

use masticsill_quorum::Input;
use simulation::{NO_FAULTS, Outcome, Simulation, settings};

#[test]
fn a_transfer_leaves_no_unknown_outcome_and_needs_no_election_timeout() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed, 3, NO_FAULTS);
        let leader = simulation.wait_for_leader();
        let commands = simulation.propose_batch_to(leader, 7);
        simulation.input(leader, Input::TransferLeadership { target: None });
        let during = simulation.propose_to(leader);
        assert_eq!(simulation.model.outcome(during), Some(Outcome::Refused));
        simulation.run_for(settings().election_min_ms / 2);
        let successor = simulation
            .leader()
            .expect("there was no successor within half an election timeout");
        assert_ne!(successor, leader, "seed {seed}");
        for command in commands {
            assert!(matches!(
                simulation.model.outcome(command),
                Some(Outcome::Accepted(_))
            ));
        }
        simulation.heal_and_check();
    }
}

#[test]
fn a_transfer_reaches_the_requested_target() {
    let mut simulation = Simulation::new(3, 5, NO_FAULTS);
    let leader = simulation.wait_for_leader();
    let target = (leader + 3) % 5;
    let id = simulation.nodes[target].id.clone();
    simulation.input(leader, Input::TransferLeadership { target: Some(id) });
    assert_eq!(simulation.wait_for_leader(), target);
}

#[test]
fn a_transfer_to_an_unreachable_replica_times_out() {
    let mut simulation = Simulation::new(4, 3, NO_FAULTS);
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
        simulation.model.outcome(command),
        Some(Outcome::Accepted(_))
    ));
}
