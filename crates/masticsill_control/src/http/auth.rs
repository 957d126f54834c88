//! Authentication of operators by bearer tokens, of which only hashes are stored.

use masticsill_types::log_event;
use masticsill_wire::admin::ErrorJson;
use ntex::http::StatusCode;
use ntex::http::header::{AUTHORIZATION, WWW_AUTHENTICATE};
use ntex::web::{HttpRequest, HttpResponse};

use super::{HttpState, reply};
use crate::config::{OperatorConfig, TokenHash};
use crate::events;

/// The operator whose token a request carries, or the response that refuses the request.
pub(crate) fn authenticate<'a>(
    state: &'a HttpState,
    request: &HttpRequest,
) -> Result<&'a OperatorConfig, HttpResponse> {
    let hash = bearer_token(request).map(TokenHash::of_token);
    // `blake3::Hash` compares in constant time.
    let is_named = |operator: &&OperatorConfig| Some(operator.token_hash) == hash;
    state.operators.iter().find(is_named).ok_or_else(|| {
        log_event!(warn, events::OPERATOR_UNKNOWN, has_token = hash.is_some());
        let message = "send `Authorization: Bearer TOKEN` with a token whose hash is in the \
                       settings of the control instances";
        let error = ErrorJson::new("unauthorized", message);
        let mut response = HttpResponse::build(StatusCode::UNAUTHORIZED);
        response.set_header(WWW_AUTHENTICATE, "Bearer");
        reply::finish(response, &error)
    })
}

fn bearer_token(request: &HttpRequest) -> Option<&str> {
    let value = request.headers().get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
