//! Why bytes are no message.

use thiserror::Error;

/// Why bytes are not an HTTP/1.1 message that can be relayed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ParseError {
    /// A chunk's size or ending is malformed.
    #[error("a chunk of the body is malformed; send `SIZE CRLF DATA CRLF`")]
    Chunk,
    /// The message states its length in more than one way, or in an unreadable one.
    #[error("the body's length is ambiguous; send one `Content-Length` or one `chunked`")]
    Framing,
    /// The head is no HTTP/1.1 head.
    #[error("the head is not HTTP/1.1; correct its request line and header lines")]
    Head,
    /// The head is longer than is taken.
    #[error("the head is too long; send fewer or shorter headers")]
    HeadTooLong,
    /// The transfer coding is another than `chunked`.
    #[error("the transfer coding is not supported; use `chunked`")]
    TransferCoding,
}
