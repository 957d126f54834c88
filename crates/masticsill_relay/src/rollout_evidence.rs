//! Counts how the versions of services with a roll-out in progress answer, and reports it to the
//! control replica that leads.
//!
//! What endpoints did counts: answers, broken connections and invalid responses. An attempt that the
//! relay ended itself, because its caller left or its deadline passed, is sent but not answered. One
//! that was given up for its silence counts as answered after that silence, since the attempts that
//! take longest would otherwise be missing.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use masticsill_dispatch::EndpointTable;
use masticsill_registry::Announcement;
use masticsill_rollout::{
    ArmEvidence, EvidenceReport, LatencyHistogram, Reporter, RolloutNumber, RouteEvidence,
    ServingRollout,
};
use masticsill_types::ClockMs;
use tokio::time::timeout;

use crate::metrics::{SideLabels, SideOutcomeLabels};
use crate::relay::Relay;
use crate::request::RelayRequest;

/// Time between reports.
const REPORT_INTERVAL_MS: u64 = 300;
/// Time between reports after a bad answer: part of the time in which a bad version is to be rolled
/// back.
const URGENT_REPORT_INTERVAL_MS: u64 = 100;
/// Time between reports without changes, which tell the leader that this relay is there.
const IDLE_REPORT_INTERVAL_MS: u64 = 1_000;
/// Timeout of a report. Another replica may lead by then, and the next report contains everything.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Where the outcome of one attempt is counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct EvidenceArm {
    /// Identifies the attempt among those that have not ended.
    attempt: u64,
    /// Whether the time to the answer says nothing, because the attempt resumes a stream.
    is_resume: bool,
    is_target: bool,
    number: RolloutNumber,
    /// Position of the route among those of the roll-out.
    route: usize,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptOutcome {
    /// The endpoint answered, or sent the first event of a stream. `latency_ms` is the time that it
    /// took, or for which it was silent; none if that says nothing of the version.
    Answered { latency_ms: Option<u64> },
    /// The attempt failed; `is_answered` says whether it was counted as answered before.
    Failed { is_answered: bool },
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    arm: EvidenceArm,
    is_answered: bool,
    sent_at: ClockMs,
}

/// Everything counted so far, and when it is reported. Pure: the time is passed to each call.
#[derive(Debug)]
pub(crate) struct EvidenceLog {
    /// Whether there is anything that the last report does not contain.
    is_changed: bool,
    /// Whether there was a bad answer since the last report.
    is_urgent: bool,
    last_attempt: u64,
    /// Durations of the attempts at old endpoints that ended during each roll-out.
    old_durations: IndexMap<RolloutNumber, LatencyHistogram>,
    old_in_flight: u32,
    open: IndexMap<u64, OpenAttempt>,
    reported_at: Option<ClockMs>,
    reporter: Reporter,
    rollouts: IndexMap<RolloutNumber, IndexMap<String, RouteEvidence>>,
    sequence: u64,
}

impl EvidenceLog {
    pub(crate) fn new(reporter: Reporter) -> Self {
        Self {
            is_changed: false,
            is_urgent: false,
            last_attempt: 0,
            old_durations: IndexMap::new(),
            old_in_flight: 0,
            open: IndexMap::new(),
            reported_at: None,
            reporter,
            rollouts: IndexMap::new(),
            sequence: 0,
        }
    }

    /// Counts an attempt that is sent.
    pub(crate) fn begin(
        &mut self,
        now: ClockMs,
        number: RolloutNumber,
        route: &str,
        is_target: bool,
        is_resume: bool,
    ) -> EvidenceArm {
        let routes = self.rollouts.entry(number).or_default();
        let position = match routes.get_index_of(route) {
            Some(position) => position,
            None => {
                routes
                    .insert_full(route.to_owned(), RouteEvidence::default())
                    .0
            }
        };
        self.last_attempt += 1;
        let arm = EvidenceArm {
            attempt: self.last_attempt,
            is_resume,
            is_target,
            number,
            route: position,
        };
        self.change(arm, |counts| counts.sent += 1);
        let open = OpenAttempt {
            arm,
            is_answered: false,
            sent_at: now,
        };
        self.open.insert(arm.attempt, open);
        arm
    }

