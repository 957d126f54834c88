//! What is known of all requests under which endpoints have crashed.

use indexmap::{IndexMap, IndexSet};
use masticsill_registry::EndpointId;
use masticsill_types::ClockMs;
use serde::{Deserialize, Serialize};

use crate::completed::CompletedRuns;
use crate::crash::{CrashRecord, CrashedRun, Weight};
use crate::fingerprint::Fingerprint;
use crate::rivals::Rivals;
use crate::suspect::{Doubt, Standing, Suspect};

/// Requests remembered; those with the least against them yield first.
const MAX_SUSPECTS: usize = 1_024;
/// How long after a crash it is judged: word of what else fell at that moment has come by then.
const JUDGED_AFTER_MS: u64 = 500;
/// Distance of the ends of runs that fell at one moment, as different entries see it.
const TOGETHER_MS: u64 = 200;
/// Other endpoints of a zone that must have fallen with one for their common end to explain its crash.
const FELL_TOGETHER: usize = 3;
/// Lets times lie before the origin of a process's clock, as those that others tell of may.
const ORIGIN_MS: u64 = 1 << 40;

/// What is known of one request, as told to another process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestRecord {
    /// How long ago it was run to an end last, in milliseconds.
    pub completed_ago_ms: Option<u64>,
    /// Its newest crashes.
    pub crashes: Vec<CrashRecord>,
    /// The request.
    pub fingerprint: Fingerprint,
}

/// What was decided of a crash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Judgement {
    /// For how long the endpoint had answered the request, in milliseconds.
    pub answered_ms: u64,
    /// The endpoint that crashed.
    pub endpoint: EndpointId,
    /// The request.
    pub fingerprint: Fingerprint,
    /// Other endpoints of the zone that fell at that moment.
    pub others: usize,
    /// For how long it had been answered with the runs that it went on from, in milliseconds.
    pub reached_ms: u64,
    /// What is to become of the request now.
    pub standing: Standing,
    /// Whether it counts.
    pub weight: Weight,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Whether it has been suspicious, so that every change concerns all.
    is_spread: bool,
    /// Revision of its last change that this process noted itself.
    local_revision: u64,
    revision: u64,
    suspect: Suspect,
}

/// The requests under which endpoints have crashed, as far as one process knows.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    completed: CompletedRuns,
    /// Revision of the last change that this process noted itself.
    local_revision: u64,
    revision: u64,
    /// Revision of the last change that concerns every entry.
    broadcast_revision: u64,
    suspects: IndexMap<Fingerprint, Entry>,
}

impl CrashLedger {
    /// Notes a run that ended together with its endpoint.
    pub fn note_crash(&mut self, now: ClockMs, fingerprint: Fingerprint, crash: &CrashRecord) {
        let crash = CrashedRun::from_record(moment(now), crash);
        let entry = self.entry(fingerprint);
        if entry.suspect.take_crash(crash) {
            self.note_change(fingerprint, Origin::Here);
        }
    }

    /// Notes that a request was run to an end, well or not.
    pub fn note_completion(&mut self, now: ClockMs, fingerprint: Fingerprint) {
        let at = moment(now);
        self.completed.note(fingerprint, at);
        if let Some(entry) = self.suspects.get_mut(&fingerprint)
            && entry.suspect.take_completion(at)
        {
            self.note_change(fingerprint, Origin::Here);
        }
    }

    /// Notes that an endpoint has answered a request for so long by now, with the runs that it went on
    /// from: it is not the end of endpoints that ended earlier in its answer.
    pub fn note_progress(&mut self, fingerprint: Fingerprint, reached_ms: u64) {
        let Some(entry) = self.suspects.get(&fingerprint) else {
            return;
        };
        let open = entry.suspect.open_crashes();
        let surpassed = open.filter(|it| it.is_surpassed_by(reached_ms));
        let excused = surpassed.map(|it| (fingerprint, it.endpoint.clone()));
        let excused = excused.collect();
        self.excuse(excused, Origin::Here);
    }

    /// Joins what another process tells.
    pub fn merge(&mut self, now: ClockMs, records: &[RequestRecord]) {
        let now = moment(now);
        for record in records {
            self.merge_one(now, record);
        }
    }

    fn merge_one(&mut self, now: ClockMs, record: &RequestRecord) {
        let fingerprint = record.fingerprint;
        let suspect = &mut self.entry(fingerprint).suspect;
        let crashes = record.crashes.iter();
        let crashes: Vec<CrashedRun> = crashes.map(|it| CrashedRun::from_record(now, it)).collect();
        let told_completion = record.completed_ago_ms.map(|ago_ms| now.before(ago_ms));
        // Who told this may not know that the request was run to an end here.
        let is_cleared_here = suspect.completed_at().is_some_and(|own| {
            let is_cleared = |it: &CrashedRun| {
                it.ended_at <= own && told_completion.is_none_or(|told| told < it.ended_at)
            };
            told_completion.is_none() || crashes.iter().any(is_cleared)
        });
        let mut is_changed = false;
        for crash in crashes {
            is_changed |= suspect.take_crash(crash);
        }
        if let Some(at) = told_completion {
            is_changed |= suspect.take_completion(at);
        }
        if is_cleared_here {
            self.note_change(fingerprint, Origin::Here);
        } else if is_changed {
            self.note_change(fingerprint, Origin::Told);
        }
    }

