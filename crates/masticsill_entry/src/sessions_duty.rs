//! The duty that owns all sessions of this entry, and the links to agents.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_membership::{Member, MemberState, Role};
use masticsill_mesh::MeshHandle;
use masticsill_routing::{
    AdmitDecision, EndpointDescription, RouterConfig, WorkOutcome, WorkRequest,
};
use masticsill_runtime::{Metrics, Ring};
use masticsill_session::{
    Action, AnswerSink, Endpoint, Position, SearchResult, SessionTable, SessionTableConfig,
    StreamItem, Submission,
};
use masticsill_types::{
    ClockMs, GenerationId, GenerationSpec, Incarnation, MonotonicClock, NodeId, Refusal,
    RefusalKind, log_event,
};
use masticsill_wire::agent::{AttachReply, AttachRequest, CallAnswer};
use rand::Rng;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use crate::answer_ring::AnswerRing;
use crate::calls::{PlainCall, run_call};
use crate::config::EntryConfig;
use crate::events;
use crate::link::{LinkCommand, LinkConfig, run_link};
use crate::link_reporter::LinkReporter;
use crate::policies::{Policies, find_seat};
use crate::search::search_holders;

/// Work that other duties hand over and that waits here at most.
pub(crate) const INPUT_RING_ITEMS: usize = 16_384;
const LINK_RING_ITEMS: usize = 8_192;
const MAX_SESSIONS: usize = 20_000;
/// How long a generation may be without an endpoint before its final answer, in milliseconds.
const WAITING_MS: u64 = 4_000;
const TICK_MS: u64 = 20;
/// Ticks between looks at the members without news, so that held-back endpoints come into use.
const REFRESH_TICKS: u64 = 25;
/// Inputs taken before time and links get their turn.
const INPUT_BATCH: usize = 256;

/// What other duties hand to the sessions duty.
#[derive(Debug)]
pub(crate) enum SessionInput {
    /// A call of a plain service.
    Call(PlainCall, oneshot::Sender<Result<CallAnswer, Refusal>>),
    /// A caller that came back.
    Reattach(Position, AnswerRing),
    /// Another entry asks for a generation.
    Release(AttachRequest, oneshot::Sender<AttachReply>),
    /// An admitted generation.
    Submit(Box<GenerationSpec>, AnswerRing),
}

/// What the duty, its links and its calls share; all run on the duty's thread.
#[derive(Debug)]
pub(crate) struct Sessions {
    book: RefCell<SessionTable>,
    /// The process's clock.
    pub(crate) clock: MonotonicClock,
    /// The entry's configuration.
    pub(crate) config: Rc<EntryConfig>,
    links: RefCell<IndexMap<NodeId, Ring<LinkCommand>>>,
    /// Membership and catalogue.
    pub(crate) mesh: MeshHandle,
    metrics: Metrics,
    policies: RefCell<Policies>,
    ticks: Cell<u64>,
    /// Plain calls that wait for a place.
    waiting_calls: RefCell<IndexMap<GenerationId, oneshot::Sender<Result<NodeId, Refusal>>>>,
}

/// Runs the duty until its ring is closed and no session is open.
pub(crate) async fn run_sessions(
    config: EntryConfig,
    inputs: Ring<SessionInput>,
    mesh: MeshHandle,
    metrics: Metrics,
    clock: MonotonicClock,
) {
    let book_config = SessionTableConfig {
        max_sessions: MAX_SESSIONS,
        node: config.node.clone(),
        reattach_ms: config.reattach_ms,
        router: RouterConfig::in_zone(config.zone.clone()),
        seed: rand::rng().random(),
        unserved_timeout_ms: WAITING_MS,
    };
    let sessions = Rc::new(Sessions {
        book: RefCell::new(SessionTable::new(book_config)),
        clock,
        config: Rc::new(config),
        links: RefCell::new(IndexMap::new()),
        mesh: mesh.clone(),
        metrics,
        policies: RefCell::default(),
        ticks: Cell::new(0),
        waiting_calls: RefCell::default(),
    });
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    sessions.refresh_members();
    loop {
        tokio::select! {
            input = inputs.pop() => match input {
                Some(input) => sessions.take_batch(input, &inputs),
                None => return,
            },
            () = mesh.changed() => sessions.refresh_members(),
            _ = ticks.tick() => sessions.tick(),
        }
    }
}

impl Sessions {
    /// Where an agent listens.
    pub(crate) fn agent_address(&self, agent: &NodeId) -> Option<SocketAddr> {
        let book = self.book.borrow();
        book.endpoints().get(agent).map(|endpoint| endpoint.address)
    }

