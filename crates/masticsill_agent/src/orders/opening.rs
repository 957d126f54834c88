//! Opening the gate after the agent's start.

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

use super::OrderDesk;
use crate::events;

/// How long one control replica may take, in milliseconds.
const REPLICA_TIMEOUT_MS: u64 = 1_000;
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Asks the control replicas for the highest number drawn until the leader answers.
///
/// Only a leader that a majority follows answers this read, so no number drawn before the
/// agent's start is missing from it.
pub(crate) async fn open_gate(mesh: MeshHandle, desk: OrderDesk) {
    if !desk.is_engine {
        return;
    }
    let highest = loop {
        if let Some(highest) = ask_all(&mesh).await {
            break highest;
        }
        sleep(RETRY_PAUSE).await;
    };
    desk.gate.lock().open(highest);
    log_event!(
        info,
        events::ORDERS_OPEN,
        term = highest.term,
        sequence = highest.sequence
    );
}

async fn ask_all(mesh: &MeshHandle) -> Option<FencingNumber> {
    let view = mesh.view();
    for member in view.control_replicas() {
        if let Some(highest) = ask(member.address).await {
            return Some(highest);
        }
    }
    None
}

async fn ask(address: SocketAddr) -> Option<FencingNumber> {
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
