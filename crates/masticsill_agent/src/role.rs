//! Starts and stops the agent.

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
use crate::messages::EndpointNews;
use crate::orders::open_gate;
use crate::service::{SharedState, serve_entries};
use crate::state::AgentState;

/// Room for commands to the endpoint; what does not fit waits in the agent's backlog.
const COMMANDS: usize = 4_096;
/// Room for news from the endpoint; what does not fit waits at the endpoint's connections.
const NEWS: usize = 16_384;
const TICK_MS: u64 = 50;

/// What joins an agent to its process.
#[derive(Debug)]
pub struct AgentLinks {
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Connections of entries, as the mesh hands them out.
    pub connections: Ring<ServiceStream>,
    /// Where the endpoint is announced.
    pub mesh: MeshHandle,
    /// Where counters go.
    pub metrics: Metrics,
}

/// The process beside an endpoint.
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
        let commands = Ring::with_capacity(COMMANDS);
        let news: Ring<EndpointNews> = Ring::with_capacity(NEWS);
        let handle_connections = links.connections.clone();
        let leaving = ShutdownSignal::default();
        let drained = ShutdownSignal::default();
        let endpoint_duty = {
            let (config, commands, news) = (config.clone(), commands.clone(), news.clone());
            spawn_duty("endpoint", move || run_endpoint(config, commands, news))?
        };
        let stop = Stop {
            commands: commands.clone(),
            connections: handle_connections,
            news: news.clone(),
        };
        let agent_duty = {
            let (leaving, drained) = (leaving.clone(), drained.clone());
            spawn_async_duty("agent", move || async move {
                let connections = links.connections.clone();
                let mesh = links.mesh.clone();
                let state = AgentState::new(&config, links, commands, drained);
                spawn_local(open_gate(mesh, state.orders().clone()));
                run_agent(state, connections, news, leaving).await;
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
struct Stop {
    commands: Ring<crate::messages::EndpointCommand>,
    connections: Ring<ServiceStream>,
    news: Ring<EndpointNews>,
}

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    drained: ShutdownSignal,
    duties: Vec<DutyHandle>,
    leaving: ShutdownSignal,
    stop: Stop,
}

impl AgentHandle {
    /// Begins the planned stop: the endpoint is announced as leaving and takes nothing new; what
    /// runs goes on until it ends or the drain time is over, and is then handed back to its owners.
    pub fn leave(&self) {
        self.leaving.request();
    }

    /// Whether the planned stop has come so far that the agent may be stopped.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.drained.is_requested()
    }

    /// Waits until the planned stop has come so far that the agent may be stopped.
    pub async fn drained(&self) {
        self.drained.requested().await;
    }

    /// Ends both duties and every connection at once.
    ///
    /// # Errors
    ///
    /// An error naming a duty that panicked.
    pub fn stop(self) -> io::Result<()> {
        self.stop.connections.close();
        self.stop.news.close();
        self.stop.commands.close();
        self.duties.into_iter().try_for_each(DutyHandle::join)
    }
}

async fn run_agent(
    state: AgentState,
    connections: Ring<ServiceStream>,
    news: Ring<EndpointNews>,
    leaving: ShutdownSignal,
) {
    let shared = SharedState {
        state: Rc::new(RefCell::new(state)),
        wake: Rc::new(Notify::new()),
    };
    spawn_local(serve_entries(connections, shared.clone()));
    spawn_local(await_leaving(leaving, shared.clone()));
    let mut tick_at = ClockMs(0);
    loop {
        let now = shared.state.borrow().now();
        if now >= tick_at {
            tick_at = now + TICK_MS;
            shared.state.borrow_mut().tick();
        }
        let next_due = shared.state.borrow().next_due();
        let wake_at = next_due.map_or(tick_at, |due| due.min(tick_at));
        tokio::select! {
            popped = news.pop() => {
                let Some(first) = popped else {
                    return;
                };
                shared.state.borrow_mut().take_news(first, &news);
            }
            () = shared.wake.notified() => {}
            () = sleep(Duration::from_millis(wake_at.since(now))) => {}
        }
        let now = shared.state.borrow().now();
        shared.state.borrow_mut().settle(now);
    }
}

async fn await_leaving(leaving: ShutdownSignal, shared: SharedState) {
    leaving.requested().await;
    shared.state.borrow_mut().begin_leaving();
}
