//! Finds the holder of a generation whose caller came back to this entry.

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

/// How long one possible holder may take, in milliseconds.
const HOLDER_TIMEOUT_MS: u64 = 1_000;

/// A node that may hold the record.
#[derive(Clone, Debug)]
enum Holder {
    Agent(NodeId, SocketAddr),
    Entry(SocketAddr),
}

/// Asks the agent that the caller's position hints at, and if it can't continue the answer, every
/// other agent and entry at once.
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

/// Asks holders at once, and takes the best record that contains what the caller saw. An agent's
/// record is preferred to an entry's, because its engine goes on.
async fn ask_holders(
    sessions: &Rc<Sessions>,
    holders: Vec<Holder>,
    position: Position,
) -> SearchResult {
    let asked: FuturesUnordered<_> = holders
        .into_iter()
        .map(|holder| ask_holder(sessions, holder, position))
        .collect();
    let mut answers: Vec<(Holder, RecordSnapshot)> =
        asked.filter_map(async |answer| answer).collect().await;
    answers.sort_by_key(|(holder, snapshot)| rank(holder, snapshot));
    let Some((holder, snapshot)) = answers.pop() else {
        return SearchResult::NotFound;
    };
    for (other, record) in answers {
        cancel_other(&other, &record);
    }
    match holder {
        Holder::Agent(agent, _) => SearchResult::AtAgent(agent, snapshot),
        Holder::Entry(_) => SearchResult::AtEntry(snapshot),
    }
}

/// The order of preference, the best last.
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
    let asking = attach(&holder, request);
    let limit = Duration::from_millis(HOLDER_TIMEOUT_MS);
    match timeout(limit, asking).await.ok()?? {
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
    usize::try_from(next_index.0).is_ok_and(|wanted| snapshot.tokens.len() >= wanted)
}

/// Ends what a holder that was not chosen still runs.
fn cancel_other(holder: &Holder, record: &RecordSnapshot) {
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
            // A lost cancel is made up for by the agent's orphan timeout.
            let _ = client
                .cancel(call_context(HOLDER_TIMEOUT_MS), request)
                .await;
        }
    });
}

/// Opens a connection to an agent's service.
pub(crate) async fn connect_agent(address: SocketAddr) -> Option<AgentServiceClient> {
    let transport = connect_transport(address, ServiceKind::Agent, HOLDER_TIMEOUT_MS).await;
    let new = AgentServiceClient::new(client::Config::default(), transport.ok()?);
    spawn_local(async move {
        let _ = new.dispatch.await;
    });
    Some(new.client)
}
