//! Every session of this entry, and what is to be done for them.

use indexmap::{IndexMap, IndexSet};
use masticsill_generation::Record;
use masticsill_types::{
    AttemptState, ClockMs, GenerationId, GenerationSpec, Lineage, NodeId, Refusal, RefusalKind,
    TokenIndex,
};
use masticsill_wire::agent::{
    AttachReply, AttachRequest, CancelRequest, Progress, ProgressState, PullCursor, RecordSnapshot,
    StartReply, StartRequest,
};

use crate::caller::{AnswerSink, Caller, Delivery};
use crate::endpoint::EndpointTable;
use crate::position::Position;
use crate::session::{Phase, Session};

/// When a refused caller may come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;
/// Pause between searches for an endpoint, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 200;

/// Bounds of a [`SessionBook`].
#[derive(Clone, Debug)]
pub struct BookConfig {
    /// Sessions at most.
    pub max_sessions: usize,
    /// The entry's name.
    pub node: NodeId,
    /// How long a generation outlives its caller's connection, in milliseconds.
    pub reattach_ms: u64,
    /// How long a session may be without an endpoint, in milliseconds.
    pub waiting_ms: u64,
}

/// An admitted request.
#[derive(Debug)]
pub struct Submission {
    /// Where the caller's answer goes.
    pub sink: Box<dyn AnswerSink>,
    /// What to generate.
    pub spec: GenerationSpec,
}

/// What the sessions duty is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// End an attempt at an agent.
    Cancel(NodeId, CancelRequest),
    /// Follow an attempt that runs at an agent already.
    Follow(NodeId, PullCursor),
    /// Ask every possible holder for a generation.
    Search(Position),
    /// Follow an attempt no more; its new owner does.
    Unfollow(NodeId, GenerationId),
    /// Start an attempt at an agent; once accepted it is followed.
    Start(NodeId, Box<StartRequest>),
}

/// What a search for a generation brought.
#[derive(Debug)]
pub enum Found {
    /// An agent handed its running record over.
    AtAgent(NodeId, RecordSnapshot),
    /// Another entry gave its record up; its agent is not known to run.
    AtEntry(RecordSnapshot),
    /// Nobody holds a record that contains what the caller saw.
    Nowhere,
}

/// Every session of this entry.
#[derive(Debug)]
pub struct SessionBook {
    actions: Vec<Action>,
    config: BookConfig,
    endpoints: EndpointTable,
    searches: IndexMap<GenerationId, (Position, Box<dyn AnswerSink>)>,
    sessions: IndexMap<GenerationId, Session>,
}

impl SessionBook {
    /// An empty book.
    #[must_use]
    pub fn new(config: BookConfig) -> Self {
        Self {
            actions: Vec::new(),
            config,
            endpoints: EndpointTable::default(),
            searches: IndexMap::new(),
            sessions: IndexMap::new(),
        }
    }

    /// The endpoints known.
    #[must_use]
    pub fn endpoints(&self) -> &EndpointTable {
        &self.endpoints
    }

    /// The endpoints known, to be changed.
    pub fn endpoints_mut(&mut self) -> &mut EndpointTable {
        &mut self.endpoints
    }

    /// Takes what is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Begins a generation; `nonce` is random.
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

    /// Continues a generation for a caller that came back.
    pub fn reattach(&mut self, now: ClockMs, position: Position, sink: Box<dyn AnswerSink>) {
        let Some(session) = self.sessions.get_mut(&position.id) else {
            self.search(position, sink);
            return;
        };
        let mut caller = Caller::new(sink, position.next_index);
        if !session
            .record
            .continues(position.lineage, position.next_index)
        {
            caller.refuse(record_lost());
            return;
        }
        if let Some(refusal) = session.refusal.clone() {
            caller.refuse(refusal);
            return;
        }
        if let Some(mut former) = session.caller.replace(caller) {
            former.refuse(superseded());
        }
        session.since = now;
        self.deliver(now, position.id);
    }

