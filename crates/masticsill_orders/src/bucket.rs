//! The token bucket that limits the rate of loads from the weight store.

use masticsill_types::ClockMs;

/// Limits loads to a mean rate with bounded bursts; each load takes one token.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    burst: u32,
    refill_interval_ms: u64,
    refilled_at: ClockMs,
    tokens: u32,
}

impl TokenBucket {
    /// A bucket with a single token, because the previous leader may just have used up the burst.
    pub(crate) fn new(now: ClockMs, burst: u32, refill_interval_ms: u64) -> Self {
        Self {
            burst: burst.max(1),
            refill_interval_ms: refill_interval_ms.max(1),
            refilled_at: now,
            tokens: 1,
        }
    }

    /// Takes a token; returns whether one was available.
    pub(crate) fn try_take(&mut self, now: ClockMs) -> bool {
        self.refill(now);
        let Some(left) = self.tokens.checked_sub(1) else {
            return false;
        };
        self.tokens = left;
        true
    }

    fn refill(&mut self, now: ClockMs) {
        let periods = now.since(self.refilled_at) / self.refill_interval_ms;
        let new_tokens = u32::try_from(periods).unwrap_or(u32::MAX);
        self.tokens = self.tokens.saturating_add(new_tokens).min(self.burst);
        self.refilled_at = self.refilled_at + periods * self.refill_interval_ms;
    }
}
