//! Roll-outs at the replicas of a quorum: snapshots, the repetition of orders, and watch replies.

mod common;

use std::time::{Duration, Instant};

use common::{CALL_TIMEOUT_MS, Cluster, block_on, node, poll, put};
use masticsill_catalogue::{DocumentAnswer, StoredDocument};
use masticsill_control::ControlClient;
use masticsill_quorum::ReplicaSettings;
use masticsill_registry::Watcher;
use masticsill_rollout::{Phase, Rollout, RolloutNumber, RolloutOrder};
use masticsill_types::{NodeId, ZoneId};
use masticsill_wire::control::{
    DocumentChange, ReadAnswer, ReadRequest, RolloutAnswer, RolloutRequest, WatchReply,
    WatchRequest,
};

/// Far longer than any test, so that a roll-out stays in progress.
const LONG_MS: u64 = 600_000;
/// Longer than a watch waits while a roll-out is in progress.
const WAIT_MS: u64 = 1_500;

async fn put_document(client: &ControlClient) {
    let change = DocumentChange {
        document: StoredDocument::pack(b"{}", 1),
        operator: "anna".parse().unwrap(),
    };
    let answer = client.put_document(&change, CALL_TIMEOUT_MS).await;
    assert_eq!(answer, Ok(DocumentAnswer::Accepted));
}

async fn order(client: &ControlClient, service: &str, duration_ms: u64) -> RolloutAnswer {
    let request = RolloutRequest {
        operator: "anna".parse().unwrap(),
        order: RolloutOrder {
            duration_ms,
            service: service.to_owned(),
            target: "v2".to_owned(),
        },
    };
    let answer = client.order_rollout(&request, CALL_TIMEOUT_MS).await;
    answer.unwrap()
}

async fn rollouts(client: &ControlClient) -> Vec<Rollout> {
    match client.read(&ReadRequest::Rollouts, CALL_TIMEOUT_MS).await {
        Ok(ReadAnswer::Rollouts(rollouts)) => rollouts,
        other => panic!("{other:?}"),
    }
}

fn accepted(number: u64) -> RolloutAnswer {
    RolloutAnswer::Accepted(RolloutNumber(number))
}

async fn change_often(client: &ControlClient, name: &str) {
    for number in 0..20 {
        let change = put(&format!("{name}-{number}"), &format!("{name}{number}"), 0);
        client.change(&change, CALL_TIMEOUT_MS).await.unwrap();
    }
}

fn restart(cluster: &mut Cluster) {
    for number in 1..=3 {
        cluster.abort(&node(number));
    }
    for number in 1..=3 {
        cluster.run(number);
    }
}

/// Guards against snapshots of a state without roll-outs, which are stored as by former releases,
/// that can't be read any more, and against roll-outs that a snapshot leaves out.
#[test]
fn snapshots_without_and_with_rollouts_are_restored() {
    let settings = ReplicaSettings {
        retained_entries: 2,
        snapshot_interval_entries: 8,
        ..ReplicaSettings::default()
    };
    let mut cluster = Cluster::start_with(3, settings);
    block_on(async {
        let client = cluster.client();
        put_document(&client).await;
        change_often(&client, "a").await;
    });
    restart(&mut cluster);
    let before = block_on(async {
        let client = cluster.client();
        assert!(rollouts(&client).await.is_empty());
        assert_eq!(order(&client, "s", LONG_MS).await, accepted(1));
        change_often(&client, "b").await;
        rollouts(&client).await
    });
    restart(&mut cluster);
    block_on(async {
        let client = cluster.client();
        let after = rollouts(&client).await;
        assert_eq!(after.len(), 1);
        assert_eq!(after[0].order, before[0].order);
        assert_eq!(after[0].number, RolloutNumber(1));
        assert_eq!(order(&client, "s", LONG_MS).await, accepted(1));
        assert_eq!(order(&client, "s", LONG_MS + 1).await, {
            RolloutAnswer::InProgress(RolloutNumber(1))
        });
    });
}

