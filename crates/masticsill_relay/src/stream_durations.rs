//! How long streams take, for the question whether one may still be begun.

use std::time::Duration;

/// Part of a longest time that fades with each shorter one: of what lasted unusually long, half is
/// forgotten after a dozen streams.
const DECAY_DIVISOR: u64 = 16;

/// The longest time that streams took lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamDurations {
    longest_ms: u64,
}

impl StreamDurations {
    /// Notes the time of a whole stream.
    pub(crate) fn record(&mut self, took_ms: u64) {
        let decayed_ms = self.longest_ms - self.longest_ms / DECAY_DIVISOR;
        self.longest_ms = took_ms.max(decayed_ms);
    }

    /// Whether a stream that begins now ends within a time, as far as can be told: with a third more
    /// than the longest one took, since it may wait behind one prompt more.
    pub(crate) fn fits_within(self, left: Duration) -> bool {
        Duration::from_millis(self.longest_ms + self.longest_ms / 3) <= left
    }
}
