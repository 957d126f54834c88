//! Plain calls that run at most once.

use std::collections::VecDeque;

use indexmap::IndexMap;
use masticsill_types::{ClockMs, GenerationId, Incarnation, Refusal, RefusalKind};
use masticsill_wire::agent::{BuryRequest, CallAnswer, CallReply};

/// A sweep looks at every id, so it is not done at each tick.
const SWEEPS_PER_WINDOW: u64 = 100;

/// Limits of a [`CallTable`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallLimits {
    /// How long an id is remembered after its last change, in milliseconds.
    pub key_window_ms: u64,
    /// Bytes of stored answers at most; the oldest lose their bodies first.
    pub max_answer_bytes: usize,
    /// Ids remembered at most, about 100 bytes each; tombstones may take as many again.
    ///
    /// It has to hold the calls of a whole key window: a full book refuses new ones.
    pub max_calls: usize,
    /// When a refused caller may come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// What to do with a call that arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    /// Send it to the service: [`CallTable::mark_started`] just before its first byte.
    Send,
    /// The same call is being sent: wait for its end.
    Join,
    /// Its end is known.
    Reply(CallReply),
}

#[derive(Clone, Debug, PartialEq)]
enum CallState {
    /// Taken, nothing sent yet.
    Taken,
    /// Sent, at least in part.
    Started,
    /// The service answered.
    Answered(Box<CallAnswer>),
    /// The service answered, and the answer is no longer stored.
    Forgotten,
    /// Sent, and its end is not known.
    Lost,
    /// Not sent, and never will be.
    Buried,
}

#[derive(Clone, Debug)]
struct CallRecord {
    changed_at: ClockMs,
    is_repeatable: bool,
    state: CallState,
}

/// The plain calls of one agent's life.
///
/// The start mark and the tombstone exclude each other: a call is either started or buried here,
/// so "not run" stays true whatever arrives late. Only what this life saw is known; a call meant
/// for another life is refused, and its burial is answered as unknown.
#[derive(Debug)]
pub struct CallTable {
    answer_bytes: usize,
    /// Ids of stored answers, the oldest first.
    answered: VecDeque<GenerationId>,
    calls: IndexMap<GenerationId, CallRecord>,
    incarnation: Incarnation,
    is_leaving: bool,
    limits: CallLimits,
    swept_at: ClockMs,
}

impl CallTable {
    /// An empty book of the agent's life given.
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: CallLimits) -> Self {
        Self {
            answer_bytes: 0,
            answered: VecDeque::new(),
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

    /// Takes a call in.
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
            Some(CallState::Taken | CallState::Started) => return CallDecision::Join,
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
        self.set(now, id, is_repeatable, CallState::Taken);
        CallDecision::Send
    }

    /// Marks a call as started, just before its first byte; false when it must not be sent.
    pub fn mark_started(&mut self, now: ClockMs, id: GenerationId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        if call.state != CallState::Taken {
            return false;
        }
        call.state = CallState::Started;
        call.changed_at = now;
        true
    }

    /// Stores the service's answer and returns the reply.
    pub fn note_answer(&mut self, now: ClockMs, id: GenerationId, answer: CallAnswer) -> CallReply {
        let reply = CallReply::Answered(answer.clone());
        let is_repeatable = self.calls.get(&id).is_some_and(|call| call.is_repeatable);
        if is_repeatable {
            self.calls.swap_remove(&id);
            return reply;
        }
        self.answer_bytes += answer.body.len();
        self.set(now, id, false, CallState::Answered(Box::new(answer)));
        self.answered.push_back(id);
        self.forget_answers();
        reply
    }

    /// Notes that a started call's end is not known and returns the reply.
    pub fn note_lost(&mut self, now: ClockMs, id: GenerationId) -> CallReply {
        self.change(now, id, CallState::Lost);
        CallReply::OutcomeUnknown
    }

    /// Notes that no byte of a call reached the service, and that none ever will.
    pub fn note_unsent(&mut self, now: ClockMs, id: GenerationId, detail: &str) -> CallReply {
        let is_repeatable = self.calls.get(&id).is_some_and(|call| call.is_repeatable);
        if is_repeatable {
            self.calls.swap_remove(&id);
        } else {
            self.change(now, id, CallState::Buried);
        }
        self.not_run(RefusalKind::NoEndpoint, detail)
    }

    /// Makes sure that a call is not sent later, or tells its end.
    pub fn bury(&mut self, now: ClockMs, request: &BuryRequest) -> CallReply {
        if request.incarnation != self.incarnation {
            return CallReply::OutcomeUnknown;
        }
        let state = self.calls.get(&request.id).map(|call| &call.state);
        let is_full = self.calls.len() >= self.limits.max_calls.saturating_mul(2);
        match state {
            Some(CallState::Taken) => {}
            Some(state) => return self.reply(state),
            // Without room for a tombstone nothing can be promised.
            None if is_full => return CallReply::OutcomeUnknown,
            None => {}
        }
        self.set(now, request.id, false, CallState::Buried);
        self.reply(&CallState::Buried)
    }

    /// Forgets ids whose key window is over.
    pub fn tick(&mut self, now: ClockMs) {
        let key_window_ms = self.limits.key_window_ms;
        if now.since(self.swept_at) < key_window_ms / SWEEPS_PER_WINDOW {
            return;
        }
        self.swept_at = now;
        let mut freed_bytes = 0;
        self.calls.retain(|_, call| {
            let is_pending = matches!(call.state, CallState::Taken | CallState::Started);
            let is_kept = is_pending || now.since(call.changed_at) < key_window_ms;
            if !is_kept {
                freed_bytes += stored_bytes(&call.state);
            }
            is_kept
        });
        self.answer_bytes -= freed_bytes;
        let calls = &self.calls;
        self.answered.retain(|id| calls.contains_key(id));
    }

    /// Ids remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no id is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Calls that were taken in and have not ended.
    #[must_use]
    pub fn pending(&self) -> usize {
        let is_pending =
            |call: &&CallRecord| matches!(call.state, CallState::Taken | CallState::Started);
        self.calls.values().filter(is_pending).count()
    }

    fn reply(&self, state: &CallState) -> CallReply {
        match state {
            CallState::Answered(answer) => CallReply::Answered(answer.as_ref().clone()),
            CallState::Buried => self.not_run(
                RefusalKind::Superseded,
                "the call was buried before it was sent",
            ),
            CallState::Taken | CallState::Started | CallState::Forgotten | CallState::Lost => {
                CallReply::OutcomeUnknown
            }
        }
    }

    fn not_run(&self, kind: RefusalKind, detail: &str) -> CallReply {
        let refusal = Refusal::not_run(kind, detail);
        CallReply::NotRun(refusal.retry_after(self.limits.retry_after_ms))
    }

    fn set(&mut self, now: ClockMs, id: GenerationId, is_repeatable: bool, state: CallState) {
        let call = CallRecord {
            changed_at: now,
            is_repeatable,
            state,
        };
        self.calls.insert(id, call);
    }

    fn change(&mut self, now: ClockMs, id: GenerationId, state: CallState) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.changed_at = now;
            call.state = state;
        }
    }

    /// Drops the bodies of the oldest answers until the rest fits.
    fn forget_answers(&mut self) {
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some(id) = self.answered.pop_front() else {
                return;
            };
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            if matches!(call.state, CallState::Answered(_)) {
                self.answer_bytes -= stored_bytes(&call.state);
                call.state = CallState::Forgotten;
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
