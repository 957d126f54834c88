//! Token buckets, and the limits of one catalogue entry at this node.

use masticsill_types::ClockMs;

use crate::number::{to_count, to_float};

/// What a bucket may hold, in milliseconds of its rate.
const BURST_MS: u64 = 1_000;
/// Sums of floats may fall short of a whole by this much.
const ROUNDING_TOLERANCE_TOKENS: f64 = 1e-9;
const MAX_WAIT_MS: u64 = 60_000;

/// A token bucket. A withdrawal may leave it in debt, which is worked off before the next.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    burst: f64,
    level: f64,
    per_s: f64,
    refilled_at: ClockMs,
}

impl TokenBucket {
    /// A bucket that gains thousandths of a token at `milli_per_s` and holds a second's worth,
    /// at least one token. It starts with one token, so that a restart admits no burst.
    #[must_use]
    pub fn new(now: ClockMs, milli_per_s: u64) -> Self {
        let per_s = to_float(milli_per_s) / 1_000.0;
        Self {
            burst: (per_s * to_float(BURST_MS) / 1_000.0).max(1.0),
            level: if milli_per_s == 0 { 0.0 } else { 1.0 },
            per_s,
            refilled_at: now,
        }
    }

    /// Changes the rate. A raised rate does not fill the bucket, so a changed share never admits
    /// a burst.
    pub fn set_rate(&mut self, now: ClockMs, milli_per_s: u64) {
        self.refill(now);
        let changed = Self::new(now, milli_per_s);
        self.burst = changed.burst;
        self.per_s = changed.per_s;
        self.level = self.level.min(self.burst);
    }

    fn refill(&mut self, now: ClockMs) {
        let elapsed_s = to_float(now.since(self.refilled_at)) / 1_000.0;
        self.level = (self.level + elapsed_s * self.per_s).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether something may be taken now; otherwise the milliseconds until it may.
    ///
    /// # Errors
    ///
    /// The wait, at most a minute.
    pub fn check(&mut self, now: ClockMs) -> Result<(), u64> {
        self.refill(now);
        if self.per_s <= 0.0 {
            return Err(MAX_WAIT_MS);
        }
        let missing = 1.0 - self.level - ROUNDING_TOLERANCE_TOKENS;
        if missing <= 0.0 {
            return Ok(());
        }
        let wait_ms = missing / self.per_s * 1_000.0;
        Err(to_count(wait_ms, MAX_WAIT_MS).max(1))
    }

    /// Takes an amount that was checked.
    pub fn take(&mut self, amount: u64) {
        self.level -= to_float(amount);
    }

    /// Puts back what was taken and not used.
    pub fn refund(&mut self, amount: u64) {
        self.level = (self.level + to_float(amount)).min(self.burst);
    }
}

/// What the callers of a catalogue entry may consume at this node; an absent number sets no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LocalLimits {
    /// Requests running at the same time.
    pub concurrent: Option<u32>,
    /// Requests waiting.
    pub queue_length: Option<u32>,
    /// Thousandths of a request admitted per second.
    pub requests_milli_per_s: Option<u64>,
    /// Thousandths of a token generated per second.
    pub tokens_milli_per_s: Option<u64>,
}

/// Keeps a catalogue entry's work within its limits at this node.
#[derive(Clone, Debug)]
pub(crate) struct Limiter {
    concurrent: Option<u32>,
    pub(crate) queue_length: Option<u32>,
    pub(crate) queued: u32,
    requests: Option<TokenBucket>,
    running: u32,
    tokens: Option<TokenBucket>,
}

impl Limiter {
    pub(crate) fn new(now: ClockMs, limits: LocalLimits) -> Self {
        let bucket = |rate: Option<u64>| rate.map(|rate| TokenBucket::new(now, rate));
        Self {
            concurrent: limits.concurrent,
            queue_length: limits.queue_length,
            queued: 0,
            requests: bucket(limits.requests_milli_per_s),
            running: 0,
            tokens: bucket(limits.tokens_milli_per_s),
        }
    }

    pub(crate) fn set(&mut self, now: ClockMs, limits: LocalLimits) {
        self.concurrent = limits.concurrent;
        self.queue_length = limits.queue_length;
        set_bucket(&mut self.requests, now, limits.requests_milli_per_s);
        set_bucket(&mut self.tokens, now, limits.tokens_milli_per_s);
    }

    /// Counts a new request; an error tells the milliseconds until another may come.
    pub(crate) fn admit(&mut self, now: ClockMs) -> Result<(), u64> {
        let Some(bucket) = &mut self.requests else {
            return Ok(());
        };
        bucket.check(now)?;
        bucket.take(1);
        Ok(())
    }

    /// Puts a counted request back that was refused for another reason.
    pub(crate) fn refund_request(&mut self) {
        if let Some(bucket) = &mut self.requests {
            bucket.refund(1);
        }
    }

    /// Whether another request may run beside those that run.
    pub(crate) fn has_concurrency_room(&self) -> bool {
        self.concurrent.is_none_or(|limit| self.running < limit)
    }

    /// Whether a request may start now.
    pub(crate) fn may_start(&mut self, now: ClockMs) -> bool {
        let has_concurrency_room = self.has_concurrency_room();
        let has_tokens = match &mut self.tokens {
            Some(bucket) => bucket.check(now).is_ok(),
            None => true,
        };
        has_concurrency_room && has_tokens
    }

    /// Notes a start, charging all tokens that it may generate.
    pub(crate) fn start(&mut self, max_tokens: u32) {
        self.running += 1;
        if let Some(bucket) = &mut self.tokens {
            bucket.take(max_tokens.into());
        }
    }

    /// Notes an end, and gives back the tokens that were not generated.
    pub(crate) fn end(&mut self, unused_tokens: u32) {
        self.running = self.running.saturating_sub(1);
        if let Some(bucket) = &mut self.tokens {
            bucket.refund(unused_tokens.into());
        }
    }

    pub(crate) fn has_queue_room(&self) -> bool {
        self.queue_length.is_none_or(|limit| self.queued < limit)
    }
}

fn set_bucket(bucket: &mut Option<TokenBucket>, now: ClockMs, milli_per_s: Option<u64>) {
    match (bucket.as_mut(), milli_per_s) {
        (Some(bucket), Some(rate)) => bucket.set_rate(now, rate),
        (None, Some(rate)) => *bucket = Some(TokenBucket::new(now, rate)),
        (_, None) => *bucket = None,
    }
}
