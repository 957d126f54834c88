//! Claims: a call that may not be repeated is run by one entry at one agent's life.
//!
//! A claim is granted before the call is dispatched. It may move to another agent only by
//! [`Reassign`], once the former agent has answered that the call was not run and never will be.

use std::collections::VecDeque;

use masticsill_types::{GenerationId, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::window::Window;

/// How long a claim is kept after it was granted, in milliseconds.
pub const KEY_WINDOW_MS: u64 = 24 * 60 * 60 * 1000;
/// Claims kept at most; beyond that new ones are refused, because dropping one could double a call.
pub const MAX_CLAIMS: usize = 131_072;
/// Largest answer body that is kept, in bytes.
pub const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;
/// Answer bodies kept in all, in bytes; beyond that the oldest are kept as digests.
pub const MAX_KEPT_BODIES_BYTES: usize = 16 * 1024 * 1024;
/// Keys remembered as too old, after their claims were dropped.
pub const MAX_EXPIRED_KEYS: usize = 131_072;

/// One life of an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentLife {
    /// The agent.
    pub agent: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Asks for the right to dispatch a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Where the call would be dispatched.
    pub agent: AgentLife,
    /// When the caller made its request key, in wall-clock milliseconds, if it said so.
    pub caller_wall_ms: Option<u64>,
    /// Hash of the call's content.
    pub fingerprint: u128,
    /// The call.
    pub id: GenerationId,
    /// Random number of this claim: sending it again gives the same grant.
    pub nonce: u64,
    /// The entry that dispatches.
    pub owner: NodeId,
}

/// Moves a claim whose call was not run to another agent or owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reassign {
    /// Where the call would be dispatched now.
    pub agent: AgentLife,
    /// The claim's version under which the former agent answered that it was not run.
    pub expected_version: u64,
    /// The call.
    pub id: GenerationId,
    /// Random number of this command: sending it again gives the same grant.
    pub nonce: u64,
    /// The entry that dispatches.
    pub owner: NodeId,
}

/// Records the end of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settle {
    /// How it ended.
    pub end: CallEnd,
    /// The call.
    pub id: GenerationId,
    /// The claim's version under which it was dispatched.
    pub version: u64,
}

impl Settle {
    /// The same settlement, with a body too large to keep cut to its digest.
    #[must_use]
    pub fn trimmed(mut self) -> Self {
        if let CallEnd::Answered(answer) = &mut self.end
            && answer.body.kept_bytes() > MAX_KEPT_BODY_BYTES
        {
            answer.body.drop_body();
        }
        self
    }
}

/// How a call ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallEnd {
    /// The service answered.
    Answered(StoredAnswer),
    /// The call was not run; it may be reassigned.
    NotRun,
    /// The call was dispatched and its end is not known.
    OutcomeUnknown,
}

/// An answer as kept for repeats of the call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The body.
    pub body: StoredBody,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// HTTP status.
    pub status: u16,
}

/// An answer's body, or what is left of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoredBody {
    /// The body was too large to keep: answered, but it can't be shown again.
    Digest {
        /// `blake3` of the body.
        hash: [u8; 32],
        /// Its size in bytes.
        size_bytes: u64,
    },
    /// The whole body.
    Kept(Vec<u8>),
}

impl StoredBody {
    fn kept_bytes(&self) -> usize {
        match self {
            Self::Digest { .. } => 0,
            Self::Kept(body) => body.len(),
        }
    }

    fn drop_body(&mut self) {
        if let Self::Kept(body) = self {
            *self = Self::Digest {
                hash: *blake3::hash(body).as_bytes(),
                size_bytes: body.len() as u64,
            };
        }
    }
}

