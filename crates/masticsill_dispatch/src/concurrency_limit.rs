//! How many requests a plain service's endpoint is given at once, learned from its answers.
//!
//! Endpoints queue a few requests and then refuse. A queue that is always full makes every answer
//! late and is of no use to anybody: with 20 times the usual lookups 4,228 of 17,088 came in time,
//! though the endpoints made 12,000. The limit is unknown until answers slow down or an endpoint
//! says that it is full; then it follows the time that answers take, as far as callers' aim allows.
//! All entries share an endpoint and know nothing of each other's lookups, so it may fall below
//! one.

use masticsill_types::ClockMs;

/// Part of the time aimed at that answers may take before the limit falls: the rest is for the way,
/// for a wait at the entry and for answers that take longer than others. With 0.55 of it one answer
/// of five came late at 20 times the usual lookups, with 0.4 one of ten.
const SLOW_TARGET_SHARE: f64 = 0.4;
/// How many times its time without an overload an endpoint's answers may take at least: one that is
/// always slow is not a full one.
const SLOW_BASELINE_FACTOR: f64 = 1.8;
/// Part of the time aimed at beyond which even an endpoint that is always slow counts as full.
const MAX_TARGET_SHARE: f64 = 0.9;
/// Weight of the newest answer in the time without an overload.
const BASELINE_WEIGHT: f64 = 0.05;
/// What is left of the limit when answers are slow, and when the endpoint says that it is full.
const SLOW_FACTOR: f64 = 0.85;
const FULL_FACTOR: f64 = 0.7;
/// What the limit grows by in the time of one answer.
const GROWTH: f64 = 0.5;
/// Least limit: 32 entries leave an endpoint of six slots two requests.
const MIN_LIMIT: f64 = 0.06;
/// Limit from which there is none: an entry has no more connections to one endpoint.
const UNLIMITED: f64 = 64.0;

/// The limit of one entry at one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConcurrencyLimit {
    /// Time of an answer while there is no limit, as a moving average.
    baseline_ms: Option<f64>,
    changed_at: ClockMs,
    limit: Option<f64>,
    /// When the next request may start, where less than one is allowed at once.
    next_start_at: ClockMs,
}

impl ConcurrencyLimit {
    /// Whether one more request may start beside those in flight.
    #[must_use]
    pub fn has_capacity(&self, now: ClockMs, in_flight: u32) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let is_first = in_flight == 0;
        f64::from(in_flight) + 1.0 <= limit || is_first && now >= self.next_start_at
    }

    /// Whether a limit is known.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Takes an answer: its endpoint's usual time, the time aimed at, and the requests that were in
    /// flight with it.
    pub fn note_answer(
        &mut self,
        now: ClockMs,
        usual_ms: f64,
        target_latency_ms: u64,
        in_flight: u32,
    ) {
        // Times are far below the precision of the type.
        #[allow(clippy::cast_precision_loss)]
        let target_latency_ms = target_latency_ms as f64;
        if self.limit.is_none() {
            let baseline_ms = self.baseline_ms.unwrap_or(usual_ms);
            self.baseline_ms = Some(baseline_ms + (usual_ms - baseline_ms) * BASELINE_WEIGHT);
        }
        let baseline_ms = self.baseline_ms.unwrap_or_default();
        let slow_ms =
            (target_latency_ms * SLOW_TARGET_SHARE).max(baseline_ms * SLOW_BASELINE_FACTOR);
        if usual_ms > slow_ms.min(target_latency_ms * MAX_TARGET_SHARE) {
            self.cut(now, usual_ms, in_flight, SLOW_FACTOR);
        } else if let Some(limit) = self.limit {
            // Each answer adds its part, so that a full set of them adds the growth once.
            let grown = limit + GROWTH / limit.max(1.0);
            let is_used = f64::from(in_flight) + 1.0 >= limit;
            if is_used {
                self.limit = Some(grown).filter(|grown| *grown < UNLIMITED);
            }
        }
        self.space_starts(now, usual_ms);
    }

    /// Takes an endpoint's word that it is full.
    pub fn note_full(&mut self, now: ClockMs, usual_ms: f64, in_flight: u32) {
        self.cut(now, usual_ms, in_flight, FULL_FACTOR);
        self.space_starts(now, usual_ms);
    }

    /// Lowers the limit, once in the time of an answer: those under way were sent before.
    // The time is positive and far below the type's range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn cut(&mut self, now: ClockMs, usual_ms: f64, in_flight: u32, left: f64) {
        if self.limit.is_some() && now.since(self.changed_at) < usual_ms as u64 {
            return;
        }
        self.changed_at = now;
        let used = f64::from(in_flight.max(1)).min(UNLIMITED);
        let limit = self.limit.map_or(used, |limit| limit.min(used));
        self.limit = Some((limit * left).max(MIN_LIMIT));
    }

    /// Spaces requests out where less than one is allowed at once.
    // The time is positive and far below the type's range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn space_starts(&mut self, now: ClockMs, usual_ms: f64) {
        if let Some(limit) = self.limit.filter(|limit| *limit < 1.0) {
            let spacing_ms = usual_ms * (1.0 / limit - 1.0);
            self.next_start_at = now + spacing_ms as u64;
        }
    }
}
