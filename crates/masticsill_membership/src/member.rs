//! What is known of one member, and which of two words about it wins.

use std::net::SocketAddr;

use masticsill_types::{ClockMs, EndpointProfile, Incarnation, NodeId, ZoneId};
use serde::{Deserialize, Serialize};

/// What a member does.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    /// Stands beside one endpoint.
    Agent(EndpointProfile),
    /// Belongs to the control quorum.
    Control,
    /// Takes callers' requests.
    Entry,
}

/// Where a member says it stands. Only its owner changes this.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Phase {
    /// Takes work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Has ended.
    Left,
}

/// A word about a member, as it travels.
///
/// Records of one member are totally ordered by incarnation, revision and suspicion, so that
/// keeping the greater one is a join: order and repetition of messages don't matter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Address of the RPC listener.
    pub address: SocketAddr,
    /// The life that the word is about.
    pub incarnation: Incarnation,
    /// Whether somebody failed to reach this very revision. The owner refutes by a higher one.
    pub is_suspected: bool,
    /// The member.
    pub node: NodeId,
    /// What the owner says of its stage of life.
    pub phase: Phase,
    /// Raised by the owner with each change of its own description.
    pub revision: u32,
    /// What the member does.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneId,
}

impl Record {
    /// The place of this word among all words about the member; the greatest wins.
    #[must_use]
    pub fn rank(&self) -> (Incarnation, u32, bool) {
        (self.incarnation, self.revision, self.is_suspected)
    }

    /// Whether this word wins over another about the same member.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Whether the owner says that it takes nothing new.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let is_profile_leaving = match &self.role {
            Role::Agent(profile) => profile.is_leaving,
            Role::Control | Role::Entry => false,
        };
        is_profile_leaving || self.phase != Phase::Serving
    }
}

/// How a member is seen from here.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum MemberState {
    /// Reachable as far as is known.
    Alive,
    /// A probe failed and the owner has not refuted yet.
    Suspect,
    /// The owner takes nothing new.
    Leaving,
    /// It ended, or stayed silent for the suspicion timeout.
    Gone,
}

/// A member as seen from here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Address of the RPC listener.
    pub address: SocketAddr,
    /// Held back until then, because it died often lately.
    pub held_until: ClockMs,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its id.
    pub node: NodeId,
    /// The owner's count of its own changes in this life.
    pub revision: u32,
    /// What it does.
    pub role: Role,
    /// How it is seen.
    pub state: MemberState,
    /// Its availability zone.
    pub zone: ZoneId,
}

impl Member {
    /// Whether the member may be given new work.
    #[must_use]
    pub fn takes_work(&self, now: ClockMs) -> bool {
        let is_reachable = match self.state {
            MemberState::Alive | MemberState::Suspect => true,
            MemberState::Leaving | MemberState::Gone => false,
        };
        is_reachable && self.held_until <= now
    }

    /// Whether it belongs to the control quorum.
    #[must_use]
    pub fn is_control(&self) -> bool {
        self.role == Role::Control
    }

    /// The endpoint that the member stands beside, for agents.
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
