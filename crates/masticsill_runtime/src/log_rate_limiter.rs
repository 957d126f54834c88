//! Rate limit for log lines that peers can trigger at will.

use masticsill_types::ClockMs;

/// Shortest time between two lines: short enough to show that the cause persists, long enough not
/// to fill the disk.
const MIN_INTERVAL_MS: u64 = 1_000;

/// Lets one line pass per second and counts the suppressed ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogRateLimiter {
    suppressed: u64,
    logged_at: Option<ClockMs>,
}

impl LogRateLimiter {
    /// Decides on a line at time `now`.
    ///
    /// Returns the number of lines suppressed since the last one that passed, or `None` if this
    /// line must be suppressed.
    pub fn pass(&mut self, now: ClockMs) -> Option<u64> {
        let is_too_soon = |at: ClockMs| now.since(at) < MIN_INTERVAL_MS;
        if self.logged_at.is_some_and(is_too_soon) {
            self.suppressed += 1;
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}
