//! The table of all sessions of an entry node, and the actions that they require.

use indexmap::IndexMap;
use masticsill_generation::Record;
use masticsill_routing::{Router, RouterConfig, WorkEnd, WorkOutcome};
use masticsill_types::{
    AttemptFailure, AttemptState, ClockMs, GenerationId, GenerationSpec, Lineage, LoadReport,
    NodeId, Refusal, RefusalKind, TokenIndex,
};
use masticsill_wire::agent::{
    CancelRequest, Progress, ProgressState, PullCursor, RecordSnapshot, StartReply, StartRequest,
};

use crate::caller::{AnswerSink, Caller, Delivery};
use crate::endpoint::{Endpoint, EndpointTable};
use crate::position::Position;
use crate::session::{Phase, Session};

/// Delay after which a refused caller may retry, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// Settings of a [`SessionTable`].
#[derive(Clone, Debug)]
pub struct SessionTableConfig {
    /// Maximum number of sessions.
    pub max_sessions: usize,
    /// The node id of this entry node.
    pub node: NodeId,
    /// How long a generation is kept after its caller disconnected, in milliseconds.
    pub reattach_ms: u64,
    /// The router's settings.
    pub router: RouterConfig,
    /// Seed of the router's random choices.
    pub seed: u64,
    /// How long a session may have no usable endpoint, in milliseconds.
    pub unserved_timeout_ms: u64,
}

/// A request for a generation.
#[derive(Debug)]
pub struct Submission {
    /// Receives the answer for the caller.
    pub sink: Box<dyn AnswerSink>,
    /// What to generate.
    pub spec: GenerationSpec,
}

/// An action that the owner of the table must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A queued plain call is placed at an agent, or refused without having run.
    CallPlaced(GenerationId, Result<NodeId, Refusal>),
    /// Cancel an attempt at an agent.
    Cancel(NodeId, CancelRequest),
    /// Pull the tokens of an attempt that already runs at an agent.
    Follow(NodeId, PullCursor),
    /// Ask every node that may hold a generation's record for it.
    Search(Position),
    /// Stop pulling an attempt's tokens, because another entry node now owns the generation.
    Unfollow(NodeId, GenerationId),
    /// Start an attempt at an agent, and pull its tokens once the agent has accepted it.
    Start(NodeId, Box<StartRequest>),
}

/// The result of a search for a generation's record.
#[derive(Debug)]
pub enum SearchResult {
    /// An agent that runs the generation returned its record.
    AtAgent(NodeId, RecordSnapshot),
    /// Another entry node released its record; no agent is known to run the generation.
    AtEntry(RecordSnapshot),
    /// No node holds a record that contains the part of the answer that the caller received.
    NotFound,
    /// No record was found, but a node that may hold it has not replied.
    Unsettled,
}

/// All sessions of an entry node.
#[derive(Debug)]
pub struct SessionTable {
    pub(crate) actions: Vec<Action>,
    pub(crate) config: SessionTableConfig,
    pub(crate) endpoints: EndpointTable,
    pub(crate) router: Router,
    pub(crate) searches: IndexMap<GenerationId, (Position, Box<dyn AnswerSink>)>,
    pub(crate) sessions: IndexMap<GenerationId, Session>,
}

impl SessionTable {
    /// An empty table.
    #[must_use]
    pub fn new(config: SessionTableConfig) -> Self {
        let router = Router::new(config.router.clone(), config.seed);
        Self {
            actions: Vec::new(),
            config,
            endpoints: EndpointTable::default(),
            router,
            searches: IndexMap::new(),
            sessions: IndexMap::new(),
        }
    }

    /// The known endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// Replaces the endpoints by the current membership.
    ///
    /// Returns the agents that left or have a new incarnation; [`SessionTable::incarnation_ended`]
    /// must be called for each.
    pub fn replace_endpoints(&mut self, members: IndexMap<NodeId, Endpoint>) -> Vec<NodeId> {
        self.endpoints.replace(members, &mut self.router)
    }

