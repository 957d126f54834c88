//! Reads request bodies within a bound.

use masticsill_types::{Refusal, RefusalKind};
use ntex::web::types::Payload;
use serde::de::DeserializeOwned;

/// Reads a whole body.
///
/// # Errors
///
/// A refusal when the body is larger than `max_bytes` or breaks off.
pub(crate) async fn read_body(mut payload: Payload, max_bytes: usize) -> Result<Vec<u8>, Refusal> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| invalid(format!("the body broke off: {error}")))?;
        if body.len() + chunk.len() > max_bytes {
            return Err(invalid(format!(
                "the body is larger than {max_bytes} bytes"
            )));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Parses a JSON body.
///
/// # Errors
///
/// A refusal that names what is wrong and where.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| invalid(format!("the body is not as expected: {error}")))
}

/// A refusal of a request that is wrong by itself.
pub(crate) fn invalid(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::InvalidRequest, detail)
}
