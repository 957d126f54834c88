//! One generation that this entry owns.

use indexmap::IndexSet;
use masticsill_generation::Record;
use masticsill_types::{ClockMs, NodeId};

use super::caller::Caller;

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
    /// Where the attempt stands.
    pub(crate) phase: Phase,
    /// When the phase or the caller last changed in a way that a timeout counts from.
    pub(crate) since: ClockMs,
    /// The record.
    pub(crate) record: Record,
    /// Agents tried since the last token.
    pub(crate) tried: IndexSet<NodeId>,
}

impl Session {
    /// A session that waits for an endpoint.
    pub(crate) fn new(record: Record, caller: Caller, now: ClockMs) -> Self {
        Self {
            caller: Some(caller),
            phase: Phase::Waiting,
            since: now,
            record,
            tried: IndexSet::new(),
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

    /// Whether no token was ever taken, so that the work may still be called *not run* once the
    /// attempt is off.
    pub(crate) fn is_untouched(&self) -> bool {
        self.record.tokens().is_empty()
    }
}
