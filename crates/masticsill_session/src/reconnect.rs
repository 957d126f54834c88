//! Reconnecting callers, and generations that move to another entry node.

use masticsill_generation::Record;
use masticsill_routing::WorkOutcome;
use masticsill_types::{AttemptState, ClockMs, GenerationId, NodeId, Refusal, RefusalKind};
use masticsill_wire::agent::{AttachReply, AttachRequest, PullCursor};

use crate::caller::{AnswerSink, Caller};
use crate::position::{HolderHint, Position};
use crate::session::{Phase, Session};
use crate::session_table::{Action, RETRY_AFTER_MS, SearchResult, SessionTable, superseded};
use crate::work_request::build_work_request;

impl SessionTable {
    /// Resumes a generation for a caller that reconnected. If this entry node does not have the
    /// generation, a search for its record is started.
    pub fn reattach(&mut self, now: ClockMs, position: Position, sink: Box<dyn AnswerSink>) {
        let Some(session) = self.sessions.get_mut(&position.id) else {
            self.search(position, sink);
            return;
        };
        let mut caller = Caller::new(sink, position.next_index);
        if !session
            .record
            .can_resume(position.lineage, position.next_index)
        {
            caller.refuse(record_lost());
            return;
        }
        if let Some(refusal) = session.refusal.clone() {
            caller.refuse(refusal);
            return;
        }
        if let Some(mut previous) = session.caller.replace(caller) {
            previous.refuse(superseded());
        }
        session.last_activity_at = now;
        self.deliver(now, position.id);
    }

    /// Handles the result of a search.
    pub fn search_finished(&mut self, now: ClockMs, id: GenerationId, found: SearchResult) {
        let Some((position, sink)) = self.searches.swap_remove(&id) else {
            return;
        };
        let mut caller = Caller::new(sink, position.next_index);
        let (agent, snapshot) = match found {
            SearchResult::AtAgent(agent, snapshot) => (Some(agent), snapshot),
            SearchResult::AtEntry(snapshot) => (None, snapshot),
            SearchResult::NotFound => {
                caller.refuse(record_lost());
                return;
            }
            SearchResult::Unsettled => {
                caller.refuse(holder_silent());
                return;
            }
        };
        let Ok(record) = Record::from_snapshot(snapshot) else {
            caller.refuse(record_lost());
            return;
        };
        // While the search ran, a later connection may have replaced the one that started it.
        if !record.can_resume(position.lineage, position.next_index) {
            caller.refuse(record_lost());
            return;
        }
        let mut session = Session::new(record, caller, now);
        session.is_dispatched = true;
        self.sessions.insert(id, session);
        self.resume_found(now, id, agent);
    }

    /// Releases a generation to another entry node, to which its caller reconnected.
    pub fn release(&mut self, now: ClockMs, request: &AttachRequest) -> AttachReply {
        let Some(session) = self.sessions.get_mut(&request.id) else {
            return AttachReply::Unknown;
        };
        if !session.record.can_resume(request.seen, request.next_index) {
            return AttachReply::Behind;
        }
        session.record.change_owner(request.nonce);
        let snapshot = session.record.snapshot();
        if let Some(mut caller) = session.caller.take() {
            caller.refuse(superseded());
        }
        // The attempt is not cancelled, because the new owner may continue it.
        if let Some(agent) = self.release_slot(now, request.id, WorkOutcome::Cancelled) {
            self.actions.push(Action::Unfollow(agent, request.id));
        }
        self.sessions.swap_remove(&request.id);
        AttachReply::Attached(Box::new(snapshot))
    }

    fn search(&mut self, position: Position, sink: Box<dyn AnswerSink>) {
        let previous = self.searches.insert(position.id, (position, sink));
        match previous {
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
                session.holder = HolderHint::from(&agent);
                session.phase = Phase::Following(agent.clone());
                let request = build_work_request(session);
                self.router.adopt(now, &request, &agent);
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
}

fn holder_silent() -> Refusal {
    Refusal::not_run(
        RefusalKind::NoEndpoint,
        "a node that may hold the answer did not reply; keep the part received and its last id",
    )
    .retry_after(RETRY_AFTER_MS)
}

fn record_lost() -> Refusal {
    Refusal::failed(
        RefusalKind::RecordLost,
        "no record contains the part of the answer that was received",
    )
}
