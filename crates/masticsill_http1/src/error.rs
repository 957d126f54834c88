//! Errors of parsing messages.

use thiserror::Error;

/// Reason why bytes are not an HTTP/1.1 message that can be relayed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ParseError {
    /// The size line, the end or the trailers of a chunked body are malformed or too long.
    #[error("a chunk of the body is malformed; send `SIZE CRLF DATA CRLF`")]
    Chunk,
    /// The length of the body is stated more than once, is not a number or contradicts the status, or
    /// a message of HTTP/1.0 is chunked.
    #[error("the body's length is ambiguous; send one `Content-Length` or one `chunked`")]
    Framing,
    /// The head is malformed.
    #[error("the head is not HTTP/1.1; correct its request line and header lines")]
    Head,
    /// The head exceeds the size limit or has too many header fields.
    #[error("the head is too long; send fewer or shorter headers")]
    HeadTooLong,
    /// The status code is outside the valid range, or one that the request doesn't allow.
    #[error("the status is not one of HTTP/1.1 that may answer this request; send 200 to 599")]
    Status,
    /// The transfer coding is not exactly `chunked`.
    #[error("the transfer coding is not supported; use `chunked`")]
    TransferCoding,
}
