//! The health of an endpoint as seen by this entry's requests.

use masticsill_types::ClockMs;

/// Duration of the backoff after the first failure.
const INITIAL_BACKOFF_MS: u64 = 150;
/// Longest backoff; after it, a request probes the endpoint.
const MAX_BACKOFF_MS: u64 = 1_200;
/// Weight of the newest observation in a moving average.
const NEWEST_WEIGHT: f64 = 0.15;

/// How an exchange with an endpoint failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The endpoint closed or refused the connection.
    Broken,
    /// Another incarnation owns the address.
    Replaced,
    /// The endpoint sent nothing for too long.
    Silent,
    /// The endpoint's stream stalled for too long, or stalled together with those of its neighbors.
    Stalled,
    /// The endpoint sent something that is no valid answer.
    Malformed,
}

impl Failure {
    /// The name of the failure in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Replaced => "replaced",
            Self::Silent => "silent",
            Self::Stalled => "stalled",
            Self::Malformed => "malformed",
        }
    }
}

/// Health of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Moving average of the share of answers that were failures.
    error_rate: f64,
    failures: u32,
    /// When the last byte of an answer arrived.
    heard_at: Option<ClockMs>,
    backoff_until: Option<ClockMs>,
    last_failure_at: Option<ClockMs>,
    /// Moving average of the time per unit of work, in milliseconds. A unit is an answer of a plain
    /// service or an event of an engine.
    pace_ms: Option<f64>,
}

impl Health {
    /// Records a failed exchange and starts a backoff, which doubles with each consecutive failure.
    pub fn note_failure(&mut self, now: ClockMs) {
        let doubled = INITIAL_BACKOFF_MS << self.failures.min(8);
        self.failures += 1;
        self.backoff_until = Some(now + doubled.min(MAX_BACKOFF_MS));
        self.last_failure_at = Some(now);
        self.error_rate = moving_average(self.error_rate, 1.0);
    }

    /// Retracts the last failure, because the exchange has continued after all.
    pub fn retract_failure(&mut self) {
        self.failures = self.failures.saturating_sub(1);
        self.backoff_until = None;
        self.last_failure_at = None;
    }

    /// Records that a byte of an answer arrived.
    pub fn note_heard(&mut self, now: ClockMs) {
        self.heard_at = Some(now);
    }

    /// Whether a byte of an answer arrived within the last `time_ms` milliseconds.
    #[must_use]
    pub fn is_heard_within(&self, now: ClockMs, time_ms: u64) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < time_ms)
    }

    /// Whether a byte of an answer arrived after a time, and no exchange has failed after that.
    #[must_use]
    pub(crate) fn is_working_since(&self, time: ClockMs) -> bool {
        let heard_at = self.heard_at.filter(|heard_at| *heard_at > time);
        heard_at.is_some_and(|heard_at| self.last_failure_at.is_none_or(|at| at < heard_at))
    }

    /// Records the head of an answer, which ends the backoff.
    pub fn note_answer(&mut self, is_error: bool) {
        self.failures = 0;
        self.backoff_until = None;
        self.error_rate = moving_average(self.error_rate, if is_error { 1.0 } else { 0.0 });
    }

    /// Records the time that one unit of work took, in milliseconds.
    ///
    /// The time to the first event of a stream doesn't belong here, since it depends on the prompt.
    pub fn note_pace(&mut self, pace_ms: u64) {
        // Times are far below the precision of the type.
        #[allow(clippy::cast_precision_loss)]
        let pace_ms = pace_ms as f64;
        let before = self.pace_ms.unwrap_or(pace_ms);
        self.pace_ms = Some(moving_average(before, pace_ms));
    }

    /// Whether the endpoint is in backoff.
    #[must_use]
    pub fn is_backing_off(&self, now: ClockMs) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether an exchange failed within the last `time_ms` milliseconds.
    #[must_use]
    pub fn has_failed_within(&self, now: ClockMs, time_ms: u64) -> bool {
        let at = self.last_failure_at;
        at.is_some_and(|at| now.since(at) < time_ms)
    }

    /// Moving average of the share of answers that were failures, from 0 to 1.
    #[must_use]
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Average time per unit of work, in milliseconds; none before the first one.
    #[must_use]
    pub fn pace_ms(&self) -> Option<f64> {
        self.pace_ms
    }
}

fn moving_average(before: f64, newest: f64) -> f64 {
    before + (newest - before) * NEWEST_WEIGHT
}
