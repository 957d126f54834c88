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

#[test]
fn a_source_whose_proof_grows_old_is_passed_over() {
    let (fresh, cut_off) = (Quorum::default(), Quorum::default());
    for quorum in [&fresh, &cut_off] {
        quorum.accept(4);
        quorum.set_proving(true);
    }
    cut_off.set_age_ms(60_000);
    let one = TestNode::start(
        "control-1",
        Role::Control,
        Vec::new(),
        Some(cut_off.source()),
    );
    let seeds = vec![one.address];
    // Only a peer has a young proof; the one control replica in sight answers with an old one.
    let two = TestNode::start("entry-2", Role::Entry, seeds.clone(), Some(fresh.source()));
    let entry = TestNode::start("entry-1", Role::Entry, seeds, None);
    wait_for("all know each other", || entry.mesh.view().len() == 3);
    wait_for("fresh", || entry.is_fresh());
    // Longer than a source is avoided and a lease together.
    for _ in 0..350 {
        assert!(
            entry.is_fresh(),
            "it fell back to the source that was cut off"
        );
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    drop((one, two));
}
