//! Polls of an engine's load and loaded models.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_runtime::{Ring, is_unsent};
use ntex::client::Client;

use serde::de::DeserializeOwned;
use tokio::time::{sleep, timeout};

use crate::config::AgentLimits;
use crate::messages::EndpointNews;

/// The models are asked for at every so-many-th poll.
const MODELS_EVERY: u32 = 10;

/// Polls until the ring of news is closed.
pub(crate) async fn poll_engine(
    client: Client,
    address: SocketAddr,
    limits: AgentLimits,
    news: Ring<EndpointNews>,
) {
    let period = Duration::from_millis(limits.poll_ms);
    let patience = Duration::from_millis(limits.poll_timeout_ms);
    let mut polls: u32 = 0;
    while !news.is_closed() {
        let polling = poll_once(&client, address, polls.is_multiple_of(MODELS_EVERY));
        if let Ok(Some(seen)) = timeout(patience, polling).await {
            polls = polls.wrapping_add(1);
            // A full ring is full of signs of life already.
            let _ = news.push(seen);
        }
        sleep(period).await;
    }
}

async fn poll_once(client: &Client, address: SocketAddr, is_models: bool) -> Option<EndpointNews> {
    let polled = if is_models {
        let models = get(client, address, "/v1/models").await;
        models.map(EndpointNews::Models)
    } else {
        let load = get(client, address, "/v1/load").await;
        load.map(EndpointNews::Load)
    };
    match polled {
        Ok(news) => Some(news),
        Err(PollError::Refused) => Some(EndpointNews::Unreachable),
        Err(PollError::Other) => None,
    }
}

enum PollError {
    /// Nobody listens.
    Refused,
    /// No usable answer.
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
