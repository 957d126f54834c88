//! The duty of the mesh.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use masticsill_catalogue::Follower;
use masticsill_membership::{Description, Input, Membership, Role};
use masticsill_runtime::{DutyHandle, Ring, RpcListener, spawn_async_duty};
use masticsill_types::{MonotonicClock, log_event};
use masticsill_wire::ServiceKind;
use rand::Rng;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::config::{MeshConfig, RenewSource, ServiceRoutes};
use crate::events;
use crate::handle::{Command, MeshHandle, Published};
use crate::node::{Node, serve_peer};
use crate::renewal::Renewal;

const TICK_MS: u64 = 100;
/// Time for the announcement that this node has stopped to reach its peers before the duty ends.
const FINAL_ANNOUNCEMENT_MS: u64 = 300;

/// The part common to all nodes: membership, the catalogue relay and the RPC listener.
#[derive(Debug)]
pub struct Mesh;

impl Mesh {
    /// Starts the mesh on its own thread.
    ///
    /// `listener` is the only RPC listener of the process; connections of the other services are
    /// dispatched by `routes`. A control replica passes the `source` that answers renewals from
    /// its own state. The duty ends after [`MeshHandle::stop`].
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread can't be started.
    pub fn start(
        config: MeshConfig,
        listener: RpcListener,
        routes: ServiceRoutes,
        source: Option<RenewSource>,
        clock: MonotonicClock,
    ) -> io::Result<(MeshHandle, DutyHandle)> {
        let commands = MeshHandle::command_ring();
        let published = Published::new(clock.now(), config.renewal.lease_ms);
        let handle = MeshHandle::new(commands.clone(), config.incarnation, published.clone());
        let duty = spawn_async_duty("mesh", move || async move {
            let node = Rc::new(new_node(config, published, source, clock));
            run(node, listener, routes, commands).await;
        })?;
        Ok((handle, duty))
    }
}

fn new_node(
    config: MeshConfig,
    published: Published,
    source: Option<RenewSource>,
    clock: MonotonicClock,
) -> Node {
    let now = clock.now();
    let description = Description {
        address: config.address,
        incarnation: config.incarnation,
        node: config.node.clone(),
        role: config.role.clone(),
        zone: config.zone.clone(),
    };
    let seed = rand::rng().random();
    let seeds = config.seeds.clone();
    let membership = Membership::new(now, description, seeds, config.membership, seed);
    let node = Node {
        clock,
        config,
        follower: RefCell::new(Follower::new(now)),
        next_hold_down_end: Cell::new(None),
        membership: RefCell::new(membership),
        published,
        published_cursor: Cell::new(0),
        source,
    };
    node.publish(now);
    node
}

async fn run(
    node: Rc<Node>,
    listener: RpcListener,
    routes: ServiceRoutes,
    commands: Ring<Command>,
) {
    log_event!(
        info,
        events::MESH_STARTED,
        node = node.config.node,
        address = node.config.address,
        incarnation = node.config.incarnation
    );
    let server = Rc::clone(&node);
    spawn_local(listener.serve(move |kind, stream| match kind {
        ServiceKind::Node => serve_peer(&server, stream),
        ServiceKind::Agent | ServiceKind::Control | ServiceKind::Entry => {
            routes.dispatch(kind, stream);
        }
    }));
    spawn_local(tick(Rc::clone(&node)));
    spawn_local(Renewal::new().run(Rc::clone(&node)));
    while let Some(command) = commands.pop().await {
        match command {
            Command::Announce(profile) => node.step(Input::RoleChanged(Role::Agent(profile))),
            Command::Leave => node.step(Input::Leaving),
        }
        node.step(Input::Tick);
    }
    node.step(Input::Left);
    node.step(Input::Tick);
    sleep(Duration::from_millis(FINAL_ANNOUNCEMENT_MS)).await;
    log_event!(info, events::MESH_ENDED, node = node.config.node);
}

async fn tick(node: Rc<Node>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.step(Input::Tick);
    }
}
