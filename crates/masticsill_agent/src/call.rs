//! One HTTP call of a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_runtime::{Ring, is_unsent};
use masticsill_wire::agent::{CallAnswer, CallRequest};
use ntex::client::{Client, ClientResponse};
use ntex::http::Method;
use ntex::http::header::CONTENT_TYPE;
use tokio::time::timeout;

use crate::config::AgentLimits;
use crate::messages::{CallEnd, EndpointEvent, send_event};

const REQUEST_ID_HEADER: &str = "x-request-id";

/// Sends a call once and reports its outcome.
pub(crate) async fn run_call(
    client: Client,
    address: SocketAddr,
    limits: AgentLimits,
    request: CallRequest,
    endpoint_events: Ring<EndpointEvent>,
) {
    let id = request.id;
    let call_timeout = Duration::from_millis(limits.call_timeout_ms);
    let exchange_call = exchange(&client, address, limits.max_answer_bytes, request);
    let end = timeout(call_timeout, exchange_call)
        .await
        .unwrap_or(CallEnd::Lost);
    send_event(&endpoint_events, EndpointEvent::Call(id, end)).await;
}

async fn exchange(
    client: &Client,
    address: SocketAddr,
    max_answer_bytes: usize,
    request: CallRequest,
) -> CallEnd {
    let Ok(method) = request.method.parse::<Method>() else {
        return CallEnd::Unsent("the call's method is not one of HTTP".to_owned());
    };
    let url = format!("http://{address}{}", request.path);
    // A new connection for each call: when a pooled connection breaks, it is unknown whether it
    // had already delivered the request.
    let prepared = client.request(method, url).force_close().no_decompress();
    let sent = prepared
        .header(REQUEST_ID_HEADER, request.id.to_string())
        .header(CONTENT_TYPE, request.content_type)
        .send_body(request.body)
        .await;
    match sent {
        Ok(response) => read_answer(response, max_answer_bytes).await,
        Err(error) if is_unsent(&error) => {
            CallEnd::Unsent("the service refuses connections".to_owned())
        }
        Err(_) => CallEnd::Lost,
    }
}

async fn read_answer(response: ClientResponse, max_answer_bytes: usize) -> CallEnd {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or_default().to_owned();
    let status = response.status().as_u16();
    let body_read = response.body().limit(max_answer_bytes);
    let Ok(body) = body_read.await else {
        return CallEnd::Lost;
    };
    CallEnd::Answered(CallAnswer {
        body: body.to_vec(),
        content_type,
        status,
    })
}
