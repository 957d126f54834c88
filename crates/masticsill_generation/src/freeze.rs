//! Tells a frozen engine from a slow one.

use std::collections::VecDeque;

use masticsill_types::ClockMs;

/// Settings of a [`FreezeDetector`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreezeLimits {
    /// Silence that is never a freeze, in milliseconds.
    pub min_silence_ms: u64,
    /// Silence that is always a freeze, in milliseconds.
    pub max_silence_ms: u64,
    /// How many times the engine's own longest recent gap is a freeze.
    pub gap_factor: u64,
    /// How long a gap counts as recent, in milliseconds.
    pub gap_window_ms: u64,
    /// Longest step of the detector's own time, in milliseconds.
    ///
    /// A longer one means that the agent itself was paused; the rest of it says nothing about the
    /// engine.
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

/// What is known about an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineHealth {
    /// No sign of life yet.
    Unknown,
    /// It gives signs of life.
    Alive,
    /// It is silent far longer than its own recent gaps.
    Frozen,
    /// It refuses connections.
    Lost,
}

/// Judges an engine by every sign of life together.
///
/// A token of any stream and any answer over HTTP are signs. During a long prefill no token comes,
/// and a request behind a full batch gets none for long, but the engine goes on answering its load
/// endpoint and the other streams go on; a frozen engine gives no sign at all. The verdict waits
/// for a multiple of the longest gap between signs that the engine itself showed recently.
#[derive(Clone, Debug)]
pub struct FreezeDetector {
    gaps: VecDeque<(ClockMs, u64)>,
    health: EngineHealth,
    limits: FreezeLimits,
    silence_ms: u64,
    stepped_at: ClockMs,
}

impl FreezeDetector {
    /// A detector of an engine that has given no sign yet.
    #[must_use]
    pub fn new(now: ClockMs, limits: FreezeLimits) -> Self {
        Self {
            gaps: VecDeque::new(),
            health: EngineHealth::Unknown,
            limits,
            silence_ms: 0,
            stepped_at: now,
        }
    }

    /// Notes a token of any stream or an answer over HTTP.
    pub fn record_activity(&mut self, now: ClockMs) {
        self.step(now);
        if self.health == EngineHealth::Alive {
            self.remember_gap(now);
        } else {
            // The gap of a freeze or an outage would make the detector slow for the next one.
            self.gaps.clear();
        }
        self.health = EngineHealth::Alive;
        self.silence_ms = 0;
    }

    /// Notes a refused connection.
    pub fn record_refused_connection(&mut self, now: ClockMs) {
        self.step(now);
        self.silence_ms = 0;
        self.health = EngineHealth::Lost;
    }

    /// Lets time pass and returns whether the engine is judged frozen just now.
    pub fn check_frozen(&mut self, now: ClockMs) -> bool {
        self.step(now);
        let is_frozen =
            self.health == EngineHealth::Alive && self.silence_ms >= self.threshold_ms();
        if is_frozen {
            self.health = EngineHealth::Frozen;
        }
        is_frozen
    }

    /// What is known about the engine.
    #[must_use]
    pub fn health(&self) -> EngineHealth {
        self.health
    }

    /// Silence that is judged a freeze now, in milliseconds.
    #[must_use]
    pub fn threshold_ms(&self) -> u64 {
        let longest_ms = self.gaps.front().map_or(0, |(_, gap_ms)| *gap_ms);
        let scaled_ms = longest_ms.saturating_mul(self.limits.gap_factor);
        scaled_ms.clamp(self.limits.min_silence_ms, self.limits.max_silence_ms)
    }

    fn step(&mut self, now: ClockMs) {
        let step_ms = now.since(self.stepped_at);
        self.silence_ms += step_ms.min(self.limits.max_step_ms);
        self.stepped_at = now;
        let oldest = now.before(self.limits.gap_window_ms);
        while self.gaps.front().is_some_and(|(at, _)| *at < oldest) {
            self.gaps.pop_front();
        }
    }

    /// Keeps gaps in descending order, so that the front is the longest recent one.
    fn remember_gap(&mut self, now: ClockMs) {
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