    /// A request's entry, a new one with what is remembered of it.
    fn entry(&mut self, fingerprint: Fingerprint) -> &mut Entry {
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let completed_at = self.completed.last(&fingerprint);
        let entry = self.suspects.entry(fingerprint).or_default();
        if let Some(at) = completed_at {
            entry.suspect.take_completion(at);
        }
        entry
    }

    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let worth = |entry: &Entry| {
            let suspect = &entry.suspect;
            (suspect.counted_strikes(), suspect.remembered_until())
        };
        let least = self.suspects.iter().min_by_key(|(_, it)| worth(it));
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
        if origin == Origin::Here {
            entry.local_revision = self.revision;
            self.local_revision = self.revision;
        }
        entry.is_spread |= entry.suspect.is_suspicious();
        if entry.is_spread {
            self.broadcast_revision = self.revision;
        }
    }

    /// How long until a crash is to be judged; none while there is nothing to judge.
    #[must_use]
    pub fn next_judgement_in_ms(&self, now: ClockMs) -> Option<u64> {
        let now = moment(now);
        let crashes = self.suspects.values().flat_map(|it| it.suspect.crashes());
        let pending = crashes.filter(|it| it.weight == Weight::Pending);
        let due_at = pending.map(|it| it.ended_at + JUDGED_AFTER_MS).min()?;
        Some(due_at.since(now))
    }

    /// Forgets what is old.
    pub fn forget_old(&mut self, now: ClockMs) {
        let at = moment(now);
        self.suspects
            .retain(|_, entry| at < entry.suspect.remembered_until());
    }

    /// Decides which of the crashes that are due count, and forgets what is old.
    ///
    /// One is explained by the end of several other endpoints of its zone at that moment, if the
    /// request was not there as well; by a request that is the likelier cause; and by a run of the same
    /// request that got clearly further.
    pub fn judge(&mut self, now: ClockMs) -> Vec<Judgement> {
        let at = moment(now);
        self.forget_old(now);
        self.excuse_bystanders(at);
        let due = self.due_crashes(at);
        let judged = due.into_iter().map(|(fingerprint, crash)| {
            let others = self.others_fallen(&fingerprint, &crash);
            (fingerprint, crash.endpoint, others)
        });
        let judged: Vec<(Fingerprint, EndpointId, usize)> = judged.collect();
        for (fingerprint, endpoint, others) in &judged {
            let weight = if *others >= FELL_TOGETHER {
                Weight::Shared
            } else {
                Weight::Counted
            };
            self.weigh(*fingerprint, endpoint, weight, Origin::Told);
        }
        self.excuse(self.unlikely(), Origin::Told);
        self.excuse_bystanders(at);
        let judgements = judged.into_iter();
        judgements
            .filter_map(|(fingerprint, endpoint, others)| {
                self.judgement(now, fingerprint, endpoint, others)
            })
            .collect()
    }

    /// Takes back what is held against requests that ran beside one that is quarantined now, where
    /// that one crashed their endpoint.
    fn excuse_bystanders(&mut self, at: ClockMs) {
        let rivals = Rivals::of(self.suspects());
        let (culprits, others): (Vec<_>, Vec<_>) =
            self.suspects().partition(|(fingerprint, suspect)| {
                rivals.standing(at, fingerprint, suspect).is_quarantined()
            });
        let crashes = culprits.iter().flat_map(|(_, it)| it.crashes());
        let counted = crashes.filter(|it| it.weight == Weight::Counted);
        let explained: IndexSet<&EndpointId> = counted.map(|it| &it.endpoint).collect();
        let excused = others.into_iter().flat_map(|(fingerprint, suspect)| {
            let open = suspect.open_crashes();
            let excused = open.filter(|it| explained.contains(&it.endpoint));
            excused.map(|it| (*fingerprint, it.endpoint.clone()))
        });
        let excused = excused.collect();
        self.excuse(excused, Origin::Told);
    }

    fn suspects(&self) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        let suspects = self.suspects.iter();
        suspects.map(|(fingerprint, entry)| (fingerprint, &entry.suspect))
    }

    /// Crashes that their requests are unlikely to have caused.
    fn unlikely(&self) -> Vec<(Fingerprint, EndpointId)> {
        let rivals = Rivals::of(self.suspects());
        let mut unlikely = Vec::new();
        for (fingerprint, suspect) in self.suspects() {
            let reached = suspect.crashes().iter().map(|it| it.reached_ms);
            let furthest_ms = reached.max().unwrap_or_default();
            let is_unlikely = |it: &&CrashedRun| {
                it.is_surpassed_by(furthest_ms) || rivals.is_likelier_cause(fingerprint, it)
            };
            let crashes = suspect.open_crashes().filter(is_unlikely);
            unlikely.extend(crashes.map(|it| (*fingerprint, it.endpoint.clone())));
        }
        unlikely
    }

    fn excuse(&mut self, excused: Vec<(Fingerprint, EndpointId)>, origin: Origin) {
        for (fingerprint, endpoint) in excused {
            self.weigh(fingerprint, &endpoint, Weight::Shared, origin);
        }
    }

    fn weigh(
        &mut self,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        weight: Weight,
        origin: Origin,
    ) {
        if let Some(entry) = self.suspects.get_mut(&fingerprint) {
            entry.suspect.weigh(endpoint, weight);
            self.note_change(fingerprint, origin);
        }
    }

    fn due_crashes(&self, at: ClockMs) -> Vec<(Fingerprint, CrashedRun)> {
        let is_due = |it: &&CrashedRun| {
            it.weight == Weight::Pending && at.since(it.ended_at) >= JUDGED_AFTER_MS
        };
        let due = self.suspects().flat_map(|(fingerprint, suspect)| {
            let due = suspect.crashes().iter().filter(is_due);
            due.map(|crash| (*fingerprint, crash.clone()))
        });
        due.collect()
    }

    /// Other endpoints of a crash's zone that fell at that moment without its request.
    fn others_fallen(&self, fingerprint: &Fingerprint, crash: &CrashedRun) -> usize {
        let Some(entry) = self.suspects.get(fingerprint) else {
            return 0;
        };
        let all = self.suspects.values().flat_map(|it| it.suspect.crashes());
        let fallen = all.filter(|it| {
            let apart_ms = it.ended_at.0.abs_diff(crash.ended_at.0);
            it.zone == crash.zone && apart_ms <= TOGETHER_MS
        });
        let others = fallen.filter(|it| !entry.suspect.has_crashed(&it.endpoint));
        let others: IndexSet<&EndpointId> = others.map(|it| &it.endpoint).collect();
        others.len()
    }

    /// What was decided of a crash in the end.
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

    /// What is to become of a request.
    #[must_use]
    pub fn standing(&self, now: ClockMs, fingerprint: &Fingerprint) -> Standing {
        let at = moment(now);
        let entry = self.suspects.get(fingerprint);
        entry.map_or(Standing::Free, |it| {
            // Who else may be the cause is looked for only while it matters.
            if it.suspect.may_be_doubted(at) {
                Rivals::of(self.suspects()).standing(at, fingerprint, &it.suspect)
            } else {
                it.suspect.standing(at, Doubt::None)
            }
        })
    }

    /// Whether anything is held against a request.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: &Fingerprint) -> bool {
        let entry = self.suspects.get(fingerprint);
        entry.is_some_and(|it| it.suspect.is_suspect())
    }

    /// Whether one crash more may have a request sent nowhere.
    #[must_use]
    pub fn is_near_quarantine(&self, fingerprint: &Fingerprint) -> bool {
        let entry = self.suspects.get(fingerprint);
        entry.is_some_and(|it| it.suspect.is_suspicious())
    }

    /// Requests that are sent nowhere.
    #[must_use]
    pub fn quarantined(&self, now: ClockMs) -> usize {
        let at = moment(now);
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

    /// Revision of the last change that this process noted itself.
    #[must_use]
    pub fn local_revision(&self) -> u64 {
        self.local_revision
    }

    /// Revision of the last change that concerns every entry.
    #[must_use]
    pub fn broadcast_revision(&self) -> u64 {
        self.broadcast_revision
    }

    /// Requests of which this process noted something itself after a revision.
    #[must_use]
    pub fn local_since(&self, now: ClockMs, revision: u64) -> Vec<RequestRecord> {
        self.records(now, |entry| entry.local_revision > revision)
    }

    /// Requests that concern every entry and changed after a revision.
    #[must_use]
    pub fn broadcast_since(&self, now: ClockMs, revision: u64) -> Vec<RequestRecord> {
        self.records(now, |entry| entry.is_spread && entry.revision > revision)
    }

    fn records(&self, now: ClockMs, is_told: impl Fn(&Entry) -> bool) -> Vec<RequestRecord> {
        let at = moment(now);
        let told = self.suspects.iter().filter(|(_, entry)| is_told(entry));
        let records = told.map(|(fingerprint, entry)| {
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

/// Who noted a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    Here,
    Told,
}

/// A point of a process's clock as the ledger keeps it.
fn moment(now: ClockMs) -> ClockMs {
    now + ORIGIN_MS
}