    /// The router, for updates of catalogue entries and of the entry nodes that share the
    /// endpoints.
    pub fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Passes a load report, received with an agent's tokens, to the router.
    pub fn record_load(&mut self, now: ClockMs, agent: &NodeId, load: LoadReport) {
        self.router.on_load_report(now, agent, load);
    }

    /// Takes the actions that have accumulated since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Starts a generation, or refuses it if the table is full; `nonce` must be random.
    pub fn submit(&mut self, now: ClockMs, submission: Submission, nonce: u32) {
        let Submission { sink, spec } = submission;
        let mut caller = Caller::new(sink, TokenIndex(0));
        if self.sessions.len() >= self.config.max_sessions {
            let refusal = Refusal::not_run(RefusalKind::Overloaded, "too many open generations");
            caller.refuse(refusal.retry_after(RETRY_AFTER_MS));
            return;
        }
        let id = spec.id;
        let record = Record::new(spec, nonce);
        self.sessions.insert(id, Session::new(record, caller, now));
        self.place(now, id);
    }

    /// Handles an agent's reply to the start of an attempt. An attempt that is no longer expected
    /// is cancelled.
    pub fn start_replied(
        &mut self,
        now: ClockMs,
        agent: &NodeId,
        id: GenerationId,
        lineage: Lineage,
        reply: &StartReply,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            self.send_cancel(agent, id, lineage);
            return;
        };
        let is_awaited = session.phase == Phase::Starting(agent.clone());
        if !is_awaited || session.record.lineage() != lineage {
            self.send_cancel(agent, id, lineage);
            return;
        }
        match reply {
            StartReply::Accepted => {
                session.is_dispatched = true;
                session.phase = Phase::Following(agent.clone());
            }
            StartReply::Fenced(_) => self.refuse(now, id, superseded()),
            StartReply::Refused(_) => self.fail_over(now, id, WorkOutcome::Failed),
        }
    }

    /// Handles the loss of the reply to a start. The attempt may be running, so the start is not
    /// sent again: the next attempt gets a new lineage.
    pub fn start_reply_lost(
        &mut self,
        now: ClockMs,
        agent: &NodeId,
        id: GenerationId,
        lineage: Lineage,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let is_awaited = session.phase == Phase::Starting(agent.clone());
        if is_awaited && session.record.lineage() == lineage {
            session.is_dispatched = true;
            self.fail_over(now, id, WorkOutcome::Failed);
        }
    }

    /// Handles new tokens and the state of an attempt, as pulled from its agent.
    pub fn progress(&mut self, now: ClockMs, agent: &NodeId, update: Progress) {
        let Some(session) = self.sessions.get_mut(&update.id) else {
            return;
        };
        if !session.is_at(agent) || session.record.lineage() != update.lineage {
            return;
        }
        let id = update.id;
        let end_index =
            update.first_index.0 + u32::try_from(update.tokens.len()).unwrap_or(u32::MAX);
        let taken = session
            .record
            .append_tokens(update.lineage, update.first_index, update.tokens);
        if taken.accepted > 0 {
            session.failures = 0;
            session.tried_agents.clear();
            session.unserved_since = None;
        }
        match update.state {
            ProgressState::Attempt(AttemptState::Running) => self.deliver(now, id),
            ProgressState::Attempt(AttemptState::Finished(reason)) => {
                let end = AttemptState::Finished(reason);
                let end_index = TokenIndex(end_index);
                if session.record.end_attempt(update.lineage, end_index, end) {
                    self.finish(now, id);
                }
            }
            ProgressState::Attempt(AttemptState::Failed(failure)) => {
                self.deliver(now, id);
                self.fail_over(now, id, outcome_of_failure(failure));
            }
            ProgressState::Unknown => {
                self.deliver(now, id);
                self.fail_over(now, id, WorkOutcome::Failed);
            }
            ProgressState::Fenced(_) => self.refuse(now, id, superseded()),
        }
    }

    /// Marks an agent that can't be reached or does not answer as down, and moves all its attempts
    /// to other agents.
    pub fn agent_lost(&mut self, now: ClockMs, agent: &NodeId) {
        self.router.set_unreachable(agent, true);
        self.incarnation_ended(now, agent);
    }

    /// Moves all attempts away from an agent whose incarnation has ended. A new incarnation of the
    /// same agent may get them again.
    pub fn incarnation_ended(&mut self, now: ClockMs, agent: &NodeId) {
        let is_at_agent = |session: &&Session| session.is_at(agent);
        let lost = self.sessions.values().filter(is_at_agent);
        let ids: Vec<GenerationId> = lost.map(|session| session.record.id()).collect();
        for id in ids {
            self.record_dispatched(id);
            self.fail_over(now, id, WorkOutcome::Failed);
        }
        self.start_unserved_timeouts(now);
    }

    /// Marks an agent as reachable, so that it gets new work again.
    pub fn agent_reachable(&mut self, agent: &NodeId) {
        self.router.set_unreachable(agent, false);
    }

    /// Handles the passing of time: retries delivery to sinks that were full, removes sessions
    /// without a caller, and retries or refuses waiting sessions.
    pub fn tick(&mut self, now: ClockMs) {
        let ids: Vec<GenerationId> = self.sessions.keys().copied().collect();
        for id in ids {
            self.deliver(now, id);
            self.expire_session(now, id);
        }
        self.dispatch_queued(now);
    }

    pub(crate) fn send_cancel(&mut self, agent: &NodeId, id: GenerationId, lineage: Lineage) {
        let request = CancelRequest { id, lineage };
        self.actions.push(Action::Cancel(agent.clone(), request));
    }

    pub(crate) fn deliver(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(caller) = &mut session.caller else {
            return;
        };
        match caller.deliver(&session.record, session.holder) {
            Delivery::Open => {}
            Delivery::Complete | Delivery::Gone => {
                session.caller = None;
                session.last_activity_at = now;
            }
        }
    }

    pub(crate) fn finish(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let end = WorkEnd {
            outcome: WorkOutcome::Completed,
            tokens: session.attempt_tokens(),
        };
        self.router.on_finished(now, id, end);
        session.phase = Phase::Ended;
        session.last_activity_at = now;
        self.deliver(now, id);
    }

    pub(crate) fn refuse(&mut self, now: ClockMs, id: GenerationId, refusal: Refusal) {
        self.cancel_attempt(now, id, WorkOutcome::Cancelled);
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.phase = Phase::Ended;
        session.last_activity_at = now;
        if let Some(caller) = &mut session.caller {
            caller.refuse(refusal.clone());
        }
        session.refusal = Some(refusal);
    }

    fn expire_session(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.caller.is_none() && now - session.last_activity_at >= self.config.reattach_ms {
            self.cancel_attempt(now, id, WorkOutcome::Cancelled);
            self.sessions.swap_remove(&id);
            return;
        }
        if session.phase == Phase::Waiting {
            self.check_wait(now, id);
        }
    }

    /// Records that an attempt may have reached its engine.
    fn record_dispatched(&mut self, id: GenerationId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.is_dispatched = true;
        }
    }
}

fn outcome_of_failure(failure: AttemptFailure) -> WorkOutcome {
    match failure {
        AttemptFailure::Leaving | AttemptFailure::Cancelled => WorkOutcome::Cancelled,
        AttemptFailure::EngineLost
        | AttemptFailure::EngineFrozen
        | AttemptFailure::EngineRefused
        | AttemptFailure::VersionMissing => WorkOutcome::Failed,
    }
}

pub(crate) fn superseded() -> Refusal {
    Refusal::failed(
        RefusalKind::Superseded,
        "the generation goes on for a newer connection of its caller",
    )
}
