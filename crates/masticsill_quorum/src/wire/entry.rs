//! Serialized form of identities, memberships, entries and snapshots.

use std::sync::Arc;

use masticsill_types::{NodeId, Term};
use serde::{Deserialize, Serialize};

use crate::wire::WireError;
use crate::{
    Entry, FolderId, Learner, LogIndex, MAX_VOTERS, Membership, Payload, Snapshot, VoterId,
};

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireVoterId {
    pub(crate) name: String,
    pub(crate) folder: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireLearner {
    pub(crate) id: WireVoterId,
    pub(crate) replaces: Option<WireVoterId>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireMembership {
    pub(crate) voters: Vec<WireVoterId>,
    pub(crate) learners: Vec<WireLearner>,
    pub(crate) leaving: Vec<WireVoterId>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum WirePayload {
    Command(Arc<[u8]>),
    Membership(WireMembership),
    Noop,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireEntry {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) payload: WirePayload,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct WireSnapshot {
    pub(crate) index: u64,
    pub(crate) term: u64,
    pub(crate) membership: WireMembership,
    pub(crate) data: Arc<[u8]>,
}

impl From<VoterId> for WireVoterId {
    fn from(id: VoterId) -> Self {
        Self {
            name: id.name.into(),
            folder: id.folder.0,
        }
    }
}

impl TryFrom<WireVoterId> for VoterId {
    type Error = WireError;

    fn try_from(wire: WireVoterId) -> Result<Self, Self::Error> {
        Ok(Self {
            name: NodeId::new(wire.name)?,
            folder: FolderId(wire.folder),
        })
    }
}

impl From<Learner> for WireLearner {
    fn from(learner: Learner) -> Self {
        Self {
            id: learner.id.into(),
            replaces: learner.replaces.map(WireVoterId::from),
        }
    }
}

impl TryFrom<WireLearner> for Learner {
    type Error = WireError;

    fn try_from(wire: WireLearner) -> Result<Self, Self::Error> {
        Ok(Self {
            id: wire.id.try_into()?,
            replaces: wire.replaces.map(VoterId::try_from).transpose()?,
        })
    }
}

impl From<Membership> for WireMembership {
    fn from(membership: Membership) -> Self {
        Self {
            voters: convert(membership.voters),
            learners: convert(membership.learners),
            leaving: convert(membership.leaving),
        }
    }
}

impl TryFrom<WireMembership> for Membership {
    type Error = WireError;

    fn try_from(wire: WireMembership) -> Result<Self, Self::Error> {
        let membership = Self {
            voters: try_convert(wire.voters)?,
            learners: try_convert(wire.learners)?,
            leaving: try_convert(wire.leaving)?,
        };
        let mut members: Vec<&VoterId> = membership.members().collect();
        let count = members.len();
        members.sort_unstable();
        members.dedup();
        // A voter that is being replaced stays a voter for one step alongside its replacement.
        let is_valid = members.len() == count && membership.voters.len() <= MAX_VOTERS + 1;
        is_valid.then_some(membership).ok_or(WireError::Membership)
    }
}

impl From<Payload> for WirePayload {
    fn from(payload: Payload) -> Self {
        match payload {
            Payload::Command(command) => Self::Command(command),
            Payload::Membership(membership) => Self::Membership(membership.into()),
            Payload::Noop => Self::Noop,
        }
    }
}

impl TryFrom<WirePayload> for Payload {
    type Error = WireError;

    fn try_from(wire: WirePayload) -> Result<Self, Self::Error> {
        Ok(match wire {
            WirePayload::Command(command) => Self::Command(command),
            WirePayload::Membership(membership) => Self::Membership(membership.try_into()?),
            WirePayload::Noop => Self::Noop,
        })
    }
}

impl From<Entry> for WireEntry {
    fn from(entry: Entry) -> Self {
        Self {
            index: entry.index.0,
            term: entry.term.0,
            payload: entry.payload.into(),
        }
    }
}

impl TryFrom<WireEntry> for Entry {
    type Error = WireError;

    fn try_from(wire: WireEntry) -> Result<Self, Self::Error> {
        Ok(Self {
            index: LogIndex(wire.index),
            term: Term(wire.term),
            payload: wire.payload.try_into()?,
        })
    }
}

impl From<Snapshot> for WireSnapshot {
    fn from(snapshot: Snapshot) -> Self {
        Self {
            index: snapshot.index.0,
            term: snapshot.term.0,
            membership: snapshot.membership.into(),
            data: snapshot.data,
        }
    }
}

impl TryFrom<WireSnapshot> for Snapshot {
    type Error = WireError;

    fn try_from(wire: WireSnapshot) -> Result<Self, Self::Error> {
        Ok(Self {
            index: LogIndex(wire.index),
            term: Term(wire.term),
            membership: wire.membership.try_into()?,
            data: wire.data,
        })
    }
}

/// Converts each item into its serialized form.
pub(crate) fn convert<T, W: From<T>>(items: Vec<T>) -> Vec<W> {
    items.into_iter().map(W::from).collect()
}

/// Converts each item from its serialized form.
pub(crate) fn try_convert<W, T: TryFrom<W>>(items: Vec<W>) -> Result<Vec<T>, T::Error> {
    items.into_iter().map(T::try_from).collect()
}
