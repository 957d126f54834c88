//! Durations of recent streams, which decide whether a stream may still be started during a
//! shutdown.

use std::time::Duration;

/// Part of the maximum that decays with each shorter stream: half of an unusually long duration is
/// forgotten after a dozen streams.
const DECAY_DIVISOR: u64 = 16;

/// Decaying maximum of the duration of streams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamDurations {
    longest_ms: u64,
}

impl StreamDurations {
    /// Records the duration of a completed stream.
    pub(crate) fn record(&mut self, took_ms: u64) {
        let decayed_ms = self.longest_ms - self.longest_ms / DECAY_DIVISOR;
        self.longest_ms = took_ms.max(decayed_ms);
    }

    /// Expected duration of a stream that starts now, in milliseconds. A third is added to the
    /// maximum, because the stream may wait behind one prompt more.
    pub(crate) fn expected_ms(self) -> u64 {
        self.longest_ms + self.longest_ms / 3
    }

    /// Whether a stream that starts now is expected to end within a time.
    pub(crate) fn fits_within(self, left: Duration) -> bool {
        Duration::from_millis(self.expected_ms()) <= left
    }
}
