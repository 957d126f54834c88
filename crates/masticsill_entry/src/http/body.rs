//! Reads request bodies of bounded size.

use masticsill_types::{Refusal, RefusalKind};
use ntex::web::types::Payload;
use serde::de::DeserializeOwned;

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns a refusal if the body is larger than `max_bytes` or the connection is lost before its
/// end.
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
/// Returns a refusal that states what is wrong in the body and where.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    serde_json::from_slice(body)
        .map_err(|error| invalid(format!("the body is not as expected: {error}")))
}

/// Returns the refusal of an invalid request.
pub(crate) fn invalid(detail: impl Into<String>) -> Refusal {
    Refusal::not_run(RefusalKind::InvalidRequest, detail)
}
