//! Requests during which endpoints crashed: merges the records of the watchers and assesses them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use masticsill_quarantine::{CrashLedger, Judgement, RequestRecord, Standing};
use masticsill_types::{MonotonicClock, log_event};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::events;

/// How often expired records are removed when no crash is due for assessment.
const FORGET_INTERVAL_MS: u64 = 60_000;

#[derive(Debug)]
struct Shared {
    clock: MonotonicClock,
    ledger: Mutex<CrashLedger>,
    /// Revision of the last change that must reach every watcher.
    broadcast_revision_sender: watch::Sender<u64>,
    /// Notified whenever a crash may have to be assessed.
    merged: Notify,
}

/// The requests during which endpoints crashed, as known to this replica. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Suspects {
    shared: Arc<Shared>,
}

impl Suspects {
    pub(crate) fn new(clock: MonotonicClock) -> Self {
        let shared = Shared {
            clock,
            ledger: Mutex::default(),
            broadcast_revision_sender: watch::Sender::new(0),
            merged: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Merges records of a watcher, of another replica or of a former process.
    pub(crate) fn merge(&self, records: &[RequestRecord]) {
        if records.is_empty() {
            return;
        }
        self.ledger().merge(self.shared.clock.now(), records);
        self.publish_revision();
        self.shared.merged.notify_one();
    }

    /// Records that must reach every watcher and changed after a revision.
    pub(crate) fn broadcast_since(&self, revision: u64) -> Vec<RequestRecord> {
        let now = self.shared.clock.now();
        self.ledger().broadcast_since(now, revision)
    }

    /// Revision of the last change that must reach every watcher.
    pub(crate) fn broadcast_revision(&self) -> u64 {
        self.ledger().broadcast_revision()
    }

    /// Subscribes to the revision of [`Self::broadcast_revision`].
    pub(crate) fn watch_broadcast_revision(&self) -> watch::Receiver<u64> {
        self.shared.broadcast_revision_sender.subscribe()
    }

    fn publish_revision(&self) {
        let revision = self.broadcast_revision();
        self.shared
            .broadcast_revision_sender
            .send_if_modified(|known| {
                let is_changed = *known != revision;
                *known = revision;
                is_changed
            });
    }

    fn judge(&self) {
        let judgements = self.ledger().judge(self.shared.clock.now());
        self.publish_revision();
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

/// Assesses crashes when they are due; never returns.
pub(crate) async fn run_judgements(suspects: Suspects) {
    loop {
        let due_in = Duration::from_millis(suspects.next_judgement_in_ms());
        // Records merged in the meantime may be due sooner.
        let _ = timeout(due_in, suspects.shared.merged.notified()).await;
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
