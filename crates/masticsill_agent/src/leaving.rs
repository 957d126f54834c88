//! The planned stop of an agent.

use masticsill_types::ClockMs;

use crate::config::AgentLimits;

/// How long an owner may take to fetch an attempt's end.
const HAND_OVER_MS: u64 = 2_000;
/// Time for the last replies to leave.
const LAST_REPLIES_MS: u64 = 200;

/// What a leaving agent still has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Remaining {
    /// Whether every ended attempt's end was fetched.
    pub(crate) all_ends_delivered: bool,
    /// Attempts and calls that run.
    pub(crate) running: usize,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    began_at: ClockMs,
    drain_until: ClockMs,
    idle_since: Option<ClockMs>,
    stay_until: ClockMs,
}

impl Leaving {
    pub(crate) fn begin(now: ClockMs, limits: &AgentLimits) -> Self {
        Self {
            began_at: now,
            drain_until: now + limits.drain_ms,
            idle_since: None,
            stay_until: now + limits.min_leave_ms,
        }
    }

    /// Whether running attempts have to be handed back now.
    pub(crate) fn is_drain_over(&self, now: ClockMs) -> bool {
        now >= self.drain_until
    }

    /// Whether the agent may end.
    pub(crate) fn is_done(&mut self, now: ClockMs, remaining: Remaining) -> bool {
        if remaining.running > 0 && !self.is_drain_over(now) {
            self.idle_since = None;
            return false;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        let patience_ms = if remaining.all_ends_delivered {
            LAST_REPLIES_MS
        } else {
            HAND_OVER_MS
        };
        now >= self.stay_until && now.since(idle_since) >= patience_ms
    }

    /// Milliseconds since the leaving began.
    pub(crate) fn age_ms(&self, now: ClockMs) -> u64 {
        now.since(self.began_at)
    }
}
