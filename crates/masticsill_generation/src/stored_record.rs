//! A record together with the state that an agent needs to run and deliver it.

use masticsill_types::{AttemptFailure, AttemptState, ClockMs, FinishReason, Token};
use masticsill_wire::agent::{Progress, ProgressState, PullCursor};

use crate::pulls::PullNumber;
use crate::record::Record;
use crate::run::{EngineEvent, RunNumber};

/// Upper bound of the encoded size of a token without its text bytes.
const MAX_TOKEN_OVERHEAD_BYTES: usize = 8;

/// The effect of an event on its run.
#[derive(Debug)]
pub(crate) enum RunEffect {
    /// The run continues.
    Continues,
    /// The engine has ended the run.
    Ended(AttemptState),
    /// The attempt has ended, and the run has to be cancelled at the engine.
    CancelRun(AttemptState),
}

/// A stored record with its run, its owner's pull and its delivery state.
#[derive(Debug)]
pub(crate) struct StoredRecord {
    /// When the attempt ended; `None` while it runs.
    pub(crate) ended_at: Option<ClockMs>,
    /// Whether the attempt's end was delivered to the owner, or nobody waits for it.
    pub(crate) is_delivered: bool,
    /// When the owner last pulled.
    pub(crate) pulled_at: ClockMs,
    pub(crate) record: Record,
    /// The engine run whose events are applied to the record.
    pub(crate) run: Option<RunNumber>,
    /// The waiting pull to notify at the next update, and the position of this record's cursor in
    /// it.
    pub(crate) waiting_pull: Option<(PullNumber, usize)>,
}

impl StoredRecord {
    pub(crate) fn started(now: ClockMs, run: RunNumber, record: Record) -> Self {
        Self::new(now, Some(run), record)
    }

    /// A record that already has its maximum number of tokens and therefore needs no run.
    pub(crate) fn complete(now: ClockMs, record: Record) -> Self {
        let mut stored = Self::new(now, None, record);
        stored.end(now, AttemptState::Finished(FinishReason::Length));
        stored
    }

    fn new(now: ClockMs, run: Option<RunNumber>, record: Record) -> Self {
        Self {
            ended_at: None,
            is_delivered: false,
            pulled_at: now,
            record,
            run,
            waiting_pull: None,
        }
    }

    pub(crate) fn is_owned_by(&self, nonce: u32) -> bool {
        has_nonce(self.record.lineage().epoch.0, nonce)
    }

    pub(crate) fn was_owned_by(&self, nonce: u32) -> bool {
        let mut history = self.record.history().iter();
        history.any(|segment| has_nonce(segment.lineage.epoch.0, nonce))
    }

    /// Applies an event of the current run to the record.
    pub(crate) fn apply_event(&mut self, event: EngineEvent) -> RunEffect {
        let (finish, first_index, tokens) = match event {
            EngineEvent::Failed(failure) => return RunEffect::Ended(AttemptState::Failed(failure)),
            EngineEvent::Tokens {
                finish,
                first_index,
                tokens,
            } => (finish, first_index, tokens),
        };
        if first_index > self.record.next_index() {
            // A gap can't be filled: the engine does not send a token twice.
            return RunEffect::CancelRun(AttemptState::Failed(AttemptFailure::EngineLost));
        }
        let room = usize::try_from(self.record.max_tokens().saturating_sub(first_index.0))
            .unwrap_or_default();
        let tokens = tokens.into_iter().take(room).collect();
        self.record
            .append_tokens(self.record.lineage(), first_index, tokens);
        if let Some(reason) = finish {
            return RunEffect::Ended(AttemptState::Finished(reason));
        }
        if self.record.is_full() {
            return RunEffect::CancelRun(AttemptState::Finished(FinishReason::Length));
        }
        RunEffect::Continues
    }

    pub(crate) fn end(&mut self, now: ClockMs, end: AttemptState) {
        let lineage = self.record.lineage();
        let end_index = self.record.next_index();
        if self.record.end_attempt(lineage, end_index, end) {
            self.ended_at = Some(now);
        }
    }

    /// The tokens and the state that the cursor's owner does not have yet, limited to
    /// `remaining_bytes`; `None` when there is nothing to send. The state is `Running` until the
    /// last token is sent.
    pub(crate) fn progress_after(
        &mut self,
        now: ClockMs,
        cursor: &PullCursor,
        remaining_bytes: &mut usize,
    ) -> Option<Progress> {
        self.pulled_at = now;
        let missing = self.record.tokens_from(cursor.next_index);
        let tokens = fit_into(missing, remaining_bytes).to_vec();
        let is_complete = tokens.len() == missing.len();
        let state = if is_complete {
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

/// The longest prefix of the tokens that fits into `remaining_bytes`, which is reduced by its size.
fn fit_into<'tokens>(tokens: &'tokens [Token], remaining_bytes: &mut usize) -> &'tokens [Token] {
    let mut count = 0;
    for token in tokens {
        let bytes = token.bytes.len() + MAX_TOKEN_OVERHEAD_BYTES;
        if bytes > *remaining_bytes {
            break;
        }
        *remaining_bytes -= bytes;
        count += 1;
    }
    &tokens[..count]
}

/// Whether the lower half of the epoch is the owner's nonce.
fn has_nonce(epoch: u64, nonce: u32) -> bool {
    epoch & u64::from(u32::MAX) == u64::from(nonce)
}
