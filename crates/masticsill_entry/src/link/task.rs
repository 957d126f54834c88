//! The task that serves one agent's link.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use indexmap::IndexMap;
use masticsill_runtime::{Ring, call_context, connect_transport};
use masticsill_types::{
    ClockMs, GenerationId, Lineage, MonotonicClock, NodeId, TokenIndex, log_event,
};
use masticsill_wire::ServiceKind;
use masticsill_wire::agent::{
    AgentServiceClient, CancelRequest, PullCursor, PullReply, PullRequest, StartReply, StartRequest,
};
use tarpc::client::{self, RpcError};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::cursors::Cursors;
use super::silence::SilenceMeter;
use crate::events;

/// How long an agent may hold a pull without news, in milliseconds.
const PULL_WAIT_MS: u64 = 100;
const TICK_MS: u64 = 25;
const RECONNECT_PAUSE_MS: u64 = 250;
const CALL_DEADLINE_MS: u64 = 10_000;

/// What a link is told at its start.
#[derive(Clone, Debug)]
pub(crate) struct LinkConfig {
    /// Where the agent listens.
    pub(crate) address: SocketAddr,
    /// The agent.
    pub(crate) agent: NodeId,
    /// This entry.
    pub(crate) entry: NodeId,
    /// Silence after which the agent counts as lost, in milliseconds.
    pub(crate) silence_ms: u64,
}

/// What a link is asked to do.
#[derive(Debug)]
pub(crate) enum LinkCommand {
    /// End an attempt and follow it no more.
    Cancel(CancelRequest),
    /// Follow an attempt that runs at the agent.
    Follow(PullCursor),
    /// Start an attempt and follow it.
    Start(Box<StartRequest>),
    /// Follow an attempt no more, without ending it.
    Unfollow(GenerationId),
}

/// Takes what a link learns. The sessions duty implements it; tests use a small fake.
pub(crate) trait LinkOwner {
    /// A start was sent and its answer was lost: the attempt may run, and must not be sent again.
    fn on_start_lost(&self, agent: &NodeId, id: GenerationId, lineage: Lineage);
    /// An answer to a start.
    fn on_started(&self, agent: &NodeId, id: GenerationId, lineage: Lineage, reply: StartReply);
    /// News of streams.
    fn on_pulled(&self, agent: &NodeId, reply: PullReply);
    /// The agent can't be reached or stayed silent.
    fn on_lost(&self, agent: &NodeId);
    /// The agent was reached after it was lost.
    fn on_reached(&self, agent: &NodeId);
}

enum Done {
    Cancelled,
    Pulled {
        is_main: bool,
        result: Result<PullReply, RpcError>,
    },
    Started {
        id: GenerationId,
        lineage: Lineage,
        result: Result<StartReply, RpcError>,
    },
}

/// The connection to the agent.
enum Connection {
    Closed,
    /// It brought an answer.
    Proven(AgentServiceClient),
    /// It was accepted, which proves nothing yet.
    Unproven(AgentServiceClient),
}

impl Connection {
    fn client(&self) -> Option<&AgentServiceClient> {
        match self {
            Self::Closed => None,
            Self::Proven(client) | Self::Unproven(client) => Some(client),
        }
    }

    fn prove(&mut self) {
        if let Self::Unproven(client) = self {
            *self = Self::Proven(client.clone());
        }
    }
}

struct Link<O> {
    calls: FuturesUnordered<LocalBoxFuture<'static, Done>>,
    commands: Ring<LinkCommand>,
    config: LinkConfig,
    connection: Connection,
    cursors: Cursors,
    is_main_pulling: bool,
    is_lost: bool,
    is_pausing: bool,
    meter: SilenceMeter,
    owner: O,
    starts: IndexMap<GenerationId, PullCursor>,
}

