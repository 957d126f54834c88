//! A leader that is partitioned, in both directions or in one.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::{CALL_TIMEOUT_MS, Cluster, accepted, await_until, block_on, poll, put};
use masticsill_catalogue::ChangeAnswer;
use masticsill_control::ControlUnavailable;
use masticsill_testkit::ProxyMode;
use masticsill_types::{CatalogueVersion, NodeId};
use masticsill_wire::control::{ReadRequest, RenewRequest};

async fn proof_age_ms(cluster: &Cluster, name: &NodeId) -> u64 {
    let request = RenewRequest {
        have: CatalogueVersion(0),
    };
    let client = cluster.client_of(name);
    let reply = client.renew(cluster.address(name), request).await;
    reply.unwrap().age_ms.unwrap()
}

/// Checks that a partitioned leader refuses calls and renews no proof, while another leader accepts
/// a change.
async fn check_isolated(cluster: &Cluster, former: &NodeId) {
    let next = cluster.leader_other_than(Some(former));
    let client = cluster.client_of(&next);
    let answer = client.change(&put("c2", "e", 1), CALL_TIMEOUT_MS).await;
    assert_eq!(answer, Ok(accepted(2)));
    let isolated = cluster.client_of(former);
    let refused = isolated.change(&put("c3", "f", 0), 1_500).await;
    assert_matches!(refused, Err(ControlUnavailable { .. }));
    let unread = isolated.read(&ReadRequest::Replicas, 1_500).await;
    assert_matches!(unread, Err(ControlUnavailable { .. }));
    let age_ms = proof_age_ms(cluster, former).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(proof_age_ms(cluster, former).await >= age_ms + 300);
}

/// Restores the links and checks that the former leader follows the new one.
async fn check_rejoined(cluster: &Cluster, former: &NodeId) {
    cluster.set_links(former, ProxyMode::Pass);
    let client = cluster.client();
    let answer = client.change(&put("c4", "g", 0), CALL_TIMEOUT_MS).await;
    assert_matches!(answer, Ok(ChangeAnswer::Accepted { version }) => {
        poll("the former leader to follow", async || {
            let have = CatalogueVersion(0);
            let address = cluster.address(former);
            let reply = client.renew(address, RenewRequest { have }).await.unwrap();
            reply.version >= version && reply.age_ms.is_some_and(|age_ms| age_ms < 1_000)
        })
        .await;
    });
}

#[test]
fn a_partitioned_leader_serves_no_calls_and_rejoins_as_follower() {
    for mode in [ProxyMode::BlackHole(None), ProxyMode::Cut] {
        let cluster = Cluster::start(3);
        block_on(async {
            let answer = cluster
                .client()
                .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
                .await;
            assert_eq!(answer, Ok(accepted(1)));
            let former = cluster.leader();
            cluster.set_links(&former, mode);
            await_until("the leader to step down", || !cluster.is_leading(&former));
            check_isolated(&cluster, &former).await;
            check_rejoined(&cluster, &former).await;
        });
    }
}

#[test]
fn a_leader_that_receives_but_cannot_send_steps_down() {
    let cluster = Cluster::start(3);
    block_on(async {
        let answer = cluster
            .client()
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(1)));
        let former = cluster.leader();
        cluster.block_outgoing(&former);
        await_until("the leader to step down", || !cluster.is_leading(&former));
        check_isolated(&cluster, &former).await;
        check_rejoined(&cluster, &former).await;
    });
}
