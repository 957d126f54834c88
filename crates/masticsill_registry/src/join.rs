//! How the words of one endpoint id are joined, whatever order they come in.
//!
//! Control replicas hear an endpoint late, twice and out of order, exchange what they know, and
//! tell the entries, which hear it from several of them. All must end with the same: a join is
//! commutative, associative and idempotent. It is the greatest life; within that life the furthest
//! state, and beside it the newest heartbeat.

use std::net::SocketAddr;

use masticsill_types::ZoneId;

use crate::record::Announcement;

/// What a word did to what was known of its id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JoinOutcome {
    /// Nothing that matters to requests is different.
    Same,
    /// Something that matters to requests is different; the life is the same.
    Changed,
    /// A newer life is in place of the one known before.
    Replaced,
}

/// What orders the heartbeats of one life: the sequence, and for two with the same one whatever
/// differs, so that all choose the same.
type Recency<'a> = (u64, bool, &'a str, SocketAddr, &'a ZoneId, u32, u64, bool);

impl Announcement {
    /// Joins another word of the same name into this one.
    pub fn join(&mut self, other: &Self) -> JoinOutcome {
        debug_assert_eq!(
            self.id.name, other.id.name,
            "words of two ids are not joined"
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

    /// Whether this heartbeat was sent after another one of the same name.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        (self.id.incarnation, self.recency()) > (other.id.incarnation, other.recency())
    }

    fn recency(&self) -> Recency<'_> {
        (
            self.sequence,
            // A deregistration tells the end only.
            !self.service.is_empty(),
            &self.service,
            self.address,
            &self.zone,
            self.slots,
            self.cold_left_ms,
            self.keeps_prompts,
        )
    }
}
