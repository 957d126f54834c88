//! Types that describe a generation and its progress.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    Attempt, Class, EntryId, GenerationId, ModelTarget, OwnerEpoch, TokenIndex, WorkspaceId,
};

/// Sampling settings that every attempt of a generation shares.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sampling {
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Seed of the sampler, fixed by the entry when the caller gives none.
    pub seed: u64,
    /// Sampling temperature, in thousandths.
    pub temperature_milli: u32,
    /// Nucleus sampling threshold, in thousandths.
    pub top_p_milli: u32,
}

/// Everything another engine needs to continue a generation exactly.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerationSpec {
    /// The catalogue entry that the caller named.
    pub catalogue_entry: EntryId,
    /// Class of the catalogue entry at admission.
    pub class: Class,
    /// The request's identity.
    pub id: GenerationId,
    /// The prompt, in the form that the engine accepts.
    pub prompt: String,
    /// Sampling settings.
    pub sampling: Sampling,
    /// Model, version and adapter, pinned at admission.
    pub target: ModelTarget,
    /// The owner of the catalogue entry.
    pub workspace: WorkspaceId,
}

/// One generated token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Token {
    /// Id of the token in the model's vocabulary.
    pub id: u32,
    /// Bytes of the token, which may end inside a UTF-8 character.
    pub bytes: Vec<u8>,
}

/// The reason why an engine finished an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The token limit was reached.
    Length,
    /// The model ended its answer.
    Stop,
}

impl FinishReason {
    /// The name used in completion bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Stop => "stop",
        }
    }
}

/// The reason why an attempt ended without finishing the answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// The connection to the engine was closed or refused.
    EngineLost,
    /// The engine sent nothing for far longer than its recent gaps between tokens.
    EngineFrozen,
    /// The engine refused the request.
    EngineRefused,
    /// The engine does not have the pinned version loaded.
    VersionMissing,
    /// The agent is leaving and returns the generation to its owner.
    Leaving,
    /// The owner cancelled the generation, or no entry pulled it for too long.
    Cancelled,
}

/// The state of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AttemptState {
    /// Running or waiting for a slot.
    Running,
    /// The engine finished the answer.
    Finished(FinishReason),
    /// The attempt failed; another may continue from the accepted tokens.
    Failed(AttemptFailure),
}

/// The owner epoch and attempt under which a token was delivered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Lineage {
    /// Epoch of the owner.
    pub epoch: OwnerEpoch,
    /// Attempt at the generation.
    pub attempt: Attempt,
}

impl Lineage {
    /// The first owner's first attempt; `nonce` is random.
    #[must_use]
    pub fn first(nonce: u32) -> Self {
        Self {
            epoch: OwnerEpoch::default().succeeded_by(nonce),
            attempt: Attempt(1),
        }
    }

    /// The same owner's next attempt.
    #[must_use]
    pub fn next_attempt(self) -> Self {
        Self {
            epoch: self.epoch,
            attempt: self.attempt.next(),
        }
    }

    /// The same attempt under a new owner; `nonce` is random.
    #[must_use]
    pub fn next_owner(self, nonce: u32) -> Self {
        Self {
            epoch: self.epoch.succeeded_by(nonce),
            attempt: self.attempt,
        }
    }
}

impl fmt::Display for Lineage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.attempt)
    }
}

/// A contiguous range of an answer's tokens that was produced under one lineage.
///
/// The segments of a record, in order, are its history. An answer may be continued from a record
/// only if that history contains the lineage and index that the caller received last. Any other
/// record belongs to a different branch, and combining the two would mix generations.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// Index of the segment's first token; the segment ends where the next one begins.
    pub first_index: TokenIndex,
    /// Lineage under which the tokens were produced.
    pub lineage: Lineage,
}
