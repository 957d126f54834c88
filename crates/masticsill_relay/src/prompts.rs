//! Lookup of the engines that have parts of a request's prompt cached.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use masticsill_catalogue::RouteKind;
use masticsill_registry::{CachedTokens, PromptPart};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

use crate::relay::Relay;
use crate::request::RelayRequest;

/// Timeout of a query to the control replicas: several times the round trip to another zone (3 ms),
/// and a few hundredths of the prefill time of a long prompt.
pub(crate) const CONTROL_QUERY_TIMEOUT: Duration = Duration::from_millis(25);
/// Prompts shorter than this take less time to prefill than to look up.
const MIN_PROMPT_TOKENS: u64 = 512;

/// Asks the control replicas which engines have the beginning of a stream's prompt cached.
///
/// Each replica knows its own zone. A replica that does not answer in time leaves its zone out,
/// which at most costs a prefill.
pub(crate) async fn find_cached(relay: &Rc<Relay>, request: &RelayRequest) -> Vec<CachedTokens> {
    let prompt = prompt_of(relay, request);
    // The token counts come from callers, so that the sum may overflow.
    let tokens = prompt
        .iter()
        .fold(0, |sum: u64, part| sum.saturating_add(part.tokens));
    if request.route.kind != RouteKind::Stream || tokens < MIN_PROMPT_TOKENS {
        return Vec::new();
    }
    let replicas: Vec<SocketAddr> = relay.control_reached.borrow().keys().copied().collect();
    let (found, mut answers) = mpsc::channel(replicas.len().max(1));
    for address in replicas {
        let (relay, prompt, found) = (Rc::clone(relay), prompt.clone(), found.clone());
        spawn_local(async move {
            let cached = relay.control.find_kept(address, &prompt).await;
            // The send fails only if the answer is too late for the receiver.
            let _ = found.send(cached.unwrap_or_default()).await;
        });
    }
    drop(found);
    let bound = Instant::now() + CONTROL_QUERY_TIMEOUT;
    let mut cached = Vec::new();
    while let Ok(Some(answer)) = timeout_at(bound, answers.recv()).await {
        cached.extend(answer);
    }
    cached
}

/// The parts of a request's prompt, up to the first one that cannot be parsed.
fn prompt_of(relay: &Relay, request: &RelayRequest) -> Vec<PromptPart> {
    let parts = request
        .head
        .headers
        .text(&relay.config.headers.prompt_parts);
    let parts = parts.unwrap_or_default().split(',');
    let read = parts.map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: id.to_owned(),
            tokens: tokens.parse().ok()?,
        })
    });
    read.collect()
}
