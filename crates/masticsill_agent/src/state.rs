//! The state of the agent duty.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_generation::{
    CallDecision, CallTable, EngineEvent, GenerationCounts, GenerationTable, PullAnswer, PullNumber,
};
use masticsill_runtime::{Metrics, Ring, RingFull, ShutdownSignal};
use masticsill_types::{
    AttemptFailure, ClockMs, GenerationId, Incarnation, MonotonicClock, log_event,
};
use masticsill_wire::agent::{
    AttachReply, AttachRequest, BuryRequest, CallReply, CallRequest, CancelRequest, OrderRefusal,
    OrderReply, OrderRequest, Progress, PullReply, PullRequest, StartReply, StartRequest,
};
use tokio::sync::oneshot;

use crate::config::{AgentConfig, AgentLimits};
use crate::engine_gate::EngineGate;
use crate::events;
use crate::health::EndpointHealth;
use crate::leaving::{Leaving, RemainingWork};
use crate::messages::{CallEnd, EndpointCommand, EndpointEvent};
use crate::orders::OrderIntake;
use crate::role::AgentLinks;

/// A pull may wait for at most the orphan time divided by this number.
const MIN_PULLS_PER_ORPHAN_TIME: u64 = 3;

/// A reply that is ready, or that arrives later through a channel.
pub(crate) enum DeferrableReply<T> {
    Now(T),
    Later(oneshot::Receiver<T>),
}

/// The state that the agent duty owns.
#[derive(Debug)]
pub(crate) struct AgentState {
    backlog: VecDeque<EndpointCommand>,
    generations: GenerationTable,
    call_waiters: IndexMap<GenerationId, Vec<oneshot::Sender<CallReply>>>,
    calls: CallTable,
    clock: MonotonicClock,
    commands: Ring<EndpointCommand>,
    published_counts: GenerationCounts,
    drained: ShutdownSignal,
    gate: EngineGate,
    health: EndpointHealth,
    incarnation: Incarnation,
    leaving: Option<Leaving>,
    limits: AgentLimits,
    metrics: Metrics,
    orders: OrderIntake,
    pulls: IndexMap<PullNumber, oneshot::Sender<Vec<Progress>>>,
}

impl AgentState {
    pub(crate) fn new(
        config: &AgentConfig,
        links: AgentLinks,
        commands: Ring<EndpointCommand>,
        drained: ShutdownSignal,
    ) -> Self {
        let now = links.clock.now();
        let incarnation = links.mesh.incarnation();
        Self {
            backlog: VecDeque::new(),
            generations: GenerationTable::new(config.limits.generations),
            call_waiters: IndexMap::new(),
            calls: CallTable::new(incarnation, config.limits.calls),
            clock: links.clock,
            commands: commands.clone(),
            published_counts: GenerationCounts::default(),
            drained,
            gate: EngineGate::new(),
            health: EndpointHealth::new(now, config, links.mesh),
            incarnation,
            leaving: None,
            limits: config.limits,
            metrics: links.metrics,
            orders: OrderIntake::new(&config.endpoint, commands),
            pulls: IndexMap::new(),
        }
    }

    pub(crate) fn now(&self) -> ClockMs {
        self.clock.now()
    }

    pub(crate) fn orders(&self) -> &OrderIntake {
        &self.orders
    }

    /// Passes an admitted order to the endpoint duty, or refuses the order at once.
    pub(crate) fn order(&mut self, request: OrderRequest) -> DeferrableReply<OrderReply> {
        if !self.health.is_available() {
            return DeferrableReply::Now(OrderReply::Refused(OrderRefusal::EngineUnavailable));
        }
        self.orders.admit(request)
    }

    pub(crate) fn start(&mut self, request: StartRequest) -> StartReply {
        let now = self.now();
        let reply = self.generations.start(now, request);
        self.flush(now);
        reply
    }

