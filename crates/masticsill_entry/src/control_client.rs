//! Calls of the control leader about claims.

use masticsill_catalogue::{Claim, ClaimAnswer, Reassign, Settle};
use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_membership::{MemberState, Role};
use masticsill_mesh::MeshHandle;

/// How long a leader is looked for in all, in milliseconds.
const LEADER_TIMEOUT_MS: u64 = 4_000;

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
    let client = ControlClient::new(AddressBook::from_seeds(list_replicas(mesh)));
    let bound_ms = LEADER_TIMEOUT_MS;
    let answer = match command {
        ClaimCommand::Claim(claim) => client.claim(claim, bound_ms).await,
        ClaimCommand::Reassign(reassign) => client.reassign(reassign, bound_ms).await,
        ClaimCommand::Settle(settle) => client.settle(settle.clone(), bound_ms).await,
    };
    answer.ok()
}

fn list_replicas(mesh: &MeshHandle) -> Vec<std::net::SocketAddr> {
    let view = mesh.view();
    view.members()
        .filter(|member| member.role == Role::Control && member.state != MemberState::Gone)
        .map(|member| member.address)
        .collect()
}
