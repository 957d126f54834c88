//! How long streams take, for the question whether one may still be begun.

use std::time::Duration;

/// Part of a longest time that fades with each shorter one: of what lasted unusually long, half is
/// forgotten after a dozen streams.
const FADING: u64 = 16;

/// The longest time that streams took lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTimes {
    longest_ms: u64,
}

impl StreamTimes {
    /// Notes the time of a whole stream.
    pub(crate) fn note(&mut self, took_ms: u64) {
        let faded_ms = self.longest_ms - self.longest_ms / FADING;
        self.longest_ms = took_ms.max(faded_ms);
    }

    /// Whether a stream that begins now ends within a time, as far as can be told: with a third more
    /// than the longest one took, since it may wait behind one prompt more.
    pub(crate) fn fits(self, left: Duration) -> bool {
        Duration::from_millis(self.longest_ms + self.longest_ms / 3) <= left
    }
}
