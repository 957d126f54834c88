//! Times at which the caller of a stream received its events.

use masticsill_types::ClockMs;

/// Timing of a stream's events at the caller.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTiming {
    /// Time from the request to the first event, in milliseconds.
    pub(crate) first_ms: Option<u64>,
    last_at: ClockMs,
    /// Longest gap between events, in milliseconds.
    pub(crate) longest_gap_ms: u64,
}

impl StreamTiming {
    /// Records that events are forwarded now.
    pub(crate) fn note_events(&mut self, received_at: ClockMs, now: ClockMs) {
        match self.first_ms {
            None => self.first_ms = Some(now.since(received_at)),
            Some(_) => self.longest_gap_ms = self.longest_gap_ms.max(now.since(self.last_at)),
        }
        self.last_at = now;
    }
}
