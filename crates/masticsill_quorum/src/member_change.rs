//! Membership changes, one at a time; the leader starts each step.

use masticsill_types::ClockMs;

use crate::replica::RoleState;
use crate::{
    CallerToken, Membership, MembershipChange, MembershipError, Output, Payload, Replica, VoterId,
};

impl Replica {
    pub(crate) fn change_membership(
        &mut self,
        now: ClockMs,
        token: CallerToken,
        change: &MembershipChange,
    ) {
        if let Some(reason) = self.refusal_reason() {
            self.refuse(token, reason);
            return;
        }
        let changed = if self.is_membership_settled() {
            self.membership().with_change(change)
        } else {
            Err(MembershipError::ChangeInProgress)
        };
        match changed {
            Ok(membership) => {
                let index = self.log.last_index().next();
                self.await_commit(index, token);
                self.append_membership(now, membership);
            }
            Err(error) => self
                .outputs
                .push(Output::RefusedMembership { token, error }),
        }
    }

    /// Whether the newest membership and the first entry of this term are committed.
    fn is_membership_settled(&self) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let (set_at, _) = self.log.membership();
        set_at <= self.commit && state.first_index <= self.commit
    }

    fn append_membership(&mut self, now: ClockMs, membership: Membership) {
        self.append_own(vec![Payload::Membership(membership)]);
        self.track_members(now);
        self.replicate_to_all();
    }

    /// Starts the next step of a change: a pending removal, or the promotion of a learner.
    pub(crate) fn advance_membership(&mut self, now: ClockMs) {
        if self.refusal_reason().is_some() || !self.is_membership_settled() {
            return;
        }
        // A leader never removes itself: it transfers leadership, and its successor removes it.
        if self.membership().leaving.first() == Some(&self.id) {
            self.transfer_leadership(now, None);
            return;
        }
        let next = match self.membership().with_first_leaving_removed() {
            Some(next) => Some(next),
            None => self
                .caught_up_learner(now)
                .and_then(|id| self.membership().with_promoted(&id)),
        };
        if let Some(next) = next {
            self.append_membership(now, next);
        }
    }

    /// A learner that holds every committed entry and was heard from within the lease duration.
    fn caught_up_learner(&self, now: ClockMs) -> Option<VoterId> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let is_ready = |id: &VoterId| {
            let Some(progress) = state.progress.get(id) else {
                return false;
            };
            let is_heard = |at: ClockMs| now.since(at) <= self.settings.lease_ms;
            progress.match_index >= self.commit && progress.last_heard_at.is_some_and(is_heard)
        };
        let learners = self.membership().learners.iter();
        learners
            .map(|learner| &learner.id)
            .find(|id| is_ready(id))
            .cloned()
    }
}