/// A claim as it stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Where the call is dispatched.
    pub agent: AgentLife,
    /// When it was first granted, by the state's wall clock.
    pub claimed_wall_ms: u64,
    /// How the call ended; `None` while it may be running.
    pub end: Option<CallEnd>,
    /// Hash of the call's content.
    pub fingerprint: u128,
    /// Random number of the command that gave this version.
    pub nonce: u64,
    /// The entry that dispatches.
    pub owner: NodeId,
    /// Counts the grants of the call, from one.
    pub version: u64,
}

/// The answer to a claim, a reassignment or a settlement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// The call is claimed already, or the command's version is not in force: this is.
    Existing(ClaimRecord),
    /// The key is older than the key window: whether the call ran is no longer known.
    Expired,
    /// The key was used with other content.
    FingerprintDiffers,
    /// No room for another claim until old ones expire; nothing was claimed.
    Full,
    /// The sender may dispatch under this version.
    Granted {
        /// The claim's version.
        version: u64,
    },
    /// The end is recorded; an equal end was before.
    Settled,
    /// No claim of this call.
    Unknown,
}

/// All claims of the key window.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Claims {
    /// Calls with a kept body, oldest first.
    bodies: VecDeque<GenerationId>,
    expired: Window<GenerationId, ()>,
    kept_body_bytes: usize,
    records: Window<GenerationId, ClaimRecord>,
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
            return repeat_claim(claim, record);
        }
        let is_outside = |made_ms: u64| made_ms.saturating_add(KEY_WINDOW_MS) <= now_wall_ms;
        if self.expired.contains(&claim.id) || claim.caller_wall_ms.is_some_and(is_outside) {
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
            return self.absent(command.id);
        };
        let is_repeat = record.nonce == command.nonce && record.owner == command.owner;
        if is_repeat && record.end.is_none() {
            return ClaimAnswer::Granted {
                version: record.version,
            };
        }
        let is_movable = matches!(record.end, None | Some(CallEnd::NotRun));
        if record.version != command.expected_version || !is_movable {
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
            return self.absent(command.id);
        };
        let end = command.clone().trimmed().end;
        if record.version != command.version || !may_follow(record.end.as_ref(), &end) {
            return ClaimAnswer::Existing(record.clone());
        }
        if record.end.as_ref() == Some(&end) {
            return ClaimAnswer::Settled;
        }
        let kept_bytes = kept_bytes(&end);
        record.end = Some(end);
        self.keep_body(command.id, kept_bytes);
        ClaimAnswer::Settled
    }

    fn absent(&self, id: GenerationId) -> ClaimAnswer {
        if self.expired.contains(&id) {
            ClaimAnswer::Expired
        } else {
            ClaimAnswer::Unknown
        }
    }

    fn keep_body(&mut self, id: GenerationId, kept_bytes: usize) {
        if kept_bytes == 0 {
            return;
        }
        self.kept_body_bytes += kept_bytes;
        self.bodies.push_back(id);
        while self.kept_body_bytes > MAX_KEPT_BODIES_BYTES {
            let Some(oldest) = self.bodies.pop_front() else {
                return;
            };
            self.drop_body(oldest);
        }
    }

    fn drop_body(&mut self, id: GenerationId) {
        let record = self.records.get_mut(&id);
        if let Some(CallEnd::Answered(answer)) = record.and_then(|record| record.end.as_mut()) {
            self.kept_body_bytes -= answer.body.kept_bytes();
            answer.body.drop_body();
        }
    }

    /// Drops the claims that are older than the key window, and remembers their keys.
    pub(crate) fn expire(&mut self, now_wall_ms: u64) {
        let is_old = |record: &ClaimRecord| record.claimed_wall_ms + KEY_WINDOW_MS <= now_wall_ms;
        while self
            .records
            .oldest()
            .is_some_and(|(_, record)| is_old(record))
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

fn repeat_claim(claim: &Claim, record: &ClaimRecord) -> ClaimAnswer {
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

/// Whether an end may be recorded after what is recorded already.
///
/// An unknown outcome may become known; every other end is final under its version.
fn may_follow(recorded: Option<&CallEnd>, end: &CallEnd) -> bool {
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
