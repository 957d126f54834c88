//! Content-defined chunking of a route document into pieces, so that after a change of a route only
//! the pieces around that route have to be fetched.

use std::fmt;
use std::io::{self, Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::stored::{StoredDocument, UnpackError};

/// Average distance from the minimum length of a piece to its end. An average piece has 24 KB,
/// which is about 20 routes, and 2 to 4 KB compressed: 3 ms on a link of 10 Mbit/s. The piece list
/// of a 5 MB document has 5 KB.
const AVERAGE_CUT_DISTANCE_BYTES: u64 = 16 * 1024;
const MIN_PIECE_BYTES: usize = 8 * 1024;
const MAX_PIECE_BYTES: usize = 64 * 1024;
/// The last byte of a route or another entry. Pieces end only after this byte, except for those
/// that reach the maximum length.
const ENTRY_END_BYTE: u8 = b'}';
/// Length of a piece's hash: long enough to rule out accidental collisions. The joined document is
/// also checked against a full hash.
const PIECE_HASH_BYTES: usize = 16;
/// Maximum number of versions whose pieces are kept. At three versions per second these cover the
/// last 2.7 s, within which a fetch that has started ends.
const MAX_KEPT_VERSIONS: usize = 8;

/// Identifies a piece by its content: the truncated BLAKE3 hash of its bytes.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PieceHash([u8; PIECE_HASH_BYTES]);

impl PieceHash {
    /// The hash of a piece's uncompressed bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let mut hash = [0; PIECE_HASH_BYTES];
        hash.copy_from_slice(&blake3::hash(bytes).as_bytes()[..PIECE_HASH_BYTES]);
        Self(hash)
    }
}

/// Describes one piece of a document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceEntry {
    /// Hash of the piece's uncompressed bytes.
    pub hash: PieceHash,
    /// Uncompressed size in bytes.
    pub length_bytes: u32,
    /// Compressed size in bytes, as transferred.
    pub packed_bytes: u32,
}

/// The pieces that make up one version of the document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceList {
    /// The pieces, in order.
    pub pieces: Vec<PieceEntry>,
    /// The document's version, chosen by the operator.
    pub version: u64,
    /// BLAKE3 hash of the complete document.
    pub whole: [u8; 32],
}

/// A piece as it is transferred, compressed on its own with DEFLATE.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PackedPiece(Arc<[u8]>);

impl PackedPiece {
    /// Compresses the bytes of a piece.
    ///
    /// # Panics
    ///
    /// Never, because writing to memory does not fail.
    #[must_use]
    pub fn pack(bytes: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder
            .write_all(bytes)
            .expect("writing to memory never fails");
        let packed = encoder.finish().expect("writing to memory never fails");
        Self(packed.into())
    }

    /// Compressed size in bytes, as transferred.
    #[must_use]
    pub fn packed_bytes(&self) -> usize {
        self.0.len()
    }

    /// The piece's uncompressed bytes, checked against its entry in the piece list.
    ///
    /// # Errors
    ///
    /// [`PieceError::Damaged`] if they can't be decompressed, or their length or hash differs from
    /// `entry`.
    pub fn unpack(&self, entry: &PieceEntry) -> Result<Vec<u8>, PieceError> {
        let length_bytes = entry.length_bytes as usize;
        let mut bytes = Vec::with_capacity(length_bytes.min(MAX_PIECE_BYTES));
        let mut decoder = DeflateDecoder::new(&*self.0).take(MAX_PIECE_BYTES as u64 + 1);
        let read: io::Result<usize> = decoder.read_to_end(&mut bytes);
        let is_whole = read.is_ok() && bytes.len() == length_bytes;
        if is_whole && PieceHash::of(&bytes) == entry.hash {
            Ok(bytes)
        } else {
            Err(PieceError::Damaged)
        }
    }
}

/// Why pieces do not make up the document that they are listed for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PieceError {
    /// A piece's bytes do not match the length or hash in the list.
    Damaged,
    /// The joined pieces do not match the list's hash of the complete document.
    DocumentHashMismatch,
}

impl fmt::Display for PieceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Damaged => "a piece does not match its length or hash; it will be fetched again",
            Self::DocumentHashMismatch => {
                "the joined pieces do not match the document's hash; all will be fetched again"
            }
        })
    }
}

impl std::error::Error for PieceError {}

