//! Pulls that wait for news.

use indexmap::{IndexMap, IndexSet};
use masticsill_types::ClockMs;
use masticsill_wire::agent::{PullCursor, PullRequest};

/// Pulls with fewer cursors are answered at the first news.
const GATHER_FROM_CURSORS: usize = 16;

/// A waiting pull; numbers are never used twice by one agent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PullNumber(u64);

#[derive(Debug)]
struct WaitingPull {
    cursors: Vec<PullCursor>,
    due_at: ClockMs,
    /// Positions of the cursors with news.
    news: IndexSet<usize>,
}

/// Waiting pulls, each with the cursors that have news.
///
/// A pull with many cursors gathers news for a short while: engines emit a token for every stream
/// of a batch at nearly the same time, and one reply for all costs less than one for each.
#[derive(Debug)]
pub(crate) struct Pulls {
    batch_delay_ms: u64,
    last: PullNumber,
    waiting: IndexMap<PullNumber, WaitingPull>,
}

impl Pulls {
    pub(crate) fn new(batch_delay_ms: u64) -> Self {
        Self {
            batch_delay_ms,
            last: PullNumber(0),
            waiting: IndexMap::new(),
        }
    }

    pub(crate) fn begin(&mut self, now: ClockMs, request: &PullRequest) -> PullNumber {
        self.last = PullNumber(self.last.0 + 1);
        let pull = WaitingPull {
            cursors: request.cursors.clone(),
            due_at: now + request.wait_ms,
            news: IndexSet::new(),
        };
        self.waiting.insert(self.last, pull);
        self.last
    }

    /// Notes news for one cursor; urgent news is not held back to gather more.
    pub(crate) fn tell(
        &mut self,
        now: ClockMs,
        number: PullNumber,
        position: usize,
        is_urgent: bool,
    ) {
        let Some(pull) = self.waiting.get_mut(&number) else {
            return;
        };
        pull.news.insert(position);
        let gathers = !is_urgent && pull.cursors.len() >= GATHER_FROM_CURSORS;
        let batch_delay_ms = if gathers { self.batch_delay_ms } else { 0 };
        pull.due_at = pull.due_at.min(now + batch_delay_ms);
    }

    /// Makes every waiting pull due at once.
    pub(crate) fn hurry(&mut self) {
        for pull in self.waiting.values_mut() {
            pull.due_at = ClockMs(0);
        }
    }

    pub(crate) fn forget(&mut self, number: PullNumber) {
        self.waiting.swap_remove(&number);
    }

    pub(crate) fn next_due(&self) -> Option<ClockMs> {
        self.waiting.values().map(|pull| pull.due_at).min()
    }

    /// Takes out the pulls that are due, each with its cursors that have news.
    pub(crate) fn take_due(&mut self, now: ClockMs) -> Vec<(PullNumber, Vec<PullCursor>)> {
        let is_due = |pull: &WaitingPull| pull.due_at <= now;
        let due = self.waiting.iter().filter(|(_, pull)| is_due(pull));
        let numbers: Vec<PullNumber> = due.map(|(number, _)| *number).collect();
        let taken = numbers.into_iter().filter_map(|number| {
            let pull = self.waiting.swap_remove(&number)?;
            let cursors = pull.news.iter().map(|position| pull.cursors[*position]);
            Some((number, cursors.collect()))
        });
        taken.collect()
    }
}
