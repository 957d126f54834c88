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
use super::sse::{AnswerHead, AnswerReceiver, stream_answer};
use crate::caller_ring::CallerRing;
use crate::filter::{Admitted, admit};
use crate::openai::{ChatRequest, Completion, CompletionRequest, Interface, Usage};
use crate::request::{GenerationRequest, RequestKey};
use crate::sessions_duty::SessionInput;

/// Number of items that are buffered for a slow caller. The rest of the answer stays in the record
/// of the generation.
const CALLER_RING_CAPACITY: usize = 32;
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Handles a text completion.
pub(crate) async fn complete_text(
    request: HttpRequest,
    payload: Payload,
    gateway: State<Gateway>,
) -> HttpResponse {
    let read = read_request::<CompletionRequest>(payload, &gateway).await;
    answer(&request, read, &gateway, Interface::Text).await
}

/// Handles a chat completion.
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
    let started = read.and_then(|body| start_generation(request.headers(), body, gateway));
    match started {
        Ok(started) => respond(started, gateway, interface).await,
        Err(refusal) => {
            gateway.metrics.count("entry.refusals", 1);
            answer_refusal(&refusal)
        }
    }
}

/// A generation that was submitted to the sessions duty.
struct StartedGeneration {
    accepted_at: ClockMs,
    id: String,
    is_streamed: bool,
    model: String,
    receiver: AnswerReceiver,
}

fn start_generation(
    headers: &HeaderMap,
    body: CompletionRequest,
    gateway: &Gateway,
) -> Result<StartedGeneration, Refusal> {
    let is_streamed = body.options.stream;
    let request = GenerationRequest::try_from(body).map_err(invalid)?;
    let key = read_key(headers)?;
    let seen = read_position(headers)?;
    let model = request.catalogue_entry.as_str().to_owned();
    let ring = Ring::with_capacity(CALLER_RING_CAPACITY);
    let receiver = AnswerReceiver::new(ring.clone(), &gateway.open_work);
    let admitted = admit(gateway, &request, seen.is_some())?;
    let id = if let Some(position) = seen {
        check_key(&admitted, key.as_ref(), &position)?;
        gateway.enqueue(SessionInput::Reattach(position, CallerRing(ring)))?;
        position.id
    } else {
        let key = key.unwrap_or_else(RequestKey::random);
        let id = key.new_generation(&admitted.entry.owner);
        let spec = admitted.into_spec(id, request);
        gateway.enqueue(SessionInput::Submit(Box::new(spec), CallerRing(ring)))?;
        id
    };
    Ok(StartedGeneration {
        accepted_at: gateway.now(),
        id: format!("cmpl-{id}"),
        is_streamed,
        model,
        receiver,
    })
}

/// Refuses to continue a generation for a caller that does not know its request key.
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
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| invalid("Idempotency-Key must be plain ASCII"))?;
    RequestKey::parse(text).map(Some).map_err(invalid)
}

fn read_position(headers: &HeaderMap) -> Result<Option<Position>, Refusal> {
    let Some(value) = headers.get(LAST_EVENT_ID_HEADER) else {
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

async fn respond(
    started: StartedGeneration,
    gateway: &Gateway,
    interface: Interface,
) -> HttpResponse {
    let Some(first) = started.receiver.next().await else {
        return answer_refusal(&ended_without_answer());
    };
    if let StreamItem::Refused(refusal) = &first {
        log_refusal(&started.id, refusal);
        return answer_refusal(refusal);
    }
    let waited_ms = gateway.now() - started.accepted_at;
    gateway.metrics.time_ms("entry.first_token", waited_ms);
    if !started.is_streamed {
        return respond_whole(started, interface, first).await;
    }
    let head = AnswerHead {
        id: started.id,
        interface,
        model: started.model,
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .header("cache-control", "no-store")
        .streaming(Box::pin(stream_answer(head, first, started.receiver)))
}

async fn respond_whole(
    started: StartedGeneration,
    interface: Interface,
    first: StreamItem,
) -> HttpResponse {
    let mut whole = String::new();
    let mut next = Some(first);
    while let Some(item) = next {
        match item {
            StreamItem::Text { text, .. } => whole.push_str(&text),
            StreamItem::Refused(refusal) => {
                log_refusal(&started.id, &refusal);
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
                let (id, model) = (&started.id, &started.model);
                let answer = Completion::whole(interface, id, model, &whole, reason, usage);
                return HttpResponse::Ok().json(&answer);
            }
        }
        next = started.receiver.next().await;
    }
    answer_refusal(&ended_without_answer())
}

fn ended_without_answer() -> Refusal {
    Refusal::failed(
        RefusalKind::BackEndFailed,
        "the generation ended without an answer",
    )
}