/// Splits a document into pieces by its content, so that a change moves only the boundaries near
/// it.
///
/// An entry is the last of its piece if its checksum is low, regardless of what precedes it.
///
/// `fastcdc` 5 is not suitable here: it uses a rolling hash over bytes, and when entries differ in
/// only a few letters, the hash is the same at most positions of every entry. With a target size of
/// 32 KB, 45 of the 50 pieces of a 3 MB document had the maximum length, and 29 pieces changed
/// after a change of two routes.
fn split_into_pieces(bytes: &[u8]) -> Vec<&[u8]> {
    let mut pieces = Vec::new();
    let mut rest = bytes;
    let mut length = 0;
    for entry in bytes.split_inclusive(|byte| *byte == ENTRY_END_BYTE) {
        length += entry.len();
        while length > MAX_PIECE_BYTES {
            let (piece, after) = rest.split_at(MAX_PIECE_BYTES);
            pieces.push(piece);
            (rest, length) = (after, length - MAX_PIECE_BYTES);
        }
        if length >= MIN_PIECE_BYTES && may_end_piece(entry) {
            let (piece, after) = rest.split_at(length);
            pieces.push(piece);
            (rest, length) = (after, 0);
        }
    }
    if !rest.is_empty() {
        pieces.push(rest);
    }
    pieces
}

/// Whether a piece may end after an entry.
///
/// The probability is proportional to the entry's length, so that the average distance between such
/// entries does not depend on how long entries are.
fn may_end_piece(entry: &[u8]) -> bool {
    let checksum = u64::from(crc32fast::hash(entry));
    checksum * AVERAGE_CUT_DISTANCE_BYTES < (entry.len() as u64) << u32::BITS
}

/// The compressed pieces of the latest versions, ready to be served. Clones share the piece data.
#[derive(Clone, Debug, Default)]
pub struct PieceStore {
    /// The piece lists of the kept versions, oldest first.
    lists: Vec<Arc<PieceList>>,
    packed: IndexMap<PieceHash, PackedPiece>,
}

impl PieceStore {
    /// Splits a document and keeps its pieces, unless its version is not newer than the newest
    /// kept.
    ///
    /// # Errors
    ///
    /// [`UnpackError`] if the stored bytes can't be decompressed.
    pub fn add(&mut self, document: &StoredDocument) -> Result<(), UnpackError> {
        if self.version() >= Some(document.version) {
            return Ok(());
        }
        let bytes = document.unpack()?;
        let pieces = split_into_pieces(&bytes)
            .into_iter()
            .map(|piece| self.store_piece(piece));
        let list = PieceList {
            pieces: pieces.collect(),
            version: document.version,
            whole: *blake3::hash(&bytes).as_bytes(),
        };
        self.lists.push(Arc::new(list));
        if self.lists.len() > MAX_KEPT_VERSIONS {
            self.lists.remove(0);
            self.remove_unused_pieces();
        }
        Ok(())
    }

    /// Compresses and keeps a piece, unless a kept version already contains it.
    fn store_piece(&mut self, bytes: &[u8]) -> PieceEntry {
        let hash = PieceHash::of(bytes);
        let packed = self.packed.entry(hash);
        let packed = packed.or_insert_with(|| PackedPiece::pack(bytes));
        let length = |bytes: usize| u32::try_from(bytes).unwrap_or(u32::MAX);
        PieceEntry {
            hash,
            length_bytes: length(bytes.len()),
            packed_bytes: length(packed.packed_bytes()),
        }
    }

    fn remove_unused_pieces(&mut self) {
        let lists = self.lists.iter();
        let used: indexmap::IndexSet<PieceHash> = lists
            .flat_map(|list| list.pieces.iter().map(|piece| piece.hash))
            .collect();
        self.packed.retain(|hash, _| used.contains(hash));
    }

    /// The newest version kept.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.newest().map(|list| list.version)
    }

    /// The piece list of the newest version kept.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<PieceList>> {
        self.lists.last()
    }

    /// The pieces with the given hashes, in the same order; pieces that are not kept are omitted.
    #[must_use]
    pub fn find(&self, hashes: &[PieceHash]) -> Vec<(PieceHash, PackedPiece)> {
        let known = hashes
            .iter()
            .filter_map(|hash| Some((*hash, self.packed.get(hash)?.clone())));
        known.collect()
    }
}
