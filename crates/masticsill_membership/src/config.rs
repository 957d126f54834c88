//! Periods and timeouts of membership.

/// Periods and timeouts of membership. All values are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Periods {
    /// Period of digest comparisons with a random peer.
    pub compare_ms: u64,
    /// Timeout of a direct probe and of every other call to a peer, except indirect probes.
    pub call_timeout_ms: u64,
    /// Timeout of an indirect probe.
    pub indirect_timeout_ms: u64,
    /// Period of probes.
    pub probe_ms: u64,
    /// Period of attempts to reach a seed or a failed member while other members are known.
    pub reconnect_ms: u64,
    /// Period of attempts to reach a seed while no other member is known.
    pub join_ms: u64,
    /// Time that a suspected member has to refute the suspicion before it counts as gone.
    pub suspicion_ms: u64,
    /// Time that the tombstone of a gone member is kept.
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
