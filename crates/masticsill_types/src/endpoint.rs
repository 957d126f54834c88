//! What an endpoint is and how loaded it says it is.

use serde::{Deserialize, Serialize};

use crate::{AdapterId, ModelId, VersionId};

/// The exact model that a generation is pinned to.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ModelTarget {
    /// Adapter on top of the model, if any.
    pub adapter: Option<AdapterId>,
    /// The model.
    pub model: ModelId,
    /// Its version.
    pub version: VersionId,
}

/// What stands behind an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndpointKind {
    /// A model engine that batches continuously.
    Engine {
        /// Models, versions and adapters that are loaded now.
        loaded: Vec<ModelTarget>,
        /// Generations that the engine decodes at the same time.
        slots: u32,
        /// Whether the engine itself refuses orders with an old fencing number.
        is_checking_fencing: bool,
    },
    /// A plain service, called by whole request and whole reply.
    PlainService {
        /// The service's name, as catalogue entries refer to it.
        service: ModelId,
    },
}

/// An endpoint as its agent announces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointProfile {
    /// What stands behind the agent.
    pub kind: EndpointKind,
    /// Whether the endpoint is leaving: it finishes what it has and takes nothing new.
    pub is_leaving: bool,
}

/// An engine's load as it reports it, late by its own lag.
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
