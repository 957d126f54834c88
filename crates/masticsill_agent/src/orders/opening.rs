//! Opening of the order gate after the agent's start.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_mesh::MeshHandle;
use masticsill_runtime::{call_context, connect_transport};
use masticsill_types::{FencingNumber, log_event};
use masticsill_wire::ServiceKind;
use masticsill_wire::control::{ControlReply, ControlServiceClient, ReadAnswer, ReadRequest};
use tarpc::client;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::OrderIntake;
use crate::events;

/// Timeout of the connection to one control replica, and of the read, in milliseconds.
const REPLICA_TIMEOUT_MS: u64 = 1_000;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Queries the control replicas for the highest fencing number issued, until the leader answers,
/// and opens the gate with it.
///
/// Only a leader that is followed by a majority answers this read, so the answer covers every
/// number issued before the agent's start.
pub(crate) async fn open_gate(mesh: MeshHandle, intake: OrderIntake) {
    if !intake.is_engine {
        return;
    }
    let highest = loop {
        if let Some(highest) = query_replicas(&mesh).await {
            break highest;
        }
        sleep(RETRY_PAUSE).await;
    };
    intake.gate.lock().open(highest);
    log_event!(
        info,
        events::ORDERS_OPEN,
        term = highest.term,
        sequence = highest.sequence
    );
}

async fn query_replicas(mesh: &MeshHandle) -> Option<FencingNumber> {
    let view = mesh.view();
    for member in view.control_replicas() {
        if let Some(highest) = query_replica(member.address).await {
            return Some(highest);
        }
    }
    None
}

async fn query_replica(address: SocketAddr) -> Option<FencingNumber> {
    let transport = connect_transport(address, ServiceKind::Control, REPLICA_TIMEOUT_MS);
    let new = ControlServiceClient::new(client::Config::default(), transport.await.ok()?);
    spawn_local(async move {
        let _ = new.dispatch.await;
    });
    let context = call_context(REPLICA_TIMEOUT_MS);
    match new.client.read(context, ReadRequest::HighestOrder).await {
        Ok(ControlReply::Done(ReadAnswer::HighestOrder(highest))) => Some(highest),
        _ => None,
    }
}
