//! HTTP/1.1 heads, bodies and event streams, read from and written to byte buffers.
//!
//! No sockets: a connection's bytes go in, messages and their parts come out. Framing is strict,
//! because a relay that reads a boundary differently from its peer joins two requests.

mod body;
mod error;
mod events;
mod head;
mod headers;
mod write;

pub use body::{BodyDecoder, BodyStep, Framing};
pub use error::ParseError;
pub use events::{EventSplitter, StreamEvent};
pub use head::{RequestHead, ResponseHead, parse_request, parse_response};
pub use headers::{Header, HeaderList};
pub use write::{HeadWriter, write_chunk, write_last_chunk};
