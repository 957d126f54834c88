//! Pulls that wait for updates.

use indexmap::{IndexMap, IndexSet};
use masticsill_types::ClockMs;
use masticsill_wire::agent::{PullCursor, PullRequest};

/// Smallest number of cursors for which updates are batched. A pull with fewer cursors is answered
/// at the first update.
const MIN_CURSORS_TO_BATCH: usize = 16;

/// The number of a waiting pull; an agent never uses a number twice.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PullNumber(u64);

#[derive(Debug)]
struct WaitingPull {
    cursors: Vec<PullCursor>,
    due_at: ClockMs,
    /// Positions of the cursors with updates.
    updates: IndexSet<usize>,
}

/// The waiting pulls, each with the cursors that have updates.
///
/// A pull with many cursors batches its updates for a short time: an engine emits a token for every
/// stream of a batch at nearly the same time, and one reply for all costs less than one for each.
#[derive(Debug)]
pub(crate) struct WaitingPulls {
    batch_delay_ms: u64,
    last: PullNumber,
    waiting: IndexMap<PullNumber, WaitingPull>,
}

impl WaitingPulls {
    pub(crate) fn new(batch_delay_ms: u64) -> Self {
        Self {
            batch_delay_ms,
            last: PullNumber(0),
            waiting: IndexMap::new(),
        }
    }

    pub(crate) fn add(&mut self, now: ClockMs, request: &PullRequest) -> PullNumber {
        self.last = PullNumber(self.last.0 + 1);
        let pull = WaitingPull {
            cursors: request.cursors.clone(),
            due_at: now + request.wait_ms,
            updates: IndexSet::new(),
        };
        self.waiting.insert(self.last, pull);
        self.last
    }

    /// Records an update for the cursor at `position`. An urgent update is not delayed for
    /// batching.
    pub(crate) fn record_update(
        &mut self,
        now: ClockMs,
        number: PullNumber,
        position: usize,
        is_urgent: bool,
    ) {
        let Some(pull) = self.waiting.get_mut(&number) else {
            return;
        };
        pull.updates.insert(position);
        let is_batched = !is_urgent && pull.cursors.len() >= MIN_CURSORS_TO_BATCH;
        let batch_delay_ms = if is_batched { self.batch_delay_ms } else { 0 };
        pull.due_at = pull.due_at.min(now + batch_delay_ms);
    }

    /// Makes every waiting pull due immediately.
    pub(crate) fn make_all_due(&mut self) {
        for pull in self.waiting.values_mut() {
            pull.due_at = ClockMs(0);
        }
    }

    pub(crate) fn remove(&mut self, number: PullNumber) {
        self.waiting.swap_remove(&number);
    }

    pub(crate) fn next_due(&self) -> Option<ClockMs> {
        self.waiting.values().map(|pull| pull.due_at).min()
    }

    /// Removes and returns the due pulls, each with those of its cursors that have updates.
    pub(crate) fn take_due(&mut self, now: ClockMs) -> Vec<(PullNumber, Vec<PullCursor>)> {
        let is_due = |pull: &WaitingPull| pull.due_at <= now;
        let due = self.waiting.iter().filter(|(_, pull)| is_due(pull));
        let numbers: Vec<PullNumber> = due.map(|(number, _)| *number).collect();
        let taken = numbers.into_iter().filter_map(|number| {
            let pull = self.waiting.swap_remove(&number)?;
            let cursors = pull.updates.iter().map(|position| pull.cursors[*position]);
            Some((number, cursors.collect()))
        });
        taken.collect()
    }
}
