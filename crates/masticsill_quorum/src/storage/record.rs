//! Records stored in the files of a data folder.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::storage::StorageError;
use crate::storage::frame::{encode_frame, single_frame};
use crate::wire::{WireEntry, WireVoterId};

/// The cluster and replica that a folder belongs to.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct IdentityRecord {
    pub(crate) cluster: String,
    pub(crate) replica: WireVoterId,
}

/// The current term and the vote given in that term.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct VoteRecord {
    pub(crate) term: u64,
    pub(crate) voted_for: Option<WireVoterId>,
}

/// One record of the log. A frame holds all records written by one sync.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum LogRecord {
    Append(WireEntry),
    SegmentStart { folder: u64, sequence: u64 },
    TruncateFrom(u64),
}

pub(crate) fn encode_record<T: Serialize>(record: &T) -> Vec<u8> {
    let body = postcard::to_allocvec(record).expect("records always encode into memory");
    encode_frame(&body)
}

pub(crate) fn decode_body<T: DeserializeOwned>(
    file: &str,
    offset: usize,
    body: &[u8],
) -> Result<T, StorageError> {
    postcard::from_bytes(body)
        .map_err(|_| StorageError::corrupt(file, offset, "the record is of another version"))
}

pub(crate) fn decode_record<T: DeserializeOwned>(
    file: &str,
    bytes: &[u8],
) -> Result<T, StorageError> {
    decode_body(file, 0, single_frame(file, bytes)?)
}
