//! Calls of plain services, each run at most once.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, GenerationId, Incarnation, Refusal, RefusalKind};
use masticsill_wire::agent::{BuryRequest, CallAnswer, CallReply};

/// A sweep visits every id, so it runs this many times per key window instead of at each tick.
const SWEEPS_PER_WINDOW: u64 = 100;

/// Limits of a [`CallTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallLimits {
    /// How long an id is remembered after its last state change, in milliseconds.
    pub key_window_ms: u64,
    /// Maximum size of all stored answer bodies, in bytes. The oldest answers are evicted first.
    pub max_answer_bytes: usize,
    /// Maximum number of remembered ids, about 100 bytes each. Tombstones may take as many again.
    ///
    /// The limit has to cover the calls of a whole key window: a full table refuses new calls.
    pub max_calls: usize,
    /// Delay after which a refused caller may retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// What the agent has to do with an arriving call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    /// Send the call to the service; [`CallTable::mark_started`] has to be called just before its
    /// first byte.
    Send,
    /// A call with the same id is in flight: wait for its outcome.
    Join,
    /// The reply is known: return it without sending the call.
    Reply(CallReply),
}

#[derive(Clone, Debug, PartialEq)]
enum CallState {
    /// Accepted; no byte has been sent yet.
    Accepted,
    /// Sent at least in part; the outcome is pending.
    Started,
    /// The service answered, and the answer is stored.
    Answered(Box<CallAnswer>),
    /// The service answered, but the answer has been evicted.
    AnswerEvicted,
    /// Sent at least in part; the outcome is unknown.
    Lost,
    /// Not sent; the tombstone prevents any later send.
    Tombstoned,
}

#[derive(Clone, Debug)]
struct CallRecord {
    changed_at: ClockMs,
    is_repeatable: bool,
    state: CallState,
}

/// The plain calls of one incarnation of an agent.
///
/// A call is either marked as started or buried (a tombstone prevents it from being sent), never
/// both, so a "not run" reply remains true even if requests arrive late. The table knows only the
/// calls of its own incarnation: a call for another incarnation is refused, and a request to bury
/// such a call is answered with an unknown outcome.
#[derive(Debug)]
pub struct CallTable {
    answer_bytes: usize,
    /// Ids of the stored answers, oldest first.
    stored_answer_ids: VecDeque<GenerationId>,
    calls: IndexMap<GenerationId, CallRecord>,
    incarnation: Incarnation,
    is_leaving: bool,
    limits: CallLimits,
    swept_at: ClockMs,
}

