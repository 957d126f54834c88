//! Admission and removal of replicas by the quorum itself.
//!
//! A replica requests admission when its folder belongs to no cluster, or to one of which it is not
//! a member. With a new folder it replaces a voter of the same name, whose folder was lost; otherwise
//! it joins in addition to the others. While more voters remain than are needed to tolerate the
//! configured losses, a voter that stops leaves, and the leader removes voters that have been silent
//! for some time: one that was lost for good would still count beside the replica that took its
//! place. Silence doesn't tell a lost replica from a frozen one, so a replica that was removed and
//! runs again requests admission with the folder that it has. All changes are made one at a time, and
//! a replica counts only once it has caught up.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_control_client::ControlUnavailable;
use masticsill_quorum::LogIndex;
use masticsill_runtime::ShutdownSignal;
use masticsill_types::{NodeId, OperatorId, log_event};
use masticsill_wire::control::{
    ReadAnswer, ReadRequest, ReplicaAction, ReplicaAnswer, ReplicaChange, ReplicaIdentity,
    ReplicaView,
};

use crate::events;
use crate::quorum::{MembershipRequest, Request, Standing};
use crate::rpc::ControlServer;

/// Pause between requests for admission; a lost disk must be replaced within a few seconds.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one request for admission or removal.
const REQUEST_TIMEOUT_MS: u64 = 1_000;
/// How often the leader checks for silent members.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(100);
/// Operator recorded in the audit trail.
const OPERATOR: &str = "quorum";

/// The departure of a replica that is about to stop.
#[derive(Clone, Debug, Default)]
pub(crate) struct Departure {
    /// Requested when the replica is to leave the quorum; it asks for no admission afterwards.
    pub(crate) leaving: ShutdownSignal,
    /// Requested once the leader has answered, or could not be asked.
    pub(crate) answered: ShutdownSignal,
}

/// Keeps this replica a member of the quorum: requests admission whenever it is not one.
pub(crate) async fn run_admission(server: ControlServer, node: NodeId, address: SocketAddr) {
    loop {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        if server.quorum.departure.leaving.is_requested() {
            return;
        }
        let status = server.quorum.status();
        if status.standing == Standing::Member {
            continue;
        }
        let Some((own, _)) = server.quorum.ask_any(Request::Identify).await else {
            return;
        };
        if own.is_founded {
            if !is_excluded(&server, &own).await {
                continue;
            }
            server.endpoints.forget_past();
            if status.last_index == LogIndex::default() {
                server.quorum.ask_any(Request::GiveUpFounding).await;
                continue;
            }
        }
        let join = ReplicaAction::Join {
            address: Some(address),
            node: node.clone(),
            replaces: None,
        };
        let change = ReplicaChange {
            action: join,
            operator: operator(),
        };
        let answer = server
            .client
            .change_replicas(&change, REQUEST_TIMEOUT_MS)
            .await;
        let outcome = describe(&answer);
        log_event!(
            info,
            events::ADMISSION_ASKED,
            node = node,
            folder = own.folder,
            outcome = outcome
        );
    }
}

/// Whether a cluster with a leader exists of which this founded replica is not a member.
///
/// That happens when the replica was silent for so long that it was removed. It also happens when it
/// founded the cluster, lost power before the other founders received the members, and the others
/// founded a cluster without it.
async fn is_excluded(server: &ControlServer, own: &ReplicaIdentity) -> bool {
    let view = server
        .client
        .read(&ReadRequest::Replicas, REQUEST_TIMEOUT_MS);
    let Ok(ReadAnswer::Replicas(view)) = view.await else {
        return false;
    };
    let is_own = |it: &ReplicaView| it.node == own.node && it.folder == own.folder;
    !view.replicas.iter().any(is_own)
}

/// Removes silent members that are not needed, while this replica leads.
pub(crate) async fn run_member_removal(server: ControlServer) {
    loop {
        tokio::time::sleep(REMOVAL_INTERVAL).await;
        let status = server.quorum.status();
        let Some(id) = status
            .removable_members
            .first()
            .filter(|_| status.is_leading)
        else {
            continue;
        };
        let membership_request = MembershipRequest::RemoveSurplus {
            id: id.clone(),
            operator: operator(),
        };
        let remove = |reply_to| Request::ChangeReplicas(membership_request, reply_to);
        let reply = server.quorum.ask(remove).await;
        log_event!(
            info,
            events::VOTER_TRIMMED,
            node = id.name,
            voters = status.voters.names.len(),
            outcome = format!("{reply:?}")
        );
    }
}

/// Waits until this replica is about to stop, and asks the leader to remove it unless it is needed as
/// a voter.
pub(crate) async fn run_departure(server: ControlServer) {
    server.quorum.departure.leaving.requested().await;
    leave_quorum(&server).await;
    server.quorum.departure.answered.request();
}

async fn leave_quorum(server: &ControlServer) {
    let Some((own, _)) = server.quorum.ask_any(Request::Identify).await else {
        return;
    };
    let change = ReplicaChange {
        action: ReplicaAction::Leave {
            folder: own.folder,
            node: own.node.clone(),
        },
        operator: operator(),
    };
    let answer = server
        .change_replicas_anywhere(change, REQUEST_TIMEOUT_MS)
        .await;
    let outcome = describe(&answer);
    log_event!(
        info,
        events::LEAVE_ASKED,
        node = own.node,
        folder = own.folder,
        outcome = outcome
    );
}

fn describe(answer: &Result<ReplicaAnswer, ControlUnavailable>) -> String {
    match answer {
        Ok(ReplicaAnswer::Accepted) => "accepted".to_owned(),
        Ok(ReplicaAnswer::Refused(text)) => text.clone(),
        Err(unavailable) => unavailable.to_string(),
    }
}

fn operator() -> OperatorId {
    OperatorId::new(OPERATOR).expect("the name holds letters only")
}
