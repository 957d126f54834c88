//! The join of announcements of one endpoint name, independent of their order.
//!
//! Control replicas receive heartbeats late, repeatedly and out of order, exchange their records
//! and pass them on to the entries, each of which receives them from several replicas. All must
//! converge to the same record, so the join is commutative, associative and idempotent: it is the
//! greatest incarnation and, within it, the furthest state combined with the newest heartbeat.

use std::net::SocketAddr;

use masticsill_types::ZoneId;

use crate::record::Announcement;

/// The effect of joining an announcement into the record of its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JoinOutcome {
    /// Nothing changed that matters for placing requests.
    Same,
    /// The state, address or slots of the known incarnation changed.
    Changed,
    /// A newer incarnation replaced the known one.
    Replaced,
}

/// The order of the heartbeats of one incarnation: by sequence and, for equal sequences, by all
/// other fields but the state, so that every process chooses the same one. States are joined
/// separately.
type Recency<'a> = (
    u64,
    bool,
    &'a str,
    SocketAddr,
    &'a ZoneId,
    u32,
    u64,
    bool,
    &'a str,
);

impl Announcement {
    /// Joins another announcement of the same name into this one.
    pub fn join(&mut self, other: &Self) -> JoinOutcome {
        debug_assert_eq!(
            self.id.name, other.id.name,
            "announcements of two names must not be joined"
        );
        if other.id.incarnation < self.id.incarnation {
            return JoinOutcome::Same;
        }
        if other.id.incarnation > self.id.incarnation {
            self.clone_from(other);
            return JoinOutcome::Replaced;
        }
        let state = self.state.max(other.state);
        let mut is_changed = state != self.state;
        if other.is_newer_than(self) {
            is_changed |= self.address != other.address || self.slots != other.slots;
            self.clone_from(other);
        }
        self.state = state;
        if is_changed {
            JoinOutcome::Changed
        } else {
            JoinOutcome::Same
        }
    }

    /// Whether this heartbeat is newer than another one of the same name, by incarnation and then
    /// by sequence.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.id.incarnation, self.recency()) > (other.id.incarnation, other.recency())
    }

    fn recency(&self) -> Recency<'_> {
        (
            self.sequence,
            // A deregistration has no data but the end, so any heartbeat with the same sequence is
            // preferred to it.
            !self.service.is_empty(),
            &self.service,
            self.address,
            &self.zone,
            self.slots,
            self.cold_left_ms,
            self.keeps_prompts,
            &self.version,
        )
    }
}
