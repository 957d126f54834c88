//! Searches for the node that holds the record of a generation whose caller reattaches to this
//! entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use masticsill_membership::{MemberState, Role};
use masticsill_runtime::{call_context, connect_transport};
use masticsill_session::{HolderHint, Position, SearchResult};
use masticsill_types::{NodeId, TokenIndex};
use masticsill_wire::ServiceKind;
use masticsill_wire::agent::{
    AgentServiceClient, AttachReply, AttachRequest, CancelRequest, RecordSnapshot,
};
use masticsill_wire::entry::EntryServiceClient;
use rand::Rng;
use tarpc::client;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::sessions_duty::Sessions;

/// Timeout of the request to one possible holder.
const HOLDER_TIMEOUT_MS: u64 = 1_000;

/// A node that may hold the record of the generation.
#[derive(Clone, Debug)]
enum Holder {
    Agent(NodeId, SocketAddr),
    Entry(SocketAddr),
}

/// Asks the agent named by the hint in the caller's position. If that agent can't continue the
/// answer, asks all other agents and entries concurrently.
pub(crate) async fn search_holders(sessions: &Rc<Sessions>, position: Position) -> SearchResult {
    let is_hinted = |holder: &Holder| match holder {
        Holder::Agent(agent, _) => HolderHint::from(agent) == position.holder,
        Holder::Entry(_) => false,
    };
    let (hinted, others) = list_holders(sessions).into_iter().partition(is_hinted);
    match ask_holders(sessions, hinted, position).await {
        SearchResult::NotFound => ask_holders(sessions, others, position).await,
        found => found,
    }
}

/// Asks holders concurrently and returns the best record that contains all tokens that the caller
/// has received. Records of agents are preferred to those of entries, because the engine of an
/// agent continues the generation.
async fn ask_holders(
    sessions: &Rc<Sessions>,
    holders: Vec<Holder>,
    position: Position,
) -> SearchResult {
    let answers_in_flight: FuturesUnordered<_> = holders
        .into_iter()
        .map(|holder| ask_holder(sessions, holder, position))
        .collect();
    let mut answers: Vec<(Holder, RecordSnapshot)> = answers_in_flight
        .filter_map(async |answer| answer)
        .collect()
        .await;
    answers.sort_by_key(|(holder, snapshot)| rank(holder, snapshot));
    let Some((holder, snapshot)) = answers.pop() else {
        return SearchResult::NotFound;
    };
    for (other, record) in answers {
        cancel_unused(&other, &record);
    }
    match holder {
        Holder::Agent(agent, _) => SearchResult::AtAgent(agent, snapshot),
        Holder::Entry(_) => SearchResult::AtEntry(snapshot),
    }
}

/// Returns the sort key of a record: the preferred record has the greatest key.
fn rank(holder: &Holder, snapshot: &RecordSnapshot) -> (bool, usize) {
    (matches!(holder, Holder::Agent(..)), snapshot.tokens.len())
}

fn list_holders(sessions: &Rc<Sessions>) -> Vec<Holder> {
    let view = sessions.mesh.view();
    let own = &sessions.config.node;
    view.members()
        .filter(|member| member.state != MemberState::Gone && member.node != *own)
        .filter_map(|member| match &member.role {
            Role::Agent(_) => Some(Holder::Agent(member.node.clone(), member.address)),
            Role::Entry => Some(Holder::Entry(member.address)),
            Role::Control => None,
        })
        .collect()
}

async fn ask_holder(
    sessions: &Rc<Sessions>,
    holder: Holder,
    position: Position,
) -> Option<(Holder, RecordSnapshot)> {
    let request = AttachRequest {
        entry: sessions.config.node.clone(),
        id: position.id,
        next_index: position.next_index,
        nonce: rand::rng().random(),
        seen: position.lineage,
    };
    let attach_call = attach(&holder, request);
    let limit = Duration::from_millis(HOLDER_TIMEOUT_MS);
    match timeout(limit, attach_call).await.ok()?? {
        AttachReply::Attached(snapshot) if has_reached(&snapshot, position.next_index) => {
            Some((holder, *snapshot))
        }
        AttachReply::Attached(_) | AttachReply::Behind | AttachReply::Unknown => None,
    }
}

async fn attach(holder: &Holder, request: AttachRequest) -> Option<AttachReply> {
    match holder {
        Holder::Agent(_, address) => {
            let client = connect_agent(*address).await?;
            client
                .attach(call_context(HOLDER_TIMEOUT_MS), request)
                .await
                .ok()
        }
        Holder::Entry(address) => {
            let kind = ServiceKind::Entry;
            let transport = connect_transport(*address, kind, HOLDER_TIMEOUT_MS).await;
            let new = EntryServiceClient::new(client::Config::default(), transport.ok()?);
            spawn_local(async move {
                let _ = new.dispatch.await;
            });
            new.client
                .release(call_context(HOLDER_TIMEOUT_MS), request)
                .await
                .ok()
        }
    }
}

fn has_reached(snapshot: &RecordSnapshot, next_index: TokenIndex) -> bool {
    usize::try_from(next_index.0).is_ok_and(|required| snapshot.tokens.len() >= required)
}

/// Cancels the attempt that an agent still runs although its record was not chosen.
fn cancel_unused(holder: &Holder, record: &RecordSnapshot) {
    let Holder::Agent(_, address) = holder else {
        return;
    };
    let Some(last) = record.history.last() else {
        return;
    };
    let address = *address;
    let request = CancelRequest {
        id: record.spec.id,
        lineage: last.lineage,
    };
    spawn_local(async move {
        if let Some(client) = connect_agent(address).await {
            // If the cancel is lost, the orphan timeout of the agent ends the attempt.
            let _ = client
                .cancel(call_context(HOLDER_TIMEOUT_MS), request)
                .await;
        }
    });
}

/// Connects to the RPC service of an agent. Returns `None` on failure or timeout.
pub(crate) async fn connect_agent(address: SocketAddr) -> Option<AgentServiceClient> {
    let transport = connect_transport(address, ServiceKind::Agent, HOLDER_TIMEOUT_MS).await;
    let new = AgentServiceClient::new(client::Config::default(), transport.ok()?);
    spawn_local(async move {
        let _ = new.dispatch.await;
    });
    Some(new.client)
}
