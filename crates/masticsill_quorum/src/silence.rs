//! Members that the leader has not heard for long.

use masticsill_types::ClockMs;

use crate::replica::RoleState;
use crate::{Replica, VoterId};

impl Replica {
    /// Members that have been silent for `silence_ms` while this replica led; none on others.
    ///
    /// Where one is being replaced, none is named: the change that is under way ends it.
    #[must_use]
    pub fn silent_members(&self, now: ClockMs, silence_ms: u64) -> Vec<VoterId> {
        let RoleState::Leader(state) = &self.role else {
            return Vec::new();
        };
        let membership = self.membership();
        let is_replacing = membership.learners.iter().any(|it| it.replaces.is_some());
        if is_replacing || !membership.leaving.is_empty() {
            return Vec::new();
        }
        let is_silent = |id: &&VoterId| {
            let progress = state.progress.get(*id);
            let heard_at = progress.and_then(|progress| progress.heard_at);
            // One that was never heard is counted from the election.
            let heard_at = heard_at.unwrap_or(state.stood_at);
            **id != self.id && now.since(heard_at) >= silence_ms
        };
        membership.members().filter(is_silent).cloned().collect()
    }
}
