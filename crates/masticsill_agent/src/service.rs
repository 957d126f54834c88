//! The RPC service of the agent, used by entries and control replicas.

use std::cell::RefCell;
use std::rc::Rc;

use futures::StreamExt;
use masticsill_runtime::{Ring, ServiceStream};
use masticsill_types::{FencingNumber, log_event};
use masticsill_wire::agent::{
    AgentService, AttachReply, AttachRequest, BuryRequest, CallReply, CallRequest, CancelRequest,
    FenceReply, OrderReply, OrderRequest, PullReply, PullRequest, StartReply, StartRequest,
};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::events;
use crate::state::{AgentState, DeferrableReply};

/// The agent's state, shared by the tasks of its duty.
#[derive(Clone, Debug)]
pub(crate) struct SharedState {
    pub(crate) state: Rc<RefCell<AgentState>>,
    /// Notified when a pull begins to wait, so that the duty takes its due time into account.
    pub(crate) wake: Rc<Notify>,
}

/// Serves the connections from the ring until the ring is closed.
pub(crate) async fn serve_entries(connections: Ring<ServiceStream>, shared: SharedState) {
    while let Some(connection) = connections.pop().await {
        let transport = match connection.into_transport() {
            Ok(transport) => transport,
            Err(error) => {
                log_event!(warn, events::CONNECTION_REFUSED, error = error);
                continue;
            }
        };
        let calls = BaseChannel::with_defaults(transport).execute(shared.clone().serve());
        spawn_local(calls.for_each(async |call| {
            spawn_local(call);
        }));
    }
}

impl AgentService for SharedState {
    async fn start(self, _: Context, request: StartRequest) -> StartReply {
        self.state.borrow_mut().start(request)
    }

    async fn pull(self, _: Context, request: PullRequest) -> PullReply {
        let pulled = self.state.borrow_mut().pull(request);
        let progress = match pulled {
            DeferrableReply::Now(progress) => progress,
            DeferrableReply::Later(answered) => {
                self.wake.notify_one();
                answered.await.unwrap_or_default()
            }
        };
        self.state.borrow().pull_reply(progress)
    }

    async fn attach(self, _: Context, request: AttachRequest) -> AttachReply {
        self.state.borrow_mut().attach(&request)
    }

    async fn cancel(self, _: Context, request: CancelRequest) {
        self.state.borrow_mut().cancel(&request);
    }

    async fn call(self, _: Context, request: CallRequest) -> CallReply {
        let remaining_time = tokio::time::Duration::from_millis(request.deadline_ms);
        let called = self.state.borrow_mut().call(request);
        match called {
            DeferrableReply::Now(reply) => reply,
            // The exchange continues after the deadline, so that a repeated call gets the answer.
            DeferrableReply::Later(answered) => {
                match tokio::time::timeout(remaining_time, answered).await {
                    Ok(Ok(reply)) => reply,
                    Ok(Err(_)) | Err(_) => CallReply::OutcomeUnknown,
                }
            }
        }
    }

    async fn bury(self, _: Context, request: BuryRequest) -> CallReply {
        self.state.borrow_mut().bury(&request)
    }

    async fn order(self, _: Context, request: OrderRequest) -> OrderReply {
        let ordered = self.state.borrow_mut().order(request);
        match ordered {
            DeferrableReply::Now(reply) => reply,
            // The endpoint duty completes the order even when the caller stops waiting.
            DeferrableReply::Later(ended) => ended.await.unwrap_or(OrderReply::OutcomeUnknown),
        }
    }

    async fn fence(self, _: Context, fencing: FencingNumber) -> FenceReply {
        self.state.borrow().orders().fence(fencing)
    }
}