    /// The life in which an agent is known.
    pub(crate) fn agent_life(&self, agent: &NodeId) -> Option<Incarnation> {
        let book = self.book.borrow();
        let endpoint = book.endpoints().get(agent)?;
        Some(endpoint.description.incarnation)
    }

    /// Waits for a place for a plain call.
    ///
    /// # Errors
    ///
    /// A refusal, *not run*, when the call can't have one.
    pub(crate) async fn place_call(
        self: &Rc<Self>,
        request: WorkRequest,
    ) -> Result<NodeId, Refusal> {
        self.policies
            .borrow()
            .check_share(&request.catalogue_entry)?;
        let id = request.id;
        // The router may decide before this task waits, so the answer's way is laid first.
        let (reply, placed) = oneshot::channel();
        self.waiting_calls.borrow_mut().insert(id, reply);
        let admitted = self.with_book(|book, now| book.admit_call(now, request));
        match admitted {
            AdmitDecision::Queued => placed.await.unwrap_or_else(|_| Err(shutting_down())),
            AdmitDecision::Start(placement) => {
                self.waiting_calls.borrow_mut().swap_remove(&id);
                Ok(placement.node)
            }
            AdmitDecision::Refused(refusal) => {
                self.waiting_calls.borrow_mut().swap_remove(&id);
                Err(refusal)
            }
        }
    }

    /// Notes the end of a plain call at its agent.
    pub(crate) fn end_call(self: &Rc<Self>, id: GenerationId, outcome: WorkOutcome) {
        self.with_book(|book, now| book.end_call(now, id, outcome));
    }

    fn answer_waiting_call(self: &Rc<Self>, id: GenerationId, placed: Result<NodeId, Refusal>) {
        let is_placed = placed.is_ok();
        let waiter = self.waiting_calls.borrow_mut().swap_remove(&id);
        let is_taken = waiter.is_some_and(|waiter| waiter.send(placed).is_ok());
        if is_placed && !is_taken {
            self.end_call(id, WorkOutcome::Cancelled);
        }
    }

    /// Changes the book, then does what it asks for.
    pub(crate) fn with_book<T>(
        self: &Rc<Self>,
        change: impl FnOnce(&mut SessionTable, ClockMs) -> T,
    ) -> T {
        let now = self.clock.now();
        let (result, actions) = {
            let mut book = self.book.borrow_mut();
            let result = change(&mut book, now);
            book.dispatch_queued(now);
            (result, book.take_actions())
        };
        for action in actions {
            self.act(action);
        }
        result
    }

    fn tick(self: &Rc<Self>) {
        self.with_book(SessionTable::tick);
        let ticks = self.ticks.get() + 1;
        self.ticks.set(ticks);
        if ticks.is_multiple_of(REFRESH_TICKS) {
            self.refresh_members();
        }
    }

    fn take_batch(self: &Rc<Self>, first: SessionInput, inputs: &Ring<SessionInput>) {
        self.take(first);
        for _ in 0..INPUT_BATCH {
            let Some(input) = inputs.try_pop() else {
                return;
            };
            self.take(input);
        }
    }

    fn take(self: &Rc<Self>, input: SessionInput) {
        match input {
            SessionInput::Call(call, reply) => self.begin_call(call, reply),
            SessionInput::Reattach(position, ring) => {
                let sink = Box::new(ring);
                self.with_book(|book, now| book.reattach(now, position, sink));
            }
            SessionInput::Release(request, reply) => {
                let answer = self.with_book(|book, now| book.release(now, &request));
                // The asker may have given up; the record is then lost to it, as it is told.
                let _ = reply.send(answer);
            }
            SessionInput::Submit(spec, ring) => self.submit(*spec, ring),
        }
    }

    fn submit(self: &Rc<Self>, spec: GenerationSpec, ring: AnswerRing) {
        self.metrics.count("entry.generations", 1);
        self.refresh_policies();
        let checked = self.policies.borrow().check_share(&spec.catalogue_entry);
        if let Err(refusal) = checked {
            // The ring is new and has room; a caller that is gone needs no answer.
            let _ = ring.offer(StreamItem::Refused(refusal));
            return;
        }
        let submission = Submission {
            sink: Box::new(ring),
            spec,
        };
        let nonce = rand::rng().random();
        self.with_book(|book, now| book.submit(now, submission, nonce));
    }

