//! Classifies errors of the HTTP client.

use std::io;

use ntex::client::error::{ClientError, ConnectError};

/// Returns whether an error proves that no byte of the request was sent.
#[must_use]
pub fn is_unsent(error: &ClientError) -> bool {
    let ClientError::Connect(error) = error else {
        return false;
    };
    match error {
        ConnectError::Disconnected(Some(error)) => {
            // A refused connection was never established. Another error, such as a reset, may
            // come after the request was sent.
            error.kind() == io::ErrorKind::ConnectionRefused
        }
        ConnectError::Resolver(_)
        | ConnectError::NoRecords
        | ConnectError::Unresolved
        | ConnectError::SslIsNotSupported => true,
        ConnectError::Disconnected(None) | ConnectError::Timeout => false,
    }
}