/// Guards against a repetition that begins a second roll-out after the first has ended, and against
/// an order that can never be given again.
#[test]
fn order_may_be_repeated_until_its_window_is_over() {
    let cluster = Cluster::start(3);
    block_on(async {
        let client = cluster.client();
        assert_eq!(order(&client, "s", 500).await, RolloutAnswer::NoDocument);
        put_document(&client).await;
        assert_eq!(
            order(&client, "t", 500).await,
            RolloutAnswer::UnknownService
        );
        assert_eq!(order(&client, "s", 500).await, accepted(1));
        poll("the roll-out ends", async || {
            rollouts(&client).await[0].phase.is_ended()
        })
        .await;
        assert_eq!(order(&client, "s", 500).await, accepted(1));
        poll("the window is over", async || {
            !rollouts(&client).await[0].is_repeatable
        })
        .await;
        assert_eq!(order(&client, "s", 500).await, accepted(2));
        assert_eq!(rollouts(&client).await[0].number, RolloutNumber(2));
    });
}

fn request(watcher: Watcher, before: Option<&WatchReply>) -> WatchRequest {
    WatchRequest {
        document_seen: Some(u64::MAX),
        loads: Vec::new(),
        loads_revision: u64::MAX,
        registry: before.map_or(0, |reply| reply.registry),
        revision: before.map_or(0, |reply| reply.revision),
        rollouts_revision: before.map_or(0, |reply| reply.rollouts_revision),
        suspects_revision: before.map_or(0, |reply| reply.suspects_revision),
        versions_revision: before.map_or(0, |reply| reply.versions_revision),
        wait_ms: WAIT_MS,
        watcher,
    }
}

fn entry() -> Watcher {
    Watcher::Entry {
        node: NodeId::new("entry").unwrap(),
        zone: ZoneId::new("a").unwrap(),
    }
}

/// Guards against entries that learn of a roll-out late, or whose leases are not renewed in time.
#[test]
fn watch_replies_carry_rollouts_and_renew_leases() {
    let cluster = Cluster::start(3);
    let leader = cluster.leader();
    let numbers = 1..=3;
    let follower = numbers.map(node).find(|name| *name != leader).unwrap();
    block_on(async {
        let client = cluster.client();
        put_document(&client).await;
        for (replica, leads) in [(&leader, true), (&follower, false)] {
            let address = cluster.address(replica);
            let first = client.watch(address, &request(entry(), None)).await;
            let first = first.unwrap();
            assert_eq!(first.is_leading, leads);
        }
        let (address, ordering) = (cluster.address(&leader), cluster.client());
        let first = client
            .watch(address, &request(entry(), None))
            .await
            .unwrap();
        assert!(first.rollouts.is_empty());
        // A new roll-out ends a long wait.
        let began = Instant::now();
        let watch_request = request(entry(), Some(&first));
        let (ordered, reply) = tokio::join!(
            order(&ordering, "s", LONG_MS),
            client.watch(address, &watch_request)
        );
        assert_eq!(ordered, accepted(1));
        let reply = reply.unwrap();
        assert!(began.elapsed() < Duration::from_millis(WAIT_MS / 2));
        assert_eq!(reply.rollouts.len(), 1);
        assert!(reply.is_leading);
        // Without a change, the next reply comes in time for the lease and carries it again.
        let began = Instant::now();
        let next = client.watch(address, &request(entry(), Some(&reply))).await;
        let next = next.unwrap();
        assert!(began.elapsed() < Duration::from_millis(500), "{began:?}");
        assert_eq!(next.rollouts[0].number, RolloutNumber(1));
        assert!(matches!(next.rollouts[0].phase, Phase::Canary { .. }));
        // Another replica shows it too, but doesn't vouch for it.
        let elsewhere = cluster.address(&follower);
        poll("the other replica has applied it", async || {
            let reply = client.watch(elsewhere, &request(entry(), None)).await;
            let reply = reply.unwrap();
            assert!(!reply.is_leading);
            reply.rollouts == next.rollouts
        })
        .await;
        // Replicas apply the log themselves and are not woken.
        let replica = Watcher::Replica(follower.clone());
        let reply = client.watch(address, &request(replica, None)).await;
        assert!(reply.unwrap().rollouts.is_empty());
    });
}
