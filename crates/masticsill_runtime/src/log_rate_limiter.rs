//! Bounds how often something is logged that others can cause at will.

use masticsill_types::ClockMs;

/// Time between two lines of one kind: an operator sees that it goes on, and no writer fills a disk
/// with them.
const INTERVAL_MS: u64 = 1_000;

/// Lets a line pass now and then, and counts those that were held back.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogRateLimiter {
    held_back: u64,
    logged_at: Option<ClockMs>,
}

impl LogRateLimiter {
    /// Asks for a line: how many were held back since the last one, or `None` for now.
    pub fn pass(&mut self, now: ClockMs) -> Option<u64> {
        let is_soon = |at: ClockMs| now.since(at) < INTERVAL_MS;
        if self.logged_at.is_some_and(is_soon) {
            self.held_back += 1;
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.held_back))
    }
}
