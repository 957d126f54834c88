//! Catalogue entries, as operators define them.

use std::fmt;
use std::num::NonZeroU32;

use masticsill_types::{Class, EntryId, ModelId, ModelTarget, WorkspaceId, ZoneId};
use serde::{Deserialize, Serialize};

/// One entry of the catalogue, complete and validated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogueEntry {
    /// What serves the entry.
    pub back_end: BackEnd,
    /// The class of service, which says whether requests may wait for an endpoint.
    pub class: Class,
    /// The entry's name; callers send it as the model of a request.
    pub id: EntryId,
    /// What the entry's callers may consume.
    pub limits: Limits,
    /// The workspace that owns it.
    pub owner: WorkspaceId,
    /// In which availability zones the entry runs, and with how many replicas.
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
    /// A plain service: each call is one complete request and one complete reply.
    PlainService {
        /// The service's name, as its agents announce it.
        service: ModelId,
        /// Whether calls are idempotent, so that a call may be sent again.
        is_repeatable: bool,
    },
}

/// What the callers of an entry may consume; `None` means no limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Generations or calls running concurrently.
    pub concurrent_generations: Option<NonZeroU32>,
    /// Requests queued for a free slot.
    pub queue_length: Option<NonZeroU32>,
    /// Requests admitted per second.
    pub requests_per_s: Option<NonZeroU32>,
    /// Tokens generated per second.
    pub tokens_per_s: Option<NonZeroU32>,
}

/// In which availability zones an entry runs, and with how many replicas.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Total number of replicas wanted.
    pub replicas: u32,
    /// How many of the replicas have each role; empty means that every replica is mixed.
    pub roles: Vec<RoleReplicas>,
    /// Availability zones that may hold replicas, without duplicates; empty means any zone.
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
    /// Generates tokens for prompts that another replica has processed.
    Decode,
    /// Processes prompts and generates tokens.
    Mixed,
    /// Processes prompts only.
    Prefill,
}

impl EngineRole {
    /// Every role, ordered by name.
    pub const ALL: [Self; 3] = [Self::Decode, Self::Mixed, Self::Prefill];

    /// The role's name in the administration API.
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
    /// The model target, if engines serve the entry.
    #[must_use]
    pub fn target(&self) -> Option<&ModelTarget> {
        match self {
            Self::Engine { target } => Some(target),
            Self::PlainService { .. } => None,
        }
    }
}
