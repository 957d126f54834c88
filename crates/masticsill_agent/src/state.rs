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
use crate::leaving::{Leaving, Remaining};
use crate::messages::{CallEnd, EndpointCommand, EndpointNews};
use crate::orders::OrderDesk;
use crate::role::AgentLinks;

/// A pull may wait for this part of the orphan time at most.
const PULLS_PER_ORPHAN_TIME: u64 = 3;

/// An answer that is there, or that will come.
pub(crate) enum Answer<T> {
    Now(T),
    Later(oneshot::Receiver<T>),
}

/// Everything that the agent duty owns.
#[derive(Debug)]
pub(crate) struct AgentState {
    backlog: VecDeque<EndpointCommand>,
    generations: GenerationTable,
    call_waiters: IndexMap<GenerationId, Vec<oneshot::Sender<CallReply>>>,
    calls: CallTable,
    clock: MonotonicClock,
    commands: Ring<EndpointCommand>,
    counted: GenerationCounts,
    drained: ShutdownSignal,
    gate: EngineGate,
    health: EndpointHealth,
    incarnation: Incarnation,
    leaving: Option<Leaving>,
    limits: AgentLimits,
    metrics: Metrics,
    orders: OrderDesk,
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
            counted: GenerationCounts::default(),
            drained,
            gate: EngineGate::new(),
            health: EndpointHealth::new(now, config, links.mesh),
            incarnation,
            leaving: None,
            limits: config.limits,
            metrics: links.metrics,
            orders: OrderDesk::new(&config.endpoint, commands),
            pulls: IndexMap::new(),
        }
    }

    pub(crate) fn now(&self) -> ClockMs {
        self.clock.now()
    }

    pub(crate) fn orders(&self) -> &OrderDesk {
        &self.orders
    }

    /// Takes an order in; it is passed on, or its end is told at once.
    pub(crate) fn order(&mut self, request: OrderRequest) -> Answer<OrderReply> {
        if !self.health.is_available() {
            return Answer::Now(OrderReply::Refused(OrderRefusal::EngineUnavailable));
        }
        self.orders.take_in(request)
    }

    pub(crate) fn start(&mut self, request: StartRequest) -> StartReply {
        let now = self.now();
        let reply = self.generations.start(now, request);
        self.settle(now);
        reply
    }

    pub(crate) fn pull(&mut self, mut request: PullRequest) -> Answer<Vec<Progress>> {
        let now = self.now();
        let longest_ms = self.limits.generations.orphan_ms / PULLS_PER_ORPHAN_TIME;
        request.wait_ms = request.wait_ms.min(longest_ms);
        match self.generations.pull(now, &request) {
            PullAnswer::Ready(progress) => Answer::Now(progress),
            PullAnswer::Waiting(number) => {
                let (reply, answered) = oneshot::channel();
                self.pulls.insert(number, reply);
                Answer::Later(answered)
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
        self.settle(now);
        reply
    }

    pub(crate) fn cancel(&mut self, request: &CancelRequest) {
        let now = self.now();
        self.generations.cancel(now, request);
        self.settle(now);
    }

    pub(crate) fn call(&mut self, request: CallRequest) -> Answer<CallReply> {
        let now = self.now();
        let id = request.id;
        let step = self
            .calls
            .begin(now, id, request.incarnation, request.is_repeatable);
        match step {
            CallDecision::Reply(reply) => return Answer::Now(reply),
            CallDecision::Join => {}
            CallDecision::Send => {
                // The other duty sends it as soon as it takes the command, so it is started now.
                self.calls.mark_started(now, id);
                let command = EndpointCommand::Call(Box::new(request));
                if self.commands.push(command).is_err() {
                    let detail = "the agent has more calls to send than it may";
                    return Answer::Now(self.calls.note_unsent(now, id, detail));
                }
            }
        }
        let (reply, answered) = oneshot::channel();
        self.call_waiters.entry(id).or_default().push(reply);
        Answer::Later(answered)
    }

    pub(crate) fn bury(&mut self, request: &BuryRequest) -> CallReply {
        self.calls.bury(self.now(), request)
    }

    /// Takes all news that there is.
    pub(crate) fn take_news(&mut self, first: EndpointNews, rest: &Ring<EndpointNews>) {
        let now = self.now();
        self.take_one(now, first);
        // Bounded, so that a flood of tokens does not keep the pulls waiting.
        for _ in 0..rest.capacity() {
            let Some(news) = rest.try_pop() else {
                break;
            };
            self.take_one(now, news);
        }
        self.generations
            .set_engine_available(self.health.is_available());
        self.health.announce(self.leaving.is_some());
    }

    /// Lets time pass.
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
        self.go_on_leaving(now);
        self.count();
        self.settle(now);
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
        self.settle(now);
    }

    /// Hands out commands and due pulls.
    pub(crate) fn settle(&mut self, now: ClockMs) {
        for command in self.generations.take_commands() {
            let passed = self.gate.take(now, command);
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

    /// When the next pull is due, if any waits.
    pub(crate) fn next_due(&self) -> Option<ClockMs> {
        self.generations.next_due()
    }

    fn take_one(&mut self, now: ClockMs, news: EndpointNews) {
        match news {
            EndpointNews::Call(id, end) => self.end_call(now, id, end),
            EndpointNews::Load(load) => self.health.note_load(now, load),
            EndpointNews::Models(models) => {
                self.gate.set_slots(models.slots);
                self.health.note_models(now, models);
            }
            EndpointNews::Run(run, event) => {
                if matches!(event, EngineEvent::Tokens { .. }) {
                    self.health.record_activity(now);
                }
                if is_end(&event) {
                    self.gate.note_ended(run);
                }
                self.generations.apply_event(now, run, event);
            }
            EndpointNews::Unreachable => self.health.note_unreachable(now),
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

    fn go_on_leaving(&mut self, now: ClockMs) {
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
        let remaining = Remaining {
            all_ends_delivered: self.generations.all_ends_delivered(),
            running: self.generations.running() + self.calls.pending(),
        };
        if leaving.is_done(now, remaining) && !self.drained.is_requested() {
            log_event!(info, events::AGENT_DRAINED, after_ms = leaving.age_ms(now));
            self.drained.request();
        }
    }

    fn count(&mut self) {
        let counts = self.generations.counts();
        let counted = std::mem::replace(&mut self.counted, counts);
        let orphans = counts.orphans - counted.orphans;
        if orphans > 0 {
            log_event!(info, events::ORPHANS_CANCELLED, count = orphans);
        }
        let changes = [
            (
                "agent.late_events",
                counts.late_events - counted.late_events,
            ),
            ("agent.fenced", counts.fenced - counted.fenced),
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
