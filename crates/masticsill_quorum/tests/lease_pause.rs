//! A leader that is cut off or paused stops before it does anything else.

mod simulation;

use masticsill_quorum::{Input, Role};
use simulation::{CALM, Fate, Simulation, settings};

#[test]
fn a_leader_paused_between_check_and_write_accepts_nothing() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed, 3, CALM);
        let leader = simulation.wait_for_leader();
        let (command, proposal) = simulation.new_proposal();
        let proposals = vec![proposal];
        let now = simulation.now;
        let outputs = simulation.nodes[leader].step(now, Input::Propose { proposals });
        simulation.stall(leader, outputs, 1_000);

        simulation.run_for(600);
        let successor = simulation.wait_for_leader();
        assert_ne!(successor, leader);
        let newer = simulation.propose_to(successor);
        simulation.run_for(100);
        assert!(matches!(
            simulation.model.fate(newer),
            Some(Fate::Accepted(_))
        ));

        // The resume itself checks that a proposal is refused and no proof is given.
        simulation.run_for(500);
        assert_eq!(
            simulation.model.fate(command),
            Some(Fate::Unknown),
            "seed {seed}"
        );
        simulation.settle();
    }
}

#[test]
fn a_sync_that_ends_past_the_lease_accepts_nothing() {
    let mut simulation = Simulation::new(1, 3, CALM);
    let leader = simulation.wait_for_leader();
    simulation.faults.sync_max_ms = 0;
    let command = simulation.propose_to(leader);
    simulation.pause(leader, settings().lease_ms + 1);
    simulation.run_for(settings().lease_ms + 2);
    assert_eq!(simulation.model.fate(command), Some(Fate::Unknown));
    simulation.settle();
}

#[test]
fn an_isolated_leader_stops_for_as_long_as_it_is_cut_off() {
    let mut simulation = Simulation::new(2, 5, CALM);
    let leader = simulation.wait_for_leader();
    let last_acknowledged = simulation.now;
    simulation.isolate(leader);
    while simulation.now < last_acknowledged + 20_000 {
        simulation.run_for(97);
        let is_past = simulation.now > last_acknowledged + settings().lease_ms;
        let node = &simulation.nodes[leader];
        let role = node.replica.as_ref().map(masticsill_quorum::Replica::role);
        if is_past {
            assert_ne!(role, Some(Role::Leader));
            assert_eq!(node.lease_read_point(simulation.now), None);
            let command = simulation.propose_to(leader);
            assert_eq!(simulation.model.fate(command), Some(Fate::Refused));
        }
    }
    let term = simulation.wait_for_leader();
    simulation.heal();
    simulation.run_for(1_000);
    assert_eq!(
        simulation.wait_for_leader(),
        term,
        "the returned replica steps into line"
    );
    simulation.settle();
}
