//! Requests that crash endpoints: crashes recorded here, reports to the control replicas, and
//! records received from them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use masticsill_quarantine::{CrashLedger, CrashRecord, Fingerprint, RequestRecord, Standing};
use masticsill_registry::{EndpointId, ReportProgress};
use masticsill_types::log_event;
use tokio::time::{sleep, timeout};

use crate::crash_check::CRASH_PROBE_TIMEOUT_MS;
use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::reservation::Reservation;
use crate::retry_state::Obstacle;

/// Pause before a report is repeated to a replica that did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl Relay {
    /// Records that a run of a request ended because its endpoint crashed.
    pub(crate) fn note_crash(&self, fingerprint: Fingerprint, crash: &CrashRecord) {
        let now = self.now();
        self.crashes
            .borrow_mut()
            .note_crash(now, fingerprint, crash);
        self.metrics.runs_crashed.inc();
        self.notify_crash_reporters();
    }

    /// Records that a crash check of a request's endpoint is complete.
    pub(crate) fn finish_crash_check(&self, fingerprint: Fingerprint) {
        let mut crash_checks = self.crash_checks.borrow_mut();
        if let Some(position) = crash_checks.iter().position(|it| *it == fingerprint) {
            crash_checks.swap_remove(position);
        }
        drop(crash_checks);
        self.notify_crash_reporters();
    }

    /// Records that an endpoint ran a request to its end, successfully or not, without crashing.
    pub(crate) fn note_completion(&self, request: &RelayRequest) {
        let (now, fingerprint) = (self.now(), request.fingerprint);
        let mut ledger = self.crashes.borrow_mut();
        let before = ledger.local_revision();
        ledger.note_completion(now, fingerprint);
        if ledger.local_revision() != before {
            self.notify_crash_reporters();
        }
    }

    /// Records for how long endpoints have produced events for a request, over all of its runs, in
    /// milliseconds.
    pub(crate) fn note_progress(&self, request: &RelayRequest, reached_ms: u64) {
        let mut ledger = self.crashes.borrow_mut();
        let before = ledger.local_revision();
        ledger.note_progress(request.fingerprint, reached_ms);
        if ledger.local_revision() != before {
            self.notify_crash_reporters();
        }
    }

    /// Merges records of requests that crash endpoints, received from a control replica.
    pub(crate) fn merge_crash_records(&self, records: &[RequestRecord]) {
        if records.is_empty() {
            return;
        }
        let now = self.now();
        let mut ledger = self.crashes.borrow_mut();
        let standing =
            |ledger: &CrashLedger, of: &RequestRecord| ledger.standing(now, &of.fingerprint);
        let free = records.iter();
        let free = free.filter(|it| !standing(&ledger, it).is_quarantined());
        let free: Vec<&RequestRecord> = free.collect();
        ledger.merge(now, records);
        for record in free {
            log_if_quarantined(record, standing(&ledger, record));
        }
        drop(ledger);
        // A request that ran to its end here has to be cleared at the other processes as well.
        self.notify_crash_reporters();
    }

    /// Judges the crashes recorded here while no control replica is reachable to do so, and drops
    /// old records.
    ///
    /// A replica knows which other endpoints failed at the moment of a crash, this entry only what
    /// it ran itself.
    pub(crate) fn judge_crashes(&self) {
        let now = self.now();
        let mut ledger = self.crashes.borrow_mut();
        if self.control_reached.borrow().is_empty() {
            ledger.judge(now);
        } else {
            ledger.forget_old(now);
        }
    }

    /// Wakes the tasks that report crashes to control replicas.
    pub(crate) fn notify_crash_reporters(&self) {
        self.crash_changes.send_modify(|count| *count += 1);
    }

    /// Lists of endpoints to exclude for a request, so that it does not run beside another request
    /// under which an endpoint has crashed: after another crash nobody could tell which of the two
    /// caused it. If a list leaves no endpoint, the next one applies, and finally none.
    ///
    /// Suspect requests of this entry are known. The request is kept apart from those of other
    /// entries by its fingerprint once one further crash may quarantine it.
    pub(crate) fn isolation_exclusions(&self, request: &RelayRequest) -> Vec<Vec<EndpointId>> {
        let other_suspects = self.endpoints_of_other_suspects(request);
        let mut lists = Vec::new();
        if self.is_near_quarantine(request) {
            let fingerprint = &request.fingerprint;
            let endpoints = self.endpoints.borrow();
            let announcements = endpoints.iter().map(|it| &it.announcement);
            let of_service = announcements.filter(|it| it.service == request.service);
            let others = of_service.filter(|it| !fingerprint.is_isolated_to(&it.id));
            let others: Vec<EndpointId> = others.map(|it| it.id.clone()).collect();
            lists.push([other_suspects.as_slice(), &others].concat());
        }
        if !other_suspects.is_empty() {
            lists.push(other_suspects);
        }
        lists
    }

    /// Whether a request that one further crash may quarantine would run beside another suspect
    /// request of this entry.
    pub(crate) fn would_colocate_with_suspect(
        &self,
        request: &RelayRequest,
        endpoint: &EndpointId,
    ) -> bool {
        let is_near_quarantine = self.is_near_quarantine(request);
        is_near_quarantine && self.endpoints_of_other_suspects(request).contains(endpoint)
    }

    fn is_near_quarantine(&self, request: &RelayRequest) -> bool {
        self.crashes
            .borrow()
            .is_near_quarantine(&request.fingerprint)
    }

    /// Endpoints that run another suspect request, if this request is suspect itself.
    fn endpoints_of_other_suspects(&self, request: &RelayRequest) -> Vec<EndpointId> {
        if !self.is_crash_suspect(request) {
            return Vec::new();
        }
        let runs = self.suspect_runs.borrow();
        let others = runs.iter().filter(|(it, _)| *it != request.fingerprint);
        others.map(|(_, endpoint)| endpoint.clone()).collect()
    }

    /// Marks the run of a request under which an endpoint has crashed, or may have.
    pub(crate) fn mark_suspect(&self, request: &RelayRequest, reservation: &mut Reservation) {
        if self.is_crash_suspect(request) {
            reservation.mark_suspect_run(request.fingerprint);
        }
    }

    fn is_crash_suspect(&self, request: &RelayRequest) -> bool {
        let fingerprint = &request.fingerprint;
        let is_checked = self.crash_checks.borrow().contains(fingerprint);
        is_checked || self.crashes.borrow().is_suspect(fingerprint)
    }

    /// Checks whether a request may be sent, considering the endpoints that crashed under it.
    ///
    /// # Errors
    ///
    /// The request is quarantined, or has to wait until a crash is judged.
    pub(crate) fn check_crashes(&self, request: &RelayRequest) -> Result<(), Obstacle> {
        let fingerprint = &request.fingerprint;
        let is_checked = self.crash_checks.borrow().contains(fingerprint);
        if is_checked && self.is_near_quarantine(request) {
            return Err(Obstacle::Held {
                left_ms: CRASH_PROBE_TIMEOUT_MS,
            });
        }
        match self.standing(request) {
            Standing::Free => Ok(()),
            Standing::Held { left_ms } => Err(Obstacle::Held { left_ms }),
            Standing::Quarantined { .. } => Err(Obstacle::Quarantined),
        }
    }

    /// Time left for which a request is quarantined, in milliseconds; `None` if it is not.
    pub(crate) fn quarantine_left_ms(&self, request: &RelayRequest) -> Option<u64> {
        match self.standing(request) {
            Standing::Free | Standing::Held { .. } => None,
            Standing::Quarantined { left_ms, .. } => Some(left_ms),
        }
    }

    fn standing(&self, request: &RelayRequest) -> Standing {
        let ledger = self.crashes.borrow();
        ledger.standing(self.now(), &request.fingerprint)
    }

    /// Waits until the crash records change, `bound_ms` milliseconds at most.
    pub(crate) async fn wait_for_crash_change(&self, bound_ms: u64) {
        let mut changes = self.crash_changes.subscribe();
        // The timeout ends the wait if nothing changes.
        let _ = timeout(Duration::from_millis(bound_ms), changes.changed()).await;
    }
}

