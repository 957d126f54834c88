//! What an agent tells its engine, and what the engine tells back.

use masticsill_types::{AttemptFailure, FinishReason, GenerationSpec, Token, TokenIndex};

/// One run of a generation on the engine; numbers are never used twice by one agent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunNumber(pub u64);

/// A command for the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCommand {
    /// Generate; events come back under the run's number.
    Run(Box<RunRequest>),
    /// End a run; its later events are dropped.
    Cancel(RunNumber),
}

/// What an engine is to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRequest {
    /// Tokens of the answer so far; generation continues after them.
    pub resume_token_ids: Vec<u32>,
    /// The run.
    pub run: RunNumber,
    /// The whole generation.
    pub spec: GenerationSpec,
}

/// What an engine did in one run.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// Tokens in order, the first with the index given.
    Tokens {
        /// Why the answer ends after these tokens, if it does.
        finish: Option<FinishReason>,
        /// Index of the first token in the whole answer.
        first_index: TokenIndex,
        /// The tokens.
        tokens: Vec<Token>,
    },
    /// The run ended early.
    Failed(AttemptFailure),
}
