//! Limits of a planned stop.

use masticsill_types::ClockMs;

use crate::service_queue::{QueuedRequest, Rank, Work};

/// Until when an entry that is about to stop can complete requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopLimits {
    /// When the last answer has to be complete.
    pub ends_at: ClockMs,
    /// Expected duration of a new stream, in milliseconds.
    pub stream_ms: u64,
}

impl StopLimits {
    /// Whether a queued request that is expected to start after `wait_ms` can still be completed.
    ///
    /// A resumed answer may start until the end: its caller has a part of it, and each further event
    /// is one that needs not be produced again.
    pub(crate) fn allows(&self, now: ClockMs, wait_ms: u64, waiting: &QueuedRequest) -> bool {
        let needed_ms = match (waiting.rank, &waiting.requirements.work) {
            (Rank::Resume, _) => return now < self.ends_at,
            (_, Work::Stream { .. }) => self.stream_ms,
            (_, Work::Whole) => waiting.terms.target_latency_ms,
        };
        now + wait_ms + needed_ms <= self.ends_at
    }
}
