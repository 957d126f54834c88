//! Checksummed frames: length, checksum of the length, checksum of the body, then the body. The
//! first three are 32-bit little-endian numbers.

use crate::storage::StorageError;

const HEADER_BYTES: usize = 12;
/// Included in the checksum of the length, so that a run of zeros is not a valid header.
const MAGIC: u32 = 0x6d71_6c31;

/// The frames of a file and how the file ends.
#[derive(Debug)]
pub struct FrameScan<'a> {
    /// Offset and body of each complete frame.
    pub frames: Vec<(usize, &'a [u8])>,
    /// How the file ends.
    pub end: FrameEnd,
}

/// How a file of frames ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FrameEnd {
    /// The file ends with a complete frame.
    Clean,
    /// A frame is damaged although a later one is complete, which no interrupted write explains.
    Corrupt {
        /// Offset of the frame in bytes.
        offset: usize,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The last frame was only partly written.
    Torn {
        /// Offset of the frame in bytes.
        offset: usize,
    },
}

/// The result of reading one frame.
enum FrameRead<'a> {
    Corrupt(&'static str),
    Torn,
    Complete(&'a [u8]),
}

fn header_checksum(length: u32) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&MAGIC.to_le_bytes());
    hasher.update(&length.to_le_bytes());
    hasher.finalize()
}

/// Encodes a body as a frame.
///
/// # Panics
///
/// If the body has 4 GiB or more.
#[must_use]
pub fn encode_frame(body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).expect("bodies are far below 4 GiB");
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(&header_checksum(length).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    frame.extend_from_slice(body);
    frame
}

/// Splits a file's content into frames, up to the first torn or corrupt one.
#[must_use]
pub fn scan_frames(bytes: &[u8]) -> FrameScan<'_> {
    let mut frames = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let end = match read_frame(&bytes[offset..]) {
            FrameRead::Complete(body) => {
                frames.push((offset, body));
                offset += HEADER_BYTES + body.len();
                continue;
            }
            // A record is synced before the next one is written, so that only the last one can be
            // torn, in any of its parts.
            FrameRead::Corrupt(reason) if holds_frame(&bytes[offset + 1..]) => {
                FrameEnd::Corrupt { offset, reason }
            }
            FrameRead::Corrupt(_) | FrameRead::Torn => FrameEnd::Torn { offset },
        };
        return FrameScan { frames, end };
    }
    let end = FrameEnd::Clean;
    FrameScan { frames, end }
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let field = bytes[offset..offset + 4].try_into();
    u32::from_le_bytes(field.expect("the slice holds four bytes"))
}

/// The body of the frame at the beginning of `rest`, if it is complete.
fn complete_body(rest: &[u8]) -> Option<&[u8]> {
    let (header, body) = rest.split_at_checked(HEADER_BYTES)?;
    let length = read_u32(header, 0);
    if read_u32(header, 4) != header_checksum(length) {
        return None;
    }
    let body = body.get(..length as usize)?;
    (crc32fast::hash(body) == read_u32(header, 8)).then_some(body)
}

fn read_frame(rest: &[u8]) -> FrameRead<'_> {
    if let Some(body) = complete_body(rest) {
        return FrameRead::Complete(body);
    }
    // After a crash a file may have its new size without its new data; it then ends in zeros.
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return FrameRead::Torn;
    }
    let length = read_u32(rest, 0);
    // A length must pass its checksum before it may be used to tell a torn frame from a corrupt
    // one.
    if read_u32(rest, 4) != header_checksum(length) {
        return FrameRead::Corrupt("the record's length fails its checksum");
    }
    if HEADER_BYTES + length as usize >= rest.len() {
        FrameRead::Torn
    } else {
        FrameRead::Corrupt("the record fails its checksum")
    }
}

/// Whether a complete frame begins anywhere in `bytes`.
fn holds_frame(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|offset| complete_body(&bytes[offset..]).is_some())
}

/// The body of the only frame of a file.
pub(crate) fn single_frame<'a>(file: &str, bytes: &'a [u8]) -> Result<&'a [u8], StorageError> {
    let scan = scan_frames(bytes);
    match (scan.end, scan.frames.as_slice()) {
        (FrameEnd::Clean, [(_, body)]) => Ok(body),
        (FrameEnd::Corrupt { offset, reason }, _) => {
            Err(StorageError::corrupt(file, offset, reason))
        }
        (FrameEnd::Clean | FrameEnd::Torn { .. }, _) => {
            Err(StorageError::corrupt(file, 0, "not one complete record"))
        }
    }
}
