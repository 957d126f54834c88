//! The fetch of a document piece by piece: what is next, and how fast.

use std::fmt;

use indexmap::IndexMap;

use super::pieces::{PackedPiece, PieceEntry, PieceError, PieceHash, PieceList};

/// Packed bytes that one call asks for: 26 ms on a link of 10 Mbit/s, so that an event of a stream
/// waits no longer behind it.
const MAX_CALL_BYTES: u32 = 32 * 1024;
/// Usual time of a call before one was answered.
const FIRST_CALL_MS: f64 = 100.0;
/// A call that takes this many times longer than usual is late.
const LATE_FACTOR: f64 = 3.0;
/// Never late sooner: a pause of 100 ms at a replica is common.
const LEAST_LATE_MS: f64 = 150.0;
/// Late at the latest: half of the time in which a change is to be in force.
const MOST_LATE_MS: f64 = 1_000.0;
/// Share of the usual time that is left after a call that took less. A slow call counts at once,
/// and a smaller one right after it doesn't hide it.
const USUAL_KEPT: f64 = 0.9;

/// A document whose pieces are all there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JoinedDocument {
    /// The operator's bytes.
    pub bytes: Vec<u8>,
    /// Bytes that were fetched for it, packed.
    pub fetched_bytes: u64,
    /// Pieces that were fetched for it.
    pub fetched_pieces: usize,
    /// Pieces that were there from an earlier version.
    pub reused_pieces: usize,
    /// The operator's version.
    pub version: u64,
}

/// One version that is being fetched.
#[derive(Debug)]
struct Target {
    fetched_bytes: u64,
    fetched_pieces: usize,
    list: PieceList,
    /// Pieces that are not there yet, in order.
    missing: IndexMap<PieceHash, PieceEntry>,
}

/// Fetches one version at a time, and keeps the pieces of the last for the next.
#[derive(Default)]
pub struct PieceFetch {
    /// Pieces that are there, before packing.
    held: IndexMap<PieceHash, Box<[u8]>>,
    target: Option<Target>,
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
    /// Begins with a version. What was fetched for another one is kept, as they share most pieces.
    pub fn begin(&mut self, list: PieceList) {
        let lacking = list.pieces.iter();
        let lacking = lacking.filter(|piece| !self.held.contains_key(&piece.hash));
        let missing = lacking.map(|piece| (piece.hash, *piece)).collect();
        self.target = Some(Target {
            fetched_bytes: 0,
            fetched_pieces: 0,
            list,
            missing,
        });
    }

    /// The version that is being fetched.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.target.as_ref().map(|target| target.list.version)
    }

    /// The pieces to ask for next, `call_bytes` packed in all but one at least; none when all are
    /// there or no version is being fetched.
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

    /// Takes a piece that came; returns whether it was missing.
    ///
    /// # Errors
    ///
    /// [`PieceError::Damaged`] when its bytes are others; it stays missing.
    pub fn take(&mut self, hash: PieceHash, piece: &PackedPiece) -> Result<bool, PieceError> {
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

    /// Gives the version up, because its pieces can't be had any more. What came of it is kept.
    pub fn give_up(&mut self) {
        self.target = None;
    }

    /// Joins the pieces once all are there, checks the whole, and forgets those of other versions.
    ///
    /// # Errors
    ///
    /// [`PieceError::OtherWhole`] when it is another document; all its pieces are forgotten.
    pub fn join(&mut self) -> Result<Option<JoinedDocument>, PieceError> {
        let Some(target) = self.target.take_if(|target| target.missing.is_empty()) else {
            return Ok(None);
        };
        let mut bytes = Vec::new();
        for piece in &target.list.pieces {
            let held = self.held.get(&piece.hash);
            bytes.extend_from_slice(held.ok_or(PieceError::OtherWhole)?);
        }
        if *blake3::hash(&bytes).as_bytes() != target.list.whole {
            self.held.clear();
            return Err(PieceError::OtherWhole);
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

/// How much is asked for at once, how long it is waited for, and how long the link is left alone.
///
/// While streams are relayed, a document takes half of the link: after each call the link is left
/// alone for as long as the call took. Of the 2 s in which a change is to be in force, half a second
/// goes to the quorum and the news and half a second to the reading, so that one second is left for
/// the fetch: 625 KB packed at 10 Mbit/s, and 62 KB at 1 Mbit/s. Measured beside streams, with
/// documents of 1 to 4 MB: a change of a few routes has 14 KB and its list 5 KB; documents of which
/// every piece was new had 100 to 290 KB.
#[derive(Clone, Debug)]
pub struct FetchPace {
    call_bytes: u32,
    usual_ms: f64,
}

impl Default for FetchPace {
    fn default() -> Self {
        Self {
            call_bytes: MAX_CALL_BYTES,
            usual_ms: FIRST_CALL_MS,
        }
    }
}

impl FetchPace {
    /// Packed bytes that the next call may ask for.
    #[must_use]
    pub fn call_bytes(&self) -> u32 {
        self.call_bytes
    }

    /// After how many milliseconds without an answer another replica is asked for one piece.
    #[must_use]
    pub fn late_ms(&self) -> u64 {
        let late_ms = (self.usual_ms * LATE_FACTOR).clamp(LEAST_LATE_MS, MOST_LATE_MS);
        whole_ms(late_ms)
    }

    /// Notes the milliseconds that an answered call took.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of one call")]
    pub fn note_answer(&mut self, took_ms: u64) {
        self.usual_ms = (took_ms as f64).max(self.usual_ms * USUAL_KEPT);
        self.call_bytes = self.call_bytes.saturating_mul(2).min(MAX_CALL_BYTES);
    }

    /// Notes a call that was not answered in its time: less is asked for, down to one piece.
    pub fn note_silence(&mut self) {
        self.call_bytes = (self.call_bytes / 2).max(1);
    }

    /// Milliseconds for which the link is left to streams after a call.
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
