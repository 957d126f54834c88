//! Writes heads and chunks.

use std::fmt::{Display, Write};

use bytes::{BufMut, Bytes, BytesMut};

use crate::headers::Header;

/// Longest body that is copied behind its head, so that both take one write.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;

/// Writes a head line by line.
#[derive(Debug)]
pub struct HeadWriter {
    buffer: BytesMut,
}

impl HeadWriter {
    /// Starts the head of a request.
    #[must_use]
    pub fn request(method: &str, target: &str) -> Self {
        let mut buffer = BytesMut::with_capacity(512);
        buffer.put_slice(method.as_bytes());
        buffer.put_u8(b' ');
        buffer.put_slice(target.as_bytes());
        buffer.put_slice(b" HTTP/1.1\r\n");
        Self { buffer }
    }

    /// Starts the head of a response.
    #[must_use]
    pub fn response(status: u16) -> Self {
        let mut buffer = BytesMut::with_capacity(512);
        buffer.put_slice(b"HTTP/1.1 ");
        put_display(&mut buffer, status);
        buffer.put_u8(b' ');
        buffer.put_slice(reason_phrase(status).as_bytes());
        buffer.put_slice(b"\r\n");
        Self { buffer }
    }

    /// Adds a field copied from another message.
    pub fn copy(&mut self, header: &Header) {
        self.buffer.put_slice(header.name.as_bytes());
        self.buffer.put_slice(b": ");
        self.buffer.put_slice(&header.value);
        self.buffer.put_slice(b"\r\n");
    }

    /// Adds a field. The value is written unchanged.
    pub fn field(&mut self, name: &str, value: impl Display) {
        self.buffer.put_slice(name.as_bytes());
        self.buffer.put_slice(b": ");
        put_display(&mut self.buffer, value);
        self.buffer.put_slice(b"\r\n");
    }

    /// Ends the head and returns its bytes.
    #[must_use]
    pub fn finish(mut self) -> BytesMut {
        self.buffer.put_slice(b"\r\n");
        self.buffer
    }

    /// Ends the head of a message with this body; returns the two parts to be written in turn. A short
    /// body is copied into the first part, and the second one is empty.
    #[must_use]
    pub fn finish_with(self, body: &Bytes) -> [Bytes; 2] {
        let mut head = self.finish();
        if body.len() > MAX_COPIED_BODY_BYTES {
            return [head.freeze(), body.clone()];
        }
        head.extend_from_slice(body);
        [head.freeze(), Bytes::new()]
    }
}

/// Writes one chunk. Empty `data` writes nothing, because an empty chunk would end the body.
pub fn write_chunk(buffer: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    put_display(buffer, format_args!("{:x}\r\n", data.len()));
    buffer.put_slice(data);
    buffer.put_slice(b"\r\n");
}

/// Writes the empty chunk that ends a chunked body.
pub fn write_last_chunk(buffer: &mut BytesMut) {
    buffer.put_slice(b"0\r\n\r\n");
}

fn put_display(buffer: &mut BytesMut, value: impl Display) {
    // Writing into memory never fails.
    let _ = write!(buffer, "{value}");
}

/// Returns the standard reason phrase of a status code, or `Status` if the code is not listed.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        301 => "Moved Permanently",
        302 => "Found",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
