//! The table of all claims that have not expired.

use std::collections::VecDeque;

use masticsill_types::GenerationId;
use serde::{Deserialize, Serialize};

use crate::claim::{
    CLAIM_RETENTION_MS, CallEnd, Claim, ClaimAnswer, ClaimRecord, MAX_CLAIMS, MAX_EXPIRED_KEYS,
    MAX_TOTAL_KEPT_BODY_BYTES, Reassign, Settle,
};
use crate::insertion_order_map::InsertionOrderMap;

/// All claims that have not expired, and the keys of claims that have.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Claims {
    /// Calls whose answer body is kept, oldest first. May contain calls whose claim has expired.
    bodies: VecDeque<GenerationId>,
    /// Keys of expired claims, which must not be granted again.
    expired: InsertionOrderMap<GenerationId, ()>,
    kept_body_bytes: usize,
    records: InsertionOrderMap<GenerationId, ClaimRecord>,
}

impl Claims {
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn get(&self, id: GenerationId) -> Option<&ClaimRecord> {
        self.records.get(&id)
    }

    pub(crate) fn claim(&mut self, claim: &Claim, now_wall_ms: u64) -> ClaimAnswer {
        if let Some(record) = self.records.get(&claim.id) {
            return answer_repeated_claim(claim, record);
        }
        let is_outside_window =
            |made_ms: u64| made_ms.saturating_add(CLAIM_RETENTION_MS) <= now_wall_ms;
        if self.expired.contains(&claim.id) || claim.caller_wall_ms.is_some_and(is_outside_window) {
            return ClaimAnswer::Expired;
        }
        if self.records.len() >= MAX_CLAIMS {
            return ClaimAnswer::Full;
        }
        let record = ClaimRecord {
            agent: claim.agent.clone(),
            claimed_wall_ms: now_wall_ms,
            end: None,
            fingerprint: claim.fingerprint,
            nonce: claim.nonce,
            owner: claim.owner.clone(),
            version: 1,
        };
        self.records.push(claim.id, record);
        ClaimAnswer::Granted { version: 1 }
    }

    pub(crate) fn reassign(&mut self, command: &Reassign) -> ClaimAnswer {
        let Some(record) = self.records.get_mut(&command.id) else {
            return self.answer_without_record(command.id);
        };
        let is_repeat = record.nonce == command.nonce && record.owner == command.owner;
        if is_repeat && record.end.is_none() {
            return ClaimAnswer::Granted {
                version: record.version,
            };
        }
        let is_reassignable = matches!(record.end, None | Some(CallEnd::NotRun));
        if record.version != command.expected_version || !is_reassignable {
            return ClaimAnswer::Existing(record.clone());
        }
        record.agent = command.agent.clone();
        record.end = None;
        record.nonce = command.nonce;
        record.owner = command.owner.clone();
        record.version += 1;
        ClaimAnswer::Granted {
            version: record.version,
        }
    }

    pub(crate) fn settle(&mut self, command: &Settle) -> ClaimAnswer {
        let Some(record) = self.records.get_mut(&command.id) else {
            return self.answer_without_record(command.id);
        };
        let end = command.clone().with_bounded_body().end;
        if record.version != command.version || !may_record_end(record.end.as_ref(), &end) {
            return ClaimAnswer::Existing(record.clone());
        }
        if record.end.as_ref() == Some(&end) {
            return ClaimAnswer::Settled;
        }
        let kept_bytes = kept_bytes(&end);
        record.end = Some(end);
        self.record_kept_body(command.id, kept_bytes);
        ClaimAnswer::Settled
    }

    fn answer_without_record(&self, id: GenerationId) -> ClaimAnswer {
        if self.expired.contains(&id) {
            ClaimAnswer::Expired
        } else {
            ClaimAnswer::Unknown
        }
    }

    fn record_kept_body(&mut self, id: GenerationId, kept_bytes: usize) {
        if kept_bytes == 0 {
            return;
        }
        self.kept_body_bytes += kept_bytes;
        self.bodies.push_back(id);
        while self.kept_body_bytes > MAX_TOTAL_KEPT_BODY_BYTES {
            let Some(oldest) = self.bodies.pop_front() else {
                return;
            };
            self.replace_with_digest(oldest);
        }
    }

    fn replace_with_digest(&mut self, id: GenerationId) {
        let record = self.records.get_mut(&id);
        if let Some(CallEnd::Answered(answer)) = record.and_then(|record| record.end.as_mut()) {
            self.kept_body_bytes -= answer.body.kept_bytes();
            answer.body.replace_with_digest();
        }
    }

    /// Removes the claims that have expired and keeps their keys, so that they are refused.
    pub(crate) fn expire(&mut self, now_wall_ms: u64) {
        let is_expired =
            |record: &ClaimRecord| record.claimed_wall_ms + CLAIM_RETENTION_MS <= now_wall_ms;
        while self
            .records
            .oldest()
            .is_some_and(|(_, record)| is_expired(record))
        {
            let Some((id, record)) = self.records.pop_oldest() else {
                return;
            };
            self.kept_body_bytes -= record.end.as_ref().map_or(0, kept_bytes);
            self.expired.push(id, ());
            if self.expired.len() > MAX_EXPIRED_KEYS {
                self.expired.pop_oldest();
            }
        }
        let records = &self.records;
        while self.bodies.front().is_some_and(|id| !records.contains(id)) {
            self.bodies.pop_front();
        }
    }
}

fn answer_repeated_claim(claim: &Claim, record: &ClaimRecord) -> ClaimAnswer {
    if record.fingerprint != claim.fingerprint {
        return ClaimAnswer::FingerprintDiffers;
    }
    let is_repeat = record.nonce == claim.nonce && record.owner == claim.owner;
    if is_repeat && record.end.is_none() {
        return ClaimAnswer::Granted {
            version: record.version,
        };
    }
    ClaimAnswer::Existing(record.clone())
}

/// Whether `end` may be recorded, given what is already recorded.
///
/// An unknown outcome may become known; every other end is final for its version of the claim.
fn may_record_end(recorded: Option<&CallEnd>, end: &CallEnd) -> bool {
    match recorded {
        None => true,
        Some(CallEnd::OutcomeUnknown) => *end != CallEnd::NotRun,
        Some(final_end) => final_end == end,
    }
}

fn kept_bytes(end: &CallEnd) -> usize {
    match end {
        CallEnd::Answered(answer) => answer.body.kept_bytes(),
        CallEnd::NotRun | CallEnd::OutcomeUnknown => 0,
    }
}
