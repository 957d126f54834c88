//! The ledger of all requests that may have crashed endpoints.

use indexmap::{IndexMap, IndexSet};
use masticsill_registry::EndpointId;
use masticsill_types::ClockMs;
use serde::{Deserialize, Serialize};

use crate::completed::CompletedRuns;
use crate::crash::{CrashRecord, CrashedRun, Weight};
use crate::fingerprint::Fingerprint;
use crate::rivals::Rivals;
use crate::suspect::{Doubt, Standing, Suspect};

/// Number of suspects remembered; those with the fewest counted crashes are evicted first.
const MAX_SUSPECTS: usize = 1_024;
/// Delay from a crash to its judgement: reports of other crashes at that moment have arrived by
/// then.
const JUDGEMENT_DELAY_MS: u64 = 500;
/// Largest difference between the ends of runs that count as simultaneous, as seen by different
/// entries.
const SIMULTANEOUS_MS: u64 = 200;
/// Number of other endpoints of a zone that must have crashed at the same moment to explain a
/// crash.
const MIN_ZONE_CRASHES: usize = 3;
/// Offset added to the process's clock, so that reported times may lie before the clock's origin.
const CLOCK_OFFSET_MS: u64 = 1 << 40;

/// What is known of one request, as reported to another process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestRecord {
    /// Time since the last completion of the request, in milliseconds; none if there is none.
    pub completed_ago_ms: Option<u64>,
    /// The newest crashes of the request's endpoints.
    pub crashes: Vec<CrashRecord>,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
}

/// The judgement of a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Judgement {
    /// How long the endpoint had answered the request, in milliseconds.
    pub answered_ms: u64,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// Number of other endpoints of the zone that crashed at the same moment without running the
    /// request.
    pub others: usize,
    /// How long the request had been answered, including the runs that this run resumed, in
    /// milliseconds.
    pub reached_ms: u64,
    /// The standing of the request after the judgement.
    pub standing: Standing,
    /// Whether the crash counts against the request.
    pub weight: Weight,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Whether the request has been near quarantine, so that its changes are broadcast to all
    /// entries.
    is_broadcast: bool,
    /// Revision of the request's last change that was observed by this process.
    local_revision: u64,
    revision: u64,
    suspect: Suspect,
}

/// All requests that may have crashed endpoints, as far as one process knows.
///
/// A ledger changes with the crashes, completions and progress that its process observes, and with
/// the records of other processes. Revisions number these changes, so that only new records are
/// reported.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    completed: CompletedRuns,
    /// Revision of the last change observed by this process.
    local_revision: u64,
    revision: u64,
    /// Revision of the last change that must be broadcast to all entries.
    broadcast_revision: u64,
    suspects: IndexMap<Fingerprint, Entry>,
}

impl CrashLedger {
    /// Records a run that ended because its endpoint crashed.
    pub fn note_crash(&mut self, now: ClockMs, fingerprint: Fingerprint, crash: &CrashRecord) {
        let crash = CrashedRun::from_record(ledger_time(now), crash);
        let entry = self.entry(fingerprint);
        if entry.suspect.merge_crash(crash) {
            self.note_change(fingerprint, Origin::Observed);
        }
    }

    /// Records that a request was completed, successfully or not: it didn't crash its endpoint.
    pub fn note_completion(&mut self, now: ClockMs, fingerprint: Fingerprint) {
        let at = ledger_time(now);
        self.completed.note(fingerprint, at);
        if let Some(entry) = self.suspects.get_mut(&fingerprint)
            && entry.suspect.merge_completion(at)
        {
            self.note_change(fingerprint, Origin::Observed);
        }
    }

    /// Records that a request has been answered for `reached_ms`, including the runs that the
    /// current one resumed. Earlier crashes at clearly less progress are no longer attributed to
    /// the request.
    pub fn note_progress(&mut self, fingerprint: Fingerprint, reached_ms: u64) {
        let Some(entry) = self.suspects.get(&fingerprint) else {
            return;
        };
        let open = entry.suspect.open_crashes();
        let surpassed = open.filter(|it| it.is_surpassed_by(reached_ms));
        let discounted = surpassed.map(|it| (fingerprint, it.endpoint.clone()));
        let discounted = discounted.collect();
        self.discount(discounted, Origin::Observed);
    }

