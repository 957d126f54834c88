//! The identity of a request, derived from its content.

use std::fmt;

use masticsill_registry::EndpointId;
use serde::{Deserialize, Serialize};

/// Length of a fingerprint in bytes.
const FINGERPRINT_BYTES: usize = 16;
/// An isolated request may use one in this many endpoints.
const ISOLATION_DIVISOR: u8 = 4;

/// The content of a request and its caller.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The request's body.
    pub body: &'a [u8],
    /// The host that the request is addressed to.
    pub host: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The workspace of the caller; none for an anonymous caller.
    pub workspace: Option<&'a str>,
}

/// Identifies a request by its content: the same at every entry and for every attempt of its
/// caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Whether the request may be sent to the endpoint while it is isolated from other suspects.
    ///
    /// All entries come to the same result, so that requests which may have caused the same crashes
    /// are sent to different endpoints without any communication between the entries.
    #[must_use]
    pub fn is_isolated_to(&self, endpoint: &EndpointId) -> bool {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(endpoint.to_string().as_bytes());
        hasher.finalize().as_bytes()[0].is_multiple_of(ISOLATION_DIVISOR)
    }
}

impl From<RequestContent<'_>> for Fingerprint {
    fn from(content: RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let workspace = content.workspace.unwrap_or_default();
        let parts = [content.host, content.method, content.target, workspace];
        for part in parts {
            // The length prefix keeps adjacent parts from being confused.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&[u8::from(content.workspace.is_some())]);
        hasher.update(content.body);
        let mut bytes = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
