//! Responses of the administration API.

use masticsill_catalogue::ChangeRefusal;
use masticsill_control_client::ControlUnavailable;
use masticsill_wire::admin::ErrorJson;
use ntex::http::StatusCode;
use ntex::http::header::RETRY_AFTER;
use ntex::web::{HttpResponse, HttpResponseBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;

const RETRY_AFTER_S: &str = "1";

pub(crate) fn finish<T: Serialize>(mut response: HttpResponseBuilder, body: &T) -> HttpResponse {
    response.json(body)
}

pub(crate) fn ok<T: Serialize>(body: &T) -> HttpResponse {
    finish(HttpResponse::build(StatusCode::OK), body)
}

pub(crate) fn error(status: StatusCode, error: &ErrorJson) -> HttpResponse {
    finish(HttpResponse::build(status), error)
}

pub(crate) fn bad_request(message: impl Into<String>) -> HttpResponse {
    let body = ErrorJson::new("invalid_request", message);
    error(StatusCode::BAD_REQUEST, &body)
}

pub(crate) fn refusal(refusal: &ChangeRefusal) -> HttpResponse {
    let status = match refusal {
        ChangeRefusal::CatalogueFull => StatusCode::INSUFFICIENT_STORAGE,
        ChangeRefusal::ChangeIdReused | ChangeRefusal::VersionConflict { .. } => {
            StatusCode::CONFLICT
        }
        ChangeRefusal::Forbidden { .. } => StatusCode::FORBIDDEN,
        ChangeRefusal::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
    };
    error(status, &ErrorJson::from(refusal))
}

pub(crate) fn unavailable(cause: ControlUnavailable) -> HttpResponse {
    let reason = if cause.is_outcome_unknown {
        "outcome_unknown"
    } else {
        "no_leader"
    };
    let mut response = HttpResponse::build(StatusCode::SERVICE_UNAVAILABLE);
    response.set_header(RETRY_AFTER, RETRY_AFTER_S);
    finish(response, &ErrorJson::new(reason, cause.to_string()))
}

/// Parses a JSON body; the error is a response that names the position of the mistake.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpResponse> {
    serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not valid: {error}; correct it")))
}
