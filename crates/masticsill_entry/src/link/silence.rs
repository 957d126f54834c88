//! Measures the silence of a peer without counting pauses of this process.

use masticsill_types::ClockMs;

/// Maximum time that one tick adds to the silence.
///
/// After a pause, this process sees one long tick, which must not count as silence of its peers.
const MAX_COUNTED_TICK_MS: u64 = 60;

/// Adds up the silence of a peer in ticks of bounded length.
#[derive(Debug)]
pub(crate) struct SilenceMeter {
    last_tick: ClockMs,
    silence_ms: u64,
}

impl SilenceMeter {
    /// Creates a meter without any silence.
    pub(crate) fn new(now: ClockMs) -> Self {
        Self {
            last_tick: now,
            silence_ms: 0,
        }
    }

    /// Resets the silence after a message from the peer.
    pub(crate) fn reset(&mut self) {
        self.silence_ms = 0;
    }

    /// Adds the time since the last tick and returns the silence so far, in milliseconds. Silence
    /// is counted only while a call is in flight.
    pub(crate) fn tick(&mut self, now: ClockMs, is_call_in_flight: bool) -> u64 {
        let elapsed_ms = now - self.last_tick;
        self.last_tick = now;
        if is_call_in_flight {
            self.silence_ms += elapsed_ms.min(MAX_COUNTED_TICK_MS);
        } else {
            self.silence_ms = 0;
        }
        self.silence_ms
    }
}
