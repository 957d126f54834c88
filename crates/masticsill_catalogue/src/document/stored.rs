//! A document as the quorum stores it and replicas pass it on.

use std::fmt;
use std::io::{self, Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

/// Bytes of an unpacked document at most: what any operator's call may carry.
const MAX_BYTES: u64 = 8 * 1024 * 1024;

/// First byte of packed ones. No text begins with it, so that what a former version stored as it
/// was sent is still read.
const PACKED: u8 = 1;

/// A document as an operator sent it, packed.
///
/// A document of 350 routes has 400,000 bytes, which take a third of a second on a relay's link of
/// 10 Mbit/s; with a new version each second, relays fell more than two seconds behind. Routes
/// resemble one another, so that a tenth of the bytes is left.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredDocument {
    packed: Arc<[u8]>,
    /// The operator's version.
    pub version: u64,
}

/// A stored document that can't be unpacked: a fault of this system.
#[derive(Debug)]
pub struct UnpackError(io::Error);

impl fmt::Display for UnpackError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "the stored document can't be unpacked: {}; send it again under a higher version",
            self.0
        )
    }
}

impl std::error::Error for UnpackError {}

impl StoredDocument {
    /// Packs an operator's bytes.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail.
    #[must_use]
    pub fn pack(bytes: &[u8], version: u64) -> Self {
        let mut encoder = DeflateEncoder::new(vec![PACKED], Compression::fast());
        encoder
            .write_all(bytes)
            .expect("writing to memory never fails");
        let packed = encoder.finish().expect("writing to memory never fails");
        Self {
            packed: packed.into(),
            version,
        }
    }

    /// The bytes as they were sent.
    ///
    /// # Errors
    ///
    /// [`UnpackError`] when the packed bytes are damaged or hold more than any call may carry.
    pub fn unpack(&self) -> Result<Vec<u8>, UnpackError> {
        let Some(packed) = self.packed.strip_prefix(&[PACKED]) else {
            return Ok(self.packed.to_vec());
        };
        let mut bytes = Vec::new();
        let decoder = DeflateDecoder::new(packed);
        let read = decoder.take(MAX_BYTES + 1).read_to_end(&mut bytes);
        match read {
            Ok(_) if bytes.len() as u64 <= MAX_BYTES => Ok(bytes),
            Ok(_) => Err(UnpackError(io::ErrorKind::FileTooLarge.into())),
            Err(error) => Err(UnpackError(error)),
        }
    }

    /// Bytes that are stored and passed on.
    #[must_use]
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
