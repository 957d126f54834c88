//! Calls of operators and endpoints, passed on to the replicas.

use std::net::SocketAddr;

use masticsill_control_client::{ControlClient, ControlUnavailable};
use masticsill_runtime::Ring;
use masticsill_types::log_event;
use tokio::task::spawn_local;

use crate::events;
use crate::rpc::{FORWARD_BOUND_MS, Forward};

/// Time for one replica to take a heartbeat: that of an endpoint which is leaving is held for up
/// to 0.4 s until the entries know of it, and the endpoint itself gives up after a second.
const HEARTBEAT_BOUND_MS: u64 = 480;
/// Replicas that one heartbeat is offered to within that second.
const HEARTBEAT_OFFERS: usize = 2;

/// Takes calls until the ring is closed.
pub(super) async fn run_calls(client: ControlClient, calls: Ring<Forward>) {
    while let Some(call) = calls.pop().await {
        spawn_local(pass_on(client.clone(), call));
    }
}

async fn pass_on(client: ControlClient, call: Forward) {
    let bound_ms = FORWARD_BOUND_MS;
    // An asker that has left needs no answer.
    match call {
        Forward::Change(request, reply_to) => {
            let _ = reply_to.send(client.change(&request, bound_ms).await);
        }
        Forward::Document(change, reply_to) => {
            let _ = reply_to.send(client.put_document(&change, bound_ms).await);
        }
        Forward::Read(request, reply_to) => {
            let _ = reply_to.send(client.read(&request, bound_ms).await);
        }
        Forward::Replicas(change, reply_to) => {
            let _ = reply_to.send(client.change_replicas(&change, bound_ms).await);
        }
        Forward::Announce(announcement, reply_to) => {
            let offer = async |address| {
                let taking = client.announce(address, &announcement, HEARTBEAT_BOUND_MS);
                taking.await
            };
            let taken = offer_heartbeat(&client, offer).await;
            let _ = reply_to.send(taken);
        }
        Forward::Depart(id, reply_to) => {
            let offer = async |address| client.depart(address, &id, HEARTBEAT_BOUND_MS).await;
            let taken = offer_heartbeat(&client, offer).await;
            let _ = reply_to.send(taken);
        }
    }
}

/// Offers a heartbeat to one replica after the other, a drawn one first.
async fn offer_heartbeat(
    client: &ControlClient,
    offer: impl AsyncFn(SocketAddr) -> bool,
) -> Result<(), ControlUnavailable> {
    let replicas = client.replicas();
    let first = rand::random::<u32>() as usize;
    for turn in 0..HEARTBEAT_OFFERS.min(replicas.len()) {
        let (_, address) = &replicas[first.wrapping_add(turn) % replicas.len()];
        if offer(*address).await {
            return Ok(());
        }
    }
    log_event!(
        warn,
        events::HEARTBEAT_NOT_PASSED,
        replicas = replicas.len()
    );
    Err(ControlUnavailable {
        is_outcome_unknown: true,
    })
}
