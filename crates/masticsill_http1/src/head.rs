//! Parses the heads of requests and responses.

use std::ops::RangeInclusive;

use bytes::{Buf, BytesMut};

use crate::body::Framing;
use crate::error::ParseError;
use crate::headers::{HeaderList, parse_digits};

/// Most header fields of one message.
const MAX_HEADER_FIELDS: usize = 96;
/// The status codes that exist (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;
const SWITCHING_PROTOCOLS: u16 = 101;
/// Status of a response that never has content.
pub const NO_CONTENT: u16 = 204;
/// Status of a response whose content the caller has already.
pub const NOT_MODIFIED: u16 = 304;

/// The head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// How the body ends.
    pub framing: Framing,
    /// The header fields.
    pub headers: HeaderList,
    /// Whether the caller keeps the connection open after this request.
    pub is_keep_alive: bool,
    /// The method.
    pub method: String,
    /// The request target (path and query) as received.
    pub target: String,
}

impl RequestHead {
    /// Returns whether the request has this method. Methods are case-sensitive.
    #[must_use]
    pub fn is_method(&self, method: &str) -> bool {
        self.method == method
    }
}

/// The head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// How the body ends.
    pub framing: Framing,
    /// The header fields.
    pub headers: HeaderList,
    /// Whether the sender keeps the connection open after this response.
    pub is_keep_alive: bool,
    /// The status code.
    pub status: u16,
}

/// Removes the head of a request from the front of a buffer; returns `None` while the head is
/// incomplete.
///
/// # Errors
///
/// [`ParseError`] if the head is malformed, its framing is ambiguous or it is longer than
/// `max_bytes`.
pub fn parse_request(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, ParseError> {
    skip_blank_lines(buffer);
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let status = parsed.parse(buffer).map_err(head_error)?;
    let Some(size_bytes) = head_size(status, buffer.len(), max_bytes)? else {
        return Ok(None);
    };
    let headers = HeaderList::from_parsed(parsed.headers);
    let is_http_1_1 = parsed.version == Some(1);
    let head = RequestHead {
        framing: request_framing(&headers, is_http_1_1)?,
        is_keep_alive: is_keep_alive(&headers, is_http_1_1),
        method: parsed.method.ok_or(ParseError::Head)?.to_owned(),
        target: parsed.path.ok_or(ParseError::Head)?.to_owned(),
        headers,
    };
    buffer.advance(size_bytes);
    Ok(Some(head))
}

/// Removes the head of a response to `method` from the front of a buffer; returns `None` while the
/// head is incomplete. Interim responses (status 1xx) are skipped.
///
/// # Errors
///
/// [`ParseError`] if the head is malformed, its framing is ambiguous or it is longer than
/// `max_bytes`.
pub fn parse_response(
    buffer: &mut BytesMut,
    method: &str,
    max_bytes: usize,
) -> Result<Option<ResponseHead>, ParseError> {
    loop {
        // Empty lines may come before a request, but not before a response.
        if matches!(buffer.first(), Some(b'\r' | b'\n')) {
            return Err(ParseError::Head);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(buffer).map_err(head_error)?;
        let Some(size_bytes) = head_size(status, buffer.len(), max_bytes)? else {
            return Ok(None);
        };
        if has_bare_line_feed(&buffer[..size_bytes]) {
            return Err(ParseError::Head);
        }
        let status = valid_status(parsed.code)?;
        let headers = HeaderList::from_parsed(parsed.headers);
        let is_http_1_1 = parsed.version == Some(1);
        buffer.advance(size_bytes);
        let framing = response_framing(&headers, method, status, is_http_1_1)?;
        if is_interim(status) {
            continue;
        }
        let is_delimited = framing != Framing::UntilClose;
        return Ok(Some(ResponseHead {
            framing,
            is_keep_alive: is_delimited && is_keep_alive(&headers, is_http_1_1),
            headers,
            status,
        }));
    }
}

/// Skips empty lines, which callers may send between requests.
fn skip_blank_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

fn head_error(error: httparse::Error) -> ParseError {
    match error {
        httparse::Error::TooManyHeaders => ParseError::HeadTooLong,
        _ => ParseError::Head,
    }
}

fn head_size(
    status: httparse::Status<usize>,
    buffered_bytes: usize,
    max_bytes: usize,
) -> Result<Option<usize>, ParseError> {
    match status {
        httparse::Status::Complete(size_bytes) if size_bytes <= max_bytes => Ok(Some(size_bytes)),
        httparse::Status::Partial if buffered_bytes <= max_bytes => Ok(None),
        _ => Err(ParseError::HeadTooLong),
    }
}

fn is_keep_alive(headers: &HeaderList, is_http_1_1: bool) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    is_http_1_1 || headers.has_token("connection", "keep-alive")
}

fn request_framing(headers: &HeaderList, is_http_1_1: bool) -> Result<Framing, ParseError> {
    let length = content_length(headers)?;
    if !is_chunked(headers)? {
        return Ok(length.map_or(Framing::Empty, Framing::from_length));
    }
    // A request with two body lengths can hide a second request (request smuggling). HTTP/1.0
    // has no chunked coding.
    if length.is_some() || !is_http_1_1 {
        return Err(ParseError::Framing);
    }
    Ok(Framing::Chunked)
}

/// Whether a line of a head ends without a carriage return. The parser takes a lone line feed for the
/// end of a line, which in a field's name or value would end the head early.
fn has_bare_line_feed(head: &[u8]) -> bool {
    let lines = head.split_inclusive(|byte| *byte == b'\n');
    let mut lines = lines.filter(|line| line.ends_with(b"\n"));
    lines.any(|line| !line.ends_with(b"\r\n"))
}

/// The status code of a response, if it is one that an endpoint may send: no request asks for another
/// protocol.
fn valid_status(code: Option<u16>) -> Result<u16, ParseError> {
    let is_valid = |code: &u16| STATUS_CODES.contains(code) && *code != SWITCHING_PROTOCOLS;
    code.filter(is_valid).ok_or(ParseError::Status)
}

fn is_interim(status: u16) -> bool {
    status < 200
}

fn response_framing(
    headers: &HeaderList,
    method: &str,
    status: u16,
    is_http_1_1: bool,
) -> Result<Framing, ParseError> {
    let length = content_length(headers)?;
    let is_chunked = is_chunked(headers)?;
    if is_chunked && (length.is_some() || !is_http_1_1) {
        return Err(ParseError::Framing);
    }
    if is_interim(status) || status == NO_CONTENT {
        // The bytes of such a body would be taken for the next response.
        let has_body = is_chunked || length.is_some_and(|bytes| bytes > 0);
        return if has_body {
            Err(ParseError::Framing)
        } else {
            Ok(Framing::Empty)
        };
    }
    if method == "HEAD" || status == NOT_MODIFIED {
        return Ok(Framing::Empty);
    }
    if is_chunked {
        return Ok(Framing::Chunked);
    }
    Ok(length.map_or(Framing::UntilClose, Framing::from_length))
}

fn is_chunked(headers: &HeaderList) -> Result<bool, ParseError> {
    let mut codings = headers.all("transfer-encoding");
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    let is_only_chunked = first.eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
    if is_only_chunked {
        Ok(true)
    } else {
        Err(ParseError::TransferCoding)
    }
}

fn content_length(headers: &HeaderList) -> Result<Option<u64>, ParseError> {
    let mut lengths = headers.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.next().is_some() {
        return Err(ParseError::Framing);
    }
    let length = parse_digits(first).ok_or(ParseError::Framing)?;
    Ok(Some(length))
}
