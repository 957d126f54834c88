//! Calls to the control leader about claims.

use masticsill_catalogue::{Claim, ClaimAnswer, Reassign, Settle};
use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_membership::{MemberState, Role};
use masticsill_mesh::MeshHandle;

/// Total time in which a leader must be found and answer a command.
const CLAIM_TIMEOUT_MS: u64 = 4_000;

/// A command about a claim.
#[derive(Clone, Debug)]
pub(crate) enum ClaimCommand {
    /// Requests the right to dispatch a call.
    Claim(Claim),
    /// Moves the claim of a call that was not run to another agent.
    Reassign(Reassign),
    /// Records the end of a call.
    Settle(Settle),
}

/// Sends a command to the control leader, with retries until it answers. Every command is
/// idempotent.
///
/// Returns `None` if no leader answered in time.
pub(crate) async fn send_command(mesh: &MeshHandle, command: &ClaimCommand) -> Option<ClaimAnswer> {
    let client = ControlClient::new(AddressBook::from_seeds(control_addresses(mesh)));
    let timeout_ms = CLAIM_TIMEOUT_MS;
    let answer = match command {
        ClaimCommand::Claim(claim) => client.claim(claim, timeout_ms).await,
        ClaimCommand::Reassign(reassign) => client.reassign(reassign, timeout_ms).await,
        ClaimCommand::Settle(settle) => client.settle(settle.clone(), timeout_ms).await,
    };
    answer.ok()
}

fn control_addresses(mesh: &MeshHandle) -> Vec<std::net::SocketAddr> {
    let view = mesh.view();
    view.members()
        .filter(|member| member.role == Role::Control && member.state != MemberState::Gone)
        .map(|member| member.address)
        .collect()
}
