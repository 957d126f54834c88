//! Claims: a call that is not idempotent is dispatched by one entry node to one agent incarnation.
//!
//! A claim must be granted before the call is dispatched. It can move to another agent only through
//! [`Reassign`], after the previous agent has answered that the call was not run and never will be.

use masticsill_types::{GenerationId, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// How long a claim is kept after its first grant, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Maximum number of claims kept. New claims are refused beyond it, because evicting a claim could
/// let its call run twice.
pub const MAX_CLAIMS: usize = 131_072;
/// Maximum size of one answer body that is kept, in bytes; a larger one is reduced to its digest.
pub const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;
/// Maximum total size of the answer bodies kept, in bytes; beyond it the oldest are reduced to
/// their digests.
pub const MAX_TOTAL_KEPT_BODY_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of keys of expired claims kept; beyond it the oldest are evicted.
pub const MAX_EXPIRED_KEYS: usize = 131_072;

/// One incarnation of an agent, that is, one run of the agent's process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentIncarnation {
    /// The agent.
    pub agent: NodeId,
    /// The incarnation number.
    pub incarnation: Incarnation,
}

/// Requests the right to dispatch a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The agent incarnation to which the call would be dispatched.
    pub agent: AgentIncarnation,
    /// When the caller created its request key, in wall-clock milliseconds since the Unix epoch, if
    /// the caller gave that time.
    pub caller_wall_ms: Option<u64>,
    /// Hash of the call's content.
    pub fingerprint: u128,
    /// The call.
    pub id: GenerationId,
    /// Random number that identifies this command: a resend gets the same grant.
    pub nonce: u64,
    /// The entry node that would dispatch the call.
    pub owner: NodeId,
}

/// Moves a claim, whose call was not run, to another agent or owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reassign {
    /// The agent incarnation to which the call would now be dispatched.
    pub agent: AgentIncarnation,
    /// The claim's version for which the previous agent answered that the call was not run.
    pub expected_version: u64,
    /// The call.
    pub id: GenerationId,
    /// Random number that identifies this command: a resend gets the same grant.
    pub nonce: u64,
    /// The entry node that would dispatch the call.
    pub owner: NodeId,
}

/// Records how a call ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settle {
    /// How the call ended.
    pub end: CallEnd,
    /// The call.
    pub id: GenerationId,
    /// The claim's version under which the call was dispatched.
    pub version: u64,
}

impl Settle {
    /// The same settlement, with a body larger than [`MAX_KEPT_BODY_BYTES`] reduced to its digest.
    #[must_use]
    pub fn with_bounded_body(mut self) -> Self {
        if let CallEnd::Answered(answer) = &mut self.end
            && answer.body.kept_bytes() > MAX_KEPT_BODY_BYTES
        {
            answer.body.replace_with_digest();
        }
        self
    }
}

/// How a call ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallEnd {
    /// The service answered the call.
    Answered(StoredAnswer),
    /// The call was not run; it may be reassigned.
    NotRun,
    /// The call was dispatched and whether it ran is not known.
    OutcomeUnknown,
}

/// A call's answer, kept so that repeats of the call get it again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// The answer's body.
    pub body: StoredBody,
    /// `Content-Type` of the body.
    pub content_type: String,
    /// HTTP status.
    pub status: u16,
}

/// An answer's body or its digest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoredBody {
    /// The body was too large to keep, or was evicted in favour of newer ones: the call is known to
    /// be answered, but the answer can't be repeated.
    Digest {
        /// BLAKE3 hash of the body.
        hash: [u8; 32],
        /// Size of the body in bytes.
        size_bytes: u64,
    },
    /// The complete body.
    Kept(Vec<u8>),
}

impl StoredBody {
    pub(crate) fn kept_bytes(&self) -> usize {
        match self {
            Self::Digest { .. } => 0,
            Self::Kept(body) => body.len(),
        }
    }

    pub(crate) fn replace_with_digest(&mut self) {
        if let Self::Kept(body) = self {
            *self = Self::Digest {
                hash: *blake3::hash(body).as_bytes(),
                size_bytes: body.len() as u64,
            };
        }
    }
}

/// The current state of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The agent incarnation to which the call is dispatched.
    pub agent: AgentIncarnation,
    /// When the claim was first granted, by the replicated state's wall clock in milliseconds since
    /// the Unix epoch.
    pub claimed_wall_ms: u64,
    /// How the call ended; `None` while it may be running.
    pub end: Option<CallEnd>,
    /// Hash of the call's content.
    pub fingerprint: u128,
    /// Random number of the command that was granted this version.
    pub nonce: u64,
    /// The entry node that dispatches the call.
    pub owner: NodeId,
    /// Number of grants so far: one for the claim and one for each reassignment.
    pub version: u64,
}

/// The answer to a claim, a reassignment or a settlement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimAnswer {
    /// The command was not applied, because the call is already claimed or the command's version is
    /// not the current one. Contains the current claim.
    Existing(ClaimRecord),
    /// The key is older than the period for which claims are kept, so whether the call ran is no
    /// longer known.
    Expired,
    /// The key was already used for a call with different content.
    FingerprintDiffers,
    /// The table holds the maximum number of claims and nothing was claimed. There is room again
    /// once older claims expire.
    Full,
    /// The owner may dispatch the call under this version.
    Granted {
        /// The claim's version.
        version: u64,
    },
    /// The end is recorded, by this command or by an equal one before.
    Settled,
    /// There is no claim for the call.
    Unknown,
}
