//! Silence: when an incarnation counts as lost, and when it is forgotten.

use masticsill_types::ClockMs;

use crate::record::{EndpointState, HeartbeatAge};
use crate::registry::Registry;

impl Registry {
    /// Heartbeats that this process heard itself and lately, for the other instances.
    #[must_use]
    pub fn direct_heartbeat_ages(&self, now: ClockMs) -> Vec<HeartbeatAge> {
        let silence_ms = self.periods.silence_ms;
        let ages = self.tracked.values().filter_map(|tracked| {
            let age_ms = now.since(tracked.heard_here_at?);
            let id = tracked.record.announcement.id.clone();
            (age_ms < silence_ms).then_some(HeartbeatAge { age_ms, id })
        });
        ages.collect()
    }

    /// Marks what fell silent or is heard again, and forgets what is long past; returns whether
    /// anything changed.
    ///
    /// `can_judge` tells whether this process hears of most heartbeats: an instance that is cut
    /// off must not take its own silence for the endpoints'.
    pub fn update_silence(&mut self, now: ClockMs, can_judge: bool) -> bool {
        let periods = self.periods;
        let mut revision = self.revision;
        for tracked in self.tracked.values_mut() {
            let is_past = now.since(tracked.heard_at) >= periods.silence_ms;
            let is_silent = is_past && (can_judge || tracked.record.is_silent);
            if is_silent != tracked.record.is_silent {
                tracked.record.is_silent = is_silent;
                revision += 1;
                tracked.revision = revision;
            }
        }
        let is_changed = revision != self.revision;
        self.revision = revision;
        self.tracked.retain(|_, tracked| {
            let is_over = tracked.record.is_silent
                || tracked.record.announcement.state == EndpointState::Gone;
            !is_over || now.since(tracked.heard_at) < periods.forget_ms
        });
        is_changed
    }
}
