//! The retry budget of a service: this entry's share of the retries of all entries.
//!
//! The bound is linear in the number of requests, so that entries need no coordination: each
//! applies the ratio to its own requests and uses its share of the fixed part.

use std::collections::VecDeque;

use masticsill_types::ClockMs;

/// Limit of the extra sends (retries) that all entries together may make to a service within any
/// window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Extra sends allowed regardless of the number of requests.
    pub extra: u32,
    /// Extra sends allowed per request.
    pub ratio: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
}

/// Share of the bound that is used. The rest covers requests that other parties assign to different
/// windows than this entry does.
const USED_SHARE: f64 = 0.85;
/// Length of the buckets in which a window is counted.
const BUCKET_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    began_at: ClockMs,
    extra: u32,
    requests: u32,
}

/// Counts requests and extra sends to one service within a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    buckets: VecDeque<Bucket>,
    settings: BudgetSettings,
}

impl RetryBudget {
    /// Creates an unspent budget.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            buckets: VecDeque::new(),
            settings,
        }
    }

    /// Counts a caller's request to the service.
    pub fn note_request(&mut self, now: ClockMs) {
        self.bucket(now).requests += 1;
    }

    /// Counts an extra send and returns true if the budget allows it; otherwise returns false.
    ///
    /// `entries` is the number of entries that share the fixed part.
    pub fn try_spend(&mut self, now: ClockMs, entries: u32) -> bool {
        let left = self.left(now, entries);
        if left == 0 {
            return false;
        }
        self.bucket(now).extra += 1;
        true
    }

    /// Extra sends that remain in the current window.
    #[must_use]
    pub fn left(&self, now: ClockMs, entries: u32) -> u32 {
        let window = self
            .buckets
            .iter()
            .filter(|bucket| self.is_within(now, bucket));
        let (requests, extra) = window.fold((0, 0), |(requests, extra), bucket| {
            (requests + bucket.requests, extra + bucket.extra)
        });
        let free = f64::from(self.settings.extra) / f64::from(entries.max(1));
        let bound = USED_SHARE * (self.settings.ratio * f64::from(requests) + free);
        // The bound is small and not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let bound = bound as u32;
        bound.saturating_sub(extra)
    }

    fn is_within(&self, now: ClockMs, bucket: &Bucket) -> bool {
        now.since(bucket.began_at) < self.settings.window_ms
    }

    fn bucket(&mut self, now: ClockMs) -> &mut Bucket {
        while self
            .buckets
            .front()
            .is_some_and(|it| !self.is_within(now, it))
        {
            self.buckets.pop_front();
        }
        let is_open = self
            .buckets
            .back()
            .is_some_and(|it| now.since(it.began_at) < BUCKET_MS);
        if !is_open {
            self.buckets.push_back(Bucket {
                began_at: now,
                extra: 0,
                requests: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
