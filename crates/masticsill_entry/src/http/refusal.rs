//! Conversion of refusals to HTTP responses.

use masticsill_types::{Refusal, RefusalKind, log_event};
use ntex::http::StatusCode;
use ntex::http::header::RETRY_AFTER;
use ntex::web::HttpResponse;

use crate::events;
use crate::openai::ErrorBody;

const MS_PER_S: u64 = 1_000;

/// Returns the HTTP response for a refusal.
pub(crate) fn answer_refusal(refusal: &Refusal) -> HttpResponse {
    let mut response = HttpResponse::build(status(refusal.kind));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let retry_after_s = retry_after_ms.div_ceil(MS_PER_S).max(1);
        response.set_header(RETRY_AFTER, retry_after_s.to_string());
    }
    response.json(&ErrorBody::from(refusal))
}

/// Logs that a request was refused after it had been admitted.
pub(crate) fn log_refusal(answer_id: &str, refusal: &Refusal) {
    log_event!(
        info,
        events::GENERATION_REFUSED,
        answer = answer_id,
        kind = refusal.kind,
        outcome = refusal.outcome.as_str(),
        detail = refusal.detail
    );
}

fn status(kind: RefusalKind) -> StatusCode {
    match kind {
        RefusalKind::InvalidRequest => StatusCode::BAD_REQUEST,
        RefusalKind::UnknownModel => StatusCode::NOT_FOUND,
        RefusalKind::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalKind::KeyExpired | RefusalKind::RecordLost => StatusCode::GONE,
        RefusalKind::Superseded => StatusCode::CONFLICT,
        RefusalKind::LimitReached => StatusCode::TOO_MANY_REQUESTS,
        RefusalKind::Overloaded
        | RefusalKind::NoEndpoint
        | RefusalKind::CatalogueStale
        | RefusalKind::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        RefusalKind::VersionGone | RefusalKind::BackEndFailed => StatusCode::BAD_GATEWAY,
        RefusalKind::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
    }
}
