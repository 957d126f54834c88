//! Claims: a call that may not be repeated is run by one entry at one agent's life.
//!
//! A claim is granted before the call is dispatched. It may move to another agent only by
//! [`Reassign`], once the former agent has answered that the call was not run and never will be.

use masticsill_types::{GenerationId, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

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
    pub(crate) fn kept_bytes(&self) -> usize {
        match self {
            Self::Digest { .. } => 0,
            Self::Kept(body) => body.len(),
        }
    }

    pub(crate) fn drop_body(&mut self) {
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
