//! Membership requests and views of the members for callers.

use masticsill_control_client::AddressBook;
use masticsill_quorum::{FolderId, Membership, MembershipChange, Replica, VoterId};
use masticsill_types::NodeId;
use masticsill_wire::control::{
    LeaderHint, ReplicaIdentity, ReplicaStanding, ReplicaView, ReplicasView,
};

use crate::quorum::request::MembershipRequest;

/// The effect that a request has on the present members.
#[derive(Debug)]
pub(crate) enum Interpretation {
    /// None: the members are already as requested.
    AlreadyDone,
    /// This membership change.
    Change(MembershipChange),
    /// The request can't be carried out; the text says why and what to do.
    Refused(String),
}

/// Interprets a request; `target_voters` is `None` where operators maintain the members.
pub(crate) fn interpret(
    membership_request: &MembershipRequest,
    membership: &Membership,
    target_voters: Option<usize>,
) -> Interpretation {
    match membership_request {
        MembershipRequest::Join {
            replica, replaces, ..
        } => interpret_join(&replica.id, replaces.as_ref(), membership),
        MembershipRequest::RemoveSurplus { id, .. } => {
            interpret_surplus(id, membership, target_voters)
        }
        MembershipRequest::Remove { node, .. } => {
            let member = membership.members().find(|member| member.name == *node);
            match member.cloned() {
                Some(id) => Interpretation::Change(MembershipChange::Remove { id }),
                None => Interpretation::Refused(format!(
                    "replica `{node}` is not a member; list the replicas and name one of them"
                )),
            }
        }
    }
}

fn interpret_surplus(
    id: &VoterId,
    membership: &Membership,
    target_voters: Option<usize>,
) -> Interpretation {
    if !membership.is_member(id) || membership.leaving.contains(id) {
        return Interpretation::AlreadyDone;
    }
    let Some(target_voters) = target_voters else {
        return Interpretation::Refused(format!(
            "replica `{id}` stays a member; operators maintain the members of this cluster"
        ));
    };
    Interpretation::Change(MembershipChange::RemoveSurplus {
        id: id.clone(),
        target_voters,
    })
}

fn interpret_join(
    id: &VoterId,
    replaces: Option<&NodeId>,
    membership: &Membership,
) -> Interpretation {
    if membership.is_member(id) {
        return Interpretation::AlreadyDone;
    }
    let leaving = match replaces {
        None => None,
        Some(name) => {
            let voter = membership.voters.iter().find(|voter| voter.name == *name);
            let Some(voter) = voter else {
                return Interpretation::Refused(format!(
                    "replica `{name}` is not a voter; list the replicas and name the one to replace"
                ));
            };
            Some(voter.clone())
        }
    };
    Interpretation::Change(MembershipChange::Join {
        id: id.clone(),
        replaces: leaving,
    })
}

/// The members as the leader sees them.
pub(crate) fn view(replica: &Replica, book: &AddressBook) -> ReplicasView {
    let membership = replica.membership();
    let show = |id: &VoterId| ReplicaView {
        address: book.get(&id.name),
        folder: id.folder.0,
        node: id.name.clone(),
        standing: standing(id, membership),
    };
    ReplicasView {
        leader: replica.id().name.clone(),
        replicas: membership.members().map(show).collect(),
        term: replica.term(),
    }
}

fn standing(id: &VoterId, membership: &Membership) -> ReplicaStanding {
    if membership.leaving.contains(id) {
        ReplicaStanding::Leaving
    } else if membership.is_voter(id) {
        ReplicaStanding::Voter
    } else {
        ReplicaStanding::Learner
    }
}

pub(crate) fn hint(leader: &VoterId, book: &AddressBook) -> LeaderHint {
    LeaderHint {
        address: book.get(&leader.name),
        node: leader.name.clone(),
    }
}

pub(crate) fn identity(id: &VoterId, is_founded: bool) -> ReplicaIdentity {
    ReplicaIdentity {
        folder: id.folder.0,
        is_founded,
        node: id.name.clone(),
    }
}

pub(crate) fn voter(identity: &ReplicaIdentity) -> VoterId {
    VoterId {
        name: identity.node.clone(),
        folder: FolderId(identity.folder),
    }
}
