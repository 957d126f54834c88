//! What makes two requests the same.

use std::fmt;

use masticsill_registry::EndpointId;
use serde::{Deserialize, Serialize};

/// Bytes of a fingerprint.
const LENGTH: usize = 16;
/// Of how many endpoints a request has one to itself while it is kept apart from others.
const APART_OF: u8 = 4;

/// What a request asks for, and who asks.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Its body.
    pub body: &'a [u8],
    /// The host that it is for.
    pub host: &'a str,
    /// Its method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The workspace that asks; none for an anonymous caller.
    pub workspace: Option<&'a str>,
}

/// Names a request by its content: the same at every entry, for every attempt of its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// Whether a request that is kept apart from others goes to an endpoint.
    ///
    /// Every entry finds the same, so that requests which may have crashed endpoints together go
    /// different ways without a word between their entries.
    #[must_use]
    pub fn is_isolated_to(&self, endpoint: &EndpointId) -> bool {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(endpoint.to_string().as_bytes());
        hasher.finalize().as_bytes()[0].is_multiple_of(APART_OF)
    }
}

impl From<RequestContent<'_>> for Fingerprint {
    fn from(content: RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let workspace = content.workspace.unwrap_or_default();
        let parts = [content.host, content.method, content.target, workspace];
        for part in parts {
            // Its length keeps a part from running into the next one.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&[u8::from(content.workspace.is_some())]);
        hasher.update(content.body);
        let mut bytes = [0; LENGTH];
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
