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

use crate::caller_ring::CallerRing;
use crate::calls::{PlainCall, run_call};
use crate::config::EntryConfig;
use crate::events;
use crate::link::{LinkCommand, LinkConfig, run_link};
use crate::link_reporter::LinkReporter;
use crate::policies::{Policies, find_entry_rank};
use crate::search::search_holders;

/// Maximum number of inputs of other duties that are queued.
pub(crate) const INPUT_RING_CAPACITY: usize = 16_384;
const LINK_RING_CAPACITY: usize = 8_192;
const MAX_SESSIONS: usize = 20_000;
/// Maximum time that a generation may be without an endpoint before it is ended with a refusal.
const UNSERVED_TIMEOUT_MS: u64 = 4_000;
const TICK_MS: u64 = 20;
/// Number of ticks after which the members are refreshed even without a change, so that endpoints
/// come back into use when their hold-down ends.
const MEMBER_REFRESH_TICKS: u64 = 25;
/// Maximum number of further inputs handled in one batch before ticks and links are served.
const MAX_EXTRA_INPUTS_PER_BATCH: usize = 256;

/// Inputs of the sessions duty.
#[derive(Debug)]
pub(crate) enum SessionInput {
    /// A call of a plain service.
    Call(PlainCall, oneshot::Sender<Result<CallAnswer, Refusal>>),
    /// A caller reattaches to a generation.
    Reattach(Position, CallerRing),
    /// Another entry requests the record of a generation.
    Release(AttachRequest, oneshot::Sender<AttachReply>),
    /// An admitted generation.
    Submit(Box<GenerationSpec>, CallerRing),
}

/// The state that the duty shares with its links and calls, which all run on its thread.
#[derive(Debug)]
pub(crate) struct Sessions {
    table: RefCell<SessionTable>,
    /// Clock of the process.
    pub(crate) clock: MonotonicClock,
    /// Configuration of the entry.
    pub(crate) config: Rc<EntryConfig>,
    links: RefCell<IndexMap<NodeId, Ring<LinkCommand>>>,
    /// Membership and catalogue.
    pub(crate) mesh: MeshHandle,
    metrics: Metrics,
    policies: RefCell<Policies>,
    ticks: Cell<u64>,
    /// Plain calls that wait for a placement.
    waiting_calls: RefCell<IndexMap<GenerationId, oneshot::Sender<Result<NodeId, Refusal>>>>,
}

/// Runs the duty until its input ring is closed and empty.
pub(crate) async fn run_sessions(
    config: EntryConfig,
    inputs: Ring<SessionInput>,
    mesh: MeshHandle,
    metrics: Metrics,
    clock: MonotonicClock,
) {
    let table_config = SessionTableConfig {
        max_sessions: MAX_SESSIONS,
        node: config.node.clone(),
        reattach_ms: config.reattach_ms,
        router: RouterConfig::in_zone(config.zone.clone()),
        seed: rand::rng().random(),
        unserved_timeout_ms: UNSERVED_TIMEOUT_MS,
    };
    let sessions = Rc::new(Sessions {
        table: RefCell::new(SessionTable::new(table_config)),
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
                Some(input) => sessions.handle_batch(input, &inputs),
                None => return,
            },
            () = mesh.changed() => sessions.refresh_members(),
            _ = ticks.tick() => sessions.tick(),
        }
    }
}

impl Sessions {
    /// Returns the address of the RPC listener of an agent.
    pub(crate) fn agent_address(&self, agent: &NodeId) -> Option<SocketAddr> {
        let table = self.table.borrow();
        table
            .endpoints()
            .get(agent)
            .map(|endpoint| endpoint.address)
    }

    /// Returns the incarnation of an agent that this entry currently uses.
    pub(crate) fn current_incarnation(&self, agent: &NodeId) -> Option<Incarnation> {
        let table = self.table.borrow();
        let endpoint = table.endpoints().get(agent)?;
        Some(endpoint.description.incarnation)
    }

