//! Serialized form of messages and of the records in data folders, encoded with `postcard`.

mod entry;
mod message;

use masticsill_types::IdError;
use thiserror::Error;

use crate::Envelope;

pub(crate) use entry::{WireEntry, WireSnapshot, WireVoterId};
use message::WireEnvelope;

/// An error in decoding a message.
#[derive(Clone, Debug, Error)]
pub enum WireError {
    /// The bytes are not a valid encoding of a message.
    #[error("the message can't be decoded ({0}); run the same version on every control instance")]
    Encoding(#[from] postcard::Error),
    /// A node name is invalid.
    #[error("the message holds an invalid node name: {0}")]
    Name(#[from] IdError),
    /// Entry indexes are not consecutive.
    #[error("the message's entries have a gap; run the same version on every control instance")]
    EntryGap,
    /// A membership lists a member twice, or too many voters.
    #[error("the message's membership is invalid; run the same version on every control instance")]
    Membership,
}

/// Encodes a message with its sender and receiver.
///
/// # Panics
///
/// Never: wire types always encode into memory.
#[must_use]
pub fn encode_message(envelope: Envelope) -> Vec<u8> {
    let wire = WireEnvelope::from(envelope);
    postcard::to_allocvec(&wire).expect("wire types always encode into memory")
}

/// Decodes a message with its sender and receiver.
///
/// # Errors
///
/// [`WireError`] if the bytes are not a complete, valid message.
pub fn decode_message(bytes: &[u8]) -> Result<Envelope, WireError> {
    let wire: WireEnvelope = postcard::from_bytes(bytes)?;
    Envelope::try_from(wire)
}
