//! Tells a silent peer from a pause of this process.

use masticsill_types::ClockMs;

/// Longest stretch that one tick may count, in milliseconds.
///
/// A process that was itself paused sees one long tick; it must not take its own pause for its
/// peers' silence.
const LARGEST_TICK_MS: u64 = 60;

/// Adds up a peer's silence in ticks of bounded length.
#[derive(Debug)]
pub(crate) struct SilenceMeter {
    last_tick: ClockMs,
    silence_ms: u64,
}

impl SilenceMeter {
    /// A meter at zero.
    pub(crate) fn new(now: ClockMs) -> Self {
        Self {
            last_tick: now,
            silence_ms: 0,
        }
    }

    /// Notes a sign of life.
    pub(crate) fn reset(&mut self) {
        self.silence_ms = 0;
    }

    /// Counts the time since the last tick and returns the silence so far, in milliseconds.
    pub(crate) fn tick(&mut self, now: ClockMs, is_awaiting: bool) -> u64 {
        let elapsed_ms = now - self.last_tick;
        self.last_tick = now;
        if is_awaiting {
            self.silence_ms += elapsed_ms.min(LARGEST_TICK_MS);
        } else {
            self.silence_ms = 0;
        }
        self.silence_ms
    }
}
