//! One generation that this entry owns.

use indexmap::IndexSet;
use masticsill_generation::Record;
use masticsill_routing::WorkKind;
use masticsill_types::{Class, ClockMs, NodeId, Refusal, TokenIndex};

use crate::caller::Caller;
use crate::position::HolderHint;

/// Where the current attempt of a session stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The final item is being handed over, or waits for a caller that may come back.
    Ended,
    /// The agent's tokens are followed.
    Following(NodeId),
    /// The start was sent to the agent.
    Starting(NodeId),
    /// The attempt waits in the router's queue.
    Waiting,
}

/// A generation, its caller and its current attempt.
#[derive(Debug)]
pub(crate) struct Session {
    /// Index of the current attempt's first token.
    pub(crate) attempt_from: TokenIndex,
    /// The caller, while connected.
    pub(crate) caller: Option<Caller>,
    /// Attempts that ended early since the last token.
    pub(crate) failures: u32,
    /// The agent that failed last.
    pub(crate) failed_at: Option<NodeId>,
    /// Whether the router has admitted it, so that its limits have counted it.
    pub(crate) is_admitted: bool,
    /// Who ran the latest attempt.
    pub(crate) holder: HolderHint,
    /// Whether any attempt may have reached an engine; if not, a refusal is *not run*.
    pub(crate) is_dispatched: bool,
    /// Whether it waits for the first endpoint that can serve it, outside the router's queue.
    pub(crate) is_parked: bool,
    /// Where the attempt stands.
    pub(crate) phase: Phase,
    /// The record.
    pub(crate) record: Record,
    /// The final refusal, once the generation was given up.
    pub(crate) refusal: Option<Refusal>,
    /// When a waiting session may also use the agents tried before.
    pub(crate) retry_at: ClockMs,
    /// When the caller last came or went.
    pub(crate) since: ClockMs,
    /// Agents tried since the last token.
    pub(crate) tried: IndexSet<NodeId>,
    /// Since when no endpoint is usable or attempts keep failing, if that is so.
    pub(crate) unserved_since: Option<ClockMs>,
}

impl Session {
    /// A session that waits for an endpoint.
    pub(crate) fn new(record: Record, caller: Caller, now: ClockMs) -> Self {
        Self {
            attempt_from: record.next_index(),
            caller: Some(caller),
            failed_at: None,
            failures: 0,
            holder: HolderHint::default(),
            is_admitted: false,
            is_dispatched: false,
            is_parked: false,
            phase: Phase::Waiting,
            record,
            refusal: None,
            retry_at: now,
            since: now,
            tried: IndexSet::new(),
            unserved_since: None,
        }
    }

    /// The agent that runs or starts the attempt.
    pub(crate) fn agent(&self) -> Option<&NodeId> {
        match &self.phase {
            Phase::Following(agent) | Phase::Starting(agent) => Some(agent),
            Phase::Ended | Phase::Waiting => None,
        }
    }

    /// Whether the session is bound to the agent given.
    pub(crate) fn is_at(&self, agent: &NodeId) -> bool {
        self.agent() == Some(agent)
    }

    /// Why the session asks for its next place.
    pub(crate) fn work_kind(&self) -> WorkKind {
        match &self.failed_at {
            _ if self.is_dispatched => WorkKind::Resume,
            Some(failed) if self.is_admitted => WorkKind::Retry {
                failed: failed.clone(),
            },
            Some(_) | None => WorkKind::New,
        }
    }

    /// Whether it may wait for an endpoint when there is none. A lookup may not, and is refused
    /// at once.
    pub(crate) fn may_park(&self) -> bool {
        !self.is_dispatched && self.record.spec().class == Class::PatientDraft
    }

    /// Tokens that the current attempt brought.
    pub(crate) fn attempt_tokens(&self) -> u32 {
        self.record.next_index().0 - self.attempt_from.0
    }

    /// Whether no token was ever taken.
    pub(crate) fn is_untouched(&self) -> bool {
        self.record.tokens().is_empty()
    }
}