    /// Waits for a placement of a plain call.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the outcome *not run* if the call can't be placed.
    pub(crate) async fn place_call(
        self: &Rc<Self>,
        request: WorkRequest,
    ) -> Result<NodeId, Refusal> {
        self.policies
            .borrow()
            .check_share(&request.catalogue_entry)?;
        let id = request.id;
        // The router may decide before this task waits, so the reply channel is registered first.
        let (reply, placement) = oneshot::channel();
        self.waiting_calls.borrow_mut().insert(id, reply);
        let admitted = self.with_table(|table, now| table.admit_call(now, request));
        match admitted {
            AdmitDecision::Queued => placement.await.unwrap_or_else(|_| Err(shutting_down())),
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

    /// Records the end of a plain call at its agent.
    pub(crate) fn end_call(self: &Rc<Self>, id: GenerationId, outcome: WorkOutcome) {
        self.with_table(|table, now| table.end_call(now, id, outcome));
    }

    fn answer_waiting_call(self: &Rc<Self>, id: GenerationId, placement: Result<NodeId, Refusal>) {
        let has_placement = placement.is_ok();
        let waiter = self.waiting_calls.borrow_mut().swap_remove(&id);
        let is_received = waiter.is_some_and(|waiter| waiter.send(placement).is_ok());
        if has_placement && !is_received {
            self.end_call(id, WorkOutcome::Cancelled);
        }
    }

    /// Changes the session table, dispatches queued work and executes the resulting actions.
    pub(crate) fn with_table<T>(
        self: &Rc<Self>,
        change: impl FnOnce(&mut SessionTable, ClockMs) -> T,
    ) -> T {
        let now = self.clock.now();
        let (result, actions) = {
            let mut table = self.table.borrow_mut();
            let result = change(&mut table, now);
            table.dispatch_queued(now);
            (result, table.take_actions())
        };
        for action in actions {
            self.execute(action);
        }
        result
    }

    fn tick(self: &Rc<Self>) {
        self.with_table(SessionTable::tick);
        let ticks = self.ticks.get() + 1;
        self.ticks.set(ticks);
        if ticks.is_multiple_of(MEMBER_REFRESH_TICKS) {
            self.refresh_members();
        }
    }

    fn handle_batch(self: &Rc<Self>, first: SessionInput, inputs: &Ring<SessionInput>) {
        self.handle_input(first);
        for _ in 0..MAX_EXTRA_INPUTS_PER_BATCH {
            let Some(input) = inputs.try_pop() else {
                return;
            };
            self.handle_input(input);
        }
    }

    fn handle_input(self: &Rc<Self>, input: SessionInput) {
        match input {
            SessionInput::Call(call, reply) => self.start_call(call, reply),
            SessionInput::Reattach(position, ring) => {
                let sink = Box::new(ring);
                self.with_table(|table, now| table.reattach(now, position, sink));
            }
            SessionInput::Release(request, reply) => {
                let answer = self.with_table(|table, now| table.release(now, &request));
                // The other entry may have stopped waiting. The record is then lost for that
                // entry, which treats this node as one that does not hold the record.
                let _ = reply.send(answer);
            }
            SessionInput::Submit(spec, ring) => self.submit(*spec, ring),
        }
    }

    fn submit(self: &Rc<Self>, spec: GenerationSpec, ring: CallerRing) {
        self.metrics.count("entry.generations", 1);
        self.refresh_policies();
        let checked = self.policies.borrow().check_share(&spec.catalogue_entry);
        if let Err(refusal) = checked {
            // The ring is new, so it is not full. If the caller has disconnected, no answer is
            // needed.
            let _ = ring.offer(StreamItem::Refused(refusal));
            return;
        }
        let submission = Submission {
            sink: Box::new(ring),
            spec,
        };
        let nonce = rand::rng().random();
        self.with_table(|table, now| table.submit(now, submission, nonce));
    }

    fn start_call(
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

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::CallPlaced(id, placement) => self.answer_waiting_call(id, placement),
            Action::Cancel(agent, request) => self.command(&agent, LinkCommand::Cancel(request)),
            Action::Follow(agent, cursor) => self.command(&agent, LinkCommand::Follow(cursor)),
            Action::Unfollow(agent, id) => self.command(&agent, LinkCommand::Unfollow(id)),
            Action::Search(position) => self.start_search(position),
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

    fn start_search(self: &Rc<Self>, position: Position) {
        let sessions = Rc::clone(self);
        spawn_local(async move {
            let found = search_holders(&sessions, position).await;
            log_event!(
                info,
                events::GENERATION_TAKEN_OVER,
                generation = position.id,
                is_found = matches!(found, SearchResult::AtAgent(..) | SearchResult::AtEntry(_)),
                is_settled = !matches!(found, SearchResult::Unsettled)
            );
            sessions.with_table(|table, now| table.search_finished(now, position.id, found));
        });
    }

    /// Passes a command to the link of an agent. If the link can't accept it, the streams of the
    /// agent move to other agents.
    fn command(self: &Rc<Self>, agent: &NodeId, command: LinkCommand) {
        let Some(ring) = self.link(agent) else {
            self.end_incarnation_later(agent);
            return;
        };
        if ring.push(command).is_err() {
            self.end_incarnation_later(agent);
        }
    }

    fn end_incarnation_later(self: &Rc<Self>, agent: &NodeId) {
        let sessions = Rc::clone(self);
        let agent = agent.clone();
        spawn_local(async move {
            sessions.with_table(|table, now| table.incarnation_ended(now, &agent));
        });
    }

    fn link(self: &Rc<Self>, agent: &NodeId) -> Option<Ring<LinkCommand>> {
        if let Some(ring) = self.links.borrow().get(agent) {
            return Some(ring.clone());
        }
        let (address, incarnation) = {
            let table = self.table.borrow();
            let endpoint = table.endpoints().get(agent)?;
            (endpoint.address, endpoint.description.incarnation)
        };
        let ring = Ring::with_capacity(LINK_RING_CAPACITY);
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
        let lost = self.with_table(|table, _| table.replace_endpoints(endpoints));
        for agent in lost {
            if let Some(ring) = self.links.borrow_mut().swap_remove(&agent) {
                ring.close();
            }
            self.with_table(|table, now| table.incarnation_ended(now, &agent));
        }
    }

    /// Applies changes of the catalogue and of the set of entries. Also called for each request,
    /// which may arrive before the duty is notified of a change.
    fn refresh_policies(self: &Rc<Self>) {
        let catalogue = self.mesh.catalogue();
        let entry_rank = find_entry_rank(&self.mesh.view(), &self.config.node);
        self.with_table(|table, now| {
            let mut policies = self.policies.borrow_mut();
            policies.refresh(now, &catalogue, entry_rank, table.router_mut());
        });
    }
}

/// Returns the endpoint of a member, or `None` if the member is gone or no agent.
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
