//! The catalogue and its proof of freshness reach every node.

mod support;

use masticsill_membership::Role;
use support::{Quorum, TestNode, wait_for};

fn control_and_entries(quorum: &Quorum) -> [TestNode; 3] {
    let source = Some(quorum.source());
    let control = TestNode::start("control-1", Role::Control, Vec::new(), source);
    let seeds = vec![control.address];
    let first = TestNode::start("entry-1", Role::Entry, seeds.clone(), None);
    let second = TestNode::start("entry-2", Role::Entry, seeds, None);
    [control, first, second]
}

#[test]
fn a_change_reaches_every_node() {
    let quorum = Quorum::default();
    quorum.accept(1);
    quorum.set_proving(true);
    let nodes = control_and_entries(&quorum);
    for version in [1, 2, 300] {
        quorum.accept(version);
        wait_for("the version is in force", || {
            nodes
                .iter()
                .all(|node| node.version() == version && node.is_fresh())
        });
    }
}

#[test]
fn nobody_is_fresh_without_a_proof() {
    let quorum = Quorum::default();
    quorum.accept(7);
    let nodes = control_and_entries(&quorum);
    wait_for("the content arrives", || {
        nodes.iter().all(|node| node.version() == 7)
    });
    assert!(nodes.iter().all(|node| !node.is_fresh()));
    quorum.set_proving(true);
    wait_for("fresh", || nodes.iter().all(TestNode::is_fresh));
    quorum.set_proving(false);
    wait_for("stale again", || nodes.iter().all(|node| !node.is_fresh()));
    assert!(
        nodes.iter().all(|node| node.version() == 7),
        "no version goes back"
    );
}

#[test]
fn a_node_that_knows_no_control_replica_is_served_by_a_peer() {
    let quorum = Quorum::default();
    quorum.accept(3);
    quorum.set_proving(true);
    let control = TestNode::start("control-1", Role::Entry, Vec::new(), Some(quorum.source()));
    let relay = TestNode::start("entry-1", Role::Entry, vec![control.address], None);
    wait_for("the relay is fresh", || relay.is_fresh());
    let last = TestNode::start("entry-2", Role::Entry, vec![relay.address], None);
    wait_for("the last is fresh", || {
        last.is_fresh() && last.version() == 3
    });
}
