//! Message bodies: with a length, chunked, or delimited by the end of the connection.

use bytes::{Buf, Bytes, BytesMut};

use crate::error::ParseError;

/// Longest size line of a chunk or trailer line.
const MAX_LINE_BYTES: usize = 1_024;
/// Most trailer lines.
const MAX_TRAILER_LINES: u32 = 32;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Chunked transfer coding: an empty chunk ends the body.
    Chunked,
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The end of the connection ends the body.
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

/// Result of one step of a [`BodyDecoder`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyStep {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete. The bytes left in the buffer belong to the next message.
    End,
    /// The buffer holds no further bytes of the body; more must arrive.
    NeedMore,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DecoderState {
    ChunkData { remaining_bytes: u64 },
    ChunkEnd,
    ChunkSize,
    Done,
    Length { remaining_bytes: u64 },
    Trailers { remaining: u32 },
    UntilClose,
}

/// Decodes a body piece by piece from the front of a buffer.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecoderState,
}

impl BodyDecoder {
    /// Returns a decoder for a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::Empty => DecoderState::Done,
            Framing::Length(remaining_bytes) => DecoderState::Length { remaining_bytes },
            Framing::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the end of the connection ends this body regularly.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.state == DecoderState::UntilClose
    }

    /// Returns whether the body is complete.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Removes the next piece of the body from the front of the buffer.
    ///
    /// # Errors
    ///
    /// [`ParseError::Chunk`] if a chunk is malformed, a line is too long or there are too many
    /// trailer lines.
    pub fn step(&mut self, buffer: &mut BytesMut) -> Result<BodyStep, ParseError> {
        loop {
            match self.state {
                DecoderState::Done => return Ok(BodyStep::End),
                DecoderState::UntilClose => return Ok(take_up_to(buffer, u64::MAX).into()),
                DecoderState::Length { remaining_bytes } => {
                    let data = take_up_to(buffer, remaining_bytes);
                    let remaining_bytes = remaining_bytes - data.len() as u64;
                    self.state = match remaining_bytes {
                        0 => DecoderState::Done,
                        _ => DecoderState::Length { remaining_bytes },
                    };
                    return Ok(data.into());
                }
                DecoderState::ChunkData { remaining_bytes } => {
                    let data = take_up_to(buffer, remaining_bytes);
                    let remaining_bytes = remaining_bytes - data.len() as u64;
                    self.state = match remaining_bytes {
                        0 => DecoderState::ChunkEnd,
                        _ => DecoderState::ChunkData { remaining_bytes },
                    };
                    return Ok(data.into());
                }
                DecoderState::ChunkEnd
                | DecoderState::ChunkSize
                | DecoderState::Trailers { .. } => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(BodyStep::NeedMore);
                    };
                    self.state = self.after_line(&line)?;
                }
            }
        }
    }

    fn after_line(&self, line: &[u8]) -> Result<DecoderState, ParseError> {
        match self.state {
            DecoderState::ChunkEnd if line.is_empty() => Ok(DecoderState::ChunkSize),
            DecoderState::Trailers { .. } if line.is_empty() => Ok(DecoderState::Done),
            DecoderState::Trailers { remaining } if remaining > 0 && is_field_line(line) => {
                Ok(DecoderState::Trailers {
                    remaining: remaining - 1,
                })
            }
            DecoderState::ChunkEnd | DecoderState::Trailers { .. } => Err(ParseError::Chunk),
            _ => match chunk_size(line)? {
                0 => Ok(DecoderState::Trailers {
                    remaining: MAX_TRAILER_LINES,
                }),
                remaining_bytes => Ok(DecoderState::ChunkData { remaining_bytes }),
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
    let mut parts = line.splitn(2, |byte| *byte == b';');
    let digits = parts.next().unwrap_or_default();
    let digits = match parts.next() {
        Some(extensions) if extensions.iter().all(|byte| is_text(*byte)) => digits.trim_ascii_end(),
        Some(_) => return Err(ParseError::Chunk),
        None => digits,
    };
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| ParseError::Chunk)?;
    if !is_hex {
        return Err(ParseError::Chunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| ParseError::Chunk)
}

/// Whether a line of the trailer section is a header field.
fn is_field_line(line: &[u8]) -> bool {
    let mut parts = line.splitn(2, |byte| *byte == b':');
    let name = parts.next().unwrap_or_default();
    let is_named = !name.is_empty() && name.iter().all(|byte| is_token(*byte));
    let value = parts.next();
    is_named && value.is_some_and(|value| value.iter().all(|byte| is_text(*byte)))
}

/// Whether a byte may be part of a token (RFC 9110, section 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Whether a byte may be part of a field value: all but control characters other than tabs.
fn is_text(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}
