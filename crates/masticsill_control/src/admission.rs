//! A quorum that looks after its own members.
//!
//! A replica whose folder belongs to no cluster, or only to a founding of which nothing came, asks
//! to be admitted; it takes the place of a voter
//! of its name, whose folder was lost, or else joins beside the others. The leader removes members
//! that have been silent for long: learners, and voters while more remain than the losses to be
//! borne ask for. Both are the changes that operators make otherwise: one at a time, and a replica
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
use crate::quorum::{ReplicaOrder, Request};
use crate::rpc::ControlServer;

/// Pause between requests; a lost disk must be made good within a few seconds.
const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for one request.
const ASK_BOUND_MS: u64 = 1_000;
/// How often the leader looks for silent voters.
const TRIM_INTERVAL: Duration = Duration::from_millis(500);
/// Who is named in the audit trail.
const OPERATOR: &str = "quorum";

/// Asks to be admitted until this replica belongs to a cluster.
pub(crate) async fn run_admission(server: ControlServer, node: NodeId, address: SocketAddr) {
    loop {
        tokio::time::sleep(ASK_INTERVAL).await;
        let Some((own, _)) = server.quorum.ask_any(Request::Identify).await else {
            return;
        };
        if own.is_founded {
            if server.quorum.status().last_index > LogIndex::default() {
                return;
            }
            if is_left_out(&server, &own).await {
                server.quorum.ask_any(Request::GiveUpFounding).await;
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
        let answer = server.client.change_replicas(&change, ASK_BOUND_MS).await;
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

/// Whether a cluster with a leader exists of which this founded replica is no member.
///
/// That happens where it founded, lost power before it told anyone and was away for so long that
/// the others founded without it.
async fn is_left_out(server: &ControlServer, own: &ReplicaIdentity) -> bool {
    let view = server.client.read(&ReadRequest::Replicas, ASK_BOUND_MS);
    let Ok(ReadAnswer::Replicas(view)) = view.await else {
        return false;
    };
    let is_own = |it: &ReplicaView| it.node == own.node && it.folder == own.folder;
    !view.replicas.iter().any(is_own)
}

/// Removes silent members that are not needed, while this replica leads.
pub(crate) async fn run_trimming(server: ControlServer) {
    loop {
        tokio::time::sleep(TRIM_INTERVAL).await;
        let status = server.quorum.status();
        let Some(id) = status.spare_members.first().filter(|_| status.is_leading) else {
            continue;
        };
        let order = ReplicaOrder::Trim {
            id: id.clone(),
            operator: operator(),
        };
        let trim = |reply_to| Request::ChangeReplicas(order, reply_to);
        let reply = server.quorum.ask(trim).await;
        log_event!(
            info,
            events::VOTER_TRIMMED,
            node = id.name,
            voters = status.voters,
            outcome = format!("{reply:?}")
        );
    }
}

fn operator() -> OperatorId {
    OperatorId::new(OPERATOR).expect("the name holds letters only")
}
