//! How many entries share budgets and connections.

use std::collections::VecDeque;

use masticsill_types::ClockMs;

/// How long a count is remembered: a control replica that has just started knows few entries, and
/// one that takes its word would use more than its share.
const RETENTION_MS: u64 = 30_000;

/// Counts that control replicas told lately.
#[derive(Clone, Debug, Default)]
pub struct EntryCount {
    /// Falling counts with the time when each was told last.
    reported: VecDeque<(u32, ClockMs)>,
}

impl EntryCount {
    /// Takes what a control replica told.
    pub fn note(&mut self, now: ClockMs, entries: u32) {
        self.reported
            .retain(|(count, at)| *count > entries && now.since(*at) < RETENTION_MS);
        self.reported.push_back((entries, now));
    }

    /// The highest count told lately; at least this entry itself.
    #[must_use]
    pub fn highest(&self, now: ClockMs) -> u32 {
        let recent = self
            .reported
            .iter()
            .filter(|(_, at)| now.since(*at) < RETENTION_MS);
        recent.map(|(count, _)| *count).max().unwrap_or(1).max(1)
    }
}
