//! Removal of voters that are not needed, and their return.

mod simulation;

use assert_matches::assert_matches;
use masticsill_quorum::{CallerToken, Input, MembershipChange, MembershipError, Output, VoterId};
use simulation::{NO_FAULTS, Simulation, TICK_MS, settings};

const TARGET_VOTERS: usize = 3;

fn surplus(id: &VoterId) -> MembershipChange {
    MembershipChange::RemoveSurplus {
        id: id.clone(),
        target_voters: TARGET_VOTERS,
    }
}

fn followers(simulation: &Simulation, leader: usize) -> Vec<usize> {
    (0..simulation.nodes.len())
        .filter(|it| *it != leader)
        .collect()
}

/// Guards against a silent voter and one that stops being removed together, which leaves too few.
#[test]
fn two_removals_do_not_go_below_the_target() {
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed, 4, NO_FAULTS);
        let leader = simulation.wait_for_leader();
        simulation.run_for(100);
        let followers = followers(&simulation, leader);
        let [first, second] = [0, 1].map(|it| simulation.nodes[followers[it]].id.clone());
        simulation.propose_change_to(leader, surplus(&first));
        simulation.run_until("the first voter is leaving", |it| {
            let replica = it.nodes[leader].replica.as_ref().unwrap();
            let membership = replica.membership();
            membership.leaving.contains(&first) || !membership.is_voter(&first)
        });
        let mut outputs = Vec::new();
        simulation.run_until("the second removal is decided", |it| {
            let input = Input::ChangeMembership {
                token: CallerToken(7),
                change: surplus(&second),
            };
            let now = it.now;
            outputs = it.nodes[leader].step(now, input);
            !matches!(
                outputs.as_slice(),
                [Output::RefusedMembership {
                    error: MembershipError::ChangeInProgress,
                    ..
                }]
            )
        });
        assert_matches!(
            outputs.as_slice(),
            [Output::RefusedMembership {
                error: MembershipError::VoterNeeded(id),
                ..
            }] if *id == second
        );
    }
}

/// Guards against a removed voter that can't come back with the folder that it has.
#[test]
fn removed_voter_returns_with_its_folder() {
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed, 4, NO_FAULTS);
        let removed = simulation.wait_for_leader();
        simulation.run_for(100);
        simulation.isolate(removed);
        // Entries that the others never get: the returning replica must give them up.
        simulation.propose_batch_to(removed, 3);
        let id = simulation.nodes[removed].id.clone();
        simulation.run_until("the others have another leader", |it| {
            it.leader().is_some_and(|leader| leader != removed)
        });
        simulation.run_until("the silent voter is removed", |it| {
            if let Some(leader) = it.leader().filter(|leader| *leader != removed) {
                it.propose_change_to(leader, surplus(&id));
            }
            !it.model.membership.is_member(&id)
        });
        simulation.heal_and_check();
        assert!(simulation.model.membership.is_voter(&id));
    }
}

/// Guards against a leader that was lost and counts as a voter for longer since another one was elected.
#[test]
fn silence_of_the_former_leader_counts_from_its_last_message() {
    const SILENCE_MS: u64 = 600;
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed, 4, NO_FAULTS);
        let lost = simulation.wait_for_leader();
        simulation.run_for(100);
        let id = simulation.nodes[lost].id.clone();
        simulation.isolate(lost);
        let isolated_at = simulation.now;
        simulation.run_until("the others have another leader", |it| {
            it.leader().is_some_and(|leader| leader != lost)
        });
        simulation.run_until("the silent voter may be removed", |it| {
            let leader = it.leader().filter(|leader| *leader != lost).unwrap();
            let removable = it.nodes[leader].removable_members(it.now, SILENCE_MS, TARGET_VOTERS);
            removable == [id.clone()]
        });
        let silent_ms = simulation.now - isolated_at;
        let bound_ms = SILENCE_MS + 2 * TICK_MS;
        assert!(silent_ms <= bound_ms, "seed {seed}: {silent_ms} ms");
    }
}

/// Guards against a former leader that is removed before its successor could hear from it.
#[test]
fn new_leader_removes_nobody_that_had_no_time_to_answer() {
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed, 4, NO_FAULTS);
        let former = simulation.wait_for_leader();
        simulation.run_for(100);
        simulation.isolate(former);
        simulation.run_until("the others have another leader", |it| {
            it.leader().is_some_and(|leader| leader != former)
        });
        let leader = simulation.leader().unwrap();
        let removable = |it: &Simulation| it.nodes[leader].removable_members(it.now, 1, 3);
        assert_eq!(removable(&simulation), []);
        simulation.heal();
        simulation.run_for(settings().lease_ms);
        let id = &simulation.nodes[former].id;
        let removable = simulation.nodes[leader].removable_members(simulation.now, 50, 3);
        assert!(!removable.contains(id), "seed {seed}");
    }
}
