//! Members that the leader has not heard for long.

use masticsill_types::ClockMs;

use crate::replica::RoleState;
use crate::{Replica, VoterId};

impl Replica {
    /// Members that may be removed, as they have been silent for `silence_ms` while this replica
    /// led; none on others.
    ///
    /// A silent learner comes first: it would keep the voter that it replaces. A silent voter may
    /// go while more than `target_voters` vote and none is being replaced.
    #[must_use]
    pub fn removable_members(
        &self,
        now: ClockMs,
        silence_ms: u64,
        target_voters: usize,
    ) -> Vec<VoterId> {
        let membership = self.membership();
        let silent = self.silent_members(now, silence_ms);
        let learners = silent.iter().filter(|id| !membership.is_voter(id));
        let learners: Vec<VoterId> = learners.cloned().collect();
        let is_replacing = membership.learners.iter().any(|it| it.replaces.is_some());
        let is_changing = is_replacing || !membership.leaving.is_empty();
        if !learners.is_empty() || is_changing || membership.voters.len() <= target_voters {
            return learners;
        }
        silent
    }

    fn silent_members(&self, now: ClockMs, silence_ms: u64) -> Vec<VoterId> {
        let RoleState::Leader(state) = &self.role else {
            return Vec::new();
        };
        let progress = state.progress.iter();
        let silent = progress.filter(|(_, progress)| {
            // One that was never heard is counted from when the leader began to track it.
            let last_heard_at = progress.last_heard_at.unwrap_or(progress.tracked_at);
            now.since(last_heard_at) >= silence_ms
        });
        silent.map(|(id, _)| id.clone()).collect()
    }
}
