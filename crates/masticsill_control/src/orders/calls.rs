//! Calls of agents.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use masticsill_catalogue::{Action, CommandAnswer};
use masticsill_orders::{OrderEnd, PlannedOrder};
use masticsill_runtime::{call_context, connect_transport};
use masticsill_types::{FencingNumber, MonotonicClock, Term};
use masticsill_wire::ServiceKind;
use masticsill_wire::agent::{AgentServiceClient, FenceReply, OrderReply, OrderRequest};
use masticsill_wire::control::ControlReply;
use tarpc::client::Config;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::quorum::{PublishedState, QuorumHandle, Request};

const CONNECT_TIMEOUT_MS: u64 = 1_000;
const FENCE_TIMEOUT_MS: u64 = 1_000;
/// Longer than an agent waits for its engine, and less than a planner waits for an effect.
const ORDER_TIMEOUT_MS: u64 = 110_000;

/// What came of telling an agent that orders of former terms are void.
#[derive(Debug)]
pub(crate) enum FenceEnd {
    /// Nobody listens at its address: the process has ended, though the members don't know yet.
    Absent,
    /// It refuses them from now on.
    Fenced(FenceReply),
    /// It did not answer, and may have an order under way.
    Silent,
}

/// What an order needs on its way.
#[derive(Clone, Debug)]
pub(crate) struct Giver {
    pub(crate) clock: MonotonicClock,
    pub(crate) lease_ms: u64,
    pub(crate) published: PublishedState,
    pub(crate) quorum: QuorumHandle,
    pub(crate) term: Term,
}

impl Giver {
    /// Gives an order; one that could not be given counts as refused.
    pub(crate) async fn give(&self, address: SocketAddr, planned: &PlannedOrder) -> OrderEnd {
        let Ok(client) = connect(address).await else {
            return OrderEnd::Refused;
        };
        let Some(sequence) = self.draw_sequence().await else {
            return OrderEnd::Refused;
        };
        let request = OrderRequest {
            fencing: FencingNumber {
                term: self.term,
                sequence,
            },
            order: planned.order.clone(),
        };
        // Any await before may have been a pause: what was proven then proves nothing now.
        if !self.is_leading() {
            return OrderEnd::Refused;
        }
        let reply = client.order(call_context(ORDER_TIMEOUT_MS), request).await;
        match reply {
            Ok(OrderReply::Done) => OrderEnd::Done,
            Ok(OrderReply::Fenced(_) | OrderReply::Refused(_)) => OrderEnd::Refused,
            Ok(OrderReply::OutcomeUnknown) | Err(_) => OrderEnd::Unknown,
        }
    }

    fn is_leading(&self) -> bool {
        let led = self.published.led_term(self.clock.now(), self.lease_ms);
        led == Some(self.term)
    }

    async fn draw_sequence(&self) -> Option<u64> {
        let draw = |reply_to| Request::Act(Action::DrawOrderSequence, reply_to);
        match self.quorum.ask(draw).await {
            ControlReply::Done(CommandAnswer::OrderSequence(sequence)) => Some(sequence),
            _ => None,
        }
    }

    /// Tells an agent that orders of former terms are void.
    pub(crate) async fn fence(&self, address: SocketAddr) -> FenceEnd {
        let fencing = FencingNumber {
            term: self.term,
            sequence: 0,
        };
        let client = match connect(address).await {
            Ok(client) => client,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return FenceEnd::Absent,
            Err(_) => return FenceEnd::Silent,
        };
        let asking = client.fence(call_context(FENCE_TIMEOUT_MS), fencing);
        let bound = Duration::from_millis(FENCE_TIMEOUT_MS);
        match timeout(bound, asking).await {
            Ok(Ok(reply)) => FenceEnd::Fenced(reply),
            Ok(Err(_)) | Err(_) => FenceEnd::Silent,
        }
    }
}

/// Connects to an agent. The connection ends with the client.
async fn connect(address: SocketAddr) -> io::Result<AgentServiceClient> {
    let transport = connect_transport(address, ServiceKind::Agent, CONNECT_TIMEOUT_MS);
    let new = AgentServiceClient::new(Config::default(), transport.await?);
    spawn_local(async move {
        let _ = new.dispatch.await;
    });
    Ok(new.client)
}
