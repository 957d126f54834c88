//! Voters and learners of the cluster, and membership changes one step at a time.

use thiserror::Error;

use crate::VoterId;

/// Maximum number of voters, not counting one that is being replaced.
pub const MAX_VOTERS: usize = 7;

/// A replica that receives the log but does not vote yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Learner {
    /// The learner's identity.
    pub id: VoterId,
    /// The voter to remove once this learner has become a voter.
    pub replaces: Option<VoterId>,
}

/// The members of the cluster as of a log entry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    /// Replicas whose votes and acknowledgements count.
    pub voters: Vec<VoterId>,
    /// Replicas that are catching up; the leader promotes them one at a time.
    pub learners: Vec<Learner>,
    /// Voters that the leader is to remove, in this order.
    pub leaving: Vec<VoterId>,
}

/// A membership change requested by a caller.
///
/// A joining replica is a learner until it has caught up; the leader then promotes it, and after
/// that removes the voter that it replaces. All steps follow from one durable request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Admit a replica. The voter given by `replaces`, or else a voter with the same name, is
    /// removed afterwards.
    Join {
        /// The new replica.
        id: VoterId,
        /// The voter to replace, if it has a different name.
        replaces: Option<VoterId>,
    },
    /// Remove a learner or a voter.
    Remove {
        /// The member to remove.
        id: VoterId,
    },
    /// Remove a learner, or a voter that is not needed.
    ///
    /// The check and the removal are one step, so that two such changes never remove one voter too
    /// many between them.
    RemoveSurplus {
        /// The member to remove.
        id: VoterId,
        /// The voters that must remain, not counting those that are leaving.
        target_voters: usize,
    },
}

/// Why a membership change is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum MembershipError {
    /// The replica is already a member.
    #[error("replica `{0}` is a member already; nothing needs to be done")]
    AlreadyMember(VoterId),
    /// An earlier change is not committed yet.
    #[error("another membership change is in progress; send this one again when it is done")]
    ChangeInProgress,
    /// The only voter can't be removed.
    #[error("replica `{0}` is the only voter; let another one join first")]
    LastVoter(VoterId),
    /// The cluster already has [`MAX_VOTERS`] voters.
    #[error("there are {MAX_VOTERS} voters; name the one that the new replica replaces")]
    TooManyVoters,
    /// The replica is not a member.
    #[error("replica `{0}` is not a member; list the members and name one of them")]
    UnknownMember(VoterId),
    /// The voter can't be removed without falling below the number of voters needed.
    #[error("replica `{0}` is needed as a voter; let another one join first")]
    VoterNeeded(VoterId),
}

