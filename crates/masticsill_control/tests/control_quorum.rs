//! The guarantees of three replicas when some of them are lost or restarted.

mod common;

use assert_matches::assert_matches;
use common::{CALL_TIMEOUT_MS, Cluster, accepted, await_until, block_on, node, poll, put};
use masticsill_catalogue::{
    AgentIncarnation, ChangeAnswer, ChangeRefusal, Claim, ClaimAnswer, Follower,
};
use masticsill_control::ControlUnavailable;
use masticsill_types::{CatalogueVersion, GenerationId, Incarnation};
use masticsill_wire::control::{ReadAnswer, ReadRequest, RenewRequest};

#[test]
fn a_change_resent_after_leader_loss_gets_its_first_answer() {
    let mut cluster = Cluster::start(3);
    block_on(async {
        let client = cluster.client();
        assert_eq!(
            client.change(&put("c1", "e", 0), CALL_TIMEOUT_MS).await,
            Ok(accepted(1))
        );
        let leader = cluster.leader();
        cluster.abort(&leader);
        assert_eq!(
            client.change(&put("c1", "e", 0), CALL_TIMEOUT_MS).await,
            Ok(accepted(1))
        );
        assert_eq!(
            client.change(&put("c2", "e", 1), CALL_TIMEOUT_MS).await,
            Ok(accepted(2))
        );
    });
}

#[test]
fn of_concurrent_changes_to_one_entry_exactly_one_is_accepted() {
    let cluster = Cluster::start(3);
    let race = |number: usize| {
        let client = cluster.client();
        std::thread::spawn(move || {
            let change = put(&format!("c{number}"), "e", 0);
            block_on(async move { client.change(&change, CALL_TIMEOUT_MS).await.unwrap() })
        })
    };
    let racers: Vec<_> = (0..8).map(race).collect();
    let answers: Vec<ChangeAnswer> = racers.into_iter().map(|it| it.join().unwrap()).collect();
    let winners = answers.iter().filter(|answer| **answer == accepted(1));
    assert_eq!(winners.count(), 1);
    for loser in answers.iter().filter(|answer| **answer != accepted(1)) {
        assert_matches!(
            loser,
            ChangeAnswer::Refused(ChangeRefusal::VersionConflict { in_force, .. })
                if *in_force == CatalogueVersion(1)
        );
    }
}

#[test]
fn accepted_changes_survive_a_restart_of_every_replica() {
    let mut cluster = Cluster::start(3);
    block_on(async {
        let client = cluster.client();
        for number in 0..20 {
            let change = put(&format!("c{number}"), &format!("e{number}"), 0);
            client.change(&change, CALL_TIMEOUT_MS).await.unwrap();
        }
    });
    for number in 1..=3 {
        cluster.abort(&node(number));
    }
    for number in 1..=3 {
        cluster.run(number);
    }
    block_on(async {
        let client = cluster.client();
        let answer = client.change(&put("c7", "e7", 0), CALL_TIMEOUT_MS).await;
        assert_eq!(answer, Ok(accepted(8)));
        let read = ReadRequest::Audit {
            after: 0,
            limit: 100,
        };
        let audit = client.read(&read, CALL_TIMEOUT_MS).await.unwrap();
        assert_matches!(audit, ReadAnswer::Audit(page) if page.records.len() == 20);
    });
}

#[test]
fn a_replica_without_majority_accepts_no_change_and_gives_no_fresh_proof() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    let others = (1..=3).map(node).filter(|name| *name != leader);
    for other in others.collect::<Vec<_>>() {
        cluster.abort(&other);
    }
    await_until("the leader to step down", || !cluster.is_leading(&leader));
    block_on(async {
        let client = cluster.client();
        let unavailable = client.change(&put("c1", "e", 0), 1_500).await;
        assert_matches!(unavailable, Err(ControlUnavailable { .. }));
        let read = client.read(&ReadRequest::Replicas, 500).await;
        assert_matches!(read, Err(ControlUnavailable { .. }));
        let address = cluster.address(&leader);
        let have = CatalogueVersion(0);
        let mut ages = Vec::new();
        for _ in 0..2 {
            let reply = client.renew(address, RenewRequest { have }).await.unwrap();
            ages.push(reply.age_ms.unwrap());
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        assert!(ages[1] >= ages[0] + 50, "the proof grows old: {ages:?}");
    });
}

#[test]
fn every_replica_renews_catalogue_copies() {
    let cluster = Cluster::start(3);
    block_on(async {
        let client = cluster.client();
        client
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await
            .unwrap();
        for number in 1..=3 {
            let mut copy = Follower::new(cluster.clock.now());
            poll("a fresh copy", async || {
                let sent_at = cluster.clock.now();
                let have = copy.version();
                let address = cluster.address(&node(number));
                let reply = client.renew(address, RenewRequest { have }).await.unwrap();
                if let Some(update) = reply.update {
                    copy.apply(update);
                }
                if let Some(age_ms) = reply.age_ms {
                    copy.renew_by_age(reply.version, sent_at, age_ms);
                }
                copy.is_fresh(cluster.clock.now(), 3_000) && copy.version().0 == 1
            })
            .await;
        }
    });
}

#[test]
fn a_graceful_stop_transfers_leadership_first() {
    let mut cluster = Cluster::start(3);
    let leader = cluster.leader();
    // With these election timeouts another replica leads only after a transfer of leadership.
    cluster.replica_settings.election_min_ms = 10 * 60 * 1_000;
    cluster.replica_settings.election_max_ms = 20 * 60 * 1_000;
    for other in (1..=3).filter(|number| node(*number) != leader) {
        cluster.abort(&node(other));
        cluster.run(other);
    }
    block_on(async {
        let answer = cluster
            .client()
            .change(&put("c1", "e", 0), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(1)));
    });
    cluster.stop(&leader);
    assert_ne!(cluster.leader(), leader);
    block_on(async {
        let answer = cluster
            .client()
            .change(&put("c2", "e", 1), CALL_TIMEOUT_MS)
            .await;
        assert_eq!(answer, Ok(accepted(2)));
    });
}

#[test]
fn a_claim_is_granted_once_whichever_replica_leads() {
    let mut cluster = Cluster::start(3);
    let claim = |owner: &str, nonce| Claim {
        agent: AgentIncarnation {
            agent: "agent-1".parse().unwrap(),
            incarnation: Incarnation(1),
        },
        caller_wall_ms: None,
        fingerprint: 1,
        id: GenerationId(1),
        nonce,
        owner: owner.parse().unwrap(),
    };
    block_on(async {
        let client = cluster.client();
        let granted = Ok(ClaimAnswer::Granted { version: 1 });
        assert_eq!(
            client.claim(&claim("entry-a", 1), CALL_TIMEOUT_MS).await,
            granted
        );
        let leader = cluster.leader();
        cluster.abort(&leader);
        assert_eq!(
            client.claim(&claim("entry-a", 1), CALL_TIMEOUT_MS).await,
            granted
        );
        let other = client.claim(&claim("entry-b", 2), CALL_TIMEOUT_MS).await;
        assert_matches!(other, Ok(ClaimAnswer::Existing(_)));
    });
}
