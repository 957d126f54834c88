//! `POST /v1/completions` and `POST /v1/chat/completions`.

use masticsill_runtime::Ring;
use masticsill_session::{Position, StreamItem};
use masticsill_types::{ClockMs, Refusal, RefusalKind};
use ntex::http::header::HeaderMap;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};

use super::body::{invalid, parse_json, read_body};
use super::refusal::{answer_refusal, log_refusal};
use super::server::Gateway;
use super::sse::{AnswerHead, Receiver, stream_answer};
use crate::answer_ring::AnswerRing;
use crate::filter::{Admitted, admit};
use crate::openai::{ChatRequest, Completion, CompletionRequest, Interface, Usage};
use crate::request::{GenerationRequest, RequestKey};
use crate::sessions_duty::SessionInput;

/// Items that wait for a slow caller; the rest of its answer stays in the record.
const CALLER_RING_ITEMS: usize = 32;
const KEY_HEADER: &str = "idempotency-key";
const POSITION_HEADER: &str = "last-event-id";

/// Completes a text.
pub(crate) async fn complete_text(
    request: HttpRequest,
    payload: Payload,
    gateway: State<Gateway>,
) -> HttpResponse {
    let read = read_request::<CompletionRequest>(payload, &gateway).await;
    answer(&request, read, &gateway, Interface::Text).await
}

/// Continues a chat.
pub(crate) async fn complete_chat(
    request: HttpRequest,
    payload: Payload,
    gateway: State<Gateway>,
) -> HttpResponse {
    let read = read_request::<ChatRequest>(payload, &gateway).await;
    let read = read.map(CompletionRequest::from);
    answer(&request, read, &gateway, Interface::Chat).await
}

async fn read_request<T: serde::de::DeserializeOwned>(
    payload: Payload,
    gateway: &Gateway,
) -> Result<T, Refusal> {
    let body = read_body(payload, gateway.config.max_body_bytes).await?;
    parse_json(&body)
}

async fn answer(
    request: &HttpRequest,
    read: Result<CompletionRequest, Refusal>,
    gateway: &Gateway,
    interface: Interface,
) -> HttpResponse {
    let begun = read.and_then(|body| begin(request.headers(), body, gateway));
    match begun {
        Ok(begun) => respond(begun, gateway, interface).await,
        Err(refusal) => {
            gateway.metrics.count("entry.refusals", 1);
            answer_refusal(&refusal)
        }
    }
}

/// A generation handed to the sessions duty.
struct Begun {
    accepted_at: ClockMs,
    id: String,
    is_streamed: bool,
    model: String,
    receiver: Receiver,
}

fn begin(
    headers: &HeaderMap,
    body: CompletionRequest,
    gateway: &Gateway,
) -> Result<Begun, Refusal> {
    let is_streamed = body.options.stream;
    let request = GenerationRequest::try_from(body).map_err(invalid)?;
    let key = read_key(headers)?;
    let seen = read_position(headers)?;
    let model = request.catalogue_entry.as_str().to_owned();
    let ring = Ring::with_capacity(CALLER_RING_ITEMS);
    let receiver = Receiver::new(ring.clone(), &gateway.open_work);
    let admitted = admit(gateway, &request, seen.is_some())?;
    let id = if let Some(position) = seen {
        check_key(&admitted, key.as_ref(), &position)?;
        gateway.hand_over(SessionInput::Reattach(position, AnswerRing(ring)))?;
        position.id
    } else {
        let key = key.unwrap_or_else(RequestKey::random);
        let id = key.new_generation(&admitted.entry.owner);
        let spec = admitted.into_spec(id, request);
        gateway.hand_over(SessionInput::Submit(Box::new(spec), AnswerRing(ring)))?;
        id
    };
    Ok(Begun {
        accepted_at: gateway.now(),
        id: format!("cmpl-{id}"),
        is_streamed,
        model,
        receiver,
    })
}

/// Only the caller that knows the request key may continue its generation.
fn check_key(
    admitted: &Admitted,
    key: Option<&RequestKey>,
    position: &Position,
) -> Result<(), Refusal> {
    let Some(key) = key else {
        return Err(invalid(
            "Last-Event-ID needs the Idempotency-Key of the first request; send both",
        ));
    };
    let prefix = u128::from(key.generation_prefix(&admitted.entry.owner));
    if position.id.0 >> u64::BITS == prefix {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalKind::KeyReused,
        "Last-Event-ID belongs to another Idempotency-Key",
    ))
}

fn read_key(headers: &HeaderMap) -> Result<Option<RequestKey>, Refusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| invalid("Idempotency-Key must be plain ASCII"))?;
    RequestKey::parse(text).map(Some).map_err(invalid)
}

fn read_position(headers: &HeaderMap) -> Result<Option<Position>, Refusal> {
    let Some(value) = headers.get(POSITION_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| invalid("Last-Event-ID must be plain ASCII"))?;
    let position = text.parse::<Position>();
    position
        .map(Some)
        .map_err(|error| invalid(error.to_string()))
}

async fn respond(begun: Begun, gateway: &Gateway, interface: Interface) -> HttpResponse {
    let Some(first) = begun.receiver.next().await else {
        return answer_refusal(&lost());
    };
    if let StreamItem::Refused(refusal) = &first {
        log_refusal(&begun.id, refusal);
        return answer_refusal(refusal);
    }
    let waited_ms = gateway.now() - begun.accepted_at;
    gateway.metrics.time_ms("entry.first_token", waited_ms);
    if !begun.is_streamed {
        return respond_whole(begun, interface, first).await;
    }
    let head = AnswerHead {
        id: begun.id,
        interface,
        model: begun.model,
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(stream_answer(head, first, begun.receiver)))
}

async fn respond_whole(begun: Begun, interface: Interface, first: StreamItem) -> HttpResponse {
    let mut whole = String::new();
    let mut next = Some(first);
    while let Some(item) = next {
        match item {
            StreamItem::Text { text, .. } => whole.push_str(&text),
            StreamItem::Refused(refusal) => {
                log_refusal(&begun.id, &refusal);
                return answer_refusal(&refusal);
            }
            StreamItem::Finished {
                reason,
                token_count,
                ..
            } => {
                let usage = Usage {
                    completion_tokens: token_count,
                };
                let (id, model) = (&begun.id, &begun.model);
                let answer = Completion::whole(interface, id, model, &whole, reason, usage);
                return HttpResponse::Ok().json(&answer);
            }
        }
        next = begun.receiver.next().await;
    }
    answer_refusal(&lost())
}

fn lost() -> Refusal {
    Refusal::failed(
        RefusalKind::BackEndFailed,
        "the generation ended without an answer",
    )
}
