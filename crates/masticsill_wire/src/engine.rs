//! JSON types of the model engines' HTTP interface.
//!
//! - `POST /v1/completions` with `"stream": true` answers server-sent events, one
//!   [`CompletionChunk`] each, then `data: [DONE]`. Closing the connection cancels the request.
//! - `POST /v1/cancel` takes a [`CancelBody`].
//! - `GET /v1/load` answers an [`EngineLoad`], late by the engine's own lag.
//! - `GET /v1/cache_events?after=N` answers [`CacheEvents`], late and with gaps.
//! - `POST /v1/orders` takes an [`OrderBody`]; an engine that checks refuses an old fencing number
//!   with status 409.
//! - `GET /v1/models` answers [`LoadedModels`].

use masticsill_types::{AdapterId, FencingNumber, ModelId, ModelTarget, VersionId};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionBody {
    /// Adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Tokens of the whole answer at most, the resumed ones included.
    pub max_tokens: u32,
    /// The model.
    pub model: ModelId,
    /// Smaller numbers are served first.
    pub priority: u8,
    /// The prompt.
    pub prompt: String,
    /// Names the request in `POST /v1/cancel`.
    pub request_id: String,
    /// Token ids of the answer so far; generation continues after them.
    pub resume_token_ids: Vec<u32>,
    /// Sampler seed.
    pub seed: u64,
    /// Always true.
    pub stream: bool,
    /// Temperature.
    pub temperature: f64,
    /// Nucleus threshold.
    pub top_p: f64,
    /// The model's version.
    pub version: VersionId,
}

/// One server-sent event of a completion.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionChunk {
    /// `length` or `stop` in the last chunk.
    pub finish_reason: Option<String>,
    /// Index of the first token in the whole answer.
    pub index: u32,
    /// The tokens.
    pub tokens: Vec<ChunkToken>,
}

/// One token of a chunk.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChunkToken {
    /// The token's bytes, which may end inside a UTF-8 character.
    pub bytes: Vec<u8>,
    /// The token's number.
    pub id: u32,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelBody {
    /// The request to end.
    pub request_id: String,
}

/// Body of `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Age of these numbers, in milliseconds.
    pub age_ms: u64,
    /// Requests being decoded.
    pub running: u32,
    /// Recent median gap between tokens, in milliseconds.
    pub token_gap_ms: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// Body of `GET /v1/cache_events`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Events after the sequence asked for; sequences may jump.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Whether the prefix was stored, or dropped.
    pub is_stored: bool,
    /// Hash of the prefix, as the engine computes it.
    pub prefix_hash: u64,
    /// Position in the engine's sequence of events; a jump is a gap.
    pub sequence: u64,
}

/// Body of `GET /v1/models`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadedModels {
    /// What is loaded.
    pub loaded: Vec<ModelTarget>,
    /// Generations decoded at the same time at most.
    pub slots: u32,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrderBody {
    /// The order's fencing number.
    pub fencing: FencingNumber,
    /// What to do.
    pub order: EngineOrder,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load a model, version and adapter beside what is loaded.
    Load(ModelTarget),
    /// Unload one.
    Unload(ModelTarget),
}