    /// Merges the records of another process.
    pub fn merge(&mut self, now: ClockMs, records: &[RequestRecord]) {
        let now = ledger_time(now);
        for record in records {
            self.merge_one(now, record);
        }
    }

    fn merge_one(&mut self, now: ClockMs, record: &RequestRecord) {
        let fingerprint = record.fingerprint;
        let suspect = &mut self.entry(fingerprint).suspect;
        let crashes = record.crashes.iter();
        let crashes: Vec<CrashedRun> = crashes.map(|it| CrashedRun::from_record(now, it)).collect();
        let reported_completion = record.completed_ago_ms.map(|ago_ms| now.before(ago_ms));
        // The reporting process may not know that the request was completed here.
        let is_cleared_locally = suspect.completed_at().is_some_and(|own| {
            let is_cleared = |it: &CrashedRun| {
                it.ended_at <= own
                    && reported_completion.is_none_or(|reported| reported < it.ended_at)
            };
            reported_completion.is_none() || crashes.iter().any(is_cleared)
        });
        let mut is_changed = false;
        for crash in crashes {
            is_changed |= suspect.merge_crash(crash);
        }
        if let Some(at) = reported_completion {
            is_changed |= suspect.merge_completion(at);
        }
        if is_cleared_locally {
            self.note_change(fingerprint, Origin::Observed);
        } else if is_changed {
            self.note_change(fingerprint, Origin::Derived);
        }
    }

