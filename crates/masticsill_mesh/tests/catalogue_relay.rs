//! Spreading of the catalogue and its proof of freshness to every node.

mod support;

use masticsill_membership::Role;
use support::{Quorum, TestNode, wait_until};

fn start_control_and_entries(quorum: &Quorum) -> [TestNode; 3] {
    let source = Some(quorum.source());
    let control = TestNode::start("control-1", Role::Control, Vec::new(), source);
    let seeds = vec![control.address];
    let first = TestNode::start("entry-1", Role::Entry, seeds.clone(), None);
    let second = TestNode::start("entry-2", Role::Entry, seeds, None);
    [control, first, second]
}

#[test]
fn a_catalogue_change_reaches_every_node() {
    let quorum = Quorum::default();
    quorum.set_catalogue_version(1);
    quorum.set_has_proof(true);
    let nodes = start_control_and_entries(&quorum);
    for version in [1, 2, 300] {
        quorum.set_catalogue_version(version);
        wait_until("every node has the version and is fresh", || {
            nodes
                .iter()
                .all(|node| node.version() == version && node.is_fresh())
        });
    }
}

#[test]
fn no_node_is_fresh_without_a_proof() {
    let quorum = Quorum::default();
    quorum.set_catalogue_version(7);
    let nodes = start_control_and_entries(&quorum);
    wait_until("every node has the version", || {
        nodes.iter().all(|node| node.version() == 7)
    });
    assert!(nodes.iter().all(|node| !node.is_fresh()));
    quorum.set_has_proof(true);
    wait_until("every node is fresh", || {
        nodes.iter().all(TestNode::is_fresh)
    });
    quorum.set_has_proof(false);
    wait_until("no node is fresh", || {
        nodes.iter().all(|node| !node.is_fresh())
    });
    assert!(
        nodes.iter().all(|node| node.version() == 7),
        "the version must not go back"
    );
}

#[test]
fn a_node_that_knows_no_control_replica_renews_from_a_peer() {
    let quorum = Quorum::default();
    quorum.set_catalogue_version(3);
    quorum.set_has_proof(true);
    let control = TestNode::start("control-1", Role::Entry, Vec::new(), Some(quorum.source()));
    let relay = TestNode::start("entry-1", Role::Entry, vec![control.address], None);
    wait_until("the relay is fresh", || relay.is_fresh());
    let last = TestNode::start("entry-2", Role::Entry, vec![relay.address], None);
    wait_until("the last node is fresh and has the version", || {
        last.is_fresh() && last.version() == 3
    });
}

#[test]
fn a_source_with_an_outdated_proof_is_skipped() {
    let (fresh, partitioned) = (Quorum::default(), Quorum::default());
    for quorum in [&fresh, &partitioned] {
        quorum.set_catalogue_version(4);
        quorum.set_has_proof(true);
    }
    partitioned.set_age_ms(60_000);
    let one = TestNode::start(
        "control-1",
        Role::Control,
        Vec::new(),
        Some(partitioned.source()),
    );
    let seeds = vec![one.address];
    // Only a peer has a recent proof. The only known control replica answers with an outdated one.
    let two = TestNode::start("entry-2", Role::Entry, seeds.clone(), Some(fresh.source()));
    let entry = TestNode::start("entry-1", Role::Entry, seeds, None);
    wait_until("the entry sees all three nodes", || {
        entry.mesh.view().len() == 3
    });
    wait_until("the entry is fresh", || entry.is_fresh());
    // 7 s are longer than the avoidance of a failed source (3 s) and the lease (2 s) together.
    for _ in 0..350 {
        assert!(
            entry.is_fresh(),
            "the entry became stale after renewing from the partitioned control replica"
        );
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    drop((one, two));
}
