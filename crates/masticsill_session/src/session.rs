//! A generation that this entry node owns.

use indexmap::IndexSet;
use masticsill_generation::Record;
use masticsill_routing::WorkKind;
use masticsill_types::{Class, ClockMs, NodeId, Refusal, TokenIndex};

use crate::caller::Caller;
use crate::position::HolderHint;

/// Phase of a session's current attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// The generation has ended. The final item is being delivered, or is kept for a caller that
    /// may reconnect.
    Ended,
    /// The agent accepted the attempt and its tokens are being pulled.
    Following(NodeId),
    /// The start was sent to the agent, which has not replied yet.
    Starting(NodeId),
    /// The attempt has no agent: it is in the router's queue, or parked.
    Waiting,
}

/// A generation, its caller and its current attempt.
#[derive(Debug)]
pub(crate) struct Session {
    /// Index of the current attempt's first token.
    pub(crate) attempt_first_index: TokenIndex,
    /// The caller, while it is connected.
    pub(crate) caller: Option<Caller>,
    /// Number of attempts that failed since the last token.
    pub(crate) failures: u32,
    /// The agent at which the last attempt failed.
    pub(crate) last_failed_agent: Option<NodeId>,
    /// Whether the router has admitted the session, and so has counted it against the limits.
    pub(crate) is_admitted: bool,
    /// The agent that ran the latest attempt.
    pub(crate) holder: HolderHint,
    /// Whether any attempt may have reached an engine. If not, a refusal has the outcome `NotRun`.
    pub(crate) is_dispatched: bool,
    /// Whether the session waits, outside the router's queue, for the first endpoint that can serve
    /// it.
    pub(crate) is_parked: bool,
    /// Phase of the current attempt.
    pub(crate) phase: Phase,
    /// The record of the generation's tokens and attempts.
    pub(crate) record: Record,
    /// The final refusal, if the generation was refused or given up.
    pub(crate) refusal: Option<Refusal>,
    /// When a waiting session may use the agents tried before again.
    pub(crate) retry_at: ClockMs,
    /// When the caller last connected or disconnected, or the generation ended.
    pub(crate) last_activity_at: ClockMs,
    /// Agents tried since the last token.
    pub(crate) tried_agents: IndexSet<NodeId>,
    /// Since when the session has had no usable endpoint or its attempts have kept failing; `None`
    /// otherwise.
    pub(crate) unserved_since: Option<ClockMs>,
}

impl Session {
    /// A session that waits for its first endpoint at this entry node.
    pub(crate) fn new(record: Record, caller: Caller, now: ClockMs) -> Self {
        Self {
            attempt_first_index: record.next_index(),
            caller: Some(caller),
            last_failed_agent: None,
            failures: 0,
            holder: HolderHint::default(),
            is_admitted: false,
            is_dispatched: false,
            is_parked: false,
            phase: Phase::Waiting,
            record,
            refusal: None,
            retry_at: now,
            last_activity_at: now,
            tried_agents: IndexSet::new(),
            unserved_since: None,
        }
    }

    /// The agent that starts or runs the current attempt.
    pub(crate) fn agent(&self) -> Option<&NodeId> {
        match &self.phase {
            Phase::Following(agent) | Phase::Starting(agent) => Some(agent),
            Phase::Ended | Phase::Waiting => None,
        }
    }

    /// Whether the current attempt is at the given agent.
    pub(crate) fn is_at(&self, agent: &NodeId) -> bool {
        self.agent() == Some(agent)
    }

    /// Which kind of work the next attempt is to the router: new, a retry or a resumption.
    pub(crate) fn work_kind(&self) -> WorkKind {
        match &self.last_failed_agent {
            _ if self.is_dispatched => WorkKind::Resume,
            Some(failed) if self.is_admitted => WorkKind::Retry {
                failed: failed.clone(),
            },
            Some(_) | None => WorkKind::New,
        }
    }

    /// Whether the session may wait when there is no endpoint. Lookups may not and are refused at
    /// once.
    pub(crate) fn may_park(&self) -> bool {
        !self.is_dispatched && self.record.spec().class == Class::PatientDraft
    }

    /// Number of tokens that the current attempt has produced.
    pub(crate) fn attempt_tokens(&self) -> u32 {
        self.record.next_index().0 - self.attempt_first_index.0
    }

    /// Whether no token was ever accepted.
    pub(crate) fn has_no_tokens(&self) -> bool {
        self.record.tokens().is_empty()
    }
}
