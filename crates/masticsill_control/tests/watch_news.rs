//! Which updates of endpoints watchers receive, how soon and in how many answers.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{Cluster, block_on, node};
use masticsill_control::ControlClient;
use masticsill_registry::{Announcement, EndpointId, EndpointState, Watcher};
use masticsill_types::{NodeId, ZoneId};
use masticsill_wire::control::{WatchReply, WatchRequest};

/// With a delay of 2 ms for each watcher, updates that are not urgent are sent after 200 ms.
const WATCHERS: usize = 100;
const ENDPOINTS: u16 = 40;
/// Far longer than the delay of any update.
const WAIT_MS: u64 = 1_500;

fn zone() -> ZoneId {
    ZoneId::new("a").unwrap()
}

fn request(number: usize, before: Option<&WatchReply>, wait_ms: u64) -> WatchRequest {
    WatchRequest {
        document_seen: None,
        loads: Vec::new(),
        loads_revision: u64::MAX,
        registry: before.map_or(0, |reply| reply.registry),
        revision: before.map_or(0, |reply| reply.revision),
        rollouts_revision: before.map_or(0, |reply| reply.rollouts_revision),
        suspects_revision: before.map_or(0, |reply| reply.suspects_revision),
        versions_revision: before.map_or(0, |reply| reply.versions_revision),
        wait_ms,
        watcher: Watcher::Entry {
            node: NodeId::new(format!("entry-{number}")).unwrap(),
            zone: zone(),
        },
    }
}

fn endpoint(number: u16) -> Announcement {
    Announcement {
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        cold_left_ms: 0,
        id: EndpointId::with_unknown_incarnation(format!("e{number}")),
        keeps_prompts: false,
        sequence: 1,
        service: "s".to_owned(),
        slots: 4,
        state: EndpointState::Ready,
        version: String::new(),
        zone: zone(),
    }
}

/// Registers many watchers at a replica; returns the first answer to one of them.
async fn register_watchers(client: &ControlClient, address: SocketAddr) -> WatchReply {
    for number in 1..WATCHERS {
        client.watch(address, &request(number, None, 0)).await;
    }
    let first = client.watch(address, &request(0, None, 0)).await;
    first.unwrap()
}

#[test]
fn simultaneous_endpoint_registrations_share_watch_replies() {
    let cluster = Cluster::start(1);
    let address = cluster.address(&node(1));
    block_on(async {
        let client = cluster.client();
        let mut reply = register_watchers(&client, address).await;
        let announcing = cluster.client();
        let announced = async {
            for number in 0..ENDPOINTS {
                announcing
                    .announce(address, &endpoint(number), WAIT_MS)
                    .await;
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        let collected = async {
            let (mut answers, mut received) = (0, 0);
            while received < usize::from(ENDPOINTS) {
                let watch_request = request(0, Some(&reply), WAIT_MS);
                reply = client.watch(address, &watch_request).await.unwrap();
                answers += 1;
                received += reply.endpoints.len();
            }
            answers
        };
        let ((), answers) = tokio::join!(announced, collected);
        assert!(answers <= 5, "{answers} answers");
    });
}

#[test]
fn an_endpoint_departure_is_reported_without_delay() {
    let cluster = Cluster::start(1);
    let address = cluster.address(&node(1));
    block_on(async {
        let client = cluster.client();
        client.announce(address, &endpoint(0), WAIT_MS).await;
        let reply = register_watchers(&client, address).await;
        let leaving = cluster.client();
        let began = Instant::now();
        let departed = async {
            let id = endpoint(0).id;
            leaving.depart(address, &id, WAIT_MS).await
        };
        let notified = async {
            let watch_request = request(0, Some(&reply), WAIT_MS);
            let notified = client.watch(address, &watch_request).await.unwrap();
            assert_eq!(notified.endpoints.len(), 1);
            began.elapsed()
        };
        let (_, elapsed) = tokio::join!(departed, notified);
        assert!(elapsed < Duration::from_millis(150), "{elapsed:?}");
    });
}
