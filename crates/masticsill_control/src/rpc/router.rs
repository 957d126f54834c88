//! Routes calls of this process: the leader answers them itself, every other replica forwards them
//! to the leader.

use masticsill_catalogue::{ChangeAnswer, DocumentAnswer};
use masticsill_control_client::ControlUnavailable;
use masticsill_registry::{Announcement, EndpointId};
use masticsill_runtime::Ring;
use masticsill_wire::control::{
    ChangeRequest, ControlReply, DocumentChange, ReadAnswer, ReadRequest, ReplicaAnswer,
    ReplicaChange, RolloutAnswer, RolloutRequest,
};
use tokio::sync::oneshot;

use super::service::ControlServer;

/// Timeout of a forwarded call including its retries, in milliseconds.
pub(crate) const FORWARD_TIMEOUT_MS: u64 = 5_000;

/// Channel for the answer to a call.
pub(crate) type ForwardReply<T> = oneshot::Sender<Result<T, ControlUnavailable>>;

/// A call of an operator or an endpoint, to be answered here or by the leader.
#[derive(Debug)]
pub(crate) enum Forward {
    Announce(Announcement, ForwardReply<()>),
    Change(ChangeRequest, ForwardReply<ChangeAnswer>),
    Depart(EndpointId, ForwardReply<()>),
    Document(DocumentChange, ForwardReply<DocumentAnswer>),
    OrderRollout(RolloutRequest, ForwardReply<RolloutAnswer>),
    Read(ReadRequest, ForwardReply<ReadAnswer>),
    Replicas(ReplicaChange, ForwardReply<ReplicaAnswer>),
}

/// Routes calls until the ring is closed.
pub(crate) async fn run_router(server: ControlServer, calls: Ring<Forward>) {
    while let Some(call) = calls.pop().await {
        tokio::task::spawn_local(route(server.clone(), call));
    }
}

async fn route(server: ControlServer, call: Forward) {
    let timeout_ms = FORWARD_TIMEOUT_MS;
    let client = server.client.clone();
    match call {
        Forward::Announce(announcement, reply_to) => {
            server.endpoints.announce(announcement).await;
            let _ = reply_to.send(Ok(()));
        }
        Forward::Depart(id, reply_to) => {
            server.endpoints.depart(id).await;
            let _ = reply_to.send(Ok(()));
        }
        Forward::Change(request, reply_to) => {
            let local_reply = server.change_locally(request.clone()).await;
            let forwarded = client.change(&request, timeout_ms);
            let _ = reply_to.send(done_or_forwarded(local_reply, forwarded).await);
        }
        Forward::Document(change, reply_to) => {
            let local_reply = server.put_document_locally(change.clone()).await;
            let forwarded = client.put_document(&change, timeout_ms);
            let _ = reply_to.send(done_or_forwarded(local_reply, forwarded).await);
        }
        Forward::OrderRollout(request, mut reply_to) => {
            // An order whose caller has gone is abandoned: it may be one that was held up on its
            // way, and the caller has sent it to another process since.
            tokio::select! {
                answer = server.order_rollout_anywhere(request) => {
                    let _ = reply_to.send(answer);
                }
                () = reply_to.closed() => {}
            }
        }
        Forward::Read(request, reply_to) => {
            let local_reply = server.read_locally(request.clone()).await;
            let forwarded = client.read(&request, timeout_ms);
            let _ = reply_to.send(done_or_forwarded(local_reply, forwarded).await);
        }
        Forward::Replicas(change, reply_to) => {
            let _ = reply_to.send(server.change_replicas_anywhere(change, timeout_ms).await);
        }
    }
}

/// Returns the local answer, or else that of the forwarded call. The forwarded call starts only
/// when the future is awaited.
pub(crate) async fn done_or_forwarded<T>(
    local_reply: ControlReply<T>,
    forwarded: impl Future<Output = Result<T, ControlUnavailable>>,
) -> Result<T, ControlUnavailable> {
    match local_reply {
        ControlReply::Done(answer) => Ok(answer),
        _ => forwarded.await,
    }
}
