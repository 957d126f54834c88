//! Types that describe an endpoint and its reported load.

use serde::{Deserialize, Serialize};

use crate::{AdapterId, ModelId, VersionId};

/// The exact model that a generation is pinned to.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ModelTarget {
    /// Adapter loaded on top of the model, if any.
    pub adapter: Option<AdapterId>,
    /// The model.
    pub model: ModelId,
    /// Version of the model.
    pub version: VersionId,
}

/// The kind of endpoint that an agent serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointKind {
    /// A model engine with continuous batching.
    Engine {
        /// Currently loaded models, versions and adapters.
        loaded: Vec<ModelTarget>,
        /// Maximum number of generations that the engine decodes concurrently.
        slots: u32,
        /// Whether the engine itself refuses orders with a stale fencing number.
        is_checking_fencing: bool,
    },
    /// A plain service, called with complete requests and complete responses.
    PlainService {
        /// The service's name, as catalogue entries refer to it.
        service: ModelId,
    },
}

/// An endpoint as its agent announces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointProfile {
    /// Kind of endpoint.
    pub kind: EndpointKind,
    /// Whether the endpoint is leaving: it finishes its requests and accepts no new ones.
    pub is_leaving: bool,
}

/// An engine's load as it reports it, delayed by its reporting lag.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Generations being decoded.
    pub running: u32,
    /// Generations waiting for a slot.
    pub waiting: u32,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Recent median gap between tokens, in milliseconds.
    pub token_gap_ms: u32,
}
