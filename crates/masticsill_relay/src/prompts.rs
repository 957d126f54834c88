//! Where a request's prompt is kept already.

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

/// Longest wait for the control replicas: several times the way to another zone and back (3 ms),
/// and a few hundredths of what reading a long prompt takes.
pub(crate) const BOUND: Duration = Duration::from_millis(25);
/// Prompts below this are read faster than they are asked about.
const LEAST_TOKENS: u64 = 512;

/// Asks the control replicas which engines keep the beginning of a stream's prompt.
///
/// Each replica knows its own zone; one that does not answer in time leaves its zone out, which
/// costs a reading and nothing else.
pub(crate) async fn find_kept(relay: &Rc<Relay>, request: &RelayRequest) -> Vec<CachedTokens> {
    let prompt = prompt_of(relay, request);
    // Callers name the lengths.
    let tokens = prompt
        .iter()
        .fold(0, |sum: u64, part| sum.saturating_add(part.tokens));
    if request.route.kind != RouteKind::Stream || tokens < LEAST_TOKENS {
        return Vec::new();
    }
    let replicas: Vec<SocketAddr> = relay.control_reached.borrow().keys().copied().collect();
    let (found, mut answers) = mpsc::channel(replicas.len().max(1));
    for address in replicas {
        let (relay, prompt, found) = (Rc::clone(relay), prompt.clone(), found.clone());
        spawn_local(async move {
            let kept = relay.control.find_kept(address, &prompt).await;
            // An answer that comes too late finds nobody who waits for it.
            let _ = found.send(kept.unwrap_or_default()).await;
        });
    }
    drop(found);
    let bound = Instant::now() + BOUND;
    let mut kept = Vec::new();
    while let Ok(Some(answer)) = timeout_at(bound, answers.recv()).await {
        kept.extend(answer);
    }
    kept
}

/// The parts of a request's prompt, as far as they can be read.
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
