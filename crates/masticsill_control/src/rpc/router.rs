//! Operators' calls: answered here by the leader, passed on to it by every other replica.

use masticsill_catalogue::{ChangeAnswer, DocumentAnswer};
use masticsill_control_client::ControlUnavailable;
use masticsill_registry::{Announcement, EndpointId};
use masticsill_runtime::Ring;
use masticsill_wire::control::{
    ChangeRequest, ControlReply, DocumentChange, ReadAnswer, ReadRequest, ReplicaAnswer,
    ReplicaChange,
};
use tokio::sync::oneshot;

use super::service::ControlServer;

/// Time for the whole of a call that is passed on, in milliseconds.
pub(crate) const FORWARD_BOUND_MS: u64 = 5_000;

/// Where the answer to a call goes.
pub(crate) type ForwardReply<T> = oneshot::Sender<Result<T, ControlUnavailable>>;

/// An operator's call on its way to the leader.
#[derive(Debug)]
pub(crate) enum Forward {
    Announce(Announcement, ForwardReply<()>),
    Change(ChangeRequest, ForwardReply<ChangeAnswer>),
    Depart(EndpointId, ForwardReply<()>),
    Document(DocumentChange, ForwardReply<DocumentAnswer>),
    Read(ReadRequest, ForwardReply<ReadAnswer>),
    Replicas(ReplicaChange, ForwardReply<ReplicaAnswer>),
}

/// Takes calls until the ring is closed.
pub(crate) async fn run_router(server: ControlServer, calls: Ring<Forward>) {
    while let Some(call) = calls.pop().await {
        tokio::task::spawn_local(route(server.clone(), call));
    }
}

async fn route(server: ControlServer, call: Forward) {
    let bound_ms = FORWARD_BOUND_MS;
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
            let here = server.change_here(request.clone()).await;
            let passed_on = client.change(&request, bound_ms);
            let _ = reply_to.send(done_or(here, passed_on).await);
        }
        Forward::Document(change, reply_to) => {
            let here = server.put_document_here(change.clone()).await;
            let passed_on = client.put_document(&change, bound_ms);
            let _ = reply_to.send(done_or(here, passed_on).await);
        }
        Forward::Read(request, reply_to) => {
            let here = server.read_here(request.clone()).await;
            let passed_on = client.read(&request, bound_ms);
            let _ = reply_to.send(done_or(here, passed_on).await);
        }
        Forward::Replicas(change, reply_to) => {
            let here = server.change_replicas_here(change.clone()).await;
            let passed_on = client.change_replicas(&change, bound_ms);
            let _ = reply_to.send(done_or(here, passed_on).await);
        }
    }
}

/// The answer that was had here, or else that of the call passed on, which begins only now.
async fn done_or<T>(
    here: ControlReply<T>,
    passed_on: impl Future<Output = Result<T, ControlUnavailable>>,
) -> Result<T, ControlUnavailable> {
    match here {
        ControlReply::Done(answer) => Ok(answer),
        _ => passed_on.await,
    }
}
