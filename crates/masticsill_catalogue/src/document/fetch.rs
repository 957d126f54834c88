//! Fetches a route document piece by piece: which pieces to request next, and at which rate.

use std::fmt;

use indexmap::IndexMap;

use super::pieces::{PackedPiece, PieceEntry, PieceError, PieceHash, PieceList};

/// Maximum number of compressed bytes that one call requests: 26 ms on a link of 10 Mbit/s, so that
/// no event of a relayed stream is delayed longer than that by one call.
const MAX_CALL_BYTES: u32 = 32 * 1024;
/// Assumed duration of a call until one is answered.
const INITIAL_CALL_MS: f64 = 100.0;
/// A call that takes this multiple of the typical duration is late.
const LATE_CALL_FACTOR: f64 = 3.0;
/// A call is not late before this, because pauses of 100 ms at a replica are common.
const MIN_LATE_CALL_MS: f64 = 150.0;
/// A call is always late after this: half of the time within which a change must be in force.
const MAX_LATE_CALL_MS: f64 = 1_000.0;
/// Factor by which a faster call at most lowers the typical duration. A slower call raises it at
/// once, and a small, fast call right after it does not hide it.
const TYPICAL_CALL_DECAY: f64 = 0.9;

/// A document joined from its pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JoinedDocument {
    /// The document's bytes, exactly as the operator sent them.
    pub bytes: Vec<u8>,
    /// Compressed bytes that were fetched for this version.
    pub fetched_bytes: u64,
    /// Number of pieces that were fetched for this version.
    pub fetched_pieces: usize,
    /// Number of pieces that were already held from an earlier version.
    pub reused_pieces: usize,
    /// The document's version, chosen by the operator.
    pub version: u64,
}

/// The version that is being fetched.
#[derive(Debug)]
struct FetchTarget {
    fetched_bytes: u64,
    fetched_pieces: usize,
    list: PieceList,
    /// Pieces that have not been received yet, in document order.
    missing: IndexMap<PieceHash, PieceEntry>,
}

/// Fetches one version at a time, and keeps its pieces for reuse by the next.
#[derive(Default)]
pub struct PieceFetch {
    /// Uncompressed bytes of the pieces received.
    held: IndexMap<PieceHash, Box<[u8]>>,
    target: Option<FetchTarget>,
}

impl fmt::Debug for PieceFetch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("PieceFetch");
        shown.field("held", &self.held.len());
        shown.field("target", &self.version());
        shown.finish_non_exhaustive()
    }
}

impl PieceFetch {
    /// Starts to fetch a version. Pieces fetched for another version are kept, because versions
    /// share most of their pieces.
    pub fn begin(&mut self, list: PieceList) {
        let not_held = list.pieces.iter();
        let not_held = not_held.filter(|piece| !self.held.contains_key(&piece.hash));
        let missing = not_held.map(|piece| (piece.hash, *piece)).collect();
        self.target = Some(FetchTarget {
            fetched_bytes: 0,
            fetched_pieces: 0,
            list,
            missing,
        });
    }

