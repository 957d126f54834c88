//! The sources from which nodes renew the catalogue, for few and for many members.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use indexmap::IndexMap;
use masticsill_membership::{Member, MemberState, Role};
use masticsill_mesh::{MembershipView, list_renewal_sources};
use masticsill_types::{ClockMs, Incarnation, NodeId, ZoneId};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn member(index: u32, role: Role) -> Arc<Member> {
    let ip = Ipv4Addr::from(0x0a00_0001 + index);
    Arc::new(Member {
        address: SocketAddr::new(ip.into(), 7_000),
        held_until: ClockMs(0),
        incarnation: Incarnation(1),
        node: NodeId::new(format!("node-{index}")).unwrap(),
        revision: 0,
        role,
        state: MemberState::Alive,
        zone: ZoneId::new("muc-a").unwrap(),
    })
}

fn view(controls: u32, total: u32) -> MembershipView {
    let role = |index| {
        if index < controls {
            Role::Control
        } else {
            Role::Entry
        }
    };
    let members: Vec<Arc<Member>> = (0..total).map(|index| member(index, role(index))).collect();
    MembershipView::new(members.iter())
}

#[test]
fn few_nodes_renew_from_the_control_quorum() {
    let view = view(3, 60);
    let mut rng = StdRng::seed_from_u64(1);
    let own = NodeId::new("node-30").unwrap();
    let sources = list_renewal_sources(&view, &own, &[], &mut rng);
    assert!(!sources.is_tree);
    let controls: Vec<SocketAddr> = view
        .control_replicas()
        .map(|control| control.address)
        .collect();
    assert!(
        sources.addresses[..3]
            .iter()
            .all(|address| controls.contains(address))
    );
    assert!(
        sources.addresses.len() > 3,
        "peers follow the control replicas"
    );
}

#[test]
fn many_nodes_form_a_shallow_tree_without_cycles() {
    let view = view(7, 2_150);
    let mut rng = StdRng::seed_from_u64(1);
    let mut parents: IndexMap<SocketAddr, SocketAddr> = IndexMap::new();
    let mut children: IndexMap<SocketAddr, u32> = IndexMap::new();
    for member in view.members().filter(|member| !member.is_control()) {
        let sources = list_renewal_sources(&view, &member.node, &[], &mut rng);
        assert!(sources.is_tree);
        let parent = sources.addresses[0];
        parents.insert(member.address, parent);
        *children.entry(parent).or_default() += 1;
    }
    assert!(
        children.values().all(|count| *count <= 4),
        "no node has more than four children"
    );
    for node in parents.keys() {
        let path = std::iter::successors(Some(*node), |address| parents.get(address).copied());
        assert!(
            path.take(20).count() <= 6,
            "at most five hops to the quorum"
        );
    }
}

#[test]
fn without_control_replicas_nodes_renew_from_seeds_and_peers() {
    let view = view(0, 10);
    let mut rng = StdRng::seed_from_u64(1);
    let seed = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 9);
    let own = NodeId::new("node-3").unwrap();
    let sources = list_renewal_sources(&view, &own, &[seed], &mut rng);
    assert_eq!(sources.addresses[0], seed);
    assert_eq!(sources.addresses.len(), 3);
}
