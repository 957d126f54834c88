//! Start and stop of the agent.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use masticsill_mesh::MeshHandle;
use masticsill_runtime::{
    DutyHandle, Metrics, Ring, ServiceStream, ShutdownSignal, spawn_async_duty, spawn_duty,
};
use masticsill_types::{ClockMs, MonotonicClock, log_event};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::config::AgentConfig;
use crate::endpoint_duty::run_endpoint;
use crate::events;
use crate::messages::EndpointEvent;
use crate::orders::open_gate;
use crate::service::{SharedState, serve_entries};
use crate::state::AgentState;

/// Capacity of the ring of commands to the endpoint duty. When it is full, engine commands wait in
/// the agent's backlog.
const COMMAND_RING_CAPACITY: usize = 4_096;
/// Capacity of the ring of events from the endpoint duty. When it is full, the tasks that read from
/// the endpoint's connections wait.
const EVENT_RING_CAPACITY: usize = 16_384;
const TICK_PERIOD_MS: u64 = 50;

/// The services of its process that an agent uses.
#[derive(Debug)]
pub struct AgentLinks {
    /// The clock of the process.
    pub clock: MonotonicClock,
    /// The ring on which the mesh delivers the connections of entries.
    pub connections: Ring<ServiceStream>,
    /// The mesh in which the endpoint is announced.
    pub mesh: MeshHandle,
    /// The sink of counters and gauges.
    pub metrics: Metrics,
}

/// The role of a process that serves one endpoint.
#[derive(Debug)]
pub struct AgentRole;

impl AgentRole {
    /// Starts the agent's two duties.
    ///
    /// # Errors
    ///
    /// The operating system's error when no thread can be started.
    pub fn start(config: AgentConfig, links: AgentLinks) -> io::Result<AgentHandle> {
        log_event!(
            info,
            events::AGENT_STARTED,
            node = config.node,
            endpoint = config.endpoint_address
        );
        let commands = Ring::with_capacity(COMMAND_RING_CAPACITY);
        let endpoint_events: Ring<EndpointEvent> = Ring::with_capacity(EVENT_RING_CAPACITY);
        let stop_connections = links.connections.clone();
        let leaving = ShutdownSignal::default();
        let drained = ShutdownSignal::default();
        let endpoint_duty = {
            let (config, commands, endpoint_events) =
                (config.clone(), commands.clone(), endpoint_events.clone());
            spawn_duty("endpoint", move || {
                run_endpoint(config, commands, endpoint_events);
            })?
        };
        let stop = StopRings {
            commands: commands.clone(),
            connections: stop_connections,
            endpoint_events: endpoint_events.clone(),
        };
        let agent_duty = {
            let (leaving, drained) = (leaving.clone(), drained.clone());
            spawn_async_duty("agent", move || async move {
                let connections = links.connections.clone();
                let mesh = links.mesh.clone();
                let state = AgentState::new(&config, links, commands, drained);
                spawn_local(open_gate(mesh, state.orders().clone()));
                run_agent(state, connections, endpoint_events, leaving).await;
            })?
        };
        Ok(AgentHandle {
            duties: vec![endpoint_duty, agent_duty],
            drained,
            leaving,
            stop,
        })
    }
}

#[derive(Debug)]
struct StopRings {
    commands: Ring<crate::messages::EndpointCommand>,
    connections: Ring<ServiceStream>,
    endpoint_events: Ring<EndpointEvent>,
}

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    drained: ShutdownSignal,
    duties: Vec<DutyHandle>,
    leaving: ShutdownSignal,
    stop: StopRings,
}

impl AgentHandle {
    /// Begins the planned stop. The endpoint is announced as leaving and accepts no new work.
    /// Running attempts continue until they end; those that are still running when the drain time
    /// is over are failed and returned to their owners.
    pub fn leave(&self) {
        self.leaving.request();
    }

    /// Whether the planned stop is complete, so that the agent may be stopped.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.drained.is_requested()
    }

    /// Waits until the planned stop is complete, so that the agent may be stopped.
    pub async fn drained(&self) {
        self.drained.requested().await;
    }

    /// Stops both duties and closes every connection at once.
    ///
    /// # Errors
    ///
    /// An error that names a duty that panicked.
    pub fn stop(self) -> io::Result<()> {
        self.stop.connections.close();
        self.stop.endpoint_events.close();
        self.stop.commands.close();
        self.duties.into_iter().try_for_each(DutyHandle::join)
    }
}

async fn run_agent(
    state: AgentState,
    connections: Ring<ServiceStream>,
    endpoint_events: Ring<EndpointEvent>,
    leaving: ShutdownSignal,
) {
    let shared = SharedState {
        state: Rc::new(RefCell::new(state)),
        wake: Rc::new(Notify::new()),
    };
    spawn_local(serve_entries(connections, shared.clone()));
    spawn_local(begin_leaving_on_request(leaving, shared.clone()));
    let mut tick_at = ClockMs(0);
    loop {
        let now = shared.state.borrow().now();
        if now >= tick_at {
            tick_at = now + TICK_PERIOD_MS;
            shared.state.borrow_mut().tick();
        }
        let next_due = shared.state.borrow().next_due();
        let wake_at = next_due.map_or(tick_at, |due| due.min(tick_at));
        tokio::select! {
            popped = endpoint_events.pop() => {
                let Some(first) = popped else {
                    return;
                };
                shared.state.borrow_mut().apply_events(first, &endpoint_events);
            }
            () = shared.wake.notified() => {}
            () = sleep(Duration::from_millis(wake_at.since(now))) => {}
        }
        let now = shared.state.borrow().now();
        shared.state.borrow_mut().flush(now);
    }
}

async fn begin_leaving_on_request(leaving: ShutdownSignal, shared: SharedState) {
    leaving.requested().await;
    shared.state.borrow_mut().begin_leaving();
}
