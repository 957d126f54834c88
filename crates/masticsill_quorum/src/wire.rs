//! Wire form of messages, encoded with `postcard`, and of what data folders hold.

mod entry;
mod message;

use masticsill_types::IdError;
use thiserror::Error;

use crate::Envelope;

pub(crate) use entry::{WireEntry, WireSnapshot, WireVoterId};
use message::WireEnvelope;

/// Why received bytes are not a message.
#[derive(Clone, Debug, Error)]
pub enum WireError {
    /// The bytes are not of this encoding.
    #[error("the message can't be decoded ({0}); run the same version on every control instance")]
    Encoding(#[from] postcard::Error),
    /// A node name is not valid.
    #[error("the message holds a wrong name: {0}")]
    Name(#[from] IdError),
    /// Entries are out of order.
    #[error("the message's entries have a gap; run the same version on every control instance")]
    EntryGap,
    /// A membership names a member twice, or too many.
    #[error("the message's membership is not valid; run the same version on every instance")]
    Membership,
}

/// Encodes a message and its ends.
///
/// # Panics
///
/// Never: wire types always encode into memory.
#[must_use]
pub fn encode_message(envelope: Envelope) -> Vec<u8> {
    let wire = WireEnvelope::from(envelope);
    postcard::to_allocvec(&wire).expect("wire types always encode into memory")
}

/// Decodes a message and its ends.
///
/// # Errors
///
/// [`WireError`] when the bytes are not a whole, valid message.
pub fn decode_message(bytes: &[u8]) -> Result<Envelope, WireError> {
    let wire: WireEnvelope = postcard::from_bytes(bytes)?;
    Envelope::try_from(wire)
}