impl CallTable {
    /// Creates an empty table for the given incarnation of the agent.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: CallLimits) -> Self {
        Self {
            answer_bytes: 0,
            stored_answer_ids: VecDeque::new(),
            calls: IndexMap::new(),
            incarnation,
            is_leaving: false,
            limits,
            swept_at: ClockMs(0),
        }
    }

    /// Refuses new calls from now on.
    pub fn begin_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Registers an arriving call and returns what to do with it.
    pub fn begin(
        &mut self,
        now: ClockMs,
        id: GenerationId,
        incarnation: Incarnation,
        is_repeatable: bool,
    ) -> CallDecision {
        if incarnation != self.incarnation {
            let detail = "the call is meant for another life of the agent";
            return CallDecision::Reply(self.not_run(RefusalKind::NoEndpoint, detail));
        }
        let known = self.calls.get(&id).map(|call| &call.state);
        match known {
            Some(CallState::Accepted | CallState::Started) => return CallDecision::Join,
            Some(CallState::Lost) if is_repeatable => {}
            Some(state) => return CallDecision::Reply(self.reply(state)),
            None if self.is_leaving => {
                let detail = "the endpoint is leaving";
                return CallDecision::Reply(self.not_run(RefusalKind::ShuttingDown, detail));
            }
            None if self.calls.len() >= self.limits.max_calls => {
                let detail = "the agent remembers as many calls as it may";
                return CallDecision::Reply(self.not_run(RefusalKind::Overloaded, detail));
            }
            None => {}
        }
        self.insert_call(now, id, is_repeatable, CallState::Accepted);
        CallDecision::Send
    }

    /// Marks a call as started, just before its first byte is sent. Returns false when the call
    /// must not be sent.
    pub fn mark_started(&mut self, now: ClockMs, id: GenerationId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        if call.state != CallState::Accepted {
            return false;
        }
        call.state = CallState::Started;
        call.changed_at = now;
        true
    }

    /// Records the service's answer and returns the reply. The answer is stored for repeats unless
    /// the call is repeatable.
    pub fn note_answer(&mut self, now: ClockMs, id: GenerationId, answer: CallAnswer) -> CallReply {
        let reply = CallReply::Answered(answer.clone());
        let is_repeatable = self.calls.get(&id).is_some_and(|call| call.is_repeatable);
        if is_repeatable {
            self.calls.swap_remove(&id);
            return reply;
        }
        self.answer_bytes += answer.body.len();
        self.insert_call(now, id, false, CallState::Answered(Box::new(answer)));
        self.stored_answer_ids.push_back(id);
        self.evict_answers();
        reply
    }

    /// Records that the outcome of a started call is unknown and returns the reply.
    pub fn note_lost(&mut self, now: ClockMs, id: GenerationId) -> CallReply {
        self.set_state(now, id, CallState::Lost);
        CallReply::OutcomeUnknown
    }

    /// Records that no byte of a call has reached or will reach the service, and returns the "not
    /// run" reply with `detail`.
    pub fn note_unsent(&mut self, now: ClockMs, id: GenerationId, detail: &str) -> CallReply {
        let is_repeatable = self.calls.get(&id).is_some_and(|call| call.is_repeatable);
        if is_repeatable {
            self.calls.swap_remove(&id);
        } else {
            self.set_state(now, id, CallState::Tombstoned);
        }
        self.not_run(RefusalKind::NoEndpoint, detail)
    }

    /// Prevents a call from being sent later by leaving a tombstone, or returns the outcome of a
    /// call that was started.
    pub fn bury(&mut self, now: ClockMs, request: &BuryRequest) -> CallReply {
        if request.incarnation != self.incarnation {
            return CallReply::OutcomeUnknown;
        }
        let state = self.calls.get(&request.id).map(|call| &call.state);
        let is_full = self.calls.len() >= self.limits.max_calls.saturating_mul(2);
        match state {
            Some(CallState::Accepted) => {}
            Some(state) => return self.reply(state),
            // Without room for a tombstone, a later send of the call can't be ruled out.
            None if is_full => return CallReply::OutcomeUnknown,
            None => {}
        }
        self.insert_call(now, request.id, false, CallState::Tombstoned);
        self.reply(&CallState::Tombstoned)
    }

    /// Removes the ids whose key window is over, except those of pending calls.
    pub fn tick(&mut self, now: ClockMs) {
        let key_window_ms = self.limits.key_window_ms;
        if now.since(self.swept_at) < key_window_ms / SWEEPS_PER_WINDOW {
            return;
        }
        self.swept_at = now;
        let mut freed_bytes = 0;
        self.calls.retain(|_, call| {
            let is_pending = matches!(call.state, CallState::Accepted | CallState::Started);
            let is_kept = is_pending || now.since(call.changed_at) < key_window_ms;
            if !is_kept {
                freed_bytes += stored_bytes(&call.state);
            }
            is_kept
        });
        self.answer_bytes -= freed_bytes;
        let calls = &self.calls;
        self.stored_answer_ids.retain(|id| calls.contains_key(id));
    }

    /// Number of remembered ids.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no id is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Number of calls that were accepted and have no outcome yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        let is_pending =
            |call: &&CallRecord| matches!(call.state, CallState::Accepted | CallState::Started);
        self.calls.values().filter(is_pending).count()
    }

    fn reply(&self, state: &CallState) -> CallReply {
        match state {
            CallState::Answered(answer) => CallReply::Answered(answer.as_ref().clone()),
            CallState::Tombstoned => self.not_run(
                RefusalKind::Superseded,
                "the call was buried before it was sent",
            ),
            CallState::Accepted
            | CallState::Started
            | CallState::AnswerEvicted
            | CallState::Lost => CallReply::OutcomeUnknown,
        }
    }

    fn not_run(&self, kind: RefusalKind, detail: &str) -> CallReply {
        let refusal = Refusal::not_run(kind, detail);
        CallReply::NotRun(refusal.retry_after(self.limits.retry_after_ms))
    }

    fn insert_call(
        &mut self,
        now: ClockMs,
        id: GenerationId,
        is_repeatable: bool,
        state: CallState,
    ) {
        let call = CallRecord {
            changed_at: now,
            is_repeatable,
            state,
        };
        self.calls.insert(id, call);
    }

    fn set_state(&mut self, now: ClockMs, id: GenerationId, state: CallState) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.changed_at = now;
            call.state = state;
        }
    }

    /// Evicts the oldest stored answers until the rest fits into `max_answer_bytes`.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(id) = self.stored_answer_ids.pop_front() else {
                return;
            };
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            if matches!(call.state, CallState::Answered(_)) {
                self.answer_bytes -= stored_bytes(&call.state);
                call.state = CallState::AnswerEvicted;
            }
        }
    }
}

fn stored_bytes(state: &CallState) -> usize {
    match state {
        CallState::Answered(answer) => answer.body.len(),
        _ => 0,
    }
}
