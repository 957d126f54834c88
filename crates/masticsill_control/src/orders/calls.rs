//! Calls to agents.

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
/// Longer than an agent waits for its engine, and shorter than the planner waits for the effect of
/// an order.
const ORDER_TIMEOUT_MS: u64 = 110_000;

/// Outcome of telling an agent that orders of former terms are void.
#[derive(Debug)]
pub(crate) enum FenceOutcome {
    /// Nothing listens at the agent's address: the process has ended, though the membership does
    /// not show that yet.
    Absent,
    /// The agent refuses such orders from now on.
    Fenced(FenceReply),
    /// The agent did not answer, and may have an order in flight.
    Silent,
}

/// Sends orders and fencing calls in one term.
#[derive(Clone, Debug)]
pub(crate) struct OrderSender {
    pub(crate) clock: MonotonicClock,
    pub(crate) lease_ms: u64,
    pub(crate) published: PublishedState,
    pub(crate) quorum: QuorumHandle,
    pub(crate) term: Term,
}

impl OrderSender {
    /// Sends an order; an order that could not be sent counts as refused.
    pub(crate) async fn send(&self, address: SocketAddr, planned: &PlannedOrder) -> OrderEnd {
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
        // The task may have been suspended at any await above, so an earlier proof of the lease may
        // have expired.
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
        let draw = |reply_to| Request::Command(Action::DrawOrderSequence, reply_to);
        match self.quorum.ask(draw).await {
            ControlReply::Done(CommandAnswer::OrderSequence(sequence)) => Some(sequence),
            _ => None,
        }
    }

    /// Tells an agent that orders of former terms are void.
    pub(crate) async fn fence(&self, address: SocketAddr) -> FenceOutcome {
        let fencing = FencingNumber {
            term: self.term,
            sequence: 0,
        };
        let client = match connect(address).await {
            Ok(client) => client,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                return FenceOutcome::Absent;
            }
            Err(_) => return FenceOutcome::Silent,
        };
        let fence_call = client.fence(call_context(FENCE_TIMEOUT_MS), fencing);
        let fence_timeout = Duration::from_millis(FENCE_TIMEOUT_MS);
        match timeout(fence_timeout, fence_call).await {
            Ok(Ok(reply)) => FenceOutcome::Fenced(reply),
            Ok(Err(_)) | Err(_) => FenceOutcome::Silent,
        }
    }
}

/// Connects to an agent. The connection is closed when the client is dropped.
async fn connect(address: SocketAddr) -> io::Result<AgentServiceClient> {
    let transport = connect_transport(address, ServiceKind::Agent, CONNECT_TIMEOUT_MS);
    let new = AgentServiceClient::new(Config::default(), transport.await?);
    spawn_local(async move {
        let _ = new.dispatch.await;
    });
    Ok(new.client)
}
