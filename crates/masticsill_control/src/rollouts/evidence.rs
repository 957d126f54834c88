//! The entries' reports that this replica has received.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use masticsill_rollout::{
    ArmEvidence, EvidenceReport, EvidenceStore, Rollout, RolloutNumber, Rollouts,
};
use masticsill_types::ClockMs;

/// Reports of roll-outs up to this number of orders ahead of this replica's state are kept: a
/// replica that has just become the leader may still apply them.
const MAX_ORDERS_AHEAD: u64 = 16;

/// The latest report of each entry. Every replica keeps what it receives, but only the leader uses
/// it. Clones share the reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedEvidence {
    reports: Arc<Mutex<EvidenceStore>>,
}

/// The reports' sums, for the log.
#[derive(Clone, Debug, Default)]
pub(super) struct EvidenceTotals {
    pub(super) old: ArmEvidence,
    pub(super) reports: usize,
    pub(super) target: ArmEvidence,
}

impl ReceivedEvidence {
    /// Records reports, and drops those of roll-outs that have ended.
    pub(crate) fn note(&self, now: ClockMs, reports: Vec<EvidenceReport>, rollouts: &Rollouts) {
        let kept = kept_numbers(rollouts);
        let mut store = self.lock();
        for report in reports {
            if kept.contains(&report.number) {
                store.note(now, report);
            }
        }
        store.retain(&kept);
    }

    /// Drops the reports of roll-outs that have ended.
    pub(super) fn retain(&self, rollouts: &Rollouts) {
        self.lock().retain(&kept_numbers(rollouts));
    }

    /// Calls `read` with the reports.
    pub(super) fn read<T>(&self, read: impl FnOnce(&EvidenceStore) -> T) -> T {
        read(&self.lock())
    }

    /// The sums of all reports of a roll-out.
    pub(super) fn totals(&self, number: RolloutNumber) -> EvidenceTotals {
        let mut totals = EvidenceTotals::default();
        for (report, _) in self.lock().reports(number) {
            totals.reports += 1;
            for route in report.routes.values() {
                totals.old.add(&route.old);
                totals.target.add(&route.target);
            }
        }
        totals
    }

    fn lock(&self) -> MutexGuard<'_, EvidenceStore> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn kept_numbers(rollouts: &Rollouts) -> Vec<RolloutNumber> {
    let in_progress = rollouts.iter().filter(|it| !it.phase.is_ended());
    let in_progress = in_progress.map(|it: &Rollout| it.number);
    let last = rollouts.iter().map(|it| it.number.0).max().unwrap_or(0);
    let ahead = (last + 1..=last + MAX_ORDERS_AHEAD).map(RolloutNumber);
    in_progress.chain(ahead).collect()
}
