//! When the search for a generation's record ends.

use masticsill_types::ClockMs;

/// Time after which a found record is used although first requests are open, in milliseconds.
const FOUND_WAIT_MS: u64 = 1_000;
/// Maximum duration of a search, in milliseconds. A failed node counts as gone before it is over.
const SEARCH_TIMEOUT_MS: u64 = 10_000;

/// How far a search has come. A timeout or a failed connection ends a request but is no reply.
#[derive(Clone, Copy, Debug)]
pub struct SearchProgress {
    /// Whether a record that continues the answer was found.
    pub is_found: bool,
    /// Number of nodes that may hold the record and have not replied.
    pub unanswered: usize,
    /// Number of nodes whose first request has not ended.
    pub untried: usize,
}

/// What follows from the replies to a search.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SearchStep {
    /// Every node that may hold the record has replied that it does not.
    Lost,
    /// The search is over, although a node that has not replied may hold the record.
    Unsettled,
    /// The best record that was found is used.
    UseRecord,
    /// Further replies are waited for.
    Wait,
}

/// A search among all nodes that may hold a generation's record.
#[derive(Clone, Copy, Debug)]
pub struct HolderSearch {
    started_at: ClockMs,
}

impl HolderSearch {
    /// Begins a search.
    #[must_use]
    pub fn new(now: ClockMs) -> Self {
        Self { started_at: now }
    }

    /// Time until the search ends without a result, in milliseconds.
    #[must_use]
    pub fn left_ms(&self, now: ClockMs) -> u64 {
        (self.started_at + SEARCH_TIMEOUT_MS).since(now)
    }

    /// Decides whether the search goes on.
    #[must_use]
    pub fn step(&self, now: ClockMs, progress: SearchProgress) -> SearchStep {
        let is_complete = progress.unanswered == 0;
        let are_all_tried = is_complete || progress.untried == 0;
        let is_wait_over = now.since(self.started_at) >= FOUND_WAIT_MS;
        if progress.is_found && (are_all_tried || is_wait_over) {
            SearchStep::UseRecord
        } else if progress.is_found {
            SearchStep::Wait
        } else if is_complete {
            SearchStep::Lost
        } else if self.left_ms(now) == 0 {
            SearchStep::Unsettled
        } else {
            SearchStep::Wait
        }
    }
}
