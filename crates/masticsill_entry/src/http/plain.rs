//! `/v1/services/{entry}/{path}`: calls of plain services.

use masticsill_types::{EntryId, Refusal, RefusalKind};
use masticsill_wire::agent::CallAnswer;
use ntex::http::StatusCode;
use ntex::http::header::CONTENT_TYPE;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use tokio::sync::oneshot;

use super::body::{invalid, read_body};
use super::refusal::answer_refusal;
use super::server::Gateway;
use crate::calls::PlainCall;
use crate::filter::admit_service;
use crate::request::RequestKey;
use crate::sessions_duty::SessionInput;

const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Forwards a call to the service and responds with its answer.
pub(crate) async fn call_service(
    request: HttpRequest,
    payload: Payload,
    gateway: State<Gateway>,
) -> HttpResponse {
    match forward_call(&request, payload, &gateway).await {
        Ok(answer) => respond_with_call(answer),
        Err(refusal) => answer_refusal(&refusal),
    }
}

async fn forward_call(
    request: &HttpRequest,
    payload: Payload,
    gateway: &Gateway,
) -> Result<CallAnswer, Refusal> {
    let entry = request.match_info().get("entry").unwrap_or_default();
    let entry = EntryId::new(entry).map_err(|error| invalid(error.to_string()))?;
    let admitted = admit_service(gateway, &entry)?;
    let body = read_body(payload, gateway.config.max_body_bytes).await?;
    let key = request.headers().get("idempotency-key");
    let key = match key {
        Some(value) => {
            let text = value
                .to_str()
                .map_err(|_| invalid("Idempotency-Key must be plain ASCII"))?;
            Some(RequestKey::parse(text).map_err(invalid)?)
        }
        None => None,
    };
    if key.is_none() && !admitted.is_repeatable {
        return Err(invalid(
            "calls of this service may not be repeated; send an Idempotency-Key",
        ));
    }
    let key = key.unwrap_or_else(RequestKey::random);
    let call = PlainCall {
        body,
        catalogue_entry: entry,
        class: admitted.class,
        content_type: content_type(request),
        id: key.call_id(&admitted.owner),
        is_repeatable: admitted.is_repeatable,
        method: request.method().as_str().to_owned(),
        path: target_path(request),
        service: admitted.service,
        workspace: admitted.owner,
    };
    let _open_work = gateway.open_work.enter();
    let (reply, answered) = oneshot::channel();
    gateway.enqueue(SessionInput::Call(call, reply))?;
    answered.await.unwrap_or_else(|_| {
        Err(Refusal::outcome_unknown(
            "the entry ended while the call was open",
        ))
    })
}

fn respond_with_call(answer: CallAnswer) -> HttpResponse {
    let Ok(status) = StatusCode::from_u16(answer.status) else {
        let detail = format!("the service answered with status {}", answer.status);
        return answer_refusal(&Refusal::failed(RefusalKind::BackEndFailed, detail));
    };
    HttpResponse::build(status)
        .content_type(answer.content_type)
        .body(answer.body)
}

fn content_type(request: &HttpRequest) -> String {
    let value = request.headers().get(CONTENT_TYPE);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or(DEFAULT_CONTENT_TYPE).to_owned()
}

fn target_path(request: &HttpRequest) -> String {
    let path = request.match_info().get("path").unwrap_or_default();
    match request.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}
