//! When the caller of a stream got its events.

use masticsill_types::ClockMs;

/// When the caller got the events of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTiming {
    /// Time from the request to the first event.
    pub(crate) first_ms: Option<u64>,
    last_at: ClockMs,
    /// Longest pause between events.
    pub(crate) longest_gap_ms: u64,
}

impl StreamTiming {
    /// Notes that events are passed on now.
    pub(crate) fn note_events(&mut self, received_at: ClockMs, now: ClockMs) {
        match self.first_ms {
            None => self.first_ms = Some(now.since(received_at)),
            Some(_) => self.longest_gap_ms = self.longest_gap_ms.max(now.since(self.last_at)),
        }
        self.last_at = now;
    }
}
