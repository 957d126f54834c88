//! Token buckets, and the limits of one catalogue entry at this node.

use masticsill_types::ClockMs;

use crate::number::{to_count, to_float};

/// Capacity of a bucket, in milliseconds of its rate.
const BURST_MS: u64 = 1_000;
/// Rounding errors may leave a sum of floats this much below the whole number that it stands for.
const ROUNDING_TOLERANCE_TOKENS: f64 = 1e-9;
/// Longest wait that [`TokenBucket::check`] returns.
const MAX_WAIT_MS: u64 = 60_000;

/// A token bucket. Taking more than it holds leaves it in debt, and nothing more may be taken until
/// it is refilled.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    burst: f64,
    level: f64,
    per_s: f64,
    refilled_at: ClockMs,
}

impl TokenBucket {
    /// A bucket that gains `milli_per_s` thousandths of a token per second and holds what it gains
    /// in a second, at least one token. It starts with one token, so that a restart admits no
    /// burst.
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

    /// Changes the rate, in thousandths of a token per second. A higher rate doesn't fill the
    /// bucket, so a changed share never admits a burst.
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

    /// Checks whether the bucket holds at least one token.
    ///
    /// # Errors
    ///
    /// The time until it does, in milliseconds, at most a minute.
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

    /// Takes tokens. Call [`TokenBucket::check`] first; `amount` may exceed what the bucket holds.
    pub fn take(&mut self, amount: u64) {
        self.level -= to_float(amount);
    }

    /// Puts back tokens that were taken and not used.
    pub fn refund(&mut self, amount: u64) {
        self.level = (self.level + to_float(amount)).min(self.burst);
    }
}

/// The limits of a catalogue entry at this node; `None` sets no limit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LocalLimits {
    /// Requests that may run concurrently.
    pub concurrent: Option<u32>,
    /// Requests that may be queued.
    pub queue_length: Option<u32>,
    /// Rate of admitted requests, in thousandths of a request per second.
    pub requests_milli_per_s: Option<u64>,
    /// Rate of generated tokens, in thousandths of a token per second.
    pub tokens_milli_per_s: Option<u64>,
}

/// Enforces the limits of a catalogue entry at this node.
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

    /// Counts a new request against the request rate. The error is the number of milliseconds until
    /// another may be admitted.
    pub(crate) fn admit(&mut self, now: ClockMs) -> Result<(), u64> {
        let Some(bucket) = &mut self.requests else {
            return Ok(());
        };
        bucket.check(now)?;
        bucket.take(1);
        Ok(())
    }

    /// Refunds a counted request that was refused for another reason.
    pub(crate) fn refund_request(&mut self) {
        if let Some(bucket) = &mut self.requests {
            bucket.refund(1);
        }
    }

    /// Whether the limit of concurrent requests allows another one.
    pub(crate) fn has_concurrency_room(&self) -> bool {
        self.concurrent.is_none_or(|limit| self.running < limit)
    }

    /// Whether the limits of concurrent requests and of generated tokens allow a request to start.
    pub(crate) fn may_start(&mut self, now: ClockMs) -> bool {
        let has_concurrency_room = self.has_concurrency_room();
        let has_tokens = match &mut self.tokens {
            Some(bucket) => bucket.check(now).is_ok(),
            None => true,
        };
        has_concurrency_room && has_tokens
    }

    /// Counts a started request and charges all tokens that it may generate.
    pub(crate) fn start(&mut self, max_tokens: u32) {
        self.running += 1;
        if let Some(bucket) = &mut self.tokens {
            bucket.take(max_tokens.into());
        }
    }

    /// Counts an ended request and refunds the tokens that it didn't generate.
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
