//! Helpers that build and record crashes.

#![allow(dead_code)]

use masticsill_quarantine::{CrashLedger, CrashRecord, Fingerprint, RequestContent, Weight};
use masticsill_registry::EndpointId;
use masticsill_types::{ClockMs, ZoneId};

/// Delay after which every crash can be judged.
pub(crate) const JUDGEMENT_MARGIN_MS: u64 = 600;

pub(crate) fn is_quarantined(ledger: &CrashLedger, now: ClockMs, request: u32) -> bool {
    ledger.standing(now, &fingerprint(request)).is_quarantined()
}

pub(crate) fn fingerprint(request: u32) -> Fingerprint {
    Fingerprint::from(RequestContent {
        body: &request.to_le_bytes(),
        host: "",
        method: "",
        target: "",
        workspace: None,
    })
}

pub(crate) fn crash(
    endpoint: u64,
    began_ago_ms: u64,
    ended_ago_ms: u64,
    zone: &str,
) -> CrashRecord {
    CrashRecord {
        answered_ms: 0,
        began_ago_ms,
        endpoint: EndpointId::with_unknown_incarnation(format!("e{endpoint}")),
        ended_ago_ms,
        reached_ms: 0,
        weight: Weight::Pending,
        zone: ZoneId::new(zone).unwrap(),
    }
}

/// A run that ended because its endpoint crashed.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    answered_ms: u64,
    began_ms: u64,
    ended_ms: u64,
    endpoint: u64,
    reached_ms: u64,
    zone: String,
}

impl Run {
    /// A run in its own zone.
    pub(crate) fn new(endpoint: u64, began_ms: u64, ended_ms: u64) -> Self {
        Self {
            answered_ms: 0,
            began_ms,
            ended_ms,
            endpoint,
            reached_ms: 0,
            zone: format!("zone-{endpoint}"),
        }
    }

    /// Sets how long the run was answered, and the same including the runs that it resumed.
    pub(crate) fn answered(self, answered_ms: u64, reached_ms: u64) -> Self {
        Self {
            answered_ms,
            reached_ms,
            ..self
        }
    }

    pub(crate) fn in_zone(self, zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            ..self
        }
    }
}

/// Records a run at the time of its end.
pub(crate) fn record_run(ledger: &mut CrashLedger, request: u32, run: &Run) {
    let ran_ms = run.ended_ms - run.began_ms;
    let crash = CrashRecord {
        answered_ms: run.answered_ms,
        reached_ms: run.reached_ms,
        ..crash(run.endpoint, ran_ms, 0, &run.zone)
    };
    ledger.note_crash(ClockMs(run.ended_ms), fingerprint(request), &crash);
}

/// Judges everything that is due at a time, and returns that time.
pub(crate) fn judge_all(ledger: &mut CrashLedger, at_ms: u64) -> ClockMs {
    let now = ClockMs(at_ms);
    ledger.judge(now);
    now
}
