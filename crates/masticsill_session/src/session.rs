//! One generation that this entry owns.

use indexmap::IndexSet;
use masticsill_generation::Record;
use masticsill_types::{ClockMs, NodeId, Refusal};

use crate::caller::Caller;

/// Where the current attempt of a session stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The final item is being handed over, or waits for a caller that may come back.
    Ended,
    /// The agent's tokens are followed.
    Following(NodeId),
    /// The start was sent to the agent.
    Starting(NodeId),
    /// No endpoint could take the attempt yet.
    Waiting,
}

/// A generation, its caller and its current attempt.
#[derive(Debug)]
pub(crate) struct Session {
    /// The caller, while connected.
    pub(crate) caller: Option<Caller>,
    /// Whether any attempt may have reached an engine; if not, a refusal is *not run*.
    pub(crate) is_dispatched: bool,
    /// Where the attempt stands.
    pub(crate) phase: Phase,
    /// The record.
    pub(crate) record: Record,
    /// The final refusal, once the generation was given up.
    pub(crate) refusal: Option<Refusal>,
    /// When a waiting session looks for an endpoint again.
    pub(crate) retry_at: ClockMs,
    /// When the caller last came or went.
    pub(crate) since: ClockMs,
    /// Agents tried since the last token.
    pub(crate) tried: IndexSet<NodeId>,
    /// Since when no endpoint has brought a token, if that is so.
    pub(crate) unserved_since: Option<ClockMs>,
}

impl Session {
    /// A session that waits for an endpoint.
    pub(crate) fn new(record: Record, caller: Caller, now: ClockMs) -> Self {
        Self {
            caller: Some(caller),
            is_dispatched: false,
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

    /// Whether no token was ever taken.
    pub(crate) fn is_untouched(&self) -> bool {
        self.record.tokens().is_empty()
    }
}
