//! Commands from an agent to its engine, and events from the engine.

use masticsill_types::{AttemptFailure, FinishReason, GenerationSpec, Token, TokenIndex};

/// The number of one run of a generation on the engine; an agent never uses a number twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunNumber(pub u64);

/// A command for the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineCommand {
    /// Start a run; its events carry the run's number.
    Run(Box<RunRequest>),
    /// Cancel a run; its later events are dropped.
    Cancel(RunNumber),
}

/// What an engine has to generate in one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRequest {
    /// Ids of the answer's tokens so far; the engine continues after them.
    pub resume_token_ids: Vec<u32>,
    /// The number of the run.
    pub run: RunNumber,
    /// The specification of the whole generation.
    pub spec: GenerationSpec,
}

/// An event of one run of an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// Tokens in order, starting at `first_index`.
    Tokens {
        /// Why the answer ends after these tokens, if it does.
        finish: Option<FinishReason>,
        /// Index of the first token in the whole answer.
        first_index: TokenIndex,
        /// The tokens.
        tokens: Vec<Token>,
    },
    /// The run failed before the end of the answer.
    Failed(AttemptFailure),
}
