//! The RPC service that this entry offers to other entries.

use futures::StreamExt;
use masticsill_runtime::{Ring, ServiceStream};
use masticsill_wire::agent::{AttachReply, AttachRequest};
use masticsill_wire::entry::EntryService;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::sessions_duty::SessionInput;

#[derive(Clone, Debug)]
struct PeerServer {
    inputs: Ring<SessionInput>,
}

impl EntryService for PeerServer {
    async fn release(self, _: Context, request: AttachRequest) -> AttachReply {
        let (reply, answered) = oneshot::channel();
        if self
            .inputs
            .push(SessionInput::Release(request, reply))
            .is_err()
        {
            return AttachReply::Unknown;
        }
        answered.await.unwrap_or(AttachReply::Unknown)
    }
}

/// Serves the connections of other entries until the ring is closed.
pub(crate) async fn serve_peers(connections: Ring<ServiceStream>, inputs: Ring<SessionInput>) {
    while let Some(connection) = connections.pop().await {
        let Ok(transport) = connection.into_transport() else {
            continue;
        };
        let server = PeerServer {
            inputs: inputs.clone(),
        };
        let calls = BaseChannel::with_defaults(transport).execute(server.serve());
        spawn_local(calls.for_each(async |call| {
            spawn_local(call);
        }));
    }
}
