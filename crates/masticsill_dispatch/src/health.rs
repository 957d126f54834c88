//! What this entry's own requests tell of an endpoint.

use masticsill_types::ClockMs;

/// First time that an endpoint is left alone after a failure.
const INITIAL_BACKOFF_MS: u64 = 150;
/// Longest time that an endpoint is left alone: one request then finds out.
const MAX_BACKOFF_MS: u64 = 1_200;
/// Weight of the newest observation in a moving average.
const NEWEST_WEIGHT: f64 = 0.15;

/// How an exchange with an endpoint failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It broke the connection, or refused it.
    Broken,
    /// Another incarnation has the address.
    Replaced,
    /// It said nothing for too long.
    Silent,
    /// Its stream stood still for too long, or its neighbours' did and its own as well.
    Stalled,
    /// What it sent is no answer to the request.
    Malformed,
}

impl Failure {
    /// The name in logs and metrics.
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

/// The health of one endpoint, as seen from here.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Share of answers that were failures, as a moving average.
    error_rate: f64,
    failures: u32,
    /// When a byte of an answer came last.
    heard_at: Option<ClockMs>,
    backoff_until: Option<ClockMs>,
    last_failure_at: Option<ClockMs>,
    /// Time that it takes for one unit of work, as a moving average: an answer of a plain
    /// service, an event of an engine.
    pace_ms: Option<f64>,
}

impl Health {
    /// Notes a failed exchange; the endpoint is left alone, longer each time.
    pub fn note_failure(&mut self, now: ClockMs) {
        let doubled = INITIAL_BACKOFF_MS << self.failures.min(8);
        self.failures += 1;
        self.backoff_until = Some(now + doubled.min(MAX_BACKOFF_MS));
        self.last_failure_at = Some(now);
        self.error_rate = moving_average(self.error_rate, 1.0);
    }

    /// Takes the last failure back: what was thought to have failed goes on.
    pub fn retract_failure(&mut self) {
        self.failures = self.failures.saturating_sub(1);
        self.backoff_until = None;
        self.last_failure_at = None;
    }

    /// Notes that a byte of an answer came.
    pub fn note_heard(&mut self, now: ClockMs) {
        self.heard_at = Some(now);
    }

    /// Whether a byte of an answer came within a time.
    #[must_use]
    pub fn is_heard_within(&self, now: ClockMs, time_ms: u64) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < time_ms)
    }

    /// Notes the head of an answer.
    pub fn note_answer(&mut self, is_error: bool) {
        self.failures = 0;
        self.backoff_until = None;
        self.error_rate = moving_average(self.error_rate, if is_error { 1.0 } else { 0.0 });
    }

    /// Notes the time that one unit of work took.
    ///
    /// The time to the first event of a stream is none: it depends on the prompt.
    pub fn note_pace(&mut self, pace_ms: u64) {
        // Times are far below the precision of the type.
        #[allow(clippy::cast_precision_loss)]
        let pace_ms = pace_ms as f64;
        let before = self.pace_ms.unwrap_or(pace_ms);
        self.pace_ms = Some(moving_average(before, pace_ms));
    }

    /// Whether the endpoint is left alone now.
    #[must_use]
    pub fn is_backing_off(&self, now: ClockMs) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether an exchange failed within a time.
    #[must_use]
    pub fn has_failed_within(&self, now: ClockMs, time_ms: u64) -> bool {
        let at = self.last_failure_at;
        at.is_some_and(|at| now.since(at) < time_ms)
    }

    /// Share of answers that were failures.
    #[must_use]
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Usual time of one unit of work.
    #[must_use]
    pub fn pace_ms(&self) -> Option<f64> {
        self.pace_ms
    }
}

fn moving_average(before: f64, newest: f64) -> f64 {
    before + (newest - before) * NEWEST_WEIGHT
}
