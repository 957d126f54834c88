//! How attempts and calls find their endpoints: admission, waiting and moving on.

use masticsill_routing::{
    AdmitDecision, BackEndTarget, Dequeued, WorkEnd, WorkOutcome, WorkRequest,
};
use masticsill_types::{ClockMs, GenerationId, NodeId, Refusal, RefusalKind};

use crate::book::{Action, RETRY_AFTER_MS, SessionBook};
use crate::endpoint::EndpointTable;
use crate::position::HolderHint;
use crate::session::{Phase, Session};
use crate::work::describe_work;

/// After this wait, in milliseconds, an agent that failed the generation may be tried again.
const RETRY_INTERVAL_MS: u64 = 200;
/// Attempts that may fail without a token before the wait for the next one is bounded.
const MAX_FAILURES: u32 = 4;

impl SessionBook {
    /// Asks for a place for a plain call. A queued call is answered by [`Action::CallPlaced`],
    /// and each that has a place ends with [`SessionBook::end_call`].
    pub fn admit_call(&mut self, now: ClockMs, request: WorkRequest) -> AdmitDecision {
        self.router.admit(now, request)
    }

    /// Notes the end of a plain call at its agent.
    pub fn end_call(&mut self, now: ClockMs, id: GenerationId, outcome: WorkOutcome) {
        let end = WorkEnd { outcome, tokens: 0 };
        self.router.on_finished(now, id, end);
    }

    /// Starts or refuses what waits, as far as that can be told now. Call it after each change.
    pub fn settle(&mut self, now: ClockMs) {
        while let Some(dequeued) = self.router.next_queued(now) {
            match dequeued {
                Dequeued::Start(id, placement) => self.dequeue(now, id, Ok(placement.node)),
                Dequeued::Refused(id, refusal) => self.dequeue(now, id, Err(refusal)),
            }
        }
    }

    /// Asks the router for an endpoint.
    pub(crate) fn place(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.phase = Phase::Waiting;
        session.retry_at = now + RETRY_INTERVAL_MS;
        session.is_parked = false;
        match self.router.admit(now, describe_work(session)) {
            AdmitDecision::Start(placement) => {
                session.is_admitted = true;
                self.start(id, placement.node);
            }
            AdmitDecision::Queued => session.is_admitted = true,
            AdmitDecision::Refused(refusal) => {
                if refusal.kind == RefusalKind::NoEndpoint && session.may_park() {
                    session.is_parked = true;
                    session.unserved_since.get_or_insert(now);
                } else {
                    self.refuse_unplaced(now, id, refusal);
                }
            }
        }
    }

    fn start(&mut self, id: GenerationId, agent: NodeId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let request = session.record.start_request(self.config.node.clone());
        session.attempt_from = session.record.next_index();
        session.phase = Phase::Starting(agent.clone());
        session.holder = HolderHint::from(&agent);
        self.actions.push(Action::Start(agent, Box::new(request)));
    }

    fn dequeue(&mut self, now: ClockMs, id: GenerationId, placed: Result<NodeId, Refusal>) {
        if !self.sessions.contains_key(&id) {
            self.actions.push(Action::CallPlaced(id, placed));
            return;
        }
        match placed {
            Ok(agent) => self.start(id, agent),
            Err(refusal) => self.refuse_unplaced(now, id, refusal),
        }
    }

    /// Leaves the current agent and begins the next attempt elsewhere.
    pub(crate) fn move_on(&mut self, now: ClockMs, id: GenerationId, outcome: WorkOutcome) {
        let Some(failed) = self.leave_agent(now, id, outcome) else {
            return;
        };
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.failures += 1;
        session.tried.insert(failed.clone());
        session.failed_at = Some(failed);
        session.record.begin_attempt();
        self.place(now, id);
    }

    /// Ends the attempt at the session's agent, if any, and returns that agent.
    pub(crate) fn leave_agent(
        &mut self,
        now: ClockMs,
        id: GenerationId,
        outcome: WorkOutcome,
    ) -> Option<NodeId> {
        let agent = self.end_work(now, id, outcome)?;
        let lineage = self.sessions.get(&id)?.record.lineage();
        self.cancel_at(&agent, id, lineage);
        Some(agent)
    }

    /// Tells the router that the session needs its place no more, and returns the place's agent;
    /// a session that waits for one waits no more.
    pub(crate) fn end_work(
        &mut self,
        now: ClockMs,
        id: GenerationId,
        outcome: WorkOutcome,
    ) -> Option<NodeId> {
        let session = self.sessions.get_mut(&id)?;
        let Some(agent) = session.agent().cloned() else {
            self.router.withdraw(id);
            return None;
        };
        let tokens = session.attempt_tokens();
        let end = WorkEnd { outcome, tokens };
        self.router.on_finished(now, id, end);
        Some(agent)
    }

    /// Ends a session that the router gives no endpoint.
    fn refuse_unplaced(&mut self, now: ClockMs, id: GenerationId, refusal: Refusal) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let refusal = if session.is_dispatched {
            explain_no_endpoint(&self.endpoints, session)
                .retry_after(refusal.retry_after_ms.unwrap_or(RETRY_AFTER_MS))
        } else {
            refusal
        };
        self.refuse(now, id, refusal);
    }

    /// Ends a wait that has become hopeless. The router bounds the wait for a free slot; here it
    /// is bounded while no endpoint is usable at all, or attempts keep failing.
    pub(crate) fn go_on_waiting(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.is_parked {
            self.look_again(now, id);
            return;
        }
        let spec = session.record.spec();
        let target = BackEndTarget::Engine(spec.target.clone());
        let is_served = self.router.can_serve(now, &spec.catalogue_entry, &target);
        if is_served && session.failures < MAX_FAILURES {
            // The bound is on one stretch without an endpoint, not on the whole wait.
            session.unserved_since = None;
        } else if now - *session.unserved_since.get_or_insert(now) >= self.config.waiting_ms {
            let refusal = explain_no_endpoint(&self.endpoints, session);
            self.refuse(now, id, refusal);
            return;
        }
        let may_try_again = session.is_dispatched && !session.tried.is_empty();
        if may_try_again && now >= session.retry_at {
            session.tried.clear();
            self.router.withdraw(id);
            self.place(now, id);
        }
    }

    /// Notes since when waiting sessions have no usable endpoint.
    pub(crate) fn note_unserved(&mut self, now: ClockMs) {
        for session in self.sessions.values_mut() {
            let spec = session.record.spec();
            let target = BackEndTarget::Engine(spec.target.clone());
            let is_waiting = session.phase == Phase::Waiting;
            if is_waiting && !self.router.can_serve(now, &spec.catalogue_entry, &target) {
                session.unserved_since.get_or_insert(now);
            }
        }
    }

    /// Looks for an endpoint that has come since.
    fn look_again(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let unserved_since = *session.unserved_since.get_or_insert(now);
        if now - unserved_since >= self.config.waiting_ms {
            let refusal = explain_no_endpoint(&self.endpoints, session);
            self.refuse(now, id, refusal);
        } else if now >= session.retry_at {
            session.tried.clear();
            self.place(now, id);
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
