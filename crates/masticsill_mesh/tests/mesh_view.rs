//! Membership views of nodes that exchange messages over real connections.

mod support;

use masticsill_membership::{MemberState, Role};
use masticsill_mesh::{Mesh, MeshConfig, RenewalPeriods, ServiceRoutes, new_incarnation};
use masticsill_runtime::{Ring, connect_transport};
use masticsill_types::{MonotonicClock, NodeId, ZoneId};
use masticsill_wire::ServiceKind;
use support::{TestNode, loopback, service_profile, wait_until};

fn start_three_nodes() -> [TestNode; 3] {
    let first = TestNode::start("entry-1", Role::Entry, Vec::new(), None);
    let seeds = vec![first.address];
    let second = TestNode::start("entry-2", Role::Entry, seeds.clone(), None);
    let role = Role::Agent(service_profile(false));
    let third = TestNode::start("agent-1", role, seeds, None);
    let nodes = [first, second, third];
    wait_until("every node sees every other node", || {
        nodes
            .iter()
            .all(|one| nodes.iter().all(|other| one.sees(other)))
    });
    nodes
}

#[test]
fn a_leaving_agent_is_shown_as_leaving_and_then_gone() {
    let [first, second, agent] = start_three_nodes();
    agent.mesh.leave();
    let state = |at: &TestNode| {
        let view = at.mesh.view();
        view.get(&agent.node).map(|member| member.state)
    };
    wait_until("both entries see the agent as leaving", || {
        [&first, &second]
            .iter()
            .all(|at| state(at) == Some(MemberState::Leaving))
    });
    let name = agent.node.clone();
    agent.stop();
    wait_until("the agent is gone in both entries", || {
        [&first, &second]
            .iter()
            .all(|at| at.mesh.view().get(&name).is_none())
    });
    first.stop();
    second.stop();
}

#[test]
fn a_changed_endpoint_profile_reaches_the_entries() {
    let [first, second, agent] = start_three_nodes();
    assert!(agent.mesh.announce(service_profile(true)));
    wait_until("both entries see that the agent accepts no work", || {
        [&first, &second].iter().all(|at| {
            let view = at.mesh.view();
            let now = at.clock.now();
            view.get(&agent.node)
                .is_some_and(|member| !member.takes_work(now))
        })
    });
}

#[tokio::test]
async fn waiting_for_changes_misses_no_change() {
    let node = TestNode::start("entry-1", Role::Entry, Vec::new(), None);
    node.mesh.changed().await;
    let waiter = node.mesh.clone();
    let _peer = TestNode::start("entry-2", Role::Entry, vec![node.address], None);
    while waiter.view().len() < 2 {
        waiter.changed().await;
    }
}

#[tokio::test]
async fn connections_of_other_services_reach_their_roles() {
    let listener = loopback();
    let address = listener.local_address().unwrap();
    let config = MeshConfig {
        address,
        incarnation: new_incarnation(),
        membership: masticsill_membership::Periods::default(),
        node: NodeId::new("agent-1").unwrap(),
        renewal: RenewalPeriods::default(),
        role: Role::Agent(service_profile(false)),
        seeds: Vec::new(),
        zone: ZoneId::new("muc-a").unwrap(),
    };
    let agents = Ring::with_capacity(4);
    let routes = ServiceRoutes {
        agent: Some(agents.clone()),
        ..ServiceRoutes::default()
    };
    let clock = MonotonicClock::start();
    let (mesh, duty) = Mesh::start(config, listener, routes, None, clock).unwrap();
    let _client = connect_transport::<(), ()>(address, ServiceKind::Agent, 20_000)
        .await
        .unwrap();
    assert!(agents.pop().await.is_some());
    mesh.stop();
    duty.join().unwrap();
}
