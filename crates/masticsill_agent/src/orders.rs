//! Orders of the control leader to this agent's engine.
//!
//! Some engines ignore the fencing number and can be reached only through their agent, so the agent
//! checks the number for them: one order is in flight at a time, and each has a higher number than
//! all orders before it, also across a restart of the agent.

mod opening;
mod send;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use masticsill_orders::{GateRefusal, OrderGate};
use masticsill_runtime::Ring;
use masticsill_types::FencingNumber;
use masticsill_wire::agent::{FenceReply, OrderRefusal, OrderReply, OrderRequest};
use tokio::sync::oneshot;

use crate::config::Endpoint;
use crate::messages::EndpointCommand;
use crate::state::DeferrableReply;

pub(crate) use opening::open_gate;
pub(crate) use send::run_engine_order;

/// The order gate, shared by the duty that accepts orders and the duty that sends them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedGate(Arc<Mutex<OrderGate>>);

impl SharedGate {
    pub(crate) fn lock(&self) -> MutexGuard<'_, OrderGate> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An admitted order in transit to the duty that sends it.
#[derive(Debug)]
pub(crate) struct OrderCommand {
    pub(crate) gate: SharedGate,
    pub(crate) reply_to: oneshot::Sender<OrderReply>,
    pub(crate) request: OrderRequest,
}

/// Admits orders and passes them to the endpoint duty.
#[derive(Clone, Debug)]
pub(crate) struct OrderIntake {
    commands: Ring<EndpointCommand>,
    gate: SharedGate,
    is_engine: bool,
}

impl OrderIntake {
    pub(crate) fn new(endpoint: &Endpoint, commands: Ring<EndpointCommand>) -> Self {
        Self {
            commands,
            gate: SharedGate::default(),
            is_engine: matches!(endpoint, Endpoint::Engine { .. }),
        }
    }

    pub(crate) fn admit(&self, request: OrderRequest) -> DeferrableReply<OrderReply> {
        if !self.is_engine {
            return DeferrableReply::Now(OrderReply::Refused(OrderRefusal::EngineRefused));
        }
        let fencing = request.fencing;
        let admitted = self.gate.lock().admit(fencing, &request.order);
        if let Err(refusal) = admitted {
            return DeferrableReply::Now(refused(refusal));
        }
        let (reply_to, ended) = oneshot::channel();
        let command = OrderCommand {
            gate: self.gate.clone(),
            reply_to,
            request,
        };
        if self.commands.push(EndpointCommand::Order(command)).is_err() {
            self.gate.lock().finish(fencing);
            return DeferrableReply::Now(OrderReply::Refused(OrderRefusal::Busy));
        }
        DeferrableReply::Later(ended)
    }

    pub(crate) fn fence(&self, fencing: FencingNumber) -> FenceReply {
        let mut gate = self.gate.lock();
        gate.raise(fencing);
        FenceReply {
            highest: gate.highest(),
            under_way: gate.in_flight().cloned(),
        }
    }
}

fn refused(refusal: GateRefusal) -> OrderReply {
    match refusal {
        GateRefusal::Busy => OrderReply::Refused(OrderRefusal::Busy),
        GateRefusal::Closed => OrderReply::Refused(OrderRefusal::Closed),
        GateRefusal::Fenced(highest) => OrderReply::Fenced(highest),
    }
}
