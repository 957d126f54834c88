//! The task that runs the link to one agent.

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

/// Maximum time for which an agent may delay the reply to a pull without progress (long poll).
const PULL_WAIT_MS: u64 = 100;
const TICK_MS: u64 = 25;
const RECONNECT_BACKOFF_MS: u64 = 250;
const CALL_TIMEOUT_MS: u64 = 10_000;

/// Configuration of a link.
#[derive(Clone, Debug)]
pub(crate) struct LinkConfig {
    /// Address of the RPC listener of the agent.
    pub(crate) address: SocketAddr,
    /// Id of the agent.
    pub(crate) agent: NodeId,
    /// Id of this entry.
    pub(crate) entry: NodeId,
    /// Silence after which the agent counts as lost, in milliseconds.
    pub(crate) silence_ms: u64,
}

/// Commands to a link.
#[derive(Debug)]
pub(crate) enum LinkCommand {
    /// Cancel an attempt and stop following it.
    Cancel(CancelRequest),
    /// Follow an attempt that already runs at the agent.
    Follow(PullCursor),
    /// Start an attempt and follow it.
    Start(Box<StartRequest>),
    /// Stop following an attempt without cancelling it.
    Unfollow(GenerationId),
}

/// Receives the events of a link. The sessions duty implements it through `LinkReporter`.
pub(crate) trait LinkOwner {
    /// A start was sent and its reply was lost. The attempt may be running, so the start must not
    /// be sent again.
    fn on_start_lost(&self, agent: &NodeId, id: GenerationId, lineage: Lineage);
    /// The agent replied to a start.
    fn on_started(&self, agent: &NodeId, id: GenerationId, lineage: Lineage, reply: StartReply);
    /// The agent replied to a pull with the progress of streams.
    fn on_pulled(&self, agent: &NodeId, reply: PullReply);
    /// The agent can't be reached or stayed silent.
    fn on_lost(&self, agent: &NodeId);
    /// The agent was reached again after it had been lost.
    fn on_reached(&self, agent: &NodeId);
}

/// The result of a call to the agent.
enum CallResult {
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
    /// The agent replied on this connection.
    Verified(AgentServiceClient),
    /// The connection was accepted, which does not prove yet that the agent is alive.
    Unverified(AgentServiceClient),
}

impl Connection {
    fn client(&self) -> Option<&AgentServiceClient> {
        match self {
            Self::Closed => None,
            Self::Verified(client) | Self::Unverified(client) => Some(client),
        }
    }

    fn verify(&mut self) {
        if let Self::Unverified(client) = self {
            *self = Self::Verified(client.clone());
        }
    }
}

struct Link<O> {
    calls: FuturesUnordered<LocalBoxFuture<'static, CallResult>>,
    commands: Ring<LinkCommand>,
    config: LinkConfig,
    connection: Connection,
    cursors: Cursors,
    is_main_pulling: bool,
    is_lost: bool,
    needs_backoff: bool,
    silence_meter: SilenceMeter,
    owner: O,
    pending_starts: IndexMap<GenerationId, PullCursor>,
}

/// Runs the link to one agent until its command ring is closed.
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
        needs_backoff: false,
        silence_meter: SilenceMeter::new(clock.now()),
        owner,
        pending_starts: IndexMap::new(),
    };
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        link.ensure_connected().await;
        link.pull_all();
        tokio::select! {
            biased;
            Some(result) = link.calls.next() => link.handle_result(result),
            command = link.commands.pop() => match command {
                Some(command) => link.handle_command(command),
                None => return,
            },
            _ = ticks.tick() => link.check_silence(clock.now()),
        }
    }
}

