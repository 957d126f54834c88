//! Bodies: by length, in chunks, or until the connection ends.

use bytes::{Buf, Bytes, BytesMut};

use crate::error::ParseError;

/// Bytes of a chunk's size line or of one trailer line, at most.
const MAX_LINE_BYTES: usize = 1_024;
/// Trailer lines, at most.
const MAX_TRAILERS: u32 = 32;

/// How a body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// In chunks, the last of which is empty.
    Chunked,
    /// There is none.
    Empty,
    /// After this many bytes.
    Length(u64),
    /// With the connection.
    UntilClose,
}

impl Framing {
    pub(crate) fn from_length(length_bytes: u64) -> Self {
        if length_bytes == 0 {
            Self::Empty
        } else {
            Self::Length(length_bytes)
        }
    }
}

/// What a buffer holds of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyStep {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is whole; what is left in the buffer does not belong to it.
    End,
    /// More bytes must arrive first.
    NeedMore,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    ChunkData { left_bytes: u64 },
    ChunkEnd,
    ChunkSize,
    Done,
    Length { left_bytes: u64 },
    Trailers { left: u32 },
    UntilClose,
}

/// Takes a body off the front of a buffer, piece by piece.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

impl BodyDecoder {
    /// A decoder at the start of a body.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Chunked => State::ChunkSize,
            Framing::Empty => State::Done,
            Framing::Length(left_bytes) => State::Length { left_bytes },
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the end of the connection is the proper end of this body.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Whether the body is whole.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Takes the next piece.
    ///
    /// # Errors
    ///
    /// [`ParseError::Chunk`] when a chunk is malformed.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<BodyStep, ParseError> {
        loop {
            match self.state {
                State::Done => return Ok(BodyStep::End),
                State::UntilClose => return Ok(take_up_to(buffer, u64::MAX).into()),
                State::Length { left_bytes } => {
                    let data = take_up_to(buffer, left_bytes);
                    let left_bytes = left_bytes - data.len() as u64;
                    self.state = match left_bytes {
                        0 => State::Done,
                        _ => State::Length { left_bytes },
                    };
                    return Ok(data.into());
                }
                State::ChunkData { left_bytes } => {
                    let data = take_up_to(buffer, left_bytes);
                    let left_bytes = left_bytes - data.len() as u64;
                    self.state = match left_bytes {
                        0 => State::ChunkEnd,
                        _ => State::ChunkData { left_bytes },
                    };
                    return Ok(data.into());
                }
                State::ChunkEnd | State::ChunkSize | State::Trailers { .. } => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(BodyStep::NeedMore);
                    };
                    self.state = self.after_line(&line)?;
                }
            }
        }
    }

    fn after_line(&self, line: &[u8]) -> Result<State, ParseError> {
        match self.state {
            State::ChunkEnd if line.is_empty() => Ok(State::ChunkSize),
            State::Trailers { .. } if line.is_empty() => Ok(State::Done),
            State::ChunkEnd | State::Trailers { left: 0 } => Err(ParseError::Chunk),
            State::Trailers { left } => Ok(State::Trailers { left: left - 1 }),
            _ => match chunk_size(line)? {
                0 => Ok(State::Trailers { left: MAX_TRAILERS }),
                left_bytes => Ok(State::ChunkData { left_bytes }),
            },
        }
    }
}

impl From<Bytes> for BodyStep {
    fn from(data: Bytes) -> Self {
        if data.is_empty() {
            Self::NeedMore
        } else {
            Self::Data(data)
        }
    }
}

fn take_up_to(buffer: &mut BytesMut, limit_bytes: u64) -> Bytes {
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let size = buffer.len().min(limit);
    buffer.split_to(size).freeze()
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, ParseError> {
    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
        return if buffer.len() > MAX_LINE_BYTES {
            Err(ParseError::Chunk)
        } else {
            Ok(None)
        };
    };
    let line = buffer.split_to(end).freeze();
    buffer.advance(2);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, ParseError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Chunk)?;
    if !is_hex {
        return Err(ParseError::Chunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| ParseError::Chunk)
}
