//! Periodic requests for an engine's load and loaded models.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_runtime::{Ring, is_unsent};
use ntex::client::Client;

use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use crate::config::AgentLimits;
use crate::messages::EndpointEvent;

/// One out of this many polls requests the loaded models; the others request the load.
const POLLS_PER_MODELS_REQUEST: u32 = 10;

/// Polls the engine until the event ring is closed.
pub(crate) async fn poll_engine(
    client: Client,
    address: SocketAddr,
    limits: AgentLimits,
    endpoint_events: Ring<EndpointEvent>,
) {
    let period = Duration::from_millis(limits.poll_ms);
    let poll_timeout = Duration::from_millis(limits.poll_timeout_ms);
    let mut polls: u32 = 0;
    while !endpoint_events.is_closed() {
        let poll = poll_once(
            &client,
            address,
            polls.is_multiple_of(POLLS_PER_MODELS_REQUEST),
        );
        if let Ok(Some(event)) = timeout(poll_timeout, poll).await {
            polls = polls.wrapping_add(1);
            // When the ring is full, the result is dropped: the events in the ring show activity
            // as well.
            let _ = endpoint_events.push(event);
        }
        sleep(period).await;
    }
}

async fn poll_once(
    client: &Client,
    address: SocketAddr,
    requests_models: bool,
) -> Option<EndpointEvent> {
    let polled = if requests_models {
        let models = get(client, address, "/v1/models").await;
        models.map(EndpointEvent::Models)
    } else {
        let load = get(client, address, "/v1/load").await;
        load.map(EndpointEvent::Load)
    };
    match polled {
        Ok(event) => Some(event),
        Err(PollError::Refused) => Some(EndpointEvent::Unreachable),
        Err(PollError::Other) => None,
    }
}

enum PollError {
    /// The connection was refused.
    Refused,
    /// There was no usable answer.
    Other,
}

async fn get<T: DeserializeOwned>(
    client: &Client,
    address: SocketAddr,
    path: &str,
) -> Result<T, PollError> {
    let request = client.get(format!("http://{address}{path}"));
    let sent = request.no_decompress().send().await;
    let response = sent.map_err(|error| {
        if is_unsent(&error) {
            PollError::Refused
        } else {
            PollError::Other
        }
    })?;
    response.json().await.map_err(|_| PollError::Other)
}