    /// Counts the outcome of an attempt.
    pub(crate) fn note(&mut self, arm: EvidenceArm, outcome: AttemptOutcome) {
        self.change(arm, |counts| match outcome {
            AttemptOutcome::Answered { latency_ms } => {
                counts.answered += 1;
                if let Some(latency_ms) = latency_ms.filter(|_| !arm.is_resume) {
                    counts.latency.note(latency_ms);
                }
            }
            AttemptOutcome::Failed { is_answered } => {
                counts.answered += u64::from(!is_answered);
                counts.failed += 1;
            }
        });
        self.is_urgent |= matches!(outcome, AttemptOutcome::Failed { .. });
        if let Some(open) = self.open.get_mut(&arm.attempt) {
            open.is_answered = true;
        }
    }

    /// Records the end of an attempt, whatever its outcome.
    pub(crate) fn end(&mut self, arm: EvidenceArm) {
        self.open.swap_remove(&arm.attempt);
    }

    /// Records how long an attempt at an endpoint of another version than the target took.
    pub(crate) fn note_old_duration(&mut self, number: RolloutNumber, duration_ms: u64) {
        self.old_durations
            .entry(number)
            .or_default()
            .note(duration_ms);
        self.is_changed = true;
    }

    /// The evidence of a roll-out by route, with the attempts that have not ended.
    fn routes(&self, now: ClockMs, number: RolloutNumber) -> IndexMap<String, RouteEvidence> {
        let mut routes = self.rollouts.get(&number).cloned().unwrap_or_default();
        let open = self.open.values().filter(|open| open.arm.number == number);
        for open in open {
            let Some((_, route)) = routes.get_index_mut(open.arm.route) else {
                continue;
            };
            let counts = if open.arm.is_target {
                &mut route.target
            } else {
                &mut route.old
            };
            counts.in_flight += 1;
            if !open.is_answered && !open.arm.is_resume {
                counts.waiting.note(now.since(open.sent_at));
            }
        }
        routes
    }

    /// Attempts of a roll-out that has ended meanwhile are not counted.
    fn change(&mut self, arm: EvidenceArm, change: impl FnOnce(&mut ArmEvidence)) {
        let routes = self.rollouts.get_mut(&arm.number);
        let Some((_, route)) = routes.and_then(|routes| routes.get_index_mut(arm.route)) else {
            return;
        };
        change(if arm.is_target {
            &mut route.target
        } else {
            &mut route.old
        });
        self.is_changed = true;
    }

    /// Causes everything to be reported again at once: to a new leader, or after a lost report.
    pub(crate) fn repeat(&mut self) {
        self.is_changed = true;
        self.reported_at = None;
    }

    /// Time until the next report, in milliseconds.
    pub(crate) fn due_in_ms(&self, now: ClockMs) -> u64 {
        let Some(reported_at) = self.reported_at else {
            return 0;
        };
        // The end of an old request changes no count, and the leader waits for the last one. Requests
        // that wait for their answers tell of a slow version.
        let is_changed = self.is_changed || self.old_in_flight > 0 || !self.open.is_empty();
        let interval_ms = match (self.is_urgent, is_changed) {
            (true, _) => URGENT_REPORT_INTERVAL_MS,
            (false, true) => REPORT_INTERVAL_MS,
            (false, false) => IDLE_REPORT_INTERVAL_MS,
        };
        (reported_at + interval_ms).since(now)
    }

    /// The reports on the roll-outs in progress, each with the number of requests in flight at old
    /// endpoints. What was counted for other roll-outs is dropped.
    pub(crate) fn report(
        &mut self,
        now: ClockMs,
        in_progress: &[(RolloutNumber, u32)],
    ) -> Vec<EvidenceReport> {
        let is_in_progress =
            |number: &RolloutNumber| in_progress.iter().any(|(it, _)| it == number);
        self.rollouts.retain(|number, _| is_in_progress(number));
        self.old_durations
            .retain(|number, _| is_in_progress(number));
        self.open.retain(|_, open| is_in_progress(&open.arm.number));
        self.is_changed = false;
        self.is_urgent = false;
        self.old_in_flight = in_progress.iter().map(|(_, in_flight)| in_flight).sum();
        self.reported_at = Some(now);
        self.sequence += 1;
        let reports = in_progress.iter().map(|(number, old_in_flight)| {
            let old_durations = self.old_durations.get(number).cloned();
            EvidenceReport {
                old_durations: old_durations.unwrap_or_default(),
                old_in_flight: *old_in_flight,
                number: *number,
                reporter: self.reporter.clone(),
                routes: self.routes(now, *number),
                sequence: self.sequence,
            }
        });
        reports.collect()
    }

