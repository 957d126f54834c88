//! Reading from a connection into a buffer.

use std::io;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;

/// Reads once, with room for `room_bytes` at least; false at the end of the connection.
///
/// # Errors
///
/// The connection's error.
pub async fn read_more(
    reader: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut BytesMut,
    room_bytes: usize,
) -> io::Result<bool> {
    buffer.reserve(room_bytes);
    Ok(reader.read_buf(buffer).await? > 0)
}
