//! Detection of silent incarnations, and eviction of old records.

use masticsill_types::ClockMs;

use crate::record::{EndpointState, HeartbeatAge};
use crate::registry::Registry;

impl Registry {
    /// Ages of the heartbeats that this process received directly within the silence timeout, for
    /// the other control replicas.
    #[must_use]
    pub fn direct_heartbeat_ages(&self, now: ClockMs) -> Vec<HeartbeatAge> {
        let silence_ms = self.timeouts.silence_ms;
        let ages = self.tracked.values().filter_map(|tracked| {
            let age_ms = now.since(tracked.heard_directly_at?);
            let id = tracked.record.announcement.id.clone();
            (age_ms < silence_ms).then_some(HeartbeatAge { age_ms, id })
        });
        ages.collect()
    }

    /// Marks incarnations that became silent or whose heartbeats were received again, and evicts
    /// silent and ended ones after the retention period. Returns whether any mark changed.
    ///
    /// `has_majority_view` says whether this process learns of most heartbeats. A partitioned
    /// control replica must not mark endpoints silent because their heartbeats don't reach it.
    pub fn update_silence(&mut self, now: ClockMs, has_majority_view: bool) -> bool {
        let timeouts = self.timeouts;
        let mut revision = self.revision;
        for tracked in self.tracked.values_mut() {
            let is_overdue = now.since(tracked.heard_at) >= timeouts.silence_ms;
            let is_silent = is_overdue && (has_majority_view || tracked.record.is_silent);
            if is_silent != tracked.record.is_silent {
                tracked.record.is_silent = is_silent;
                revision += 1;
                tracked.revision = revision;
            }
        }
        let is_changed = revision != self.revision;
        self.revision = revision;
        self.tracked.retain(|_, tracked| {
            let is_evictable = tracked.record.is_silent
                || tracked.record.announcement.state == EndpointState::Gone;
            !is_evictable || now.since(tracked.heard_at) < timeouts.forget_ms
        });
        is_changed
    }
}
