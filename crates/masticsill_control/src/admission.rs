//! Admission and removal of replicas by the quorum itself.
//!
//! A replica requests admission when its folder belongs to no cluster, or only to a founding that
//! never committed an entry. It replaces a voter of the same name, whose folder was lost, or else
//! joins in addition to the others. The leader removes members that have been silent for long:
//! learners, and voters while more remain than are needed to tolerate the configured losses. Both
//! use the membership changes that are otherwise made by operators: one at a time, and a replica
//! counts only once it has caught up.

use std::net::SocketAddr;
use std::time::Duration;

use masticsill_quorum::LogIndex;
use masticsill_types::{NodeId, OperatorId, log_event};
use masticsill_wire::control::{
    ReadAnswer, ReadRequest, ReplicaAction, ReplicaAnswer, ReplicaChange, ReplicaIdentity,
    ReplicaView,
};

use crate::events;
use crate::quorum::{MembershipRequest, Request};
use crate::rpc::ControlServer;

/// Pause between requests for admission; a lost disk must be replaced within a few seconds.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one request for admission.
const REQUEST_TIMEOUT_MS: u64 = 1_000;
/// How often the leader checks for silent members.
const REMOVAL_INTERVAL: Duration = Duration::from_millis(500);
/// Operator recorded in the audit trail.
const OPERATOR: &str = "quorum";

/// Requests admission until this replica belongs to a cluster.
pub(crate) async fn run_admission(server: ControlServer, node: NodeId, address: SocketAddr) {
    loop {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        let Some((own, _)) = server.quorum.ask_any(Request::Identify).await else {
            return;
        };
        if own.is_founded {
            if server.quorum.status().last_index > LogIndex::default() {
                return;
            }
            if is_excluded(&server, &own).await {
                server.quorum.ask_any(Request::GiveUpFounding).await;
                server.endpoints.forget_past();
            }
            continue;
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
        let outcome = match answer {
            Ok(ReplicaAnswer::Accepted) => "accepted".to_owned(),
            Ok(ReplicaAnswer::Refused(text)) => text,
            Err(unavailable) => unavailable.to_string(),
        };
        log_event!(
            info,
            events::ADMISSION_ASKED,
            node = node,
            outcome = outcome
        );
    }
}

/// Whether a cluster with a leader exists of which this founded replica is not a member.
///
/// That happens when this replica founded the cluster, lost power before the other founders
/// received the members, and was away for so long that the others founded a cluster without it.
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
        let membership_request = MembershipRequest::RemoveExact {
            id: id.clone(),
            operator: operator(),
        };
        let trim = |reply_to| Request::ChangeReplicas(membership_request, reply_to);
        let reply = server.quorum.ask(trim).await;
        log_event!(
            info,
            events::VOTER_TRIMMED,
            node = id.name,
            voters = status.voters.names.len(),
            outcome = format!("{reply:?}")
        );
    }
}

fn operator() -> OperatorId {
    OperatorId::new(OPERATOR).expect("the name holds letters only")
}
