//! The state of one member, and the order by which the newer of two records is found.

use std::net::SocketAddr;

use masticsill_types::{ClockMs, EndpointProfile, Incarnation, NodeId, ZoneId};
use serde::{Deserialize, Serialize};

/// The role of a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Serves one endpoint, which this profile describes.
    Agent(EndpointProfile),
    /// Belongs to the control quorum.
    Control,
    /// Accepts the requests of callers.
    Entry,
}

/// The lifecycle phase that a member announces. Only the member itself changes it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Phase {
    /// Accepts new work.
    Serving,
    /// Finishes its running work and accepts no new work.
    Leaving,
    /// Has stopped.
    Left,
}

/// The state of a member as nodes exchange it.
///
/// The records of one member are totally ordered by incarnation, revision and suspicion. Keeping
/// the greater of two records is therefore a join: messages may be reordered and repeated without
/// changing the result.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Address of the RPC listener.
    pub address: SocketAddr,
    /// The incarnation that this record describes.
    pub incarnation: Incarnation,
    /// Whether a node failed to reach the member at this revision. The member refutes the
    /// suspicion by announcing a higher revision.
    pub is_suspected: bool,
    /// Id of the member.
    pub node: NodeId,
    /// The lifecycle phase that the member announces.
    pub phase: Phase,
    /// Incremented by the member with each change of its own record.
    pub revision: u32,
    /// Role of the member.
    pub role: Role,
    /// Availability zone of the member.
    pub zone: ZoneId,
}

impl Record {
    /// Returns the position of this record in the total order of the records of a member. The
    /// greatest record wins.
    #[must_use]
    pub fn rank(&self) -> (Incarnation, u32, bool) {
        (self.incarnation, self.revision, self.is_suspected)
    }

    /// Returns whether this record replaces another record of the same member.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Returns whether the member announces that it accepts no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let is_profile_leaving = match &self.role {
            Role::Agent(profile) => profile.is_leaving,
            Role::Control | Role::Entry => false,
        };
        is_profile_leaving || self.phase != Phase::Serving
    }
}

/// The state of a member in the view of this node.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum MemberState {
    /// Assumed to be reachable.
    Alive,
    /// A probe failed and the member has not refuted the suspicion yet.
    Suspect,
    /// The member accepts no new work.
    Leaving,
    /// The member announced its end, or did not refute a suspicion within the suspicion timeout.
    Gone,
}

/// A member in the view of this node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Address of the RPC listener.
    pub address: SocketAddr,
    /// End of the hold-down, during which a member that failed repeatedly gets no new work.
    pub held_until: ClockMs,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Id of the member.
    pub node: NodeId,
    /// Number of changes that the member made to its own record in this incarnation.
    pub revision: u32,
    /// Role of the member.
    pub role: Role,
    /// State of the member in the view of this node.
    pub state: MemberState,
    /// Availability zone of the member.
    pub zone: ZoneId,
}

impl Member {
    /// Returns whether the member may be given new work: it is reachable, it is not leaving and no
    /// hold-down is in force.
    #[must_use]
    pub fn takes_work(&self, now: ClockMs) -> bool {
        let is_reachable = match self.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Leaving | MemberState::Gone => false,
        };
        is_reachable && self.held_until <= now
    }

    /// Returns whether the member is a control replica.
    #[must_use]
    pub fn is_control(&self) -> bool {
        self.role == Role::Control
    }

    /// Returns the profile of the endpoint that the member serves, or `None` if it is no agent.
    #[must_use]
    pub fn endpoint(&self) -> Option<&EndpointProfile> {
        match &self.role {
            Role::Agent(profile) => Some(profile),
            Role::Control | Role::Entry => None,
        }
    }

    pub(crate) fn from_record(record: &Record, state: MemberState, held_until: ClockMs) -> Self {
        Self {
            address: record.address,
            held_until,
            incarnation: record.incarnation,
            node: record.node.clone(),
            revision: record.revision,
            role: record.role.clone(),
            state,
            zone: record.zone.clone(),
        }
    }
}