    pub(crate) fn pull(&mut self, mut request: PullRequest) -> DeferrableReply<Vec<Progress>> {
        let now = self.now();
        let longest_ms = self.limits.generations.orphan_ms / MIN_PULLS_PER_ORPHAN_TIME;
        request.wait_ms = request.wait_ms.min(longest_ms);
        match self.generations.pull(now, &request) {
            PullAnswer::Ready(progress) => DeferrableReply::Now(progress),
            PullAnswer::Waiting(number) => {
                let (reply, answered) = oneshot::channel();
                self.pulls.insert(number, reply);
                DeferrableReply::Later(answered)
            }
        }
    }

    pub(crate) fn pull_reply(&self, progress: Vec<Progress>) -> PullReply {
        PullReply {
            incarnation: self.incarnation,
            is_leaving: self.leaving.is_some(),
            load: self.health.load(self.now(), self.gate.waiting()),
            progress,
        }
    }

    pub(crate) fn attach(&mut self, request: &AttachRequest) -> AttachReply {
        let now = self.now();
        let reply = self.generations.attach(now, request);
        self.flush(now);
        reply
    }

    pub(crate) fn cancel(&mut self, request: &CancelRequest) {
        let now = self.now();
        self.generations.cancel(now, request);
        self.flush(now);
    }

    pub(crate) fn call(&mut self, request: CallRequest) -> DeferrableReply<CallReply> {
        let now = self.now();
        let id = request.id;
        let step = self
            .calls
            .begin(now, id, request.incarnation, request.is_repeatable);
        match step {
            CallDecision::Reply(reply) => return DeferrableReply::Now(reply),
            CallDecision::Join => {}
            CallDecision::Send => {
                // The endpoint duty sends the call as soon as it receives the command, so the call
                // counts as started from here on.
                self.calls.mark_started(now, id);
                let command = EndpointCommand::Call(Box::new(request));
                if self.commands.push(command).is_err() {
                    let detail = "the agent has more calls to send than it may";
                    return DeferrableReply::Now(self.calls.note_unsent(now, id, detail));
                }
            }
        }
        let (reply, answered) = oneshot::channel();
        self.call_waiters.entry(id).or_default().push(reply);
        DeferrableReply::Later(answered)
    }

    pub(crate) fn bury(&mut self, request: &BuryRequest) -> CallReply {
        self.calls.bury(self.now(), request)
    }

    /// Applies the given event and those waiting in the ring.
    pub(crate) fn apply_events(&mut self, first: EndpointEvent, rest: &Ring<EndpointEvent>) {
        let now = self.now();
        self.apply_event(now, first);
        // The number of events is bounded, so that a burst of tokens does not delay the pulls.
        for _ in 0..rest.capacity() {
            let Some(endpoint_event) = rest.try_pop() else {
                break;
            };
            self.apply_event(now, endpoint_event);
        }
        self.generations
            .set_engine_available(self.health.is_available());
        self.health.announce(self.leaving.is_some());
    }

    /// Performs the periodic work: freeze detection, expiry, announcement, planned stop and
    /// metrics.
    pub(crate) fn tick(&mut self) {
        let now = self.now();
        if self.health.check_frozen(now) {
            self.generations.fail_all(now, AttemptFailure::EngineFrozen);
            self.generations.set_engine_available(false);
        }
        self.generations.tick(now);
        self.calls.tick(now);
        self.gate.set_shared(self.health.is_shared());
        self.health.announce(self.leaving.is_some());
        self.advance_leaving(now);
        self.publish_counts();
        self.flush(now);
    }

    /// Begins the planned stop.
    pub(crate) fn begin_leaving(&mut self) {
        let now = self.now();
        log_event!(
            info,
            events::AGENT_LEAVING,
            running = self.generations.running()
        );
        self.leaving = Some(Leaving::begin(now, &self.limits));
        self.generations.begin_leaving();
        self.calls.begin_leaving();
        self.health.announce(true);
        self.health.leave();
        self.flush(now);
    }

