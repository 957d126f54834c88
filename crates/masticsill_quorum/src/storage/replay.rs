//! Replaying the log from its segments.

use crate::storage::StorageError;
use crate::storage::frame::{FrameEnd, scan_frames};
use crate::storage::record::{LogRecord, decode_body};
use crate::wire::WireEntry;
use crate::{Entry, FolderId, LogIndex};

const PREFIX: &str = "log-";
const SUFFIX: &str = ".segment";

/// The file name of a segment.
pub(crate) fn segment_name(sequence: u64) -> String {
    format!("{PREFIX}{sequence:016}{SUFFIX}")
}

/// The sequence number in a segment's file name; `None` for any other file.
pub(crate) fn segment_sequence(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX)?;
    digits.parse().ok()
}

/// A segment's sequence number, its size and the highest index ever appended to it, even if
/// truncated later.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    pub(crate) sequence: u64,
    pub(crate) highest_index: LogIndex,
    pub(crate) size_bytes: u64,
}

/// The log as replayed so far.
#[derive(Debug)]
pub(crate) struct Replay {
    folder: FolderId,
    snapshot_index: LogIndex,
    pub(crate) entries: Vec<Entry>,
    pub(crate) segments: Vec<Segment>,
}

impl Replay {
    pub(crate) fn new(folder: FolderId, snapshot_index: LogIndex) -> Self {
        Self {
            folder,
            snapshot_index,
            entries: Vec::new(),
            segments: Vec::new(),
        }
    }

    fn last_index(&self) -> LogIndex {
        LogIndex(self.snapshot_index.0 + self.entries.len() as u64)
    }

    /// Replays one segment. Returns the offset of a torn tail, if any; only the last segment may
    /// have one.
    pub(crate) fn read_segment(
        &mut self,
        sequence: u64,
        bytes: &[u8],
        is_last: bool,
    ) -> Result<Option<usize>, StorageError> {
        let file = segment_name(sequence);
        if let Some(previous) = self.segments.last()
            && previous.sequence + 1 != sequence
        {
            let file = segment_name(previous.sequence + 1);
            return Err(StorageError::Missing { file });
        }
        let scan = scan_frames(bytes);
        let torn_at = match scan.end {
            FrameEnd::Clean if is_last || !scan.frames.is_empty() => None,
            FrameEnd::Torn { offset } if is_last => Some(offset),
            FrameEnd::Corrupt { offset, reason } => {
                return Err(StorageError::corrupt(&file, offset, reason));
            }
            FrameEnd::Clean | FrameEnd::Torn { .. } => {
                let reason = "a segment other than the last is empty or incomplete";
                return Err(StorageError::corrupt(&file, bytes.len(), reason));
            }
        };
        self.segments.push(Segment {
            sequence,
            highest_index: LogIndex::default(),
            size_bytes: torn_at.unwrap_or(bytes.len()) as u64,
        });
        for (position, (offset, body)) in scan.frames.into_iter().enumerate() {
            let records: Vec<LogRecord> = decode_body(&file, offset, body)?;
            let is_segment_start = matches!(records.as_slice(), [LogRecord::SegmentStart { .. }]);
            if is_segment_start != (position == 0) {
                let reason = "the segment header is missing or is not the first record";
                return Err(StorageError::corrupt(&file, offset, reason));
            }
            for record in records {
                self.apply(&file, offset, record)?;
            }
        }
        Ok(torn_at)
    }

    fn apply(&mut self, file: &str, offset: usize, record: LogRecord) -> Result<(), StorageError> {
        match record {
            LogRecord::Append(entry) => self.append(file, offset, entry),
            LogRecord::SegmentStart { folder, sequence } => {
                let is_own = folder == self.folder.0 && segment_name(sequence) == file;
                let reason = "the segment header names another folder or sequence number";
                is_own
                    .then_some(())
                    .ok_or_else(|| StorageError::corrupt(file, offset, reason))
            }
            LogRecord::TruncateFrom(index) => {
                let kept = index.saturating_sub(self.snapshot_index.0 + 1);
                self.entries
                    .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
                Ok(())
            }
        }
    }

    fn append(&mut self, file: &str, offset: usize, wire: WireEntry) -> Result<(), StorageError> {
        let to_corrupt = |_| StorageError::corrupt(file, offset, "an entry is not valid");
        let entry = Entry::try_from(wire).map_err(to_corrupt)?;
        if let Some(segment) = self.segments.last_mut() {
            segment.highest_index = segment.highest_index.max(entry.index);
        }
        if entry.index <= self.snapshot_index {
            return Ok(());
        }
        if entry.index != self.last_index().next() {
            let reason = "entries are missing before this record";
            return Err(StorageError::corrupt(file, offset, reason));
        }
        self.entries.push(entry);
        Ok(())
    }
}