/// Serves one agent's link until its ring is closed.
pub(crate) async fn run_link<O: LinkOwner>(
    config: LinkConfig,
    commands: Ring<LinkCommand>,
    clock: MonotonicClock,
    owner: O,
) {
    let mut link = Link {
        calls: FuturesUnordered::new(),
        commands,
        config,
        connection: Connection::Closed,
        cursors: Cursors::default(),
        is_main_pulling: false,
        is_lost: false,
        is_pausing: false,
        meter: SilenceMeter::new(clock.now()),
        owner,
        starts: IndexMap::new(),
    };
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        link.connect_if_needed().await;
        link.pull_all();
        tokio::select! {
            biased;
            Some(done) = link.calls.next() => link.take(done),
            command = link.commands.pop() => match command {
                Some(command) => link.obey(command),
                None => return,
            },
            _ = ticks.tick() => link.watch(clock.now()),
        }
    }
}

impl<O: LinkOwner> Link<O> {
    async fn connect_if_needed(&mut self) {
        if self.connection.client().is_some() {
            return;
        }
        if std::mem::take(&mut self.is_pausing) {
            sleep(Duration::from_millis(RECONNECT_PAUSE_MS)).await;
        }
        let transport = connect_transport(
            self.config.address,
            ServiceKind::Agent,
            self.config.silence_ms,
        );
        match transport.await {
            Ok(transport) => {
                let new = AgentServiceClient::new(client::Config::default(), transport);
                spawn_local(async move {
                    let _ = new.dispatch.await;
                });
                self.connection = Connection::Unproven(new.client);
                self.meter.reset();
                if self.is_lost {
                    self.call_pull(Vec::new(), false);
                }
            }
            Err(error) => {
                self.lose(&error);
            }
        }
    }

    /// Notes an answer. Only that proves an agent reached: what accepts a connection may stand
    /// before a dead one.
    fn note_reply(&mut self) {
        self.meter.reset();
        self.connection.prove();
        if std::mem::take(&mut self.is_lost) {
            log_event!(info, events::AGENT_REACHED, agent = self.config.agent);
            self.owner.on_reached(&self.config.agent);
        }
    }

    fn obey(&mut self, command: LinkCommand) {
        match command {
            LinkCommand::Cancel(request) => {
                self.cursors.unfollow(request.id);
                self.starts.swap_remove(&request.id);
                self.call_cancel(request);
            }
            LinkCommand::Follow(cursor) => self.follow(cursor),
            LinkCommand::Start(request) => self.call_start(*request),
            LinkCommand::Unfollow(id) => {
                self.cursors.unfollow(id);
                self.starts.swap_remove(&id);
            }
        }
    }

    fn take(&mut self, done: Done) {
        match done {
            Done::Cancelled => {}
            Done::Pulled { is_main, result } => {
                if is_main {
                    self.is_main_pulling = false;
                }
                match result {
                    Ok(reply) => self.take_reply(reply),
                    Err(_) => self.break_off(),
                }
            }
            Done::Started {
                id,
                lineage,
                result,
            } => match result {
                Ok(reply) => self.take_start(id, lineage, reply),
                Err(_) => self.break_off(),
            },
        }
    }

    fn take_reply(&mut self, reply: PullReply) {
        self.note_reply();
        for news in &reply.progress {
            self.cursors.advance(news);
        }
        self.owner.on_pulled(&self.config.agent, reply);
    }

    fn take_start(&mut self, id: GenerationId, lineage: Lineage, reply: StartReply) {
        self.note_reply();
        let is_awaited = self
            .starts
            .get(&id)
            .is_some_and(|cursor| cursor.lineage == lineage);
        if !is_awaited {
            return;
        }
        let cursor = self.starts.swap_remove(&id);
        let is_accepted = reply == StartReply::Accepted;
        self.owner
            .on_started(&self.config.agent, id, lineage, reply);
        if let Some(cursor) = cursor.filter(|_| is_accepted) {
            self.follow(cursor);
        }
    }

