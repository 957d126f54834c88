//! Adaptive limit of the requests in flight at an endpoint of a plain service, learned from its
//! answers.
//!
//! Endpoints queue a few requests and then refuse more. A queue that is always full makes every
//! answer late: with 20 times the usual lookups 4,228 of 17,088 were answered in time, though the
//! endpoints could answer 12,000. There is no limit until answers slow down or an endpoint reports
//! that it is full; from then on the limit follows the latency of answers, as far as the target
//! latency allows. All entries share an endpoint without knowing each other's lookups, so an
//! entry's limit may fall below one.

use masticsill_types::ClockMs;

/// Share of the target latency that answers may take before the limit falls. The rest is left for
/// the network, for the wait at the entry and for answers that take longer than others. With a
/// share of 0.55 one of five answers was late at 20 times the usual lookups, with 0.4 one of ten.
const SLOW_TARGET_SHARE: f64 = 0.4;
/// Minimum ratio of the latency to its baseline before the limit falls: an endpoint that is always
/// slow is not a full one.
const SLOW_BASELINE_FACTOR: f64 = 1.8;
/// Share of the target latency beyond which even an endpoint that is always slow counts as full.
const MAX_TARGET_SHARE: f64 = 0.9;
/// Weight of the newest answer in the moving average of the baseline.
const BASELINE_WEIGHT: f64 = 0.05;
/// Factors applied to the limit when answers are slow, and when the endpoint reports that it is
/// full.
const SLOW_FACTOR: f64 = 0.85;
const FULL_FACTOR: f64 = 0.7;
/// Growth of the limit in the time of one answer.
const GROWTH: f64 = 0.5;
/// Minimum limit: with it, 32 entries together leave an endpoint of six slots about two requests.
const MIN_LIMIT: f64 = 0.06;
/// Value at which the limit is dropped: an entry opens no more connections to one endpoint.
const UNLIMITED: f64 = 64.0;

/// The limit of requests in flight from this entry to one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Baseline latency: the moving average while there is no limit, in milliseconds.
    baseline_ms: Option<f64>,
    changed_at: ClockMs,
    limit: Option<f64>,
    /// Earliest start of the next request while the limit is below one.
    next_start_at: ClockMs,
}

impl ConcurrencyLimit {
    /// Whether another request may start beside those in flight.
    #[must_use]
    pub fn has_capacity(&self, now: ClockMs, in_flight: u32) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let is_first = in_flight == 0;
        f64::from(in_flight) + 1.0 <= limit || is_first && now >= self.next_start_at
    }

    /// Whether there is a limit at present.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Records an answer. `average_ms` is the endpoint's usual latency, `in_flight` the number of
    /// requests that were in flight with this one.
    pub fn note_answer(
        &mut self,
        now: ClockMs,
        average_ms: f64,
        target_latency_ms: u64,
        in_flight: u32,
    ) {
        // Times are far below the precision of the type.
        #[allow(clippy::cast_precision_loss)]
        let target_latency_ms = target_latency_ms as f64;
        if self.limit.is_none() {
            let baseline_ms = self.baseline_ms.unwrap_or(average_ms);
            self.baseline_ms = Some(baseline_ms + (average_ms - baseline_ms) * BASELINE_WEIGHT);
        }
        let baseline_ms = self.baseline_ms.unwrap_or_default();
        let slow_ms =
            (target_latency_ms * SLOW_TARGET_SHARE).max(baseline_ms * SLOW_BASELINE_FACTOR);
        if average_ms > slow_ms.min(target_latency_ms * MAX_TARGET_SHARE) {
            self.cut(now, average_ms, in_flight, SLOW_FACTOR);
        } else if let Some(limit) = self.limit {
            // Each answer adds a fraction, so that a round of answers to all requests in flight
            // adds `GROWTH` once.
            let grown = limit + GROWTH / limit.max(1.0);
            let is_used = f64::from(in_flight) + 1.0 >= limit;
            if is_used {
                self.limit = Some(grown).filter(|grown| *grown < UNLIMITED);
            }
        }
        self.space_starts(now, average_ms);
    }

    /// Records that the endpoint refused a request because it is full.
    pub fn note_full(&mut self, now: ClockMs, average_ms: f64, in_flight: u32) {
        self.cut(now, average_ms, in_flight, FULL_FACTOR);
        self.space_starts(now, average_ms);
    }

    /// Lowers the limit, at most once in the time of an answer: later answers belong to requests
    /// that were sent before the change.
    // The time is positive and far below the type's range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn cut(&mut self, now: ClockMs, average_ms: f64, in_flight: u32, factor: f64) {
        if self.limit.is_some() && now.since(self.changed_at) < average_ms as u64 {
            return;
        }
        self.changed_at = now;
        let used = f64::from(in_flight.max(1)).min(UNLIMITED);
        let limit = self.limit.map_or(used, |limit| limit.min(used));
        self.limit = Some((limit * factor).max(MIN_LIMIT));
    }

    /// Delays the next start while the limit is below one.
    // The time is positive and far below the type's range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn space_starts(&mut self, now: ClockMs, average_ms: f64) {
        if let Some(limit) = self.limit.filter(|limit| *limit < 1.0) {
            let spacing_ms = average_ms * (1.0 / limit - 1.0);
            self.next_start_at = now + spacing_ms as u64;
        }
    }
}
