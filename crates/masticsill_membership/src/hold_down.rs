//! Hold-down of flapping members: a member that fails and returns repeatedly gets no new work for
//! an increasing time.

use masticsill_types::ClockMs;

/// Failures older than this no longer count.
const FAILURE_WINDOW_MS: u64 = 600_000;
/// Hold-down after the second failure in the window. Each further failure doubles it.
const FIRST_HOLD_MS: u64 = 2_000;
const MAX_HOLD_MS: u64 = 60_000;
const MAX_DOUBLINGS: u32 = 5;

/// The recent failures of a member and its hold-down.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HoldDown {
    failures: u32,
    last_failure: ClockMs,
    pub(crate) held_until: ClockMs,
}

impl HoldDown {
    /// Counts a failure, which is an end that the member did not announce by leaving.
    pub(crate) fn record_failure(&mut self, now: ClockMs) {
        if now.since(self.last_failure) > FAILURE_WINDOW_MS {
            self.failures = 0;
        }
        self.failures += 1;
        self.last_failure = now;
    }

    /// Returns whether the latest failure lies within `window_ms` of `point`, before or after it.
    pub(crate) fn failed_within(&self, point: ClockMs, window_ms: u64) -> bool {
        let distance_ms = point.since(self.last_failure) + self.last_failure.since(point);
        distance_ms <= window_ms
    }

    /// Starts the hold-down of a returned member if it failed at least twice in the window.
    pub(crate) fn record_return(&mut self, now: ClockMs) {
        let is_recent = now.since(self.last_failure) <= FAILURE_WINDOW_MS;
        if !is_recent || self.failures < 2 {
            return;
        }
        let doublings = (self.failures - 2).min(MAX_DOUBLINGS);
        let hold_ms = (FIRST_HOLD_MS << doublings).min(MAX_HOLD_MS);
        self.held_until = now + hold_ms;
    }
}
