//! Requests under which endpoints crashed: what the watchers noted, joined and judged here.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use masticsill_quarantine::{CrashLedger, Judgement, RequestRecord, Standing};
use masticsill_types::{MonotonicClock, log_event};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::events;

/// How often what is old is forgotten even though nothing is to be judged.
const FORGET_INTERVAL_MS: u64 = 60_000;

#[derive(Debug)]
struct Shared {
    clock: MonotonicClock,
    ledger: Mutex<CrashLedger>,
    /// Revision of the last change that concerns every watcher.
    spread: watch::Sender<u64>,
    /// Told whenever there may be something to judge.
    taken: Notify,
}

/// What this replica knows of such requests. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Suspects {
    shared: Arc<Shared>,
}

impl Suspects {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        let shared = Shared {
            clock,
            ledger: Mutex::default(),
            spread: watch::Sender::new(0),
            taken: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Joins what a watcher noted, another replica told, or a former life left.
    pub(crate) fn take(&self, records: &[RequestRecord]) {
        if records.is_empty() {
            return;
        }
        self.ledger().merge(self.shared.clock.now(), records);
        self.note_change();
        self.shared.taken.notify_one();
    }

    /// What concerns every watcher and changed after a revision.
    pub(crate) fn broadcast_since(&self, revision: u64) -> Vec<RequestRecord> {
        let now = self.shared.clock.now();
        self.ledger().broadcast_since(now, revision)
    }

    /// Revision of the last change that concerns every watcher.
    pub(crate) fn broadcast_revision(&self) -> u64 {
        self.ledger().broadcast_revision()
    }

    /// Follows that revision.
    pub(crate) fn spread_revisions(&self) -> watch::Receiver<u64> {
        self.shared.spread.subscribe()
    }

    fn note_change(&self) {
        let revision = self.broadcast_revision();
        self.shared.spread.send_if_modified(|known| {
            let is_changed = *known != revision;
            *known = revision;
            is_changed
        });
    }

    fn judge(&self) {
        let judgements = self.ledger().judge(self.shared.clock.now());
        self.note_change();
        for judgement in judgements {
            log_judgement(&judgement);
        }
    }

    fn next_judgement_in_ms(&self) -> u64 {
        let due_in_ms = self.ledger().next_judgement_in_ms(self.shared.clock.now());
        due_in_ms.unwrap_or(FORGET_INTERVAL_MS)
    }

    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        let ledger = self.shared.ledger.lock();
        ledger.unwrap_or_else(PoisonError::into_inner)
    }
}

/// Judges crashes when they are due, for good.
pub(crate) async fn run_judging(suspects: Suspects) {
    loop {
        let due_in = Duration::from_millis(suspects.next_judgement_in_ms());
        // What was taken meanwhile may be due sooner.
        let _ = timeout(due_in, suspects.shared.taken.notified()).await;
        suspects.judge();
    }
}

fn log_judgement(judgement: &Judgement) {
    let (is_quarantined, strikes, left_ms) = match judgement.standing {
        Standing::Free | Standing::Held { .. } => (false, 0, 0),
        Standing::Quarantined { left_ms, strikes } => (true, strikes, left_ms),
    };
    log_event!(
        info,
        events::CRASH_JUDGED,
        fingerprint = judgement.fingerprint,
        endpoint = judgement.endpoint,
        weight = judgement.weight.name(),
        answered_ms = judgement.answered_ms,
        reached_ms = judgement.reached_ms,
        others_fallen = judgement.others,
        is_quarantined = is_quarantined,
        strikes = strikes,
        left_ms = left_ms
    );
}