impl<O: LinkOwner> Link<O> {
    async fn ensure_connected(&mut self) {
        if self.connection.client().is_some() {
            return;
        }
        if std::mem::take(&mut self.needs_backoff) {
            sleep(Duration::from_millis(RECONNECT_BACKOFF_MS)).await;
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
                self.connection = Connection::Unverified(new.client);
                self.silence_meter.reset();
                if self.is_lost {
                    self.call_pull(Vec::new(), false);
                }
            }
            Err(error) => {
                self.mark_lost(&error);
            }
        }
    }

    /// Records a reply of the agent. Only a reply proves that the agent is alive, because a
    /// connection may be accepted by something else in front of a dead agent.
    fn record_reply(&mut self) {
        self.silence_meter.reset();
        self.connection.verify();
        if std::mem::take(&mut self.is_lost) {
            log_event!(info, events::AGENT_REACHED, agent = self.config.agent);
            self.owner.on_reached(&self.config.agent);
        }
    }

    fn handle_command(&mut self, command: LinkCommand) {
        match command {
            LinkCommand::Cancel(request) => {
                self.cursors.unfollow(request.id);
                self.pending_starts.swap_remove(&request.id);
                self.call_cancel(request);
            }
            LinkCommand::Follow(cursor) => self.follow(cursor),
            LinkCommand::Start(request) => self.call_start(*request),
            LinkCommand::Unfollow(id) => {
                self.cursors.unfollow(id);
                self.pending_starts.swap_remove(&id);
            }
        }
    }

    fn handle_result(&mut self, call: CallResult) {
        match call {
            CallResult::Cancelled => {}
            CallResult::Pulled { is_main, result } => {
                if is_main {
                    self.is_main_pulling = false;
                }
                match result {
                    Ok(reply) => self.handle_pull_reply(reply),
                    Err(_) => self.handle_broken_connection(),
                }
            }
            CallResult::Started {
                id,
                lineage,
                result,
            } => match result {
                Ok(reply) => self.handle_start_reply(id, lineage, reply),
                Err(_) => self.handle_broken_connection(),
            },
        }
    }

    fn handle_pull_reply(&mut self, reply: PullReply) {
        self.record_reply();
        for progress in &reply.progress {
            self.cursors.advance(progress);
        }
        self.owner.on_pulled(&self.config.agent, reply);
    }

    fn handle_start_reply(&mut self, id: GenerationId, lineage: Lineage, reply: StartReply) {
        self.record_reply();
        let is_pending = self
            .pending_starts
            .get(&id)
            .is_some_and(|cursor| cursor.lineage == lineage);
        if !is_pending {
            return;
        }
        let cursor = self.pending_starts.swap_remove(&id);
        let is_accepted = reply == StartReply::Accepted;
        self.owner
            .on_started(&self.config.agent, id, lineage, reply);
        if let Some(cursor) = cursor.filter(|_| is_accepted) {
            self.follow(cursor);
        }
    }

    /// Follows a stream. If the main pull is in flight, which does not contain the stream yet,
    /// pulls the stream separately at once.
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

    fn check_silence(&mut self, now: ClockMs) {
        let is_call_in_flight = !self.calls.is_empty();
        let silence_ms = self.silence_meter.tick(now, is_call_in_flight);
        if silence_ms >= self.config.silence_ms {
            self.disconnect();
            self.mark_lost(&io::Error::from(io::ErrorKind::TimedOut));
        }
    }

    /// Closes a broken connection. If the agent never replied on it, the agent counts as lost.
    /// Otherwise the link tries to reconnect first.
    fn handle_broken_connection(&mut self) {
        let is_verified = matches!(self.connection, Connection::Verified(_));
        self.disconnect();
        if !is_verified {
            self.mark_lost(&io::Error::from(io::ErrorKind::ConnectionReset));
        }
    }

    fn disconnect(&mut self) {
        self.connection = Connection::Closed;
        self.calls = FuturesUnordered::new();
        self.is_main_pulling = false;
        self.silence_meter.reset();
        self.abandon_starts();
    }

    /// Reports the starts whose replies were lost. They are not sent again, because they could
    /// reach a later incarnation of the agent, and one lineage would then run twice.
    fn abandon_starts(&mut self) {
        for (id, cursor) in std::mem::take(&mut self.pending_starts) {
            let agent = &self.config.agent;
            self.owner.on_start_lost(agent, id, cursor.lineage);
        }
    }

    fn mark_lost(&mut self, error: &io::Error) {
        self.cursors.clear();
        self.drop_commands();
        self.needs_backoff = true;
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

    /// Drops the queued commands to a lost agent, because the owner moves all its streams to other
    /// agents. Instead of a dropped cancel, the orphan timeout of the agent ends the attempt.
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
        self.pending_starts.insert(id, cursor);
        self.calls.push(Box::pin(async move {
            let result = client.start(call_context(CALL_TIMEOUT_MS), request).await;
            CallResult::Started {
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
            let result = client.pull(call_context(CALL_TIMEOUT_MS), request).await;
            CallResult::Pulled { is_main, result }
        }));
    }

    fn call_cancel(&mut self, request: CancelRequest) {
        let Some(client) = self.connection.client().cloned() else {
            return;
        };
        self.calls.push(Box::pin(async move {
            // If the cancel is lost, the orphan timeout of the agent ends the attempt.
            let _ = client.cancel(call_context(CALL_TIMEOUT_MS), request).await;
            CallResult::Cancelled
        }));
    }
}