    /// Returns the request's entry; a new one starts with the last completion that is remembered.
    fn entry(&mut self, fingerprint: Fingerprint) -> &mut Entry {
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_if_full();
        }
        let completed_at = self.completed.last(&fingerprint);
        let entry = self.suspects.entry(fingerprint).or_default();
        if let Some(at) = completed_at {
            entry.suspect.merge_completion(at);
        }
        entry
    }

    fn evict_if_full(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let priority = |entry: &Entry| {
            let suspect = &entry.suspect;
            (suspect.counted_strikes(), suspect.retained_until())
        };
        let least = self.suspects.iter().min_by_key(|(_, it)| priority(it));
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.swap_remove(&least);
        }
    }

    fn note_change(&mut self, fingerprint: Fingerprint, origin: Origin) {
        let Some(entry) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        self.revision += 1;
        entry.revision = self.revision;
        if origin == Origin::Observed {
            entry.local_revision = self.revision;
            self.local_revision = self.revision;
        }
        entry.is_broadcast |= entry.suspect.is_near_quarantine();
        if entry.is_broadcast {
            self.broadcast_revision = self.revision;
        }
    }

    /// Time until the next crash is due to be judged, in milliseconds; none if no judgement is
    /// pending.
    #[must_use]
    pub fn next_judgement_in_ms(&self, now: ClockMs) -> Option<u64> {
        let now = ledger_time(now);
        let crashes = self.suspects.values().flat_map(|it| it.suspect.crashes());
        let pending = crashes.filter(|it| it.weight == Weight::Pending);
        let due_at = pending.map(|it| it.ended_at + JUDGEMENT_DELAY_MS).min()?;
        Some(due_at.since(now))
    }

    /// Drops the requests whose retention period has ended.
    pub fn forget_old(&mut self, now: ClockMs) {
        let at = ledger_time(now);
        self.suspects
            .retain(|_, entry| at < entry.suspect.retained_until());
    }

    /// Judges all crashes that are due, and drops old requests.
    ///
    /// A crash doesn't count against a request if several other endpoints of its zone crashed at
    /// the same moment without running the request, if another request is the likelier cause, or if
    /// another run of the same request got clearly further.
    pub fn judge(&mut self, now: ClockMs) -> Vec<Judgement> {
        let at = ledger_time(now);
        self.forget_old(now);
        self.discount_bystander_crashes(at);
        let due = self.due_crashes(at);
        let judged = due.into_iter().map(|(fingerprint, crash)| {
            let others = self.crashed_beside(&fingerprint, &crash);
            (fingerprint, crash.endpoint, others)
        });
        let judged: Vec<(Fingerprint, EndpointId, usize)> = judged.collect();
        for (fingerprint, endpoint, others) in &judged {
            let weight = if *others >= MIN_ZONE_CRASHES {
                Weight::Shared
            } else {
                Weight::Counted
            };
            self.set_weight(*fingerprint, endpoint, weight, Origin::Derived);
        }
        self.discount(self.unlikely_crashes(), Origin::Derived);
        self.discount_bystander_crashes(at);
        let judgements = judged.into_iter();
        judgements
            .filter_map(|(fingerprint, endpoint, others)| {
                self.judgement(now, fingerprint, endpoint, others)
            })
            .collect()
    }

    /// Discounts crashes of requests that ran beside a request which is quarantined now, where the
    /// crash counts against the quarantined one.
    fn discount_bystander_crashes(&mut self, at: ClockMs) {
        let rivals = Rivals::of(self.suspects());
        let (quarantined, others): (Vec<_>, Vec<_>) =
            self.suspects().partition(|(fingerprint, suspect)| {
                rivals.standing(at, fingerprint, suspect).is_quarantined()
            });
        let crashes = quarantined.iter().flat_map(|(_, it)| it.crashes());
        let counted = crashes.filter(|it| it.weight == Weight::Counted);
        let explained: IndexSet<&EndpointId> = counted.map(|it| &it.endpoint).collect();
        let discounted = others.into_iter().flat_map(|(fingerprint, suspect)| {
            let open = suspect.open_crashes();
            let discounted = open.filter(|it| explained.contains(&it.endpoint));
            discounted.map(|it| (*fingerprint, it.endpoint.clone()))
        });
        let discounted = discounted.collect();
        self.discount(discounted, Origin::Derived);
    }

    fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        let suspects = self.suspects.iter();
        suspects.map(|(fingerprint, entry)| (fingerprint, &entry.suspect))
    }

    /// Crashes that their requests are unlikely to have caused.
    fn unlikely_crashes(&self) -> Vec<(Fingerprint, EndpointId)> {
        let rivals = Rivals::of(self.suspects());
        let mut unlikely = Vec::new();
        for (fingerprint, suspect) in self.suspects() {
            let reached = suspect.crashes().iter().map(|it| it.reached_ms);
            let furthest_ms = reached.max().unwrap_or_default();
            let is_unlikely = |it: &&CrashedRun| {
                it.is_surpassed_by(furthest_ms) || rivals.has_likelier_cause(fingerprint, it)
            };
            let crashes = suspect.open_crashes().filter(is_unlikely);
            unlikely.extend(crashes.map(|it| (*fingerprint, it.endpoint.clone())));
        }
        unlikely
    }

    fn discount(&mut self, discounted: Vec<(Fingerprint, EndpointId)>, origin: Origin) {
        for (fingerprint, endpoint) in discounted {
            self.set_weight(fingerprint, &endpoint, Weight::Shared, origin);
        }
    }

    fn set_weight(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        weight: Weight,
        origin: Origin,
    ) {
        if let Some(entry) = self.suspects.get_mut(&fingerprint) {
            entry.suspect.set_weight(endpoint, weight);
            self.note_change(fingerprint, origin);
        }
    }

    fn due_crashes(&self, at: ClockMs) -> Vec<(Fingerprint, CrashedRun)> {
        let is_due = |it: &&CrashedRun| {
            it.weight == Weight::Pending && at.since(it.ended_at) >= JUDGEMENT_DELAY_MS
        };
        let due = self.suspects().flat_map(|(fingerprint, suspect)| {
            let due = suspect.crashes().iter().filter(is_due);
            due.map(|crash| (*fingerprint, crash.clone()))
        });
        due.collect()
    }

    /// Number of other endpoints of a crash's zone that crashed at the same moment without running
    /// the request.
    fn crashed_beside(&self, fingerprint: &Fingerprint, crash: &CrashedRun) -> usize {
        let Some(entry) = self.suspects.get(fingerprint) else {
            return 0;
        };
        let all = self.suspects.values().flat_map(|it| it.suspect.crashes());
        let simultaneous = all.filter(|it| {
            let apart_ms = it.ended_at.0.abs_diff(crash.ended_at.0);
            it.zone == crash.zone && apart_ms <= SIMULTANEOUS_MS
        });
        let others = simultaneous.filter(|it| !entry.suspect.has_crashed(&it.endpoint));
        let others: IndexSet<&EndpointId> = others.map(|it| &it.endpoint).collect();
        others.len()
    }

    /// Returns the final judgement of a crash.
    fn judgement(
        &self,
        now: ClockMs,
        fingerprint: Fingerprint,
        endpoint: EndpointId,
        others: usize,
    ) -> Option<Judgement> {
        let crashes = self.suspects.get(&fingerprint)?.suspect.crashes();
        let crash = crashes.iter().find(|it| it.endpoint == endpoint)?;
        Some(Judgement {
            answered_ms: crash.answered_ms,
            others,
            reached_ms: crash.reached_ms,
            standing: self.standing(now, &fingerprint),
            weight: crash.weight,
            endpoint,
            fingerprint,
        })
    }

    /// The current standing of a request.
    #[must_use]
    pub fn standing(&self, now: ClockMs, fingerprint: &Fingerprint) -> Standing {
        let at = ledger_time(now);
        let entry = self.suspects.get(fingerprint);
        entry.map_or(Standing::Free, |it| {
            // Other possible causes matter only while the request may be doubted.
            if it.suspect.may_be_doubted(at) {
                Rivals::of(self.suspects()).standing(at, fingerprint, &it.suspect)
            } else {
                it.suspect.standing(at, Doubt::None)
            }
        })
    }

    /// Whether any crash counts or may still count against the request.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        let entry = self.suspects.get(fingerprint);
        entry.is_some_and(|it| it.suspect.is_suspect())
    }

    /// Whether one further crash may quarantine the request.
    #[must_use]
    pub fn is_near_quarantine(&self, fingerprint: &Fingerprint) -> bool {
        let entry = self.suspects.get(fingerprint);
        entry.is_some_and(|it| it.suspect.is_near_quarantine())
    }

    /// Number of requests in quarantine.
    #[must_use]
    pub fn quarantined(&self, now: ClockMs) -> usize {
        let at = ledger_time(now);
        let rivals = Rivals::of(self.suspects());
        let suspects = self.suspects();
        let quarantined = suspects.filter(|(fingerprint, suspect)| {
            rivals.standing(at, fingerprint, suspect).is_quarantined()
        });
        quarantined.count()
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Revision of the last change observed by this process.
    #[must_use]
    pub fn local_revision(&self) -> u64 {
        self.local_revision
    }

    /// Revision of the last change that must be broadcast to all entries.
    #[must_use]
    pub fn broadcast_revision(&self) -> u64 {
        self.broadcast_revision
    }

    /// Records of the requests of which this process observed a change after the given revision.
    #[must_use]
    pub fn local_since(&self, now: ClockMs, revision: u64) -> Vec<RequestRecord> {
        self.records(now, |entry| entry.local_revision > revision)
    }

    /// Records of the requests that must be broadcast to all entries and changed after the given
    /// revision.
    #[must_use]
    pub fn broadcast_since(&self, now: ClockMs, revision: u64) -> Vec<RequestRecord> {
        self.records(now, |entry| entry.is_broadcast && entry.revision > revision)
    }

    fn records(&self, now: ClockMs, is_included: impl Fn(&Entry) -> bool) -> Vec<RequestRecord> {
        let at = ledger_time(now);
        let reported = self.suspects.iter().filter(|(_, entry)| is_included(entry));
        let records = reported.map(|(fingerprint, entry)| {
            let suspect = &entry.suspect;
            let crashes = suspect.crashes().iter();
            RequestRecord {
                completed_ago_ms: suspect.completed_at().map(|completed| at.since(completed)),
                crashes: crashes.map(|it| it.to_record(at)).collect(),
                fingerprint: *fingerprint,
            }
        });
        records.collect()
    }
}

/// The origin of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    /// Observed by this process.
    Observed,
    /// Reported by another process, or derived from what is known.
    Derived,
}

/// Converts a time of the process's clock to the ledger's time.
fn ledger_time(now: ClockMs) -> ClockMs {
    now + CLOCK_OFFSET_MS
}
