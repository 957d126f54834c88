//! A document cut into pieces by its content, so that a changed route costs its piece only.

use std::fmt;
use std::io::{self, Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::stored::{StoredDocument, UnpackError};

/// Bytes from the least of a piece to its cut, on average. Pieces have 24 KB, about 20 routes, and
/// packed 2 to 4 KB: 3 ms on a link of 10 Mbit/s. The list of a document of 5 MB has 5 KB.
const AVERAGE_BYTES: u64 = 16 * 1024;
const LEAST_BYTES: usize = 8 * 1024;
const MOST_BYTES: usize = 64 * 1024;
/// Where a route or another entry ends: cuts are looked for there only.
const ENTRY_END: u8 = b'}';
/// Bytes of a piece's hash: enough that two pieces never share one by chance. The whole document
/// is checked by a full hash besides.
const HASH_BYTES: usize = 16;
/// Versions whose pieces are kept: at three versions a second those of the last 2.7 s, in which
/// a fetch that was begun ends.
const KEPT_VERSIONS: usize = 8;

/// Names a piece by its content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PieceHash([u8; HASH_BYTES]);

impl PieceHash {
    /// The hash of a piece's bytes, before they are packed.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let mut hash = [0; HASH_BYTES];
        hash.copy_from_slice(&blake3::hash(bytes).as_bytes()[..HASH_BYTES]);
        Self(hash)
    }
}

/// One piece of a document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceEntry {
    /// Its content.
    pub hash: PieceHash,
    /// Its bytes before they are packed.
    pub length_bytes: u32,
    /// Its bytes on the way.
    pub packed_bytes: u32,
}

/// What a version of the document consists of.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PieceList {
    /// The pieces, in order.
    pub pieces: Vec<PieceEntry>,
    /// The operator's version.
    pub version: u64,
    /// Hash of the whole document.
    pub whole: [u8; 32],
}

/// A piece as it is passed on, packed by itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PackedPiece(Arc<[u8]>);

impl PackedPiece {
    /// Packs the bytes of a piece.
    ///
    /// # Panics
    ///
    /// Never: writing to memory does not fail.
    #[must_use]
    pub fn pack(bytes: &[u8]) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder
            .write_all(bytes)
            .expect("writing to memory never fails");
        let packed = encoder.finish().expect("writing to memory never fails");
        Self(packed.into())
    }

    /// Bytes on the way.
    #[must_use]
    pub fn packed_bytes(&self) -> usize {
        self.0.len()
    }

    /// The piece's bytes, checked against what a list says of it.
    ///
    /// # Errors
    ///
    /// [`PieceError::Damaged`] when they are others.
    pub fn unpack(&self, entry: &PieceEntry) -> Result<Vec<u8>, PieceError> {
        let length_bytes = entry.length_bytes as usize;
        let mut bytes = Vec::with_capacity(length_bytes.min(MOST_BYTES));
        let mut decoder = DeflateDecoder::new(&*self.0).take(MOST_BYTES as u64 + 1);
        let read: io::Result<usize> = decoder.read_to_end(&mut bytes);
        let is_whole = read.is_ok() && bytes.len() == length_bytes;
        if is_whole && PieceHash::of(&bytes) == entry.hash {
            Ok(bytes)
        } else {
            Err(PieceError::Damaged)
        }
    }
}

/// Pieces that don't make the document that they were listed for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PieceError {
    /// A piece has other bytes than its list says.
    Damaged,
    /// The joined pieces are another document than the list says.
    OtherWhole,
}

impl fmt::Display for PieceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Damaged => "a piece has other bytes than its hash says; it is fetched again",
            Self::OtherWhole => {
                "the joined pieces are another document than its hash says; it is fetched again"
            }
        })
    }
}

impl std::error::Error for PieceError {}

/// Cuts a document by its content, so that a change moves only the cuts around it.
///
/// An entry is the last of its piece if its checksum is low, whatever stands before. Why not a
/// library: `fastcdc` 5 rolls a hash over bytes, and where entries differ in a few letters only, most
/// of its positions are alike in all of them. With 32 KB looked for, 45 of 50 pieces of a document
/// of 3 MB had the most bytes, and 29 were others after two routes had changed.
fn cut(bytes: &[u8]) -> Vec<&[u8]> {
    let mut pieces = Vec::new();
    let mut rest = bytes;
    let mut length = 0;
    for entry in bytes.split_inclusive(|byte| *byte == ENTRY_END) {
        length += entry.len();
        while length > MOST_BYTES {
            let (piece, after) = rest.split_at(MOST_BYTES);
            pieces.push(piece);
            (rest, length) = (after, length - MOST_BYTES);
        }
        if length >= LEAST_BYTES && is_last(entry) {
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

/// Whether a piece may end with an entry: of equally many bytes equally many may, however long
/// their entries are.
fn is_last(entry: &[u8]) -> bool {
    let checksum = u64::from(crc32fast::hash(entry));
    checksum * AVERAGE_BYTES < (entry.len() as u64) << u32::BITS
}

/// The pieces of the last versions, ready to be passed on. A clone is cheap.
#[derive(Clone, Debug, Default)]
pub struct PieceBook {
    /// Oldest first.
    lists: Vec<Arc<PieceList>>,
    packed: IndexMap<PieceHash, PackedPiece>,
}

impl PieceBook {
    /// Cuts a document and keeps its pieces, unless it is no newer than the last one.
    ///
    /// # Errors
    ///
    /// [`UnpackError`] when the stored bytes are damaged.
    pub fn add(&mut self, document: &StoredDocument) -> Result<(), UnpackError> {
        if self.version() >= Some(document.version) {
            return Ok(());
        }
        let bytes = document.unpack()?;
        let pieces = cut(&bytes).into_iter().map(|piece| self.keep(piece));
        let list = PieceList {
            pieces: pieces.collect(),
            version: document.version,
            whole: *blake3::hash(&bytes).as_bytes(),
        };
        self.lists.push(Arc::new(list));
        if self.lists.len() > KEPT_VERSIONS {
            self.lists.remove(0);
            self.drop_unused();
        }
        Ok(())
    }

    /// Keeps a piece; one that an earlier version had is not packed again.
    fn keep(&mut self, bytes: &[u8]) -> PieceEntry {
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

    fn drop_unused(&mut self) {
        let lists = self.lists.iter();
        let used: indexmap::IndexSet<PieceHash> = lists
            .flat_map(|list| list.pieces.iter().map(|piece| piece.hash))
            .collect();
        self.packed.retain(|hash, _| used.contains(hash));
    }

    /// The newest version that was cut.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.newest().map(|list| list.version)
    }

    /// What the newest version consists of.
    #[must_use]
    pub fn newest(&self) -> Option<&Arc<PieceList>> {
        self.lists.last()
    }

    /// The pieces of some hashes, in their order; those that are not kept are left out.
    #[must_use]
    pub fn find(&self, hashes: &[PieceHash]) -> Vec<(PieceHash, PackedPiece)> {
        let known = hashes
            .iter()
            .filter_map(|hash| Some((*hash, self.packed.get(hash)?.clone())));
        known.collect()
    }
}
