//! A record as an agent holds it.

use masticsill_types::{AttemptFailure, AttemptState, ClockMs, FinishReason, Token};
use masticsill_wire::agent::{Progress, ProgressState, PullCursor};

use crate::pulls::PullNumber;
use crate::record::Record;
use crate::run::{EngineEvent, RunNumber};

/// Encoded size of a token beside its bytes, at most.
const TOKEN_OVERHEAD_BYTES: usize = 8;

/// What an event did to its run.
#[derive(Debug)]
pub(crate) enum RunStep {
    /// The run goes on.
    Goes,
    /// The engine ended it.
    Ended(AttemptState),
    /// It has to be ended at the engine.
    Broken(AttemptState),
}

#[derive(Debug)]
pub(crate) struct Held {
    /// When the attempt ended.
    pub(crate) ended_at: Option<ClockMs>,
    /// Whether the attempt's end was handed to the owner.
    pub(crate) is_delivered: bool,
    /// When the owner last pulled.
    pub(crate) pulled_at: ClockMs,
    pub(crate) record: Record,
    /// The engine run whose events are taken.
    pub(crate) run: Option<RunNumber>,
    /// The waiting pull to tell at the next news, and the cursor's position in it.
    pub(crate) watcher: Option<(PullNumber, usize)>,
}

impl Held {
    pub(crate) fn started(now: ClockMs, run: RunNumber, record: Record) -> Self {
        Self::new(now, Some(run), record)
    }

    /// A record that has all tokens it may have: there is nothing left to run.
    pub(crate) fn whole(now: ClockMs, record: Record) -> Self {
        let mut held = Self::new(now, None, record);
        held.end(now, AttemptState::Finished(FinishReason::Length));
        held
    }

    fn new(now: ClockMs, run: Option<RunNumber>, record: Record) -> Self {
        Self {
            ended_at: None,
            is_delivered: false,
            pulled_at: now,
            record,
            run,
            watcher: None,
        }
    }

    pub(crate) fn is_owned_by(&self, nonce: u32) -> bool {
        has_nonce(self.record.lineage().epoch.0, nonce)
    }

    pub(crate) fn was_owned_by(&self, nonce: u32) -> bool {
        let mut history = self.record.history().iter();
        history.any(|segment| has_nonce(segment.lineage.epoch.0, nonce))
    }

    /// Takes an event of the current run.
    pub(crate) fn apply_event(&mut self, event: EngineEvent) -> RunStep {
        let (finish, first_index, tokens) = match event {
            EngineEvent::Failed(failure) => return RunStep::Ended(AttemptState::Failed(failure)),
            EngineEvent::Tokens {
                finish,
                first_index,
                tokens,
            } => (finish, first_index, tokens),
        };
        if first_index > self.record.next_index() {
            // A gap can't be closed: the engine does not send a token twice.
            return RunStep::Broken(AttemptState::Failed(AttemptFailure::EngineLost));
        }
        let room = usize::try_from(self.record.max_tokens().saturating_sub(first_index.0))
            .unwrap_or_default();
        let tokens = tokens.into_iter().take(room).collect();
        self.record
            .append_tokens(self.record.lineage(), first_index, tokens);
        if let Some(reason) = finish {
            return RunStep::Ended(AttemptState::Finished(reason));
        }
        if self.record.is_full() {
            return RunStep::Broken(AttemptState::Finished(FinishReason::Length));
        }
        RunStep::Goes
    }

    pub(crate) fn end(&mut self, now: ClockMs, end: AttemptState) {
        let lineage = self.record.lineage();
        let end_index = self.record.next_index();
        if self.record.end_attempt(lineage, end_index, end) {
            self.ended_at = Some(now);
        }
    }

    /// What the cursor's owner does not have yet, as far as there is room; `None` when it has
    /// everything.
    pub(crate) fn news(
        &mut self,
        now: ClockMs,
        cursor: &PullCursor,
        room_bytes: &mut usize,
    ) -> Option<Progress> {
        self.pulled_at = now;
        let missing = self.record.tokens_from(cursor.next_index);
        let tokens = fitting(missing, room_bytes).to_vec();
        let is_whole = tokens.len() == missing.len();
        let state = if is_whole {
            self.record.state()
        } else {
            AttemptState::Running
        };
        if tokens.is_empty() && state == AttemptState::Running {
            return None;
        }
        self.is_delivered = state != AttemptState::Running;
        Some(Progress {
            first_index: cursor.next_index,
            id: cursor.id,
            lineage: cursor.lineage,
            state: ProgressState::Attempt(state),
            tokens,
        })
    }
}

/// The first tokens that fit into the room left, which shrinks by them.
fn fitting<'tokens>(tokens: &'tokens [Token], room_bytes: &mut usize) -> &'tokens [Token] {
    let mut count = 0;
    for token in tokens {
        let bytes = token.bytes.len() + TOKEN_OVERHEAD_BYTES;
        if bytes > *room_bytes {
            break;
        }
        *room_bytes -= bytes;
        count += 1;
    }
    &tokens[..count]
}

fn has_nonce(epoch: u64, nonce: u32) -> bool {
    epoch & u64::from(u32::MAX) == u64::from(nonce)
}
