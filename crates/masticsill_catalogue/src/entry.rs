//! What an operator writes: one catalogue entry.

use std::fmt;
use std::num::NonZeroU32;

use masticsill_types::{Class, EntryId, ModelId, ModelTarget, WorkspaceId, ZoneId};
use serde::{Deserialize, Serialize};

/// One entry of the catalogue, whole and checked.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueEntry {
    /// What serves the entry.
    pub back_end: BackEnd,
    /// What the entry promises about waiting.
    pub class: Class,
    /// Its name; callers use it as the model of a request.
    pub id: EntryId,
    /// What its callers may consume.
    pub limits: Limits,
    /// The workspace that owns it.
    pub owner: WorkspaceId,
    /// Where it runs and how often.
    pub placement: Placement,
}

/// What serves an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BackEnd {
    /// Model engines with this model, version and adapter loaded.
    Engine {
        /// The exact model.
        target: ModelTarget,
    },
    /// A plain service, called by whole request and whole reply.
    PlainService {
        /// The service's name, as its agents announce it.
        service: ModelId,
        /// Whether a call may be sent twice without harm.
        is_repeatable: bool,
    },
}

/// What the callers of an entry may consume; an absent number sets no limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Generations or calls running at the same time.
    pub concurrent_generations: Option<NonZeroU32>,
    /// Requests waiting for a place.
    pub queue_length: Option<NonZeroU32>,
    /// Requests admitted per second.
    pub requests_per_s: Option<NonZeroU32>,
    /// Tokens generated per second.
    pub tokens_per_s: Option<NonZeroU32>,
}

/// Where an entry runs and how often.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Replicas wanted in all.
    pub replicas: u32,
    /// How the replicas are split into roles; empty means that every replica is mixed.
    pub roles: Vec<RoleReplicas>,
    /// Availability zones that may hold replicas, each once; empty means any.
    pub zones: Vec<ZoneId>,
}

/// Replicas wanted in one role.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoleReplicas {
    /// Replicas wanted in the role.
    pub replicas: u32,
    /// The role.
    pub role: EngineRole,
}

/// What an engine replica does for an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Generates tokens after a prompt that another replica has read.
    Decode,
    /// Reads prompts and generates tokens.
    Mixed,
    /// Reads prompts only.
    Prefill,
}

impl EngineRole {
    /// Every role, by name.
    pub const ALL: [Self; 3] = [Self::Decode, Self::Mixed, Self::Prefill];

    /// The name in the administration API.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Decode => "decode",
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
        }
    }
}

impl fmt::Display for EngineRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl BackEnd {
    /// The model target, when engines serve the entry.
    #[must_use]
    pub fn target(&self) -> Option<&ModelTarget> {
        match self {
            Self::Engine { target } => Some(target),
            Self::PlainService { .. } => None,
        }
    }
}
