//! The number of entries that share budgets and connections.

use std::collections::VecDeque;

use masticsill_types::ClockMs;

/// How long a count is remembered. A control replica that has just started knows few entries, and
/// an entry that used its count would take more than its share.
const RETENTION_MS: u64 = 30_000;

/// Counts of entries that control replicas reported lately.
#[derive(Clone, Debug, Default)]
pub struct EntryCount {
    /// Counts in descending order, each with the time of its last report.
    reported: VecDeque<(u32, ClockMs)>,
}

impl EntryCount {
    /// Records the count reported by a control replica.
    pub fn note(&mut self, now: ClockMs, entries: u32) {
        self.reported
            .retain(|(count, at)| *count > entries && now.since(*at) < RETENTION_MS);
        self.reported.push_back((entries, now));
    }

    /// The highest count reported lately; at least 1, for this entry itself.
    #[must_use]
    pub fn highest(&self, now: ClockMs) -> u32 {
        let recent = self
            .reported
            .iter()
            .filter(|(_, at)| now.since(*at) < RETENTION_MS);
        recent.map(|(count, _)| *count).max().unwrap_or(1).max(1)
    }
}
