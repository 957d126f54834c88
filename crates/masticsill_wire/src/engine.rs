//! JSON types of the model engines' HTTP interface.
//!
//! - `POST /v1/completions` with `"stream": true` responds with server-sent events,
//!   one [`CompletionChunk`] each, then `data: [DONE]`. Closing the connection cancels the request.
//! - `POST /v1/cancel` takes a [`CancelBody`].
//! - `GET /v1/load` returns an [`EngineLoad`], delayed by the engine's reporting lag.
//! - `GET /v1/cache_events?after=N` returns [`CacheEvents`], delayed and possibly with gaps.
//! - `POST /v1/orders` takes an [`OrderBody`]; an engine that checks fencing numbers refuses a
//!   stale one with status 409.
//! - `GET /v1/models` returns [`LoadedModels`].

use masticsill_types::{AdapterId, FencingNumber, ModelId, ModelTarget, VersionId};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CompletionBody {
    /// Adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Maximum number of tokens in the whole answer, including the resumed ones.
    pub max_tokens: u32,
    /// The model.
    pub model: ModelId,
    /// Smaller numbers are served first.
    pub priority: u8,
    /// The prompt.
    pub prompt: String,
    /// Identifies the request in `POST /v1/cancel`.
    pub request_id: String,
    /// Token ids of the answer so far; generation continues after them.
    pub resume_token_ids: Vec<u32>,
    /// Sampler seed.
    pub seed: u64,
    /// Always true.
    pub stream: bool,
    /// Sampling temperature.
    pub temperature: f64,
    /// Nucleus sampling threshold.
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
    /// Id of the token in the model's vocabulary.
    pub id: u32,
}

/// Body of `POST /v1/cancel`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CancelBody {
    /// The request to cancel.
    pub request_id: String,
}

/// Body of `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Age of the report, in milliseconds.
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
    /// Events after the requested sequence number; numbers may be missing.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Whether the prefix was stored; otherwise it was evicted.
    pub is_stored: bool,
    /// Hash of the prefix, as the engine computes it.
    pub prefix_hash: u64,
    /// Sequence number of the event; a jump means that events were lost.
    pub sequence: u64,
}

/// Body of `GET /v1/models`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadedModels {
    /// The loaded models, versions and adapters.
    pub loaded: Vec<ModelTarget>,
    /// Maximum number of generations decoded concurrently.
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
    /// Load a model, version and adapter in addition to those already loaded.
    Load(ModelTarget),
    /// Unload a model, version and adapter.
    Unload(ModelTarget),
}
