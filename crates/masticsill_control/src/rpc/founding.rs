//! Founding a cluster of replicas with new folders.
//!
//! A single replica decides on the members, so that there is only one decision; it stores the
//! decision durably before it notifies the others, and repeats the notification until every member
//! has received it. A replica that already belongs to a cluster prevents a second founding. Where
//! the founders are named, the first of them decides once all of them are up with new folders.
//! Where they are discovered, the replica decides that has reserved all the members.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexSet;
use masticsill_quorum::{FOUNDING_TIMEOUT_MS, FoundingPlan};
use masticsill_types::{NodeId, log_event};
use masticsill_wire::control::{FoundingProposal, ReplicaIdentity};

use super::introductions::attempt_of;
use super::service::ControlServer;
use crate::events;
use crate::quorum::Request;

const ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);

/// Founds the cluster if this replica is the first of the founders; returns when nothing is left to
/// do.
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
    let mut notified = IndexSet::from([node]);
    loop {
        let Some((own, founding)) = server.quorum.ask_any(Request::Identify).await else {
            return;
        };
        let is_done = if own.is_founded {
            notify_members(&server, &founding, &mut notified).await
        } else {
            found_if_all_new(&server, own, &founders).await
        };
        if is_done {
            return;
        }
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
}

/// Sends the founding members to each of them; returns whether all have received them.
async fn notify_members(
    server: &ControlServer,
    founding: &[ReplicaIdentity],
    notified: &mut IndexSet<NodeId>,
) -> bool {
    for member in founding {
        if notified.contains(&member.node) {
            continue;
        }
        if let Some(address) = server.book.get(&member.node)
            && server.client.found(address, founding).await
        {
            notified.insert(member.node.clone());
        }
    }
    founding
        .iter()
        .all(|member| notified.contains(&member.node))
}

/// Founds the cluster at this replica once every founder is up with a new folder; returns whether
/// to give up.
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
            // The cluster exists, so this replica's folder was lost, and an operator must admit the
            // new one.
            log_event!(warn, events::WAITS_FOR_ADMISSION, node = own.node);
            return true;
        }
        members.push(identity);
    }
    if is_cluster_known(server).await {
        log_event!(warn, events::WAITS_FOR_ADMISSION, node = own.node);
        return true;
    }
    let founding = |reply_to| Request::Found(members, reply_to);
    server.quorum.ask_any(founding).await;
    false
}

/// Whether any replica that answers, founder or not, already belongs to a cluster.
async fn is_cluster_known(server: &ControlServer) -> bool {
    for address in server.book.all() {
        let identity = server.client.identify(address).await;
        if identity.is_some_and(|identity| identity.is_founded) {
            return true;
        }
    }
    false
}

/// Founds the cluster with the discovered replicas, unless one of them does so first.
pub(crate) async fn found_with_discovered(server: ControlServer, voters: usize) {
    let mut plan = FoundingPlan::new(server.clock.now(), server.node.clone(), voters);
    let mut number = 0;
    loop {
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
        if server.quorum.status().is_founded || server.reservations().cluster_exists() {
            break;
        }
        for (node, _) in server.book.named() {
            plan.note_candidate(server.clock.now(), &node);
        }
        let Some(members) = plan.members(server.clock.now()) else {
            continue;
        };
        if is_cluster_known(&server).await {
            server.reservations().note_cluster_exists();
            break;
        }
        number += 1;
        let is_founded = propose(&server, &mut plan, number, &members).await;
        log_event!(
            info,
            events::FOUNDING_PROPOSED,
            node = server.node,
            members = members.len(),
            number = number,
            is_founded = is_founded
        );
        if !is_founded {
            plan.back_off(server.clock.now());
        }
    }
    let mut notified = IndexSet::from([server.node.clone()]);
    loop {
        let Some((own, founding)) = server.quorum.ask_any(Request::Identify).await else {
            return;
        };
        // Only the proposer notifies the members; all others were notified by the proposer.
        let is_proposer = number > 0 && own.is_founded;
        if !is_proposer || notify_members(&server, &founding, &mut notified).await {
            return;
        }
        tokio::time::sleep(ATTEMPT_INTERVAL).await;
    }
}

/// Founds the cluster at this replica if all members and a majority of the seeds are reserved for
/// the proposal; returns whether the cluster was founded.
async fn propose(
    server: &ControlServer,
    plan: &mut FoundingPlan,
    number: u64,
    members: &[NodeId],
) -> bool {
    let proposal = FoundingProposal {
        number,
        proposer: server.node.clone(),
    };
    let began = server.clock.now();
    let is_reserved = reserve(server, plan, &proposal, members).await;
    let identities = if is_reserved {
        identify_all(server, members).await
    } else {
        None
    };
    let is_in_time = server.clock.now().since(began) < FOUNDING_TIMEOUT_MS;
    if let Some(identities) = identities.filter(|_| is_in_time) {
        let founding = |reply_to| Request::Found(identities, reply_to);
        let reply = server.quorum.ask_any(founding).await;
        return reply.unwrap_or(false);
    }
    server.reservations().release(&attempt_of(proposal.clone()));
    for address in server.book.all() {
        server.client.release_founding(address, &proposal).await;
    }
    false
}

/// Reserves every member and the seeds; returns whether all members and a majority of the seeds are
/// reserved.
async fn reserve(
    server: &ControlServer,
    plan: &mut FoundingPlan,
    proposal: &FoundingProposal,
    members: &[NodeId],
) -> bool {
    let now = server.clock.now();
    let own = attempt_of(proposal.clone());
    if !server.reservations().reserve(now, &own) {
        return false;
    }
    let own_address = server.book.get(&server.node);
    let mut reserved: IndexSet<SocketAddr> = own_address.into_iter().collect();
    for member in members.iter().filter(|member| **member != server.node) {
        let Some(address) = server.book.get(member) else {
            return false;
        };
        if !server.client.reserve_founding(address, proposal).await {
            plan.drop_candidate(member);
            return false;
        }
        reserved.insert(address);
    }
    let seeds = &server.first_seeds;
    for seed in seeds.iter() {
        if !reserved.contains(seed) && server.client.reserve_founding(*seed, proposal).await {
            reserved.insert(*seed);
        }
    }
    let granted = seeds.iter().filter(|seed| reserved.contains(*seed)).count();
    granted * 2 > seeds.len()
}

/// The members' identities; `None` if a member does not answer or already belongs to a cluster.
async fn identify_all(server: &ControlServer, members: &[NodeId]) -> Option<Vec<ReplicaIdentity>> {
    let mut identities = Vec::with_capacity(members.len());
    for member in members {
        let identity = if *member == server.node {
            server.quorum.ask_any(Request::Identify).await?.0
        } else {
            let address = server.book.get(member)?;
            server.client.identify(address).await?
        };
        if identity.is_founded {
            return None;
        }
        identities.push(identity);
    }
    Some(identities)
}
