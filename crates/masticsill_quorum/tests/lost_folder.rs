//! Lost data folders, and the membership changes that replace their replicas.

mod simulation;

use assert_matches::assert_matches;
use masticsill_quorum::storage::Storage;
use masticsill_quorum::{
    CallerToken, FolderId, Input, MembershipChange, MembershipError, Output, Replica, Role, VoterId,
};
use masticsill_types::{ClockMs, NodeId};
use simulation::{NO_FAULTS, Simulation, settings};

fn with_commands(seed: u64, count: usize) -> Simulation {
    let mut simulation = Simulation::new(seed, count, NO_FAULTS);
    let leader = simulation.wait_for_leader();
    for _ in 0..10 {
        simulation.propose_batch_to(leader, 3);
        simulation.run_for(10);
    }
    simulation
}

/// Requests the admission of each unknown replica once and waits until the membership is repaired;
/// the leader must perform all further steps unprompted.
fn repair_and_wait(simulation: &mut Simulation) {
    simulation.wait_for_leader();
    simulation.repair();
    simulation.run_until("the membership is repaired", |it| it.is_repaired());
}

#[test]
fn one_join_replaces_a_lost_replica() {
    for seed in 0..30 {
        let mut simulation = with_commands(seed, 3);
        let leader = simulation.wait_for_leader();
        for lost in [leader, (leader + 1) % 3] {
            simulation.lose_folder(lost, 20);
            simulation.run_for(50);
            repair_and_wait(&mut simulation);
        }
        simulation.heal_and_check();
        assert_eq!(simulation.model.accepted_commands(), 31);
    }
}

#[test]
fn a_replica_with_a_lost_folder_does_not_vote_under_its_old_identity() {
    let mut simulation = with_commands(5, 3);
    let leader = simulation.wait_for_leader();
    simulation.lose_folder((leader + 1) % 3, 1);
    simulation.isolate(leader);
    for _ in 0..100 {
        simulation.run_for(50);
        let survivor = (leader + 2) % 3;
        let roles = [survivor, (leader + 1) % 3].map(|node_index| {
            let replica = simulation.nodes[node_index].replica.as_ref();
            replica.map(Replica::role)
        });
        assert!(
            !roles.contains(&Some(Role::Leader)),
            "a replica was elected with one of three votes"
        );
    }
    simulation.heal_and_check();
}

#[test]
fn a_folder_loss_right_after_a_repair_loses_no_data() {
    for seed in 0..30 {
        let mut simulation = with_commands(seed, 3);
        for lost in [0, 1, 2, 0] {
            simulation.lose_folder(lost, 5);
            repair_and_wait(&mut simulation);
        }
        simulation.heal_and_check();
    }
}

#[test]
fn losing_two_of_five_folders_at_once_loses_no_data() {
    for seed in 0..30 {
        let mut simulation = with_commands(seed, 5);
        let leader = simulation.wait_for_leader();
        simulation.lose_folder(leader, 5);
        simulation.lose_folder((leader + 2) % 5, 5);
        simulation.heal_and_check();
    }
}

#[test]
fn an_unreachable_learner_is_not_promoted() {
    let mut simulation = with_commands(6, 3);
    let leader = simulation.wait_for_leader();
    let id = VoterId {
        name: NodeId::new("control-9").unwrap(),
        folder: FolderId(9),
    };
    let replaces = None;
    simulation.propose_change_to(
        leader,
        MembershipChange::Join {
            id: id.clone(),
            replaces,
        },
    );
    simulation.run_for(1_000);
    assert_eq!(simulation.model.membership.learners.len(), 1);
    assert_eq!(simulation.model.membership.voters.len(), 3);
    simulation.propose_change_to(leader, MembershipChange::Remove { id });
    simulation.run_for(100);
    assert!(simulation.is_repaired());
}

#[test]
fn a_silent_learner_becomes_removable() {
    let mut simulation = with_commands(10, 3);
    let leader = simulation.wait_for_leader();
    simulation.run_for(1_000);
    let id = VoterId {
        name: NodeId::new("control-9").unwrap(),
        folder: FolderId(9),
    };
    let replaces = None;
    let join = MembershipChange::Join {
        id: id.clone(),
        replaces,
    };
    simulation.propose_change_to(leader, join);
    let removable = |it: &Simulation| it.nodes[leader].removable_members(it.now, 500, 3);
    assert_eq!(
        removable(&simulation),
        [],
        "the learner has had no time to answer"
    );
    simulation.run_for(600);
    assert_eq!(removable(&simulation), [id]);
}

#[test]
fn a_removed_voter_does_not_depose_the_leader() {
    let mut simulation = with_commands(7, 5);
    let leader = simulation.wait_for_leader();
    let id = simulation.nodes[leader].id.clone();
    simulation.propose_change_to(leader, MembershipChange::Remove { id });
    simulation.run_for(1_000);
    assert_eq!(simulation.model.membership.voters.len(), 4);
    let successor = simulation.wait_for_leader();
    assert_ne!(successor, leader);
    simulation.run_for(2_000);
    assert_eq!(simulation.wait_for_leader(), successor);
}

#[test]
fn overlapping_membership_changes_are_refused() {
    let mut simulation = with_commands(8, 3);
    let leader = simulation.wait_for_leader();
    let change = |number| MembershipChange::Join {
        id: VoterId {
            name: NodeId::new(format!("control-{number}")).unwrap(),
            folder: FolderId(number),
        },
        replaces: None,
    };
    let mut step = |number| {
        let token = CallerToken(number);
        let change = change(number);
        let input = Input::ChangeMembership { token, change };
        let now = simulation.now;
        simulation.nodes[leader].step(now, input)
    };
    assert!(
        step(8)
            .iter()
            .any(|it| matches!(it, Output::Persist { .. }))
    );
    assert_matches!(
        step(9).as_slice(),
        [Output::RefusedMembership {
            error: MembershipError::ChangeInProgress,
            ..
        }]
    );
}

#[test]
fn a_forced_sole_voter_leads_alone() {
    let simulation = with_commands(9, 3);
    let node = &simulation.nodes[1];
    let opened = Storage::open_with_disk(
        node.disk.boxed(),
        "simulated",
        &node.id.name,
        node.id.folder,
    );
    let (mut storage, mut recovered) = opened.unwrap();
    storage.force_sole_voter(&mut recovered.state).unwrap();
    let mut replica = Replica::new(settings(), recovered.state, ClockMs(0), 1).unwrap();
    for now in 0..300 {
        for output in replica.step(ClockMs(now), Input::Tick) {
            if let Output::Persist { point, write } = output {
                storage.write(point, &write).unwrap();
            }
        }
        let up_to = storage.sync().unwrap();
        for output in replica.step(ClockMs(now), Input::SyncDone { up_to }) {
            if let Output::Persist { point, write } = output {
                storage.write(point, &write).unwrap();
            }
        }
    }
    assert_eq!(replica.role(), Role::Leader);
    assert!(replica.commit_index() >= simulation.model.last_index());
}
