//! Founding a cluster out of new folders.
//!
//! One replica decides, so that no two differ: the first of the founders, once every founder is up
//! with a new folder. Its decision is durable before the others hear of it, and it repeats it
//! until each has it. A founder that belongs to a cluster already stops a second founding.

use std::time::Duration;

use indexmap::IndexSet;
use masticsill_types::{NodeId, log_event};
use masticsill_wire::control::ReplicaIdentity;

use super::service::ControlServer;
use crate::events;
use crate::quorum::Request;

const INTERVAL: Duration = Duration::from_millis(100);

/// Founds the cluster if that falls to this replica, and ends when nothing is left to do.
pub(crate) async fn run_founding(server: ControlServer, node: NodeId, founders: Vec<NodeId>) {
    let Some((own, _)) = server.quorum.ask_any(Request::Identify).await else {
        return;
    };
    if founders.first() != Some(&node) {
        if !own.is_founded {
            log_event!(info, events::WAITS_FOR_ADMISSION, node = node);
        }
        return;
    }
    let mut told = IndexSet::from([node]);
    loop {
        let Some((own, founding)) = server.quorum.ask_any(Request::Identify).await else {
            return;
        };
        let is_done = if own.is_founded {
            tell_members(&server, &founding, &mut told).await
        } else {
            found_if_all_new(&server, own, &founders).await
        };
        if is_done {
            return;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

/// Gives the founding members to each of them; returns whether every one has them.
async fn tell_members(
    server: &ControlServer,
    founding: &[ReplicaIdentity],
    told: &mut IndexSet<NodeId>,
) -> bool {
    for member in founding {
        if told.contains(&member.node) {
            continue;
        }
        if let Some(address) = server.book.get(&member.node)
            && server.client.found(address, founding).await
        {
            told.insert(member.node.clone());
        }
    }
    founding.iter().all(|member| told.contains(&member.node))
}

/// Founds the cluster here once every founder is up with a new folder; returns whether to give up.
async fn found_if_all_new(
    server: &ControlServer,
    own: ReplicaIdentity,
    founders: &[NodeId],
) -> bool {
    let mut members = Vec::with_capacity(founders.len());
    for founder in founders {
        if *founder == own.node {
            members.push(own.clone());
            continue;
        }
        let Some(address) = server.book.get(founder) else {
            return false;
        };
        let Some(identity) = server.client.identify(address).await else {
            return false;
        };
        if identity.is_founded {
            // The cluster exists, so this folder was lost and an operator must admit the new one.
            log_event!(warn, events::WAITS_FOR_ADMISSION, node = own.node);
            return true;
        }
        members.push(identity);
    }
    if knows_cluster(server).await {
        log_event!(warn, events::WAITS_FOR_ADMISSION, node = own.node);
        return true;
    }
    let founding = |reply_to| Request::Found(members, reply_to);
    server.quorum.ask_any(founding).await;
    false
}

/// Whether any replica that answers, founder or not, belongs to a cluster already.
async fn knows_cluster(server: &ControlServer) -> bool {
    for address in server.book.all() {
        let identity = server.client.identify(address).await;
        if identity.is_some_and(|identity| identity.is_founded) {
            return true;
        }
    }
    false
}
