//! What an HTTP client's error proves.

use std::io;

use ntex::client::error::{ClientError, ConnectError};

/// Whether an error proves that no byte of the request was sent.
#[must_use]
pub fn is_unsent(error: &ClientError) -> bool {
    let ClientError::Connect(error) = error else {
        return false;
    };
    match error {
        ConnectError::Disconnected(Some(error)) => {
            // Only a connection that was never made is refused; a reset may follow the request.
            error.kind() == io::ErrorKind::ConnectionRefused
        }
        ConnectError::Resolver(_)
        | ConnectError::NoRecords
        | ConnectError::Unresolved
        | ConnectError::SslIsNotSupported => true,
        ConnectError::Disconnected(None) | ConnectError::Timeout => false,
    }
}
