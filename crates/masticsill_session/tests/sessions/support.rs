//! A session table with fake agents, and sinks that record the items offered to them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use masticsill_routing::{
    BackEndTarget, EndpointDescription, EntryPolicy, LocalLimits, RouterConfig,
};
use masticsill_session::{
    Action, AnswerSink, Endpoint, Position, SessionTable, SessionTableConfig, StreamItem,
    Submission,
};
use masticsill_types::{
    AttemptState, Class, ClockMs, EndpointKind, EntryId, GenerationId, GenerationSpec, Incarnation,
    ModelId, ModelTarget, NodeId, RefusalKind, RefusedOutcome, Sampling, Token, TokenIndex,
    VersionId, WorkspaceId, ZoneId,
};
use masticsill_wire::agent::{Progress, ProgressState, StartReply, StartRequest};

pub(crate) const REATTACH_MS: u64 = 1_000;
pub(crate) const UNSERVED_TIMEOUT_MS: u64 = 3_000;

#[derive(Debug)]
struct SinkState {
    is_closed: Cell<bool>,
    items: RefCell<Vec<StreamItem>>,
    room: Cell<usize>,
}

/// A caller's sink that accepts up to `room` items.
#[derive(Clone, Debug)]
pub(crate) struct FakeSink(Rc<SinkState>);

impl FakeSink {
    pub(crate) fn new(room: usize) -> Self {
        Self(Rc::new(SinkState {
            is_closed: Cell::new(false),
            items: RefCell::new(Vec::new()),
            room: Cell::new(room),
        }))
    }

    pub(crate) fn close(&self) {
        self.0.is_closed.set(true);
    }

    pub(crate) fn add_room(&self, room: usize) {
        self.0.room.set(self.0.room.get() + room);
    }

    pub(crate) fn text(&self) -> String {
        let items = self.0.items.borrow();
        let texts = items.iter().filter_map(|item| match item {
            StreamItem::Text { text, .. } => Some(text.as_str()),
            StreamItem::Finished { .. } | StreamItem::Refused(_) => None,
        });
        texts.collect()
    }

    pub(crate) fn position(&self) -> Position {
        let items = self.0.items.borrow();
        let mut positions = items.iter().rev().filter_map(|item| match item {
            StreamItem::Text { position, .. } => Some(*position),
            StreamItem::Finished { .. } | StreamItem::Refused(_) => None,
        });
        positions.next().expect("some text was delivered")
    }

    pub(crate) fn is_finished(&self) -> bool {
        let items = self.0.items.borrow();
        matches!(items.last(), Some(StreamItem::Finished { .. }))
    }

    pub(crate) fn refusal(&self) -> Option<(RefusedOutcome, RefusalKind)> {
        match self.0.items.borrow().last() {
            Some(StreamItem::Refused(refusal)) => Some((refusal.outcome, refusal.kind)),
            _ => None,
        }
    }
}

impl AnswerSink for FakeSink {
    fn offer(&self, item: StreamItem) -> Result<(), StreamItem> {
        if self.0.room.get() == 0 || self.0.is_closed.get() {
            return Err(item);
        }
        self.0.room.set(self.0.room.get() - 1);
        self.0.items.borrow_mut().push(item);
        Ok(())
    }

    fn is_closed(&self) -> bool {
        self.0.is_closed.get()
    }
}

/// A session table, by default with the agents `a` and `b`, and the current time.
pub(crate) struct Fixture {
    pub(crate) table: SessionTable,
    pub(crate) now: ClockMs,
}

impl Fixture {
    pub(crate) fn new() -> Self {
        let mut fixture = Self::without_agents();
        fixture.set_agents(&["a", "b"], 4);
        fixture
    }

    pub(crate) fn without_agents() -> Self {
        let mut table = SessionTable::new(SessionTableConfig {
            max_sessions: 4,
            node: node("entry"),
            reattach_ms: REATTACH_MS,
            router: RouterConfig::in_zone(zone()),
            seed: 1,
            unserved_timeout_ms: UNSERVED_TIMEOUT_MS,
        });
        let now = ClockMs(1_000);
        table
            .router_mut()
            .set_entry(now, &spec().catalogue_entry, policy());
        Self { table, now }
    }

    /// Replaces the agents by the first incarnations of those named.
    pub(crate) fn set_agents(&mut self, names: &[&str], slots: u32) {
        let members = names.iter().map(|name| (node(name), endpoint(slots)));
        self.replace_agents(members.collect());
    }