/// Reports crashes recorded here to a control replica, until the relay ends.
pub(crate) async fn report_crashes(
    relay: Rc<Relay>,
    address: SocketAddr,
    reported: Rc<Cell<ReportProgress>>,
) {
    let mut changes = relay.crash_changes.subscribe();
    while changes.changed().await.is_ok() {
        loop {
            let begun = reported.get();
            let (revision, records) = {
                let ledger = relay.crashes.borrow();
                if ledger.local_revision() <= begun.revision() {
                    break;
                }
                let records = ledger.local_since(relay.now(), begun.revision());
                (ledger.revision(), records)
            };
            if relay.control.tell_crashes(address, &records).await {
                complete_report(&reported, begun, revision);
                continue;
            }
            sleep(RETRY_PAUSE).await;
            if !relay.control_reached.borrow().contains_key(&address) {
                // The report is repeated once the replica is reached again.
                break;
            }
        }
    }
}

/// Records that a replica has received a report.
pub(crate) fn complete_report(
    reported: &Cell<ReportProgress>,
    begun: ReportProgress,
    revision: u64,
) {
    let mut progress = reported.get();
    progress.complete(begun, revision);
    reported.set(progress);
}

fn log_if_quarantined(record: &RequestRecord, standing: Standing) {
    let Standing::Quarantined { left_ms, strikes } = standing else {
        return;
    };
    let newest = record.crashes.iter().map(|it| it.ended_ago_ms).min();
    log_event!(
        warn,
        events::REQUEST_QUARANTINED,
        fingerprint = record.fingerprint,
        strikes = strikes,
        age_ms = newest.unwrap_or_default(),
        left_ms = left_ms
    );
}
