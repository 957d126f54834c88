//! Detection of frozen engines, as distinct from slow ones.

use std::collections::VecDeque;

use masticsill_types::ClockMs;

/// Settings of a [`FreezeDetector`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreezeLimits {
    /// Shortest silence that can count as a freeze, in milliseconds.
    pub min_silence_ms: u64,
    /// Silence that always counts as a freeze, in milliseconds.
    pub max_silence_ms: u64,
    /// Multiple of the engine's longest recent gap that counts as a freeze.
    pub gap_factor: u64,
    /// How long a gap counts as recent, in milliseconds.
    pub gap_window_ms: u64,
    /// Longest time between two calls of the detector that is counted as silence, in milliseconds.
    ///
    /// A longer step means that the agent itself was paused; the excess says nothing about the
    /// engine and is ignored.
    pub max_step_ms: u64,
}

impl Default for FreezeLimits {
    fn default() -> Self {
        Self {
            min_silence_ms: 600,
            max_silence_ms: 3_000,
            gap_factor: 4,
            gap_window_ms: 10_000,
            max_step_ms: 100,
        }
    }
}

/// The state of an engine as the detector sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineHealth {
    /// No activity has been seen yet.
    Unknown,
    /// The engine shows activity.
    Alive,
    /// The engine has been silent for far longer than its recent gaps.
    Frozen,
    /// The engine refuses connections.
    Lost,
}

/// Detects a frozen engine from the activity on all its streams and HTTP requests together.
///
/// A token of any stream and any answer over HTTP count as activity. During a long prefill no token
/// arrives, and a request queued behind a full batch gets none for a long time, but the engine
/// still answers its load endpoint and the other streams continue. A frozen engine shows no
/// activity at all. The engine counts as frozen after a silence of a multiple of its own longest
/// recent gap without activity.
#[derive(Clone, Debug)]
pub struct FreezeDetector {
    gaps: VecDeque<(ClockMs, u64)>,
    health: EngineHealth,
    limits: FreezeLimits,
    silence_ms: u64,
    advanced_at: ClockMs,
}

impl FreezeDetector {
    /// Creates a detector for an engine whose activity has not been seen yet.
    #[must_use]
    pub fn new(now: ClockMs, limits: FreezeLimits) -> Self {
        Self {
            gaps: VecDeque::new(),
            health: EngineHealth::Unknown,
            limits,
            silence_ms: 0,
            advanced_at: now,
        }
    }

    /// Records activity: a token of any stream or an answer over HTTP.
    pub fn record_activity(&mut self, now: ClockMs) {
        self.advance(now);
        if self.health == EngineHealth::Alive {
            self.add_gap(now);
        } else {
            // The gap of a freeze or an outage would delay the detection of the next one.
            self.gaps.clear();
        }
        self.health = EngineHealth::Alive;
        self.silence_ms = 0;
    }

    /// Records a refused connection, which means that the engine is lost.
    pub fn record_refused_connection(&mut self, now: ClockMs) {
        self.advance(now);
        self.silence_ms = 0;
        self.health = EngineHealth::Lost;
    }

    /// Advances the time to `now` and returns whether the engine has just become frozen.
    pub fn check_frozen(&mut self, now: ClockMs) -> bool {
        self.advance(now);
        let is_frozen =
            self.health == EngineHealth::Alive && self.silence_ms >= self.threshold_ms();
        if is_frozen {
            self.health = EngineHealth::Frozen;
        }
        is_frozen
    }

    /// The current state of the engine.
    #[must_use]
    pub fn health(&self) -> EngineHealth {
        self.health
    }

    /// Silence that currently counts as a freeze, in milliseconds.
    #[must_use]
    pub fn threshold_ms(&self) -> u64 {
        let longest_ms = self.gaps.front().map_or(0, |(_, gap_ms)| *gap_ms);
        let scaled_ms = longest_ms.saturating_mul(self.limits.gap_factor);
        scaled_ms.clamp(self.limits.min_silence_ms, self.limits.max_silence_ms)
    }

    fn advance(&mut self, now: ClockMs) {
        let step_ms = now.since(self.advanced_at);
        self.silence_ms += step_ms.min(self.limits.max_step_ms);
        self.advanced_at = now;
        let oldest = now.before(self.limits.gap_window_ms);
        while self.gaps.front().is_some_and(|(at, _)| *at < oldest) {
            self.gaps.pop_front();
        }
    }

    /// Adds the gap that ends now. The gaps are kept in descending order, so that the front is the
    /// longest recent one.
    fn add_gap(&mut self, now: ClockMs) {
        let gap_ms = self.silence_ms;
        while self
            .gaps
            .back()
            .is_some_and(|(_, last_ms)| *last_ms <= gap_ms)
        {
            self.gaps.pop_back();
        }
        self.gaps.push_back((now, gap_ms));
    }
}
