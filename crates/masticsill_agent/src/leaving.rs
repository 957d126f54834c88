//! The planned stop of an agent.

use masticsill_types::ClockMs;

use crate::config::AgentLimits;

/// How long a leaving agent waits for owners to fetch the ends of their attempts, in milliseconds.
const END_DELIVERY_TIMEOUT_MS: u64 = 2_000;
/// How long a leaving agent waits for its last replies to be sent, in milliseconds.
const REPLY_FLUSH_MS: u64 = 200;

/// The work that a leaving agent still has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemainingWork {
    /// Whether the end of every attempt was delivered to its owner.
    pub(crate) all_ends_delivered: bool,
    /// Number of running attempts and pending calls.
    pub(crate) running: usize,
}

/// Progress and time limits of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    began_at: ClockMs,
    drain_ends_at: ClockMs,
    idle_since: Option<ClockMs>,
    earliest_stop_at: ClockMs,
}

impl Leaving {
    pub(crate) fn begin(now: ClockMs, limits: &AgentLimits) -> Self {
        Self {
            began_at: now,
            drain_ends_at: now + limits.drain_ms,
            idle_since: None,
            earliest_stop_at: now + limits.min_leave_ms,
        }
    }

    /// Whether the drain time is over, so that running attempts have to be returned to their
    /// owners.
    pub(crate) fn is_drain_over(&self, now: ClockMs) -> bool {
        now >= self.drain_ends_at
    }

    /// Whether the planned stop is complete and the agent may be stopped.
    pub(crate) fn is_complete(&mut self, now: ClockMs, remaining: RemainingWork) -> bool {
        if remaining.running > 0 && !self.is_drain_over(now) {
            self.idle_since = None;
            return false;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        let min_idle_ms = if remaining.all_ends_delivered {
            REPLY_FLUSH_MS
        } else {
            END_DELIVERY_TIMEOUT_MS
        };
        now >= self.earliest_stop_at && now.since(idle_since) >= min_idle_ms
    }

    /// Time since the planned stop began, in milliseconds.
    pub(crate) fn elapsed_ms(&self, now: ClockMs) -> u64 {
        now.since(self.began_at)
    }
}
