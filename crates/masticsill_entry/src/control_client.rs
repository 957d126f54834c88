//! Calls of the control leader.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticsill_catalogue::{Claim, ClaimAnswer, Reassign, Settle};
use masticsill_membership::{MemberState, Role};
use masticsill_mesh::MeshHandle;
use masticsill_runtime::connect_transport;
use masticsill_wire::ServiceKind;
use masticsill_wire::control::{ControlReply, ControlServiceClient, LeaderHint};
use tarpc::client::RpcError;
use tarpc::{client, context};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long one replica may take, in milliseconds.
const REPLICA_TIMEOUT_MS: u64 = 1_000;
/// How long a leader is looked for in all, in milliseconds.
const LEADER_TIMEOUT_MS: u64 = 4_000;
const RETRY_PAUSE_MS: u64 = 50;

/// A command about a claim.
#[derive(Clone, Debug)]
pub(crate) enum ClaimCommand {
    /// Ask for the right to dispatch.
    Claim(Claim),
    /// Move a claim whose call was not run.
    Reassign(Reassign),
    /// Record a call's end.
    Settle(Settle),
}

/// Sends a command to the control leader until it answers; every command may be repeated.
///
/// `None` when no leader answered in time.
pub(crate) async fn send_command(mesh: &MeshHandle, command: &ClaimCommand) -> Option<ClaimAnswer> {
    let limit = Duration::from_millis(LEADER_TIMEOUT_MS);
    timeout(limit, find_leader(mesh, command)).await.ok()
}

async fn find_leader(mesh: &MeshHandle, command: &ClaimCommand) -> ClaimAnswer {
    let mut hint = None;
    loop {
        let addresses = match hint.take() {
            Some(address) => vec![address],
            None => list_replicas(mesh),
        };
        for address in addresses {
            match ask(address, command).await {
                Some(ControlReply::Done(answer)) => return answer,
                Some(ControlReply::NotLeader(Some(LeaderHint {
                    address: Some(leader),
                    ..
                }))) if leader != address => {
                    hint = Some(leader);
                    break;
                }
                Some(_) | None => {}
            }
        }
        sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}

fn list_replicas(mesh: &MeshHandle) -> Vec<SocketAddr> {
    let view = mesh.view();
    view.members()
        .filter(|member| member.role == Role::Control && member.state != MemberState::Gone)
        .map(|member| member.address)
        .collect()
}

async fn ask(address: SocketAddr, command: &ClaimCommand) -> Option<ControlReply<ClaimAnswer>> {
    let kind = ServiceKind::Control;
    let transport = connect_transport(address, kind, REPLICA_TIMEOUT_MS).await;
    let new = ControlServiceClient::new(client::Config::default(), transport.ok()?);
    spawn_local(async move {
        let _ = new.dispatch.await;
    });
    let mut context = context::current();
    context.deadline = Instant::now() + Duration::from_millis(REPLICA_TIMEOUT_MS);
    let client = new.client;
    match command.clone() {
        ClaimCommand::Claim(claim) => within(client.claim(context, claim)).await,
        ClaimCommand::Reassign(reassign) => within(client.reassign(context, reassign)).await,
        ClaimCommand::Settle(settle) => within(client.settle(context, settle)).await,
    }
}

async fn within<T>(call: impl Future<Output = Result<T, RpcError>>) -> Option<T> {
    let limit = Duration::from_millis(REPLICA_TIMEOUT_MS);
    timeout(limit, call).await.ok()?.ok()
}
