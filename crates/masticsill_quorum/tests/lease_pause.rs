//! A leader that was isolated or paused past its lease steps down before it does anything else.

mod simulation;

use masticsill_quorum::{Input, Role};
use simulation::{NO_FAULTS, Outcome, Simulation, settings};

#[test]
fn a_leader_paused_between_lease_check_and_write_accepts_nothing() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(seed, 3, NO_FAULTS);
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
            simulation.model.outcome(newer),
            Some(Outcome::Accepted(_))
        ));

        // `Simulation::resume` itself checks that the old leader refuses a proposal and returns no
        // lease read point.
        simulation.run_for(500);
        assert_eq!(
            simulation.model.outcome(command),
            Some(Outcome::Unknown),
            "seed {seed}"
        );
        simulation.heal_and_check();
    }
}

#[test]
fn a_sync_finished_after_the_lease_accepts_nothing() {
    let mut simulation = Simulation::new(1, 3, NO_FAULTS);
    let leader = simulation.wait_for_leader();
    simulation.faults.sync_max_ms = 0;
    let command = simulation.propose_to(leader);
    simulation.pause(leader, settings().lease_ms + 1);
    simulation.run_for(settings().lease_ms + 2);
    assert_eq!(simulation.model.outcome(command), Some(Outcome::Unknown));
    simulation.heal_and_check();
}

#[test]
fn an_isolated_leader_steps_down_until_the_partition_heals() {
    let mut simulation = Simulation::new(2, 5, NO_FAULTS);
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
            assert_eq!(simulation.model.outcome(command), Some(Outcome::Refused));
        }
    }
    let successor = simulation.wait_for_leader();
    simulation.heal();
    simulation.run_for(1_000);
    assert_eq!(
        simulation.wait_for_leader(),
        successor,
        "the former leader deposed its successor"
    );
    simulation.heal_and_check();
}
