//! Operators' calls: answered here by the leader, passed on to it by every other replica.

use masticsill_catalogue::{ChangeAnswer, DocumentAnswer};
use masticsill_runtime::Ring;
use masticsill_wire::control::{
    ChangeRequest, ControlReply, DocumentChange, ReadAnswer, ReadRequest, ReplicaAnswer,
    ReplicaChange,
};
use tokio::sync::oneshot;

use super::service::ControlServer;
use masticsill_control_client::ControlUnavailable;

/// Time for the whole of a call that is passed on, in milliseconds.
const FORWARD_BOUND_MS: u64 = 5_000;

/// Where the answer to a call goes.
pub(crate) type ForwardReply<T> = oneshot::Sender<Result<T, ControlUnavailable>>;

/// An operator's call on its way to the leader.
#[derive(Debug)]
pub(crate) enum Forward {
    Change(ChangeRequest, ForwardReply<ChangeAnswer>),
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
    match call {
        Forward::Change(request, reply_to) => {
            let answer = match server.change_here(request.clone()).await {
                ControlReply::Done(answer) => Ok(answer),
                _ => server.client.change(&request, bound_ms).await,
            };
            let _ = reply_to.send(answer);
        }
        Forward::Document(change, reply_to) => {
            let answer = match server.put_document_here(change.clone()).await {
                ControlReply::Done(answer) => Ok(answer),
                _ => server.client.put_document(&change, bound_ms).await,
            };
            let _ = reply_to.send(answer);
        }
        Forward::Read(request, reply_to) => {
            let answer = match server.read_here(request.clone()).await {
                ControlReply::Done(answer) => Ok(answer),
                _ => server.client.read(&request, bound_ms).await,
            };
            let _ = reply_to.send(answer);
        }
        Forward::Replicas(change, reply_to) => {
            let answer = match server.change_replicas_here(change.clone()).await {
                ControlReply::Done(answer) => Ok(answer),
                _ => server.client.change_replicas(&change, bound_ms).await,
            };
            let _ = reply_to.send(answer);
        }
    }
}