impl Membership {
    /// A membership with the given voters and no learners.
    #[must_use]
    pub fn from_voters(voters: impl IntoIterator<Item = VoterId>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Whether a replica is a voter.
    #[must_use]
    pub fn is_voter(&self, id: &VoterId) -> bool {
        self.voters.contains(id)
    }

    /// Whether a replica is a voter or a learner.
    #[must_use]
    pub fn is_member(&self, id: &VoterId) -> bool {
        self.is_voter(id) || self.learners.iter().any(|learner| learner.id == *id)
    }

    /// Voters and learners, in that order.
    pub fn members(&self) -> impl Iterator<Item = &VoterId> {
        let learners = self.learners.iter().map(|learner| &learner.id);
        self.voters.iter().chain(learners)
    }

    /// Number of voters that form a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Number of voters that form a quorum: a majority, and at least `min_quorum` voters, or all if
    /// there are fewer.
    pub(crate) fn quorum_size(&self, min_quorum: usize) -> usize {
        self.majority().max(min_quorum.min(self.voters.len()))
    }

    /// Whether the voters that satisfy `has_answered` form a quorum.
    pub(crate) fn is_quorum(
        &self,
        min_quorum: usize,
        has_answered: impl Fn(&VoterId) -> bool,
    ) -> bool {
        let count = self.voters.iter().filter(|id| has_answered(id)).count();
        !self.voters.is_empty() && count >= self.quorum_size(min_quorum)
    }

    /// The highest value that a quorum of voters has reached; `None` without voters.
    pub(crate) fn quorum_value<V: Ord>(
        &self,
        min_quorum: usize,
        value: impl Fn(&VoterId) -> V,
    ) -> Option<V> {
        let mut values: Vec<V> = self.voters.iter().map(value).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.into_iter().nth(self.quorum_size(min_quorum) - 1)
    }

    /// Checks whether a change is possible with these members.
    ///
    /// # Errors
    ///
    /// The reason for which the change would be refused.
    pub fn check(&self, change: &MembershipChange) -> Result<(), MembershipError> {
        self.with_change(change).map(drop)
    }

    /// The membership after a requested change.
    pub(crate) fn with_change(&self, change: &MembershipChange) -> Result<Self, MembershipError> {
        match change {
            MembershipChange::Join { id, replaces } => self.with_learner(id, replaces.as_ref()),
            MembershipChange::Remove { id } => self.with_removal(id),
            MembershipChange::RemoveSurplus { id, target_voters } => {
                if self.is_needed(id, *target_voters) {
                    return Err(MembershipError::VoterNeeded(id.clone()));
                }
                self.with_removal(id)
            }
        }
    }

    fn with_learner(
        &self,
        id: &VoterId,
        replaces: Option<&VoterId>,
    ) -> Result<Self, MembershipError> {
        if self.is_member(id) {
            return Err(MembershipError::AlreadyMember(id.clone()));
        }
        let same_name_voter = self.voters.iter().find(|voter| voter.name == id.name);
        let replaces = replaces.or(same_name_voter).cloned();
        if let Some(replaced) = &replaces
            && !self.is_voter(replaced)
        {
            return Err(MembershipError::UnknownMember(replaced.clone()));
        }
        // A learner with the same name has lost its folder: the new replica takes its place.
        let unpaired_learners = self
            .learners
            .iter()
            .filter(|learner| learner.replaces.is_none() && learner.id.name != id.name);
        let planned_voters = self.voters.len() + unpaired_learners.count() - self.leaving.len();
        if replaces.is_none() && planned_voters >= MAX_VOTERS {
            return Err(MembershipError::TooManyVoters);
        }
        let mut next = self.clone();
        next.learners.retain(|learner| learner.id.name != id.name);
        next.learners.push(Learner {
            id: id.clone(),
            replaces,
        });
        Ok(next)
    }

    /// Whether fewer than `target_voters` voters would remain without a voter that is not leaving
    /// yet.
    fn is_needed(&self, id: &VoterId, target_voters: usize) -> bool {
        let stays = |voter: &&VoterId| !self.leaving.contains(voter);
        let staying = self.voters.iter().filter(stays);
        self.is_voter(id) && stays(&id) && staying.count() <= target_voters
    }

    fn with_removal(&self, id: &VoterId) -> Result<Self, MembershipError> {
        if !self.is_member(id) {
            return Err(MembershipError::UnknownMember(id.clone()));
        }
        if self.voters.len() == 1 && self.is_voter(id) {
            return Err(MembershipError::LastVoter(id.clone()));
        }
        let mut next = self.clone();
        if next.is_voter(id) {
            next.leaving.retain(|leaving| leaving != id);
            next.leaving.push(id.clone());
        } else {
            next.learners.retain(|learner| learner.id != *id);
        }
        Ok(next)
    }

    /// The membership without the first leaving voter; `None` if no voter is leaving or none would
    /// remain.
    pub(crate) fn with_first_leaving_removed(&self) -> Option<Self> {
        let mut next = self.clone();
        let leaving = next.leaving.first()?.clone();
        next.leaving.remove(0);
        next.voters.retain(|voter| *voter != leaving);
        next.learners.iter_mut().for_each(|learner| {
            if learner.replaces.as_ref() == Some(&leaving) {
                learner.replaces = None;
            }
        });
        (!next.voters.is_empty()).then_some(next)
    }

    /// The membership in which a learner is a voter and the voter that it replaces is leaving.
    pub(crate) fn with_promoted(&self, id: &VoterId) -> Option<Self> {
        let position = self.learners.iter().position(|learner| learner.id == *id)?;
        let mut next = self.clone();
        let learner = next.learners.remove(position);
        next.voters.push(learner.id);
        let replaced = learner.replaces.filter(|voter| next.is_voter(voter));
        next.leaving.extend(replaced);
        Some(next)
    }
}