    fn begin_call(
        self: &Rc<Self>,
        call: PlainCall,
        reply: oneshot::Sender<Result<CallAnswer, Refusal>>,
    ) {
        self.metrics.count("entry.calls", 1);
        self.refresh_policies();
        let sessions = Rc::clone(self);
        spawn_local(async move {
            let result = run_call(&sessions, call).await;
            let _ = reply.send(result);
        });
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::CallPlaced(id, placed) => self.answer_waiting_call(id, placed),
            Action::Cancel(agent, request) => self.command(&agent, LinkCommand::Cancel(request)),
            Action::Follow(agent, cursor) => self.command(&agent, LinkCommand::Follow(cursor)),
            Action::Unfollow(agent, id) => self.command(&agent, LinkCommand::Unfollow(id)),
            Action::Search(position) => self.begin_search(position),
            Action::Start(agent, request) => {
                if request.history.len() > 1 {
                    self.metrics.count("entry.resumes", 1);
                    log_event!(
                        info,
                        events::GENERATION_RESUMED,
                        generation = request.spec.id,
                        agent = agent,
                        accepted_tokens = request.accepted.len()
                    );
                }
                self.command(&agent, LinkCommand::Start(request));
            }
        }
    }

    fn begin_search(self: &Rc<Self>, position: Position) {
        let sessions = Rc::clone(self);
        spawn_local(async move {
            let found = search_holders(&sessions, position).await;
            log_event!(
                info,
                events::GENERATION_TAKEN_OVER,
                generation = position.id,
                is_found = !matches!(found, SearchResult::NotFound)
            );
            sessions.with_book(|book, now| book.search_finished(now, position.id, found));
        });
    }

    /// Hands a command to an agent's link; streams leave an agent whose link can't take it.
    fn command(self: &Rc<Self>, agent: &NodeId, command: LinkCommand) {
        let Some(ring) = self.link(agent) else {
            self.leave_later(agent);
            return;
        };
        if ring.push(command).is_err() {
            self.leave_later(agent);
        }
    }

    fn leave_later(self: &Rc<Self>, agent: &NodeId) {
        let sessions = Rc::clone(self);
        let agent = agent.clone();
        spawn_local(async move {
            sessions.with_book(|book, now| book.incarnation_ended(now, &agent));
        });
    }

    fn link(self: &Rc<Self>, agent: &NodeId) -> Option<Ring<LinkCommand>> {
        if let Some(ring) = self.links.borrow().get(agent) {
            return Some(ring.clone());
        }
        let (address, incarnation) = {
            let book = self.book.borrow();
            let endpoint = book.endpoints().get(agent)?;
            (endpoint.address, endpoint.description.incarnation)
        };
        let ring = Ring::with_capacity(LINK_RING_ITEMS);
        let config = LinkConfig {
            address,
            agent: agent.clone(),
            entry: self.config.node.clone(),
            silence_ms: self.config.silence_ms,
        };
        let owner = LinkReporter {
            incarnation,
            sessions: Rc::clone(self),
        };
        spawn_local(run_link(config, ring.clone(), self.clock, owner));
        self.links.borrow_mut().insert(agent.clone(), ring.clone());
        Some(ring)
    }

    fn refresh_members(self: &Rc<Self>) {
        self.refresh_policies();
        let view = self.mesh.view();
        let members = view.members();
        let endpoints: IndexMap<NodeId, Endpoint> = members.filter_map(to_endpoint).collect();
        let lost = self.with_book(|book, _| book.replace_endpoints(endpoints));
        for agent in lost {
            if let Some(ring) = self.links.borrow_mut().swap_remove(&agent) {
                ring.close();
            }
            self.with_book(|book, now| book.incarnation_ended(now, &agent));
        }
    }

    /// Follows the catalogue and the entries; callers' requests may be ahead of the wake-up.
    fn refresh_policies(self: &Rc<Self>) {
        let catalogue = self.mesh.catalogue();
        let seat = find_seat(&self.mesh.view(), &self.config.node);
        self.with_book(|book, now| {
            let mut policies = self.policies.borrow_mut();
            policies.refresh(now, &catalogue, seat, book.router_mut());
        });
    }
}

/// The endpoint of an agent that is not gone.
fn to_endpoint(member: &Member) -> Option<(NodeId, Endpoint)> {
    let Role::Agent(profile) = &member.role else {
        return None;
    };
    if member.state == MemberState::Gone {
        return None;
    }
    let endpoint = Endpoint {
        address: member.address,
        description: EndpointDescription {
            held_until: member.held_until,
            incarnation: member.incarnation,
            is_leaving: profile.is_leaving || member.state == MemberState::Leaving,
            kind: profile.kind.clone(),
            zone: member.zone.clone(),
        },
    };
    Some((member.node.clone(), endpoint))
}

fn shutting_down() -> Refusal {
    let detail = "this entry is shutting down; the call was not sent";
    Refusal::not_run(RefusalKind::ShuttingDown, detail)
}
