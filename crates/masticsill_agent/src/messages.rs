//! Messages between the agent's two duties.

use masticsill_generation::{EngineCommand, EngineEvent, RunNumber};
use masticsill_runtime::{Ring, RingFull};
use masticsill_types::GenerationId;
use masticsill_wire::agent::{CallAnswer, CallRequest};
use masticsill_wire::engine::{EngineLoad, LoadedModels};
use tokio::time::{Duration, sleep};

use crate::orders::OrderCommand;

/// Pause before another attempt to push into a full ring.
const FULL_RING_PAUSE: Duration = Duration::from_millis(1);

/// A command to the endpoint duty.
#[derive(Debug)]
pub(crate) enum EndpointCommand {
    Call(Box<CallRequest>),
    Engine(EngineCommand),
    Order(OrderCommand),
}

/// An event from the endpoint duty.
#[derive(Debug)]
pub(crate) enum EndpointEvent {
    Call(GenerationId, CallEnd),
    Load(EngineLoad),
    Models(LoadedModels),
    Run(RunNumber, EngineEvent),
    /// The engine refuses connections.
    Unreachable,
}

/// The outcome of a plain call.
#[derive(Debug)]
pub(crate) enum CallEnd {
    Answered(CallAnswer),
    /// Sent at least in part, and not answered.
    Lost,
    /// No byte of the call was sent; the text is the reason.
    Unsent(String),
}

/// Pushes an event that must not be lost, waiting while the ring is full. Returns false when the
/// ring is closed.
pub(crate) async fn send_event(ring: &Ring<EndpointEvent>, event: EndpointEvent) -> bool {
    let mut pending = event;
    while let Err(RingFull(returned)) = ring.push(pending) {
        if ring.is_closed() {
            return false;
        }
        pending = returned;
        sleep(FULL_RING_PAUSE).await;
    }
    true
}
