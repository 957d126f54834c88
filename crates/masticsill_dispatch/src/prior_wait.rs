//! Estimates how long callers have already waited in earlier attempts.
//!
//! A refused caller retries with a new attempt and a shorter timeout than its first one. Nothing
//! else distinguishes it from a new caller.

use indexmap::IndexMap;
use masticsill_types::ClockMs;

/// How long the longest timeout given by callers of a route is remembered. The period must outlast
/// an overload, in which most requests may be retries, and a change of the timeouts of a route must
/// be picked up within a minute.
const RETENTION_MS: u64 = 30_000;
/// Share of the longest timeout, in percent, below which a request counts as a retry: the timeouts
/// of first attempts of callers of one route differ by a sixth.
const RETRY_PERCENT: u64 = 80;

/// The longest timeouts in the current and the previous retention period.
#[derive(Clone, Copy, Debug, Default)]
struct LongestTimeouts {
    began_at: ClockMs,
    previous_ms: u64,
    current_ms: u64,
}

/// The longest timeouts that callers gave lately, by route.
#[derive(Clone, Debug, Default)]
pub struct PriorWaitEstimator {
    routes: IndexMap<String, LongestTimeouts>,
}

impl PriorWaitEstimator {
    /// Records the timeout given by a caller, in milliseconds, and returns the estimated time that
    /// the caller has waited in earlier attempts, in milliseconds. Short waits can't be told apart
    /// from a shorter timeout and count as zero.
    pub fn record(&mut self, now: ClockMs, route: &str, timeout_ms: u64) -> u64 {
        let timeouts = if let Some(timeouts) = self.routes.get_mut(route) {
            timeouts
        } else {
            let started = LongestTimeouts {
                began_at: now,
                ..LongestTimeouts::default()
            };
            self.routes.entry(route.to_owned()).or_insert(started)
        };
        if now.since(timeouts.began_at) > RETENTION_MS {
            timeouts.began_at = now;
            timeouts.previous_ms = timeouts.current_ms;
            timeouts.current_ms = 0;
        }
        timeouts.current_ms = timeouts.current_ms.max(timeout_ms);
        let longest_ms = timeouts.current_ms.max(timeouts.previous_ms);
        if timeout_ms * 100 >= longest_ms * RETRY_PERCENT {
            0
        } else {
            longest_ms - timeout_ms
        }
    }
}