    /// Takes an agent's answer to a start.
    pub fn start_replied(
        &mut self,
        now: ClockMs,
        agent: &NodeId,
        id: GenerationId,
        lineage: Lineage,
        reply: &StartReply,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            self.cancel_at(agent, id, lineage);
            return;
        };
        let is_awaited = session.phase == Phase::Starting(agent.clone());
        if !is_awaited || session.record.lineage() != lineage {
            self.cancel_at(agent, id, lineage);
            return;
        }
        match reply {
            StartReply::Accepted => {
                session.is_dispatched = true;
                session.phase = Phase::Following(agent.clone());
            }
            StartReply::Fenced(_) => self.refuse(now, id, superseded()),
            StartReply::Refused(_) => self.move_on(now, id),
        }
    }

    /// Takes the loss of a start's answer: the attempt may run, so the next one is another.
    pub fn start_lost(&mut self, now: ClockMs, agent: &NodeId, id: GenerationId, lineage: Lineage) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let is_awaited = session.phase == Phase::Starting(agent.clone());
        if is_awaited && session.record.lineage() == lineage {
            session.is_dispatched = true;
            self.move_on(now, id);
        }
    }

    /// Takes news of a stream.
    pub fn progress(&mut self, now: ClockMs, agent: &NodeId, news: Progress) {
        let Some(session) = self.sessions.get_mut(&news.id) else {
            return;
        };
        if !session.is_at(agent) || session.record.lineage() != news.lineage {
            return;
        }
        let id = news.id;
        let end_index = news.first_index.0 + u32::try_from(news.tokens.len()).unwrap_or(u32::MAX);
        let taken = session
            .record
            .take(news.lineage, news.first_index, news.tokens);
        if taken.accepted > 0 {
            session.tried.clear();
            session.unserved_since = None;
        }
        match news.state {
            ProgressState::Attempt(AttemptState::Running) => self.deliver(now, id),
            ProgressState::Attempt(AttemptState::Finished(reason)) => {
                let end = AttemptState::Finished(reason);
                let end_index = TokenIndex(end_index);
                if session.record.conclude(news.lineage, end_index, end) {
                    self.finish(now, id);
                }
            }
            ProgressState::Attempt(AttemptState::Failed(_)) | ProgressState::Unknown => {
                self.deliver(now, id);
                self.move_on(now, id);
            }
            ProgressState::Fenced(_) => self.refuse(now, id, superseded()),
        }
    }

    /// Moves every stream away from an agent that can't be reached or stayed silent.
    pub fn agent_lost(&mut self, now: ClockMs, agent: &NodeId) {
        self.endpoints.set_down(agent, true);
        let is_there = |session: &&Session| session.is_at(agent);
        let lost = self.sessions.values().filter(is_there);
        let ids: Vec<GenerationId> = lost.map(|session| session.record.id()).collect();
        for id in ids {
            self.note_dispatched(id);
            self.move_on(now, id);
        }
    }

    /// Lets an agent take new work again.
    pub fn agent_reached(&mut self, agent: &NodeId) {
        self.endpoints.set_down(agent, false);
    }

    /// Takes the result of a search.
    pub fn found(&mut self, now: ClockMs, id: GenerationId, found: Found) {
        let Some((position, sink)) = self.searches.swap_remove(&id) else {
            return;
        };
        let mut caller = Caller::new(sink, position.next_index);
        let (agent, snapshot) = match found {
            Found::AtAgent(agent, snapshot) => (Some(agent), snapshot),
            Found::AtEntry(snapshot) => (None, snapshot),
            Found::Nowhere => {
                caller.refuse(record_lost());
                return;
            }
        };
        let Ok(record) = Record::from_snapshot(snapshot) else {
            caller.refuse(record_lost());
            return;
        };
        let mut session = Session::new(record, caller, now);
        session.is_dispatched = true;
        self.sessions.insert(id, session);
        self.resume_found(now, id, agent);
    }

    /// Gives a generation up to another entry, to which its caller came back.
    pub fn release(&mut self, request: &AttachRequest) -> AttachReply {
        let Some(session) = self.sessions.get_mut(&request.id) else {
            return AttachReply::Unknown;
        };
        if !session.record.continues(request.seen, request.next_index) {
            return AttachReply::Behind;
        }
        session.record.change_owner(request.nonce);
        let snapshot = session.record.snapshot();
        if let Some(mut caller) = session.caller.take() {
            caller.refuse(superseded());
        }
        // The attempt is not cancelled: its new owner may go on with it.
        if let Some(agent) = session.agent().cloned() {
            self.endpoints.end(&agent);
            self.actions.push(Action::Unfollow(agent, request.id));
        }
        self.sessions.swap_remove(&request.id);
        AttachReply::Attached(Box::new(snapshot))
    }

    /// Does what time asks for: full sinks, callers gone, sessions without an endpoint.
    pub fn tick(&mut self, now: ClockMs) {
        let ids: Vec<GenerationId> = self.sessions.keys().copied().collect();
        for id in ids {
            self.deliver(now, id);
            self.expire(now, id);
        }
    }

    fn search(&mut self, position: Position, sink: Box<dyn AnswerSink>) {
        let former = self.searches.insert(position.id, (position, sink));
        match former {
            Some((seen, sink)) => Caller::new(sink, seen.next_index).refuse(superseded()),
            None => self.actions.push(Action::Search(position)),
        }
    }

    fn resume_found(&mut self, now: ClockMs, id: GenerationId, agent: Option<NodeId>) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match (session.record.state(), agent) {
            (AttemptState::Finished(_), _) => self.finish(now, id),
            (AttemptState::Running, Some(agent)) => {
                let cursor = PullCursor {
                    id,
                    lineage: session.record.lineage(),
                    next_index: session.record.next_index(),
                };
                session.phase = Phase::Following(agent.clone());
                self.endpoints.begin(&agent);
                self.actions.push(Action::Follow(agent, cursor));
                self.deliver(now, id);
            }
            (AttemptState::Running | AttemptState::Failed(_), _) => {
                session.record.begin_attempt();
                self.place(now, id);
                self.deliver(now, id);
            }
        }
    }

    fn place(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let target = &session.record.spec().target;
        let Some(agent) = self.endpoints.choose_engine(target, &session.tried) else {
            session.phase = Phase::Waiting;
            session.retry_at = now + RETRY_INTERVAL_MS;
            return;
        };
        let request = session.record.start_request(self.config.node.clone());
        session.phase = Phase::Starting(agent.clone());
        self.endpoints.begin(&agent);
        self.actions.push(Action::Start(agent, Box::new(request)));
    }

    /// Leaves the current agent and begins the next attempt elsewhere.
    fn move_on(&mut self, now: ClockMs, id: GenerationId) {
        let agent = self.leave_agent(id);
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.tried.extend(agent);
        session.unserved_since.get_or_insert(now);
        session.record.begin_attempt();
        self.place(now, id);
    }

    /// Ends the attempt at the session's agent, if any, and returns that agent.
    fn leave_agent(&mut self, id: GenerationId) -> Option<NodeId> {
        let session = self.sessions.get_mut(&id)?;
        let agent = session.agent()?.clone();
        let lineage = session.record.lineage();
        self.endpoints.end(&agent);
        self.cancel_at(&agent, id, lineage);
        Some(agent)
    }

    fn cancel_at(&mut self, agent: &NodeId, id: GenerationId, lineage: Lineage) {
        let request = CancelRequest { id, lineage };
        self.actions.push(Action::Cancel(agent.clone(), request));
    }

    fn deliver(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(caller) = &mut session.caller else {
            return;
        };
        match caller.deliver(&session.record) {
            Delivery::Open => {}
            Delivery::Complete | Delivery::Gone => {
                session.caller = None;
                session.since = now;
            }
        }
    }

    fn finish(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Some(agent) = session.agent() {
            self.endpoints.end(agent);
        }
        session.phase = Phase::Ended;
        session.since = now;
        self.deliver(now, id);
    }

    fn refuse(&mut self, now: ClockMs, id: GenerationId, refusal: Refusal) {
        self.leave_agent(id);
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.phase = Phase::Ended;
        session.since = now;
        if let Some(caller) = &mut session.caller {
            caller.refuse(refusal.clone());
        }
        session.refusal = Some(refusal);
    }

    fn expire(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.caller.is_none() && now - session.since >= self.config.reattach_ms {
            self.leave_agent(id);
            self.sessions.swap_remove(&id);
            return;
        }
        if session.phase != Phase::Waiting {
            return;
        }
        let unserved_since = *session.unserved_since.get_or_insert(now);
        if now - unserved_since >= self.config.waiting_ms {
            let refusal = explain_no_endpoint(&self.endpoints, session);
            self.refuse(now, id, refusal);
        } else if now >= session.retry_at {
            session.tried = IndexSet::new();
            self.place(now, id);
        }
    }

    /// Notes that an attempt may have reached its engine.
    fn note_dispatched(&mut self, id: GenerationId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.is_dispatched = true;
        }
    }
}

fn explain_no_endpoint(endpoints: &EndpointTable, session: &Session) -> Refusal {
    let target = &session.record.spec().target;
    let detail = format!("no endpoint can run {} {}", target.model, target.version);
    let refusal = if !session.is_dispatched {
        Refusal::not_run(RefusalKind::NoEndpoint, detail)
    } else if session.is_untouched() || endpoints.has_model(target) {
        Refusal::failed(RefusalKind::BackEndFailed, detail)
    } else {
        Refusal::failed(RefusalKind::VersionGone, detail)
    };
    refusal.retry_after(RETRY_AFTER_MS)
}

fn superseded() -> Refusal {
    Refusal::failed(
        RefusalKind::Superseded,
        "the generation goes on for a newer connection of its caller",
    )
}

fn record_lost() -> Refusal {
    Refusal::failed(
        RefusalKind::RecordLost,
        "no record contains the part of the answer that was received",
    )
}