    /// Sends the pending commands to the endpoint duty and the replies of the due pulls.
    pub(crate) fn flush(&mut self, now: ClockMs) {
        for command in self.generations.take_commands() {
            let passed = self.gate.handle_command(now, command);
            self.backlog.extend(passed.map(EndpointCommand::Engine));
        }
        while let Some(command) = self.gate.forward_next() {
            self.backlog.push_back(EndpointCommand::Engine(command));
        }
        while let Some(command) = self.backlog.pop_front() {
            if let Err(RingFull(command)) = self.commands.push(command) {
                self.backlog.push_front(command);
                break;
            }
        }
        for (number, progress) in self.generations.take_due_pulls(now) {
            if let Some(reply) = self.pulls.swap_remove(&number) {
                let _ = reply.send(progress);
            }
        }
    }

    /// The time at which the next waiting pull is due; `None` when no pull waits.
    pub(crate) fn next_due(&self) -> Option<ClockMs> {
        self.generations.next_due()
    }

    fn apply_event(&mut self, now: ClockMs, endpoint_event: EndpointEvent) {
        match endpoint_event {
            EndpointEvent::Call(id, end) => self.end_call(now, id, end),
            EndpointEvent::Load(load) => self.health.note_load(now, load),
            EndpointEvent::Models(models) => {
                self.gate.set_slots(models.slots);
                self.health.note_models(now, models);
            }
            EndpointEvent::Run(run, event) => {
                if matches!(event, EngineEvent::Tokens { .. }) {
                    self.health.record_activity(now);
                }
                if is_end(&event) {
                    self.gate.note_ended(run);
                }
                self.generations.apply_event(now, run, event);
            }
            EndpointEvent::Unreachable => self.health.note_unreachable(now),
        }
    }

    fn end_call(&mut self, now: ClockMs, id: GenerationId, end: CallEnd) {
        let reply = match end {
            CallEnd::Answered(answer) => self.calls.note_answer(now, id, answer),
            CallEnd::Lost => self.calls.note_lost(now, id),
            CallEnd::Unsent(detail) => self.calls.note_unsent(now, id, &detail),
        };
        for waiter in self.call_waiters.swap_remove(&id).unwrap_or_default() {
            let _ = waiter.send(reply.clone());
        }
    }

    fn advance_leaving(&mut self, now: ClockMs) {
        let Some(leaving) = &mut self.leaving else {
            return;
        };
        if leaving.is_drain_over(now) && self.generations.running() > 0 {
            log_event!(
                warn,
                events::DRAIN_TIME_OVER,
                running = self.generations.running()
            );
            self.generations.fail_all(now, AttemptFailure::Leaving);
        }
        let remaining = RemainingWork {
            all_ends_delivered: self.generations.all_ends_delivered(),
            running: self.generations.running() + self.calls.pending(),
        };
        if leaving.is_complete(now, remaining) && !self.drained.is_requested() {
            log_event!(
                info,
                events::AGENT_DRAINED,
                after_ms = leaving.elapsed_ms(now)
            );
            self.drained.request();
        }
    }

    fn publish_counts(&mut self) {
        let counts = self.generations.counts();
        let published_counts = std::mem::replace(&mut self.published_counts, counts);
        let orphans = counts.orphans - published_counts.orphans;
        if orphans > 0 {
            log_event!(info, events::ORPHANS_CANCELLED, count = orphans);
        }
        let changes = [
            (
                "agent.late_events",
                counts.late_events - published_counts.late_events,
            ),
            ("agent.fenced", counts.fenced - published_counts.fenced),
            ("agent.orphans", orphans),
        ];
        for (name, change) in changes {
            if change > 0 {
                self.metrics.count(name, change);
            }
        }
        self.metrics
            .gauge("agent.running", self.generations.running() as u64);
    }
}

fn is_end(event: &EngineEvent) -> bool {
    match event {
        EngineEvent::Failed(_) => true,
        EngineEvent::Tokens { finish, .. } => finish.is_some(),
    }
}
