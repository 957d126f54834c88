//! What the agent's two duties tell each other.

use masticsill_generation::{EngineCommand, EngineEvent, RunNumber};
use masticsill_runtime::{Ring, RingFull};
use masticsill_types::GenerationId;
use masticsill_wire::agent::{CallAnswer, CallRequest};
use masticsill_wire::engine::{EngineLoad, LoadedModels};
use tokio::time::{Duration, sleep};

use crate::orders::OrderCommand;

/// Pause before a full ring is tried again.
const FULL_RING_PAUSE: Duration = Duration::from_millis(1);

/// What the endpoint duty is told to do.
#[derive(Debug)]
pub(crate) enum EndpointCommand {
    Call(Box<CallRequest>),
    Engine(EngineCommand),
    Order(OrderCommand),
}

/// What the endpoint duty saw.
#[derive(Debug)]
pub(crate) enum EndpointNews {
    Call(GenerationId, CallEnd),
    Load(EngineLoad),
    Models(LoadedModels),
    Run(RunNumber, EngineEvent),
    /// The engine refuses connections.
    Unreachable,
}

/// How a plain call ended.
#[derive(Debug)]
pub(crate) enum CallEnd {
    Answered(CallAnswer),
    /// Sent, at least in part, and not answered.
    Lost,
    /// No byte of it left the agent.
    Unsent(String),
}

/// Sends news that must not be lost: waits while the ring is full. False once it is closed.
pub(crate) async fn send_news(ring: &Ring<EndpointNews>, news: EndpointNews) -> bool {
    let mut unsent = news;
    while let Err(RingFull(returned)) = ring.push(unsent) {
        if ring.is_closed() {
            return false;
        }
        unsent = returned;
        sleep(FULL_RING_PAUSE).await;
    }
    true
}
