//! A route document as the quorum stores it and replicas transfer it.

use std::fmt;
use std::io::{self, Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

/// Maximum size of an uncompressed document, in bytes: the largest body of an operator's request.
const MAX_UNPACKED_BYTES: u64 = 8 * 1024 * 1024;

/// First byte of a compressed document. No text starts with this byte, so documents that an earlier
/// release stored uncompressed can still be read.
const PACKED_MARKER: u8 = 1;

/// A document as an operator sent it, compressed with DEFLATE.
///
/// A document of 350 routes has 400,000 bytes, which take a third of a second on a relay's link of
/// 10 Mbit/s. Uncompressed, with a new version each second, relays fell more than two seconds
/// behind. Routes resemble one another, so that documents compress to a tenth of their size.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredDocument {
    packed: Arc<[u8]>,
    /// The document's version, chosen by the operator.
    pub version: u64,
}

/// A stored document that can't be decompressed. This is a fault of this system, not of the
/// operator.
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
    /// Compresses an operator's bytes.
    ///
    /// # Panics
    ///
    /// Never, because writing to memory does not fail.
    #[must_use]
    pub fn pack(bytes: &[u8], version: u64) -> Self {
        let mut encoder = DeflateEncoder::new(vec![PACKED_MARKER], Compression::fast());
        encoder
            .write_all(bytes)
            .expect("writing to memory never fails");
        let packed = encoder.finish().expect("writing to memory never fails");
        Self {
            packed: packed.into(),
            version,
        }
    }

    /// The bytes exactly as the operator sent them.
    ///
    /// # Errors
    ///
    /// [`UnpackError`] if the compressed bytes are damaged, or hold more than the largest body of
    /// an operator's request.
    pub fn unpack(&self) -> Result<Vec<u8>, UnpackError> {
        let Some(packed) = self.packed.strip_prefix(&[PACKED_MARKER]) else {
            return Ok(self.packed.to_vec());
        };
        let mut bytes = Vec::new();
        let decoder = DeflateDecoder::new(packed);
        let read = decoder.take(MAX_UNPACKED_BYTES + 1).read_to_end(&mut bytes);
        match read {
            Ok(_) if bytes.len() as u64 <= MAX_UNPACKED_BYTES => Ok(bytes),
            Ok(_) => Err(UnpackError(io::ErrorKind::FileTooLarge.into())),
            Err(error) => Err(UnpackError(error)),
        }
    }

    /// Size in bytes as stored and transferred.
    #[must_use]
    pub fn packed_bytes(&self) -> usize {
        self.packed.len()
    }
}
