//! Periods and timeouts.

/// Periods and timeouts of membership, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Periods {
    /// Between two comparisons with a random peer.
    pub compare_ms: u64,
    /// After which a direct probe or another call counts as failed.
    pub call_timeout_ms: u64,
    /// After which an indirect probe counts as failed.
    pub indirect_timeout_ms: u64,
    /// Between two probes.
    pub probe_ms: u64,
    /// Between two tries to reach a seed or a lost member while others are known.
    pub reconnect_ms: u64,
    /// Between two tries to reach a seed while nobody is known.
    pub join_ms: u64,
    /// How long a suspected member may take to refute before it counts as gone.
    pub suspicion_ms: u64,
    /// How long a gone member is remembered.
    pub tombstone_ms: u64,
}

impl Default for Periods {
    fn default() -> Self {
        Self {
            compare_ms: 10_000,
            call_timeout_ms: 500,
            indirect_timeout_ms: 1_200,
            probe_ms: 1_000,
            reconnect_ms: 5_000,
            join_ms: 300,
            suspicion_ms: 4_000,
            tombstone_ms: 600_000,
        }
    }
}
