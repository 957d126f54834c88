//! The proof of leadership that a leader checks immediately before it issues an order.

use masticsill_types::{ClockMs, Term};

/// Proof that a replica was the leader of a term at a point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaderProof {
    /// When a majority was last known to follow the leader.
    pub as_of: ClockMs,
    /// The term of the leadership.
    pub term: Term,
}

impl LeaderProof {
    /// The term that the replica leads at `now`; `None` if the proof is older than `lease_ms`.
    ///
    /// The age of the proof is measured at `now`, so a process that was paused does not rely on a
    /// leadership from before the pause.
    #[must_use]
    pub fn led_term(self, now: ClockMs, lease_ms: u64) -> Option<Term> {
        (now.since(self.as_of) <= lease_ms).then_some(self.term)
    }
}
