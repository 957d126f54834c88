//! Snapshots, lost folders, replaced replicas and founding.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{CALL_TIMEOUT_MS, Cluster, accepted, block_on, node, poll, put};
use masticsill_catalogue::ChangeAnswer;
use masticsill_control::{ControlUnavailable, recover_as_sole_voter};
use masticsill_quorum::ReplicaSettings;
use masticsill_runtime::connect_transport;
use masticsill_types::{CatalogueVersion, NodeId};
use masticsill_wire::ServiceKind;
use masticsill_wire::control::{
    ControlServiceClient, ReadAnswer, ReadRequest, RenewRequest, ReplicaAction, ReplicaAnswer,
    ReplicaChange, ReplicaStanding, ReplicasView,
};

async fn replicas(cluster: &Cluster) -> ReplicasView {
    let answer = cluster
        .client()
        .read(&ReadRequest::Replicas, CALL_TIMEOUT_MS)
        .await;
    assert_matches!(answer.unwrap(), ReadAnswer::Replicas(view) => view)
}

fn voters(view: &ReplicasView) -> Vec<NodeId> {
    let voters = view.replicas.iter();
    let voters = voters.filter(|replica| replica.standing == ReplicaStanding::Voter);
    let mut names: Vec<NodeId> = voters.map(|replica| replica.node.clone()).collect();
    names.sort();
    names
}

async fn is_founded(cluster: &Cluster, number: usize) -> bool {
    let address = cluster.address(&node(number));
    let transport = connect_transport(address, ServiceKind::Control, CALL_TIMEOUT_MS).await;
    let config = tarpc::client::Config::default();
    let client = ControlServiceClient::new(config, transport.unwrap()).spawn();
    let identity = client.identify(tarpc::context::current()).await;
    identity.unwrap().unwrap().is_founded
}

async fn folder_of(cluster: &Cluster, number: usize) -> u64 {
    let view = replicas(cluster).await;
    let member = view.replicas.iter().find(|it| it.node == node(number));
    member.unwrap().folder
}

async fn begin_replacement(cluster: &Cluster, old: usize, new: usize) {
    let change = ReplicaChange {
        action: ReplicaAction::Join {
            address: (old != new).then(|| cluster.address(&node(new))),
            node: node(new),
            replaces: Some(node(old)),
        },
        operator: "anna".parse().unwrap(),
    };
    let answer = cluster
        .client()
        .change_replicas(&change, CALL_TIMEOUT_MS)
        .await;
    assert_eq!(answer.unwrap(), ReplicaAnswer::Accepted);
}

/// Waits until the replica on the old folder is no longer a member and the new one is a voter.
async fn await_replacement(cluster: &Cluster, old_folder: u64, new: usize) {
    poll("the replacement", async || {
        let view = replicas(cluster).await;
        let is_gone = view.replicas.iter().all(|it| it.folder != old_folder);
        is_gone && voters(&view).contains(&node(new))
    })
    .await;
}

async fn replace(cluster: &Cluster, old: usize, new: usize) {
    let old_folder = folder_of(cluster, old).await;
    begin_replacement(cluster, old, new).await;
    await_replacement(cluster, old_folder, new).await;
}

#[test]
fn a_replica_with_a_lost_folder_votes_only_after_admission_and_a_second_loss_is_survived() {
    let mut cluster = Cluster::start(3);
    block_on(async {
        let answer = cluster
            .client()
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(1)));
        cluster.abort(&node(3));
        cluster.lose_folder(3);
        cluster.run(3);
        // The replica without state is no voter: with one more lost there is no majority.
        cluster.abort(&node(2));
        let unavailable = cluster.client().change(&put("c2", "e", 1), 2_000).await;
        assert_matches!(unavailable, Err(ControlUnavailable { .. }));
        cluster.run(2);
        replace(&cluster, 3, 3).await;
        let all = [node(1), node(2), node(3)];
        assert_eq!(voters(&replicas(&cluster).await), all);
        // A second loss right after the replacement.
        cluster.abort(&node(2));
        let client = cluster.client();
        let answer = client
            .change(&put("c3", "f", 0), CALL_TIMEOUT_MS)
            .await
            .unwrap();
        assert_matches!(answer, ChangeAnswer::Accepted { .. });
        let first = client.change(&put("c1", "e", 0), CALL_TIMEOUT_MS).await;
        assert_eq!(first, Ok(accepted(1)));
    });
}