    /// Records that a report was lost; the next one is due after the usual time.
    pub(crate) fn note_lost(&mut self) {
        self.is_changed = true;
    }
}

impl Relay {
    /// Counts an attempt that is sent to an endpoint, if a roll-out of its service is in progress.
    pub(crate) fn begin_evidence(
        &self,
        request: &RelayRequest,
        endpoint: &Announcement,
        is_resume: bool,
    ) -> Option<EvidenceArm> {
        let rollouts = self.rollouts.as_ref()?;
        let (service, version) = (&request.service, &endpoint.version);
        let (number, is_target) = rollouts.side_of(service, version, request.received_at)?;
        let labels = SideLabels::new(service, is_target);
        self.metrics.rollout_sends.get_or_create(&labels).inc();
        let mut evidence = rollouts.evidence.borrow_mut();
        let was_changed = evidence.is_changed;
        let arm = evidence.begin(
            self.now(),
            number,
            &request.route.name,
            is_target,
            is_resume,
        );
        if !was_changed {
            rollouts.evidence_changed.notify_one();
        }
        Some(arm)
    }

    /// Counts the outcome of an attempt.
    pub(crate) fn note_evidence(
        &self,
        service: &str,
        arm: Option<EvidenceArm>,
        outcome: AttemptOutcome,
    ) {
        let (Some(rollouts), Some(arm)) = (&self.rollouts, arm) else {
            return;
        };
        let is_failed = matches!(outcome, AttemptOutcome::Failed { .. });
        let labels = SideOutcomeLabels::new(service, arm.is_target, is_failed);
        self.metrics.rollout_answers.get_or_create(&labels).inc();
        let mut evidence = rollouts.evidence.borrow_mut();
        let was_due = (evidence.is_changed, evidence.is_urgent);
        evidence.note(arm, outcome);
        if was_due != (evidence.is_changed, evidence.is_urgent) {
            rollouts.evidence_changed.notify_one();
        }
    }
}

impl Relay {
    /// Records the end of an attempt that was sent to an endpoint at `began_at`.
    pub(crate) fn end_evidence(
        &self,
        endpoint: &Announcement,
        arm: Option<EvidenceArm>,
        began_at: ClockMs,
    ) {
        let Some(rollouts) = &self.rollouts else {
            return;
        };
        let mut evidence = rollouts.evidence.borrow_mut();
        if let Some(arm) = arm {
            evidence.end(arm);
        }
        let old_of = rollouts.number_if_old(&endpoint.service, &endpoint.version);
        if let Some(number) = old_of {
            evidence.note_old_duration(number, self.now().since(began_at));
        }
    }
}

/// Reports evidence to the replica that leads while roll-outs are in progress, until the relay ends.
pub(crate) async fn report_evidence(relay: Rc<Relay>) {
    let Some(rollouts) = &relay.rollouts else {
        return;
    };
    loop {
        let in_progress = rollouts.in_progress();
        let Some(leader) = rollouts.leader().filter(|_| !in_progress.is_empty()) else {
            rollouts.evidence_changed.notified().await;
            continue;
        };
        let due_in_ms = rollouts.evidence.borrow().due_in_ms(relay.now());
        if due_in_ms > 0 {
            let changed = rollouts.evidence_changed.notified();
            // After the timeout the report is due.
            let _ = timeout(Duration::from_millis(due_in_ms), changed).await;
            continue;
        }
        let in_progress = old_in_flight(&relay.endpoints.borrow(), &in_progress);
        let reports = rollouts
            .evidence
            .borrow_mut()
            .report(relay.now(), &in_progress);
        let sending = relay.control.tell_rollout_evidence(leader, &reports);
        if timeout(REPORT_TIMEOUT, sending).await != Ok(true) {
            rollouts.evidence.borrow_mut().note_lost();
        }
    }
}

/// The roll-outs with the number of requests of this relay in flight at endpoints of other versions
/// than the target.
fn old_in_flight(
    endpoints: &EndpointTable,
    in_progress: &[ServingRollout],
) -> Vec<(RolloutNumber, u32)> {
    let counted = in_progress.iter().map(|rollout| {
        let old = endpoints.iter().filter(|it| {
            let announcement = &it.announcement;
            announcement.service == rollout.service && announcement.version != rollout.target
        });
        (rollout.number, old.map(|it| it.in_flight).sum())
    });
    counted.collect()
}
