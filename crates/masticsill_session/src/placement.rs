//! Placement of attempts and calls on endpoints: admission, queueing and failover.

use masticsill_routing::{
    AdmitDecision, BackEndTarget, Dequeued, WorkEnd, WorkOutcome, WorkRequest,
};
use masticsill_types::{ClockMs, GenerationId, NodeId, Refusal, RefusalKind};

use crate::endpoint::EndpointTable;
use crate::position::HolderHint;
use crate::session::{Phase, Session};
use crate::session_table::{Action, RETRY_AFTER_MS, SessionTable};
use crate::work_request::build_work_request;

/// Time after which agents at which attempts failed may be tried again, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 200;
/// Number of consecutive attempts without a token after which the unserved timeout applies even if
/// an endpoint is usable.
const MAX_FAILURES_WITHOUT_TIMEOUT: u32 = 4;

impl SessionTable {
    /// Requests a slot for a plain call. The end of the wait of a queued call is reported by
    /// [`Action::CallPlaced`]; each call that got a slot must be ended by
    /// [`SessionTable::end_call`].
    pub fn admit_call(&mut self, now: ClockMs, request: WorkRequest) -> AdmitDecision {
        self.router.admit(now, request)
    }

    /// Records the end of a plain call at its agent.
    pub fn end_call(&mut self, now: ClockMs, id: GenerationId, outcome: WorkOutcome) {
        let end = WorkEnd { outcome, tokens: 0 };
        self.router.on_finished(now, id, end);
    }

    /// Starts queued attempts and calls for which a slot is free, and refuses those whose wait is
    /// over. Must be called after each change.
    pub fn dispatch_queued(&mut self, now: ClockMs) {
        while let Some(dequeued) = self.router.next_queued(now) {
            match dequeued {
                Dequeued::Start(id, placement) => self.handle_dequeued(now, id, Ok(placement.node)),
                Dequeued::Refused(id, refusal) => self.handle_dequeued(now, id, Err(refusal)),
            }
        }
    }

    /// Requests an endpoint for a session's next attempt from the router.
    pub(crate) fn place(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.phase = Phase::Waiting;
        session.retry_at = now + RETRY_INTERVAL_MS;
        session.is_parked = false;
        match self.router.admit(now, build_work_request(session)) {
            AdmitDecision::Start(placement) => {
                session.is_admitted = true;
                self.start_attempt(id, placement.node);
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

    fn start_attempt(&mut self, id: GenerationId, agent: NodeId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let request = session.record.start_request(self.config.node.clone());
        session.attempt_first_index = session.record.next_index();
        session.phase = Phase::Starting(agent.clone());
        session.holder = HolderHint::from(&agent);
        self.actions.push(Action::Start(agent, Box::new(request)));
    }

    fn handle_dequeued(&mut self, now: ClockMs, id: GenerationId, placed: Result<NodeId, Refusal>) {
        if !self.sessions.contains_key(&id) {
            self.actions.push(Action::CallPlaced(id, placed));
            return;
        }
        match placed {
            Ok(agent) => self.start_attempt(id, agent),
            Err(refusal) => self.refuse_unplaced(now, id, refusal),
        }
    }

    /// Cancels the attempt at the current agent and requests another agent for the next attempt.
    pub(crate) fn fail_over(&mut self, now: ClockMs, id: GenerationId, outcome: WorkOutcome) {
        let Some(failed) = self.cancel_attempt(now, id, outcome) else {
            return;
        };
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.failures += 1;
        session.tried_agents.insert(failed.clone());
        session.last_failed_agent = Some(failed);
        session.record.begin_attempt();
        self.place(now, id);
    }

    /// Ends and cancels the attempt at the session's agent, if any, and returns that agent.
    pub(crate) fn cancel_attempt(
        &mut self,
        now: ClockMs,
        id: GenerationId,
        outcome: WorkOutcome,
    ) -> Option<NodeId> {
        let agent = self.release_slot(now, id, outcome)?;
        let lineage = self.sessions.get(&id)?.record.lineage();
        self.send_cancel(&agent, id, lineage);
        Some(agent)
    }

    /// Releases the session's slot at the router and returns its agent; a session that is queued is
    /// withdrawn from the queue.
    pub(crate) fn release_slot(
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

    /// Refuses a session to which the router gives no endpoint.
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

    /// Refuses a waiting session once it has been unserved for too long: no endpoint is usable, or
    /// its attempts keep failing. The router itself limits the wait for a free slot.
    pub(crate) fn check_wait(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.is_parked {
            self.retry_parked(now, id);
            return;
        }
        let spec = session.record.spec();
        let target = BackEndTarget::Engine(spec.target.clone());
        let is_servable = self.router.can_serve(now, &spec.catalogue_entry, &target);
        if is_servable && session.failures < MAX_FAILURES_WITHOUT_TIMEOUT {
            // The timeout applies to one period without an endpoint, not to the whole wait.
            session.unserved_since = None;
        } else if now - *session.unserved_since.get_or_insert(now)
            >= self.config.unserved_timeout_ms
        {
            let refusal = explain_no_endpoint(&self.endpoints, session);
            self.refuse(now, id, refusal);
            return;
        }
        let may_try_again = session.is_dispatched && !session.tried_agents.is_empty();
        if may_try_again && now >= session.retry_at {
            session.tried_agents.clear();
            self.router.withdraw(id);
            self.place(now, id);
        }
    }

    /// Starts the unserved timeout of waiting sessions that have no usable endpoint.
    pub(crate) fn start_unserved_timeouts(&mut self, now: ClockMs) {
        for session in self.sessions.values_mut() {
            let spec = session.record.spec();
            let target = BackEndTarget::Engine(spec.target.clone());
            let is_waiting = session.phase == Phase::Waiting;
            if is_waiting && !self.router.can_serve(now, &spec.catalogue_entry, &target) {
                session.unserved_since.get_or_insert(now);
            }
        }
    }

    /// Retries the placement of a parked session, or refuses the session after the unserved
    /// timeout.
    fn retry_parked(&mut self, now: ClockMs, id: GenerationId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let unserved_since = *session.unserved_since.get_or_insert(now);
        if now - unserved_since >= self.config.unserved_timeout_ms {
            let refusal = explain_no_endpoint(&self.endpoints, session);
            self.refuse(now, id, refusal);
        } else if now >= session.retry_at {
            session.tried_agents.clear();
            self.place(now, id);
        }
    }
}

fn explain_no_endpoint(endpoints: &EndpointTable, session: &Session) -> Refusal {
    let target = &session.record.spec().target;
    let detail = format!("no endpoint can run {} {}", target.model, target.version);
    let refusal = if !session.is_dispatched {
        Refusal::not_run(RefusalKind::NoEndpoint, detail)
    } else if session.has_no_tokens() || endpoints.has_model(target) {
        Refusal::failed(RefusalKind::BackEndFailed, detail)
    } else {
        Refusal::failed(RefusalKind::VersionGone, detail)
    };
    refusal.retry_after(RETRY_AFTER_MS)
}
