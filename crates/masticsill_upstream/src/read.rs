//! Reads from a connection into a buffer.

use std::io;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;

/// Reads once, after reserving space for at least `reserve_bytes` bytes in the buffer; false at the
/// end of the connection.
///
/// # Errors
///
/// The connection's error.
pub async fn read_more(
    reader: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut BytesMut,
    reserve_bytes: usize,
) -> io::Result<bool> {
    buffer.reserve(reserve_bytes);
    Ok(reader.read_buf(buffer).await? > 0)
}