    /// The version that is being fetched, if any.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.target.as_ref().map(|target| target.list.version)
    }

    /// The pieces to request next: up to `call_bytes` compressed bytes, but at least one piece.
    /// Empty if no piece is missing or no version is being fetched.
    #[must_use]
    pub fn next(&self, call_bytes: u32) -> Vec<PieceHash> {
        let missing = self
            .target
            .iter()
            .flat_map(|target| target.missing.values());
        let mut asked_bytes = 0_u32;
        let fitting = missing.take_while(|piece| {
            let is_first = asked_bytes == 0;
            asked_bytes = asked_bytes.saturating_add(piece.packed_bytes.max(1));
            is_first || asked_bytes <= call_bytes
        });
        fitting.map(|piece| piece.hash).collect()
    }

    /// Accepts a received piece; returns whether the piece was missing.
    ///
    /// # Errors
    ///
    /// [`PieceError::Damaged`] if the piece does not match its hash; it remains missing.
    pub fn accept_piece(
        &mut self,
        hash: PieceHash,
        piece: &PackedPiece,
    ) -> Result<bool, PieceError> {
        let Some(target) = &mut self.target else {
            return Ok(false);
        };
        let Some(entry) = target.missing.get(&hash) else {
            return Ok(false);
        };
        let bytes = piece.unpack(entry)?;
        target.fetched_bytes += piece.packed_bytes() as u64;
        target.fetched_pieces += 1;
        target.missing.shift_remove(&hash);
        self.held.insert(hash, bytes.into());
        Ok(true)
    }

    /// Abandons the version, because its pieces are no longer available. The pieces received so far
    /// are kept.
    pub fn abandon(&mut self) {
        self.target = None;
    }

    /// Joins the pieces once none is missing, verifies the document's hash, and drops pieces that
    /// the version does not use.
    ///
    /// Returns `None` if a piece is missing or no version is being fetched.
    ///
    /// # Errors
    ///
    /// [`PieceError::DocumentHashMismatch`] if the joined document has another hash; all pieces are
    /// dropped.
    pub fn join(&mut self) -> Result<Option<JoinedDocument>, PieceError> {
        let Some(target) = self.target.take_if(|target| target.missing.is_empty()) else {
            return Ok(None);
        };
        let mut bytes = Vec::new();
        for piece in &target.list.pieces {
            let held = self.held.get(&piece.hash);
            bytes.extend_from_slice(held.ok_or(PieceError::DocumentHashMismatch)?);
        }
        if *blake3::hash(&bytes).as_bytes() != target.list.whole {
            self.held.clear();
            return Err(PieceError::DocumentHashMismatch);
        }
        let used: indexmap::IndexSet<PieceHash> =
            target.list.pieces.iter().map(|piece| piece.hash).collect();
        self.held.retain(|hash, _| used.contains(hash));
        Ok(Some(JoinedDocument {
            bytes,
            fetched_bytes: target.fetched_bytes,
            fetched_pieces: target.fetched_pieces,
            reused_pieces: used.len() - target.fetched_pieces.min(used.len()),
            version: target.list.version,
        }))
    }
}

/// Limits the rate of a fetch: the bytes requested per call, the time after which a call is late,
/// and the pause between calls.
///
/// While streams are relayed, a document uses half of the link: after each call the fetch pauses
/// for as long as the call took. A change must be in force within 2 s. Half a second of that is for
/// the quorum and the announcement of the version and half a second for parsing the document, which
/// leaves one second for the fetch: 625 KB compressed at 10 Mbit/s, and 62 KB at 1 Mbit/s. With
/// documents of 1 to 4 MB, a change of a few routes takes 14 KB and its piece list 5 KB; documents
/// of which every piece is new take 100 to 290 KB.
#[derive(Clone, Debug)]
pub struct FetchPacer {
    call_bytes: u32,
    typical_call_ms: f64,
}

impl Default for FetchPacer {
    fn default() -> Self {
        Self {
            call_bytes: MAX_CALL_BYTES,
            typical_call_ms: INITIAL_CALL_MS,
        }
    }
}

impl FetchPacer {
    /// Maximum number of compressed bytes that the next call may request.
    #[must_use]
    pub fn call_bytes(&self) -> u32 {
        self.call_bytes
    }

    /// Milliseconds without an answer after which another replica is asked for one piece as well.
    #[must_use]
    pub fn late_ms(&self) -> u64 {
        let late_ms =
            (self.typical_call_ms * LATE_CALL_FACTOR).clamp(MIN_LATE_CALL_MS, MAX_LATE_CALL_MS);
        whole_ms(late_ms)
    }

    /// Records how many milliseconds an answered call took.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of one call")]
    pub fn record_answer(&mut self, took_ms: u64) {
        self.typical_call_ms = (took_ms as f64).max(self.typical_call_ms * TYPICAL_CALL_DECAY);
        self.call_bytes = self.call_bytes.saturating_mul(2).min(MAX_CALL_BYTES);
    }

    /// Records a call that was not answered in time: the next calls request less, down to one
    /// piece.
    pub fn record_timeout(&mut self) {
        self.call_bytes = (self.call_bytes / 2).max(1);
    }

    /// Milliseconds to pause after a call that took `took_ms`, to leave the link to relayed
    /// streams.
    #[must_use]
    pub fn pause_ms(&self, took_ms: u64, is_relaying: bool) -> u64 {
        if is_relaying { took_ms } else { 0 }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped by the caller to a few thousand"
)]
fn whole_ms(milliseconds: f64) -> u64 {
    milliseconds.round() as u64
}