    /// Follows a stream, and asks for it at once when the main pull can't know of it.
    fn follow(&mut self, cursor: PullCursor) {
        self.cursors.follow(cursor);
        if self.is_main_pulling {
            self.call_pull(vec![cursor], false);
        }
    }

    fn pull_all(&mut self) {
        if self.is_main_pulling || self.cursors.is_empty() || self.connection.client().is_none() {
            return;
        }
        self.is_main_pulling = true;
        self.call_pull(self.cursors.to_vec(), true);
    }

    fn watch(&mut self, now: ClockMs) {
        let is_awaiting = !self.calls.is_empty();
        let silence_ms = self.meter.tick(now, is_awaiting);
        if silence_ms >= self.config.silence_ms {
            self.disconnect();
            self.lose(&io::Error::from(io::ErrorKind::TimedOut));
        }
    }

    /// Drops a broken connection. One that never brought an answer counts as the agent's loss; one
    /// that did is made again first.
    fn break_off(&mut self) {
        let is_proven = matches!(self.connection, Connection::Proven(_));
        self.disconnect();
        if !is_proven {
            self.lose(&io::Error::from(io::ErrorKind::ConnectionReset));
        }
    }

    fn disconnect(&mut self) {
        self.connection = Connection::Closed;
        self.calls = FuturesUnordered::new();
        self.is_main_pulling = false;
        self.meter.reset();
        self.lose_starts();
    }

    /// Gives up starts whose answers were lost. Sending one again could reach a later life of the
    /// agent, and one lineage would then have two runs.
    fn lose_starts(&mut self) {
        for (id, cursor) in std::mem::take(&mut self.starts) {
            let agent = &self.config.agent;
            self.owner.on_start_lost(agent, id, cursor.lineage);
        }
    }

    fn lose(&mut self, error: &io::Error) {
        self.cursors.clear();
        self.drop_commands();
        self.is_pausing = true;
        if !std::mem::replace(&mut self.is_lost, true) {
            log_event!(
                warn,
                events::AGENT_LOST,
                agent = self.config.agent,
                error = error
            );
        }
        self.owner.on_lost(&self.config.agent);
    }

    /// Drops what was asked of a lost agent: its owner moves every stream elsewhere.
    ///
    /// A cancel that is dropped is made up for by the agent's orphan timeout.
    fn drop_commands(&self) {
        while self.commands.try_pop().is_some() {}
    }

    fn call_start(&mut self, request: StartRequest) {
        let Some(client) = self.connection.client().cloned() else {
            return;
        };
        let Some(segment) = request.history.last() else {
            return;
        };
        let (id, lineage) = (request.spec.id, segment.lineage);
        let token_count = u32::try_from(request.accepted.len()).unwrap_or(u32::MAX);
        let cursor = PullCursor {
            id,
            lineage,
            next_index: TokenIndex(token_count),
        };
        self.starts.insert(id, cursor);
        self.calls.push(Box::pin(async move {
            let result = client.start(call_context(CALL_DEADLINE_MS), request).await;
            Done::Started {
                id,
                lineage,
                result,
            }
        }));
    }

    fn call_pull(&mut self, cursors: Vec<PullCursor>, is_main: bool) {
        let Some(client) = self.connection.client().cloned() else {
            return;
        };
        let request = PullRequest {
            cursors,
            entry: self.config.entry.clone(),
            wait_ms: PULL_WAIT_MS,
        };
        self.calls.push(Box::pin(async move {
            let result = client.pull(call_context(CALL_DEADLINE_MS), request).await;
            Done::Pulled { is_main, result }
        }));
    }

    fn call_cancel(&mut self, request: CancelRequest) {
        let Some(client) = self.connection.client().cloned() else {
            return;
        };
        self.calls.push(Box::pin(async move {
            // A lost cancel is made up for by the agent's orphan timeout.
            let _ = client.cancel(call_context(CALL_DEADLINE_MS), request).await;
            Done::Cancelled
        }));
    }
}
