//! Numbers that shape the router's decisions.

use masticsill_types::{Class, ZoneId};

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum PlacementPolicy {
    /// By prefix, free slots and zone, with slots reserved for lookups and fair queues.
    #[default]
    Affinity,
    /// The one with the fewest requests of this entry; a baseline that never holds work back.
    LeastConnections,
    /// Each in turn; a baseline that never holds work back.
    RoundRobin,
}

/// Numbers that shape the router's decisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterConfig {
    /// How long a draft may wait.
    pub max_draft_wait_ms: u64,
    /// How long a lookup may wait.
    pub max_lookup_wait_ms: u64,
    /// How an endpoint is chosen.
    pub policy: PlacementPolicy,
    /// Requests of one class that may wait for one model.
    pub queue_length: usize,
    /// Requests that a plain service instance is given at once.
    pub service_slots: u32,
    /// Age after which a load report says nothing any more.
    pub stale_report_ms: u64,
    /// This node's availability zone.
    pub zone: ZoneId,
}

impl RouterConfig {
    /// The usual numbers, for a node in `zone`.
    #[must_use]
    pub fn in_zone(zone: ZoneId) -> Self {
        Self {
            max_draft_wait_ms: 60_000,
            max_lookup_wait_ms: 2_000,
            policy: PlacementPolicy::default(),
            queue_length: 1_024,
            service_slots: 64,
            stale_report_ms: 5_000,
            zone,
        }
    }

    pub(crate) fn max_wait_ms(&self, class: Class) -> u64 {
        match class {
            Class::InstantLookup => self.max_lookup_wait_ms,
            Class::PatientDraft => self.max_draft_wait_ms,
        }
    }
}
