//! Idle connections.

use std::io::ErrorKind;

use tokio::net::TcpStream;

/// Whether an idle connection is open and has received nothing: bytes received while idle belong to
/// no request.
#[must_use]
pub fn is_unused(stream: &TcpStream) -> bool {
    let mut one = [0];
    match stream.try_read(&mut one) {
        Err(error) => error.kind() == ErrorKind::WouldBlock,
        Ok(_) => false,
    }
}
