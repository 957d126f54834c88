//! Detection of members that the leader has not heard from for a long time.

use masticsill_types::ClockMs;

use crate::replica::RoleState;
use crate::{Replica, VoterId};

impl Replica {
    /// Members that may be removed because this leader has not heard from them for `silence_ms`
    /// milliseconds. Empty if this replica is not the leader.
    ///
    /// Silent learners are returned first, because a silent learner prevents the removal of the
    /// voter that it replaces. Silent voters are returned only if there is no silent learner, there
    /// are more than `target_voters` voters and no voter is being replaced or removed.
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
            let silent_since = progress.last_heard_at.unwrap_or(progress.silent_since);
            // A former leader may have been silent for long before this one could ask it.
            let had_time_to_answer = now.since(progress.tracked_at) >= self.settings.lease_ms;
            now.since(silent_since) >= silence_ms && had_time_to_answer
        });
        silent.map(|(id, _)| id.clone()).collect()
    }
}
