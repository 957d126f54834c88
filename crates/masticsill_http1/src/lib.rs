//! Parses HTTP/1.1 heads, bodies and event streams from byte buffers, and writes heads and chunks.
//!
//! The crate does no I/O: it takes the bytes of a connection and returns messages and their parts.
//! Framing is strict, because a relay that finds another end of a message than its peer mixes up
//! requests.

mod body;
mod error;
mod events;
mod head;
mod headers;
mod write;

pub use body::{BodyDecoder, BodyStep, Framing};
pub use error::ParseError;
pub use events::{EventSplitter, StreamEvent};
pub use head::{
    NO_CONTENT, NOT_MODIFIED, RequestHead, ResponseHead, parse_request, parse_response,
};
pub use headers::{Header, HeaderList};
pub use write::{HeadWriter, write_chunk, write_last_chunk};
