//! One HTTP call of a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use masticsill_http1::HeadWriter;
use masticsill_runtime::Ring;
use masticsill_upstream::{
    BufferBudget, ExchangeError, ExpectedResponse, UpstreamConnection, dial,
};
use masticsill_wire::agent::{CallAnswer, CallRequest};
use ntex::http::header::HeaderValue;
use ntex::http::{Method, Uri};
use tokio::time::timeout;

use crate::config::AgentLimits;
use crate::messages::{CallEnd, EndpointEvent, send_event};

const REQUEST_ID_HEADER: &str = "X-Request-Id";
/// Timeout of a connection: the service runs on the same instance.
const DIAL_TIMEOUT_MS: u64 = 1_000;

/// Sends a call once and reports its outcome. What is held of its answer counts towards `budget`.
pub(crate) async fn run_call(
    address: SocketAddr,
    budget: BufferBudget,
    limits: AgentLimits,
    request: CallRequest,
    endpoint_events: Ring<EndpointEvent>,
) {
    let id = request.id;
    let call_timeout = Duration::from_millis(limits.call_timeout_ms);
    let exchange_call = exchange(address, &budget, limits.max_answer_bytes, &request);
    let end = timeout(call_timeout, exchange_call)
        .await
        .unwrap_or(CallEnd::Lost);
    send_event(&endpoint_events, EndpointEvent::Call(id, end)).await;
}

async fn exchange(
    address: SocketAddr,
    budget: &BufferBudget,
    max_answer_bytes: usize,
    request: &CallRequest,
) -> CallEnd {
    let Some(head) = request_head(address, request) else {
        return CallEnd::Unsent("the call is no request of HTTP".to_owned());
    };
    // A new connection for each call: when a pooled connection breaks, it is unknown whether it
    // had already delivered the request.
    let Ok(stream) = dial(address, DIAL_TIMEOUT_MS).await else {
        return CallEnd::Unsent("the service accepts no connection".to_owned());
    };
    let connection = UpstreamConnection::new(stream, budget);
    match read_answer(connection, head, max_answer_bytes, request).await {
        Ok(answer) => CallEnd::Answered(answer),
        Err(_) => CallEnd::Lost,
    }
}

/// The head of a call; none if a part of it can't stand in a request.
fn request_head(address: SocketAddr, request: &CallRequest) -> Option<Bytes> {
    let method: Method = request.method.parse().ok()?;
    let path: Uri = request.path.parse().ok()?;
    let content_type = HeaderValue::from_str(&request.content_type).ok()?;
    let mut head = HeadWriter::request(method.as_str(), path.path_and_query()?.as_str());
    head.field("Host", address);
    head.field(REQUEST_ID_HEADER, request.id);
    head.field("Content-Type", content_type.to_str().ok()?);
    head.field("Content-Length", request.body.len());
    head.field("Connection", "close");
    Some(head.finish().freeze())
}

async fn read_answer(
    mut connection: UpstreamConnection,
    head: Bytes,
    max_answer_bytes: usize,
    request: &CallRequest,
) -> Result<CallAnswer, ExchangeError> {
    // The connection carries one request only, so that its response needs no id.
    let expected = ExpectedResponse {
        method: &request.method,
        id_field: "",
        request_id: "",
    };
    let body = Bytes::from(request.body.clone());
    let head = connection.exchange([head, body], expected).await?;
    let (body, _share) = connection.read_body(head.framing, max_answer_bytes).await?;
    Ok(CallAnswer {
        body: body.to_vec(),
        content_type: head
            .headers
            .text("content-type")
            .unwrap_or_default()
            .to_owned(),
        status: head.status,
    })
}
