//! Settings of the router.

use masticsill_types::{Class, ZoneId};

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub enum PlacementPolicy {
    /// By cached prefix, free slots and zone, with slots reserved for lookups and fair queueing
    /// among workspaces.
    #[default]
    Affinity,
    /// The endpoint with the fewest requests of this entry. A baseline for comparison that does not
    /// check for free slots.
    LeastConnections,
    /// Each endpoint in turn. A baseline for comparison that does not check for free slots.
    RoundRobin,
}

/// Settings of the router.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouterConfig {
    /// Longest time that a draft may be queued, in milliseconds.
    pub max_draft_wait_ms: u64,
    /// Longest time that a lookup may be queued, in milliseconds.
    pub max_lookup_wait_ms: u64,
    /// How an endpoint is chosen.
    pub policy: PlacementPolicy,
    /// Requests of one class that may be queued for one model.
    pub queue_length: usize,
    /// Concurrent requests that an instance of a plain service is given.
    pub service_slots: u32,
    /// Age from which a load report is no longer used, in milliseconds.
    pub stale_report_ms: u64,
    /// This node's availability zone.
    pub zone: ZoneId,
}

impl RouterConfig {
    /// The default settings, for a node in `zone`.
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
