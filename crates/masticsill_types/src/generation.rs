//! Shapes that describe a generation and its progress.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    Attempt, Class, EntryId, GenerationId, ModelTarget, OwnerEpoch, TokenIndex, WorkspaceId,
};

/// Sampling settings that every attempt of a generation shares.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sampling {
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Seed of the sampler, fixed by the entry when the caller gives none.
    pub seed: u64,
    /// Temperature in thousandths.
    pub temperature_milli: u32,
    /// Nucleus threshold in thousandths.
    pub top_p_milli: u32,
}

/// All that a second engine needs to continue a generation exactly.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GenerationSpec {
    /// The catalogue entry that the caller named.
    pub catalogue_entry: EntryId,
    /// Its class at admission.
    pub class: Class,
    /// The request's identity.
    pub id: GenerationId,
    /// The prompt, already in the engine's form.
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
    /// The token's number in the model's vocabulary.
    pub id: u32,
    /// Its bytes, which may end inside a UTF-8 character.
    pub bytes: Vec<u8>,
}

/// Why an engine ended an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The token limit was reached.
    Length,
    /// The model ended its answer.
    Stop,
}

impl FinishReason {
    /// The name in completion bodies.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Stop => "stop",
        }
    }
}

/// Why an attempt ended without finishing the answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// The connection to the engine was closed or refused.
    EngineLost,
    /// The engine stayed silent far longer than its own recent gaps.
    EngineFrozen,
    /// The engine refused the request.
    EngineRefused,
    /// The engine does not have the pinned version loaded.
    VersionMissing,
    /// The agent is leaving and hands the generation back.
    Leaving,
    /// The owner cancelled it, or nobody pulled it for too long.
    Cancelled,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum AttemptState {
    /// Running or waiting for a slot.
    Running,
    /// The engine ended the answer.
    Finished(FinishReason),
    /// The attempt ended early; another may continue from the accepted tokens.
    Failed(AttemptFailure),
}

/// The owner epoch and attempt under which a token was delivered.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Lineage {
    /// The ownership epoch.
    pub epoch: OwnerEpoch,
    /// The attempt within the generation.
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

/// A stretch of an answer that was produced under one lineage.
///
/// A record's segments, in order, are its history. An answer may be continued from a record only
/// where the lineage and index that the caller saw lie on that history; any other record belongs
/// to another branch, and joining the two would mix generations.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Segment {
    /// Index of the stretch's first token; it ends where the next segment begins.
    pub first_index: TokenIndex,
    /// The lineage.
    pub lineage: Lineage,
}
