//! What a leader may build on immediately before it gives an order.

use masticsill_types::{ClockMs, Term};

/// Proven leadership of one replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaderProof {
    /// When a majority was last known to follow.
    pub as_of: ClockMs,
    /// The term.
    pub term: Term,
}

impl LeaderProof {
    /// The term that is led now, within the lease.
    ///
    /// The proof is compared with `now`, so a process that was paused is not told what it was
    /// before its pause.
    #[must_use]
    pub fn led_term(self, now: ClockMs, lease_ms: u64) -> Option<Term> {
        (now.since(self.as_of) <= lease_ms).then_some(self.term)
    }
}