#[test]
fn a_leader_loss_during_a_replacement_only_delays_it() {
    let mut cluster = Cluster::start(5);
    block_on(async {
        let old_folder = folder_of(&cluster, 5).await;
        cluster.abort(&node(5));
        cluster.lose_folder(5);
        cluster.run(5);
        begin_replacement(&cluster, 5, 5).await;
        let leader = cluster.leader();
        cluster.abort(&leader);
        begin_replacement(&cluster, 5, 5).await;
        await_replacement(&cluster, old_folder, 5).await;
        let answer = cluster
            .client()
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(1)));
        assert_eq!(voters(&replicas(&cluster).await).len(), 5);
    });
}

#[test]
fn a_founder_that_lost_its_folder_founds_no_second_cluster() {
    let mut cluster = Cluster::start(3);
    block_on(async {
        let answer = cluster
            .client()
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(1)));
        cluster.abort(&node(1));
        cluster.lose_folder(1);
        cluster.run(1);
        // A founding would take a few tenths of a second.
        for _ in 0..10 {
            assert!(!is_founded(&cluster, 1).await);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_ne!(cluster.leader(), node(1));
        replace(&cluster, 1, 1).await;
        let answer = cluster
            .client()
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(1)));
    });
}

#[test]
fn a_replica_on_a_new_machine_replaces_a_lost_one() {
    let mut cluster = Cluster::start(3);
    block_on(async {
        let answer = cluster
            .client()
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(1)));
        cluster.abort(&node(2));
        cluster.run(4);
        replace(&cluster, 2, 4).await;
        let all = [node(1), node(3), node(4)];
        assert_eq!(voters(&replicas(&cluster).await), all);
        cluster.abort(&node(1));
        let answer = cluster
            .client()
            .change(&put("c2", "e", 1), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(2)));
    });
}

#[test]
fn change_answers_survive_snapshots_and_reach_lagging_replicas() {
    let settings = ReplicaSettings {
        snapshot_interval_entries: 50,
        retained_entries: 10,
        ..ReplicaSettings::default()
    };
    let mut cluster = Cluster::start_with(3, settings);
    block_on(async {
        cluster.abort(&node(3));
        let client = cluster.client();
        for number in 0..300 {
            let change = put(&format!("c{number}"), &format!("e{number}"), 0);
            client.change(&change, CALL_TIMEOUT_MS).await.unwrap();
        }
        cluster.run(3);
        let have = CatalogueVersion(0);
        poll("the replica to catch up", async || {
            let address = cluster.address(&node(3));
            let reply = client.renew(address, RenewRequest { have }).await;
            reply.is_some_and(|reply| reply.version == CatalogueVersion(300))
        })
        .await;
    });
    for number in 1..=3 {
        cluster.abort(&node(number));
    }
    // Replica 3, one of the two that run now, got its state from the leader's snapshot.
    cluster.run(2);
    cluster.run(3);
    block_on(async {
        let answer = cluster
            .client()
            .change(&put("c7", "e7", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(8)));
    });
}

#[test]
fn the_surviving_replica_can_be_made_the_sole_voter() {
    let mut cluster = Cluster::start(3);
    block_on(async {
        let answer = cluster
            .client()
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(1)));
        let survivor = cluster.leader();
        for number in 1..=3 {
            cluster.abort(&node(number));
        }
        let number = (1..=3).find(|number| node(*number) == survivor).unwrap();
        let folder = cluster.folder(number);
        recover_as_sole_voter(&folder, "test", &survivor).unwrap();
        cluster.run(number);
        let first = cluster
            .client()
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(first, Ok(accepted(1)));
        assert_eq!(voters(&replicas(&cluster).await), [survivor]);
    });
}