    /// Replaces all agents by the second incarnation of one agent.
    pub(crate) fn restart_agent(&mut self, name: &str, slots: u32) {
        let mut restarted = endpoint(slots);
        restarted.description.incarnation = Incarnation(2);
        self.replace_agents(IndexMap::from([(node(name), restarted)]));
    }

    fn replace_agents(&mut self, members: IndexMap<NodeId, Endpoint>) {
        for lost in self.table.replace_endpoints(members) {
            self.table.incarnation_ended(self.now, &lost);
        }
    }

    pub(crate) fn submit(&mut self, sink: &FakeSink) {
        self.submit_spec(sink, spec());
    }

    pub(crate) fn submit_spec(&mut self, sink: &FakeSink, spec: GenerationSpec) {
        let submission = Submission {
            sink: Box::new(sink.clone()),
            spec,
        };
        self.table.submit(self.now, submission, 7);
        self.table.dispatch_queued(self.now);
    }

    /// Takes the attempts started since the last call; other actions are dropped.
    pub(crate) fn take_started(&mut self) -> Vec<Started> {
        let actions = self.table.take_actions().into_iter();
        let take_starts = actions.filter_map(|action| match action {
            Action::Start(agent, request) => Some((agent, *request)),
            _ => None,
        });
        take_starts.collect()
    }

    /// As [`Fixture::take_started`], but returns only the agents and generations.
    pub(crate) fn take_starts(&mut self) -> Vec<(NodeId, u128)> {
        let started = self.take_started().into_iter();
        started
            .map(|(agent, request)| (agent, request.spec.id.0))
            .collect()
    }

    /// Takes the first attempt started since the last call, with its agent.
    pub(crate) fn take_start(&mut self) -> Started {
        let mut take_starts = self.take_started().into_iter();
        take_starts.next().expect("an attempt is started")
    }

    pub(crate) fn reply(&mut self, started: &Started, reply: &StartReply) {
        let (agent, request) = started;
        let lineage = request.history.last().expect("a history").lineage;
        let id = request.spec.id;
        self.table
            .start_replied(self.now, agent, id, lineage, reply);
    }

    pub(crate) fn accept(&mut self, started: &Started) {
        self.reply(started, &StartReply::Accepted);
    }

    pub(crate) fn push_progress(
        &mut self,
        started: &Started,
        first_index: u32,
        tokens: &[&[u8]],
        state: AttemptState,
    ) {
        let (agent, request) = started;
        let update = Progress {
            first_index: TokenIndex(first_index),
            id: request.spec.id,
            lineage: request.history.last().expect("a history").lineage,
            state: ProgressState::Attempt(state),
            tokens: tokens.iter().map(|bytes| token(bytes)).collect(),
        };
        self.table.progress(self.now, agent, update);
    }

    pub(crate) fn advance(&mut self, duration_ms: u64) {
        self.now = self.now + duration_ms;
        self.table.tick(self.now);
    }
}

/// The agent and the start request of an attempt.
pub(crate) type Started = (NodeId, StartRequest);

pub(crate) fn node(name: &str) -> NodeId {
    NodeId::new(name).expect("a valid name")
}

fn token(bytes: &[u8]) -> Token {
    Token {
        id: u32::from(bytes[0]),
        bytes: bytes.to_vec(),
    }
}

fn target() -> ModelTarget {
    ModelTarget {
        adapter: None,
        model: ModelId::new("planner").expect("a valid name"),
        version: VersionId::new("v1").expect("a valid name"),
    }
}

pub(crate) fn spec() -> GenerationSpec {
    GenerationSpec {
        catalogue_entry: EntryId::new("layout").expect("a valid name"),
        class: Class::PatientDraft,
        id: GenerationId(5),
        prompt: "plan".to_owned(),
        sampling: Sampling {
            max_tokens: 100,
            seed: 1,
            temperature_milli: 1_000,
            top_p_milli: 1_000,
        },
        target: target(),
        workspace: WorkspaceId::new("layouts").expect("a valid name"),
    }
}

fn zone() -> ZoneId {
    ZoneId::new("muc-a").expect("a valid name")
}

fn policy() -> EntryPolicy {
    EntryPolicy {
        class: Class::PatientDraft,
        limits: LocalLimits::default(),
        target: BackEndTarget::Engine(target()),
        zones: Vec::new(),
    }
}

fn endpoint(slots: u32) -> Endpoint {
    Endpoint {
        address: "127.0.0.1:1".parse().expect("an address"),
        description: EndpointDescription {
            held_until: ClockMs(0),
            incarnation: Incarnation(1),
            is_leaving: false,
            kind: EndpointKind::Engine {
                loaded: vec![target()],
                slots,
                is_checking_fencing: true,
            },
            zone: zone(),
        },
    }
}
