//! Forwards the calls of operators and endpoints to the replicas.

use std::net::SocketAddr;

use masticsill_control_client::{ControlClient, ControlUnavailable, ORDER_TIMEOUT_MS};
use masticsill_runtime::Ring;
use masticsill_types::log_event;
use tokio::task::spawn_local;

use crate::events;
use crate::pauses::Pauses;
use crate::rpc::{FORWARD_TIMEOUT_MS, Forward};

/// Timeout for one replica to accept a heartbeat. The heartbeat of a leaving endpoint is held for
/// up to 400 ms until the entries know of the change, and the endpoint itself gives up after 1 s.
const HEARTBEAT_TIMEOUT_MS: u64 = 480;
/// Replicas tried for one heartbeat, so that all attempts fit into that second.
const MAX_HEARTBEAT_ATTEMPTS: usize = 2;

/// Forwards calls until the ring is closed.
pub(super) async fn run_calls(client: ControlClient, pauses: Pauses, calls: Ring<Forward>) {
    while let Some(call) = calls.pop().await {
        spawn_local(forward_call(client.clone(), pauses.clone(), call));
    }
}

async fn forward_call(client: ControlClient, pauses: Pauses, call: Forward) {
    let timeout_ms = FORWARD_TIMEOUT_MS;
    // A send fails only if the caller has gone; then nobody needs the answer.
    match call {
        Forward::Change(request, reply_to) => {
            let _ = reply_to.send(client.change(&request, timeout_ms).await);
        }
        Forward::Document(change, reply_to) => {
            let _ = reply_to.send(client.put_document(&change, timeout_ms).await);
        }
        Forward::OrderRollout(_, reply_to) if pauses.has_just_resumed() => {
            let refused = ControlUnavailable {
                is_outcome_unknown: false,
            };
            let _ = reply_to.send(Err(refused));
        }
        Forward::OrderRollout(request, mut reply_to) => {
            // As at a replica, an order whose caller has gone is abandoned.
            tokio::select! {
                answer = client.order_rollout(&request, ORDER_TIMEOUT_MS) => {
                    let _ = reply_to.send(answer);
                }
                () = reply_to.closed() => {}
            }
        }
        Forward::Read(request, reply_to) => {
            let _ = reply_to.send(client.read(&request, timeout_ms).await);
        }
        Forward::Replicas(change, reply_to) => {
            let _ = reply_to.send(client.change_replicas(&change, timeout_ms).await);
        }
        Forward::Announce(announcement, reply_to) => {
            let offer = async |address| {
                let taking = client.announce(address, &announcement, HEARTBEAT_TIMEOUT_MS);
                taking.await
            };
            let result = offer_heartbeat(&client, offer).await;
            let _ = reply_to.send(result);
        }
        Forward::Depart(id, reply_to) => {
            let offer = async |address| client.depart(address, &id, HEARTBEAT_TIMEOUT_MS).await;
            let result = offer_heartbeat(&client, offer).await;
            let _ = reply_to.send(result);
        }
    }
}

/// Offers a heartbeat to one replica after another, starting with a random one.
async fn offer_heartbeat(
    client: &ControlClient,
    offer: impl AsyncFn(SocketAddr) -> bool,
) -> Result<(), ControlUnavailable> {
    let replicas = client.replicas();
    let first = rand::random::<u32>() as usize;
    for attempt in 0..MAX_HEARTBEAT_ATTEMPTS.min(replicas.len()) {
        let (_, address) = &replicas[first.wrapping_add(attempt) % replicas.len()];
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
