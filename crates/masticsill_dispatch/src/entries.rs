//! The number of entries that share budgets and connections.

use std::collections::VecDeque;

use masticsill_types::ClockMs;

/// How long a count is remembered after a lower one has been reported. A control replica that has
/// just started knows few entries, and an entry that used its count would take more than its share.
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
    ///
    /// Without reports the last ones stay in force: an entry that reaches no control replica still
    /// shares the endpoints with the others.
    #[must_use]
    pub fn highest(&self) -> u32 {
        let highest = self.reported.front().map(|(count, _)| *count);
        highest.unwrap_or(1).max(1)
    }
}
