//! Searches for the node that holds the record of a generation whose caller reattaches to this
//! entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use indexmap::IndexSet;
use masticsill_membership::{MemberState, Role};
use masticsill_runtime::{call_context, connect_transport};
use masticsill_session::{
    HolderHint, HolderSearch, Position, SearchProgress, SearchResult, SearchStep,
};
use masticsill_types::{NodeId, TokenIndex};
use masticsill_wire::ServiceKind;
use masticsill_wire::agent::{
    AgentServiceClient, AttachReply, AttachRequest, CancelRequest, RecordSnapshot,
};
use masticsill_wire::entry::EntryServiceClient;
use rand::Rng;
use tarpc::client;
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};

use crate::sessions_duty::Sessions;

/// Timeout of one request to a possible holder.
const HOLDER_TIMEOUT_MS: u64 = 1_000;
/// Pause before a holder that did not reply is asked again.
const RETRY_PAUSE_MS: u64 = 250;
/// Interval at which nodes that are gone are removed from the holders that are waited for.
const MEMBER_CHECK_MS: u64 = 100;

/// A node that may hold the record of the generation.
#[derive(Clone, Debug)]
enum Holder {
    Agent(NodeId, SocketAddr),
    Entry(NodeId, SocketAddr),
}

impl Holder {
    fn node(&self) -> &NodeId {
        match self {
            Self::Agent(node, _) | Self::Entry(node, _) => node,
        }
    }
}

/// A request for the record to one holder. It keeps its nonce when it is repeated, so that a late
/// copy does not fence this entry.
#[derive(Clone, Debug)]
struct Question {
    holder: Holder,
    request: AttachRequest,
}

/// The reply of a holder.
#[derive(Debug)]
enum Reply {
    NoRecord,
    /// A record that contains all tokens that the caller has received.
    Record(Box<RecordSnapshot>),
}

/// Asks the agent named by the hint in the caller's position. If that agent can't continue the
/// answer, asks all other agents and entries concurrently.
pub(crate) async fn search_holders(sessions: &Rc<Sessions>, position: Position) -> SearchResult {
    let is_hinted = |question: &Question| match &question.holder {
        Holder::Agent(agent, _) => HolderHint::from(agent) == position.holder,
        Holder::Entry(..) => false,
    };
    let questions = list_holders(sessions).map(|holder| Question::new(sessions, holder, position));
    let (hinted, mut questions): (Vec<_>, Vec<_>) = questions.partition(is_hinted);
    let asked_hinted = hinted.iter().map(|it| it.ask(HOLDER_TIMEOUT_MS));
    let replies = join_all(asked_hinted).await;
    let mut records = Vec::new();
    for (question, reply) in hinted.into_iter().zip(replies) {
        match reply {
            Some(Reply::Record(record)) => records.push((question.holder, record)),
            Some(Reply::NoRecord) => {}
            None => questions.push(question),
        }
    }
    if records.is_empty() {
        ask_holders(sessions, questions).await
    } else {
        use_best(records)
    }
}

/// Asks holders concurrently until the search is settled or over. A holder that does not reply is
/// asked again.
async fn ask_holders(sessions: &Rc<Sessions>, questions: Vec<Question>) -> SearchResult {
    let search = HolderSearch::new(sessions.clock.now());
    let mut unanswered: IndexSet<NodeId> = questions
        .iter()
        .map(|question| question.holder.node().clone())
        .collect();
    let mut untried = unanswered.clone();
    let mut requests: FuturesUnordered<_> = questions
        .into_iter()
        .map(|question| ask_after(sessions, search, question, 0))
        .collect();
    let mut member_checks = interval(Duration::from_millis(MEMBER_CHECK_MS));
    let mut records = Vec::new();
    loop {
        let progress = SearchProgress {
            is_found: !records.is_empty(),
            unanswered: unanswered.len(),
            untried: untried.len(),
        };
        match search.step(sessions.clock.now(), progress) {
            SearchStep::Lost => return SearchResult::NotFound,
            SearchStep::Unsettled => return SearchResult::Unsettled,
            SearchStep::UseRecord => return use_best(records),
            SearchStep::Wait => {}
        }
        tokio::select! {
            Some((question, reply)) = requests.next() => {
                untried.swap_remove(question.holder.node());
                if let Some(reply) = reply {
                    unanswered.swap_remove(question.holder.node());
                    if let Reply::Record(record) = reply {
                        records.push((question.holder, record));
                    }
                } else {
                    requests.push(ask_after(sessions, search, question, RETRY_PAUSE_MS));
                }
            }
            _ = member_checks.tick() => {
                let current: IndexSet<NodeId> = list_holders(sessions)
                    .map(|holder| holder.node().clone())
                    .collect();
                unanswered.retain(|node| current.contains(node));
            }
        }
    }
}

/// Returns the best of the records found. Records of agents are preferred to those of entries,
/// because the engine of an agent continues the generation.
fn use_best(mut records: Vec<(Holder, Box<RecordSnapshot>)>) -> SearchResult {
    records.sort_by_key(|(holder, snapshot)| rank(holder, snapshot));
    let Some((holder, snapshot)) = records.pop() else {
        return SearchResult::NotFound;
    };
    for (other, record) in records {
        cancel_unused(&other, &record);
    }
    match holder {
        Holder::Agent(agent, _) => SearchResult::AtAgent(agent, *snapshot),
        Holder::Entry(..) => SearchResult::AtEntry(*snapshot),
    }
}

/// Returns the sort key of a record: the preferred record has the greatest key.
fn rank(holder: &Holder, snapshot: &RecordSnapshot) -> (bool, usize) {
    (matches!(holder, Holder::Agent(..)), snapshot.tokens.len())
}

fn list_holders(sessions: &Rc<Sessions>) -> impl Iterator<Item = Holder> {
    let view = sessions.mesh.view();
    let own = &sessions.config.node;
    let holders: Vec<Holder> = view
        .members()
        .filter(|member| member.state != MemberState::Gone && member.node != *own)
        .filter_map(|member| match &member.role {
            Role::Agent(_) => Some(Holder::Agent(member.node.clone(), member.address)),
            Role::Entry => Some(Holder::Entry(member.node.clone(), member.address)),
            Role::Control => None,
        })
        .collect();
    holders.into_iter()
}

impl Question {
    fn new(sessions: &Rc<Sessions>, holder: Holder, position: Position) -> Self {
        let request = AttachRequest {
            entry: sessions.config.node.clone(),
            id: position.id,
            next_index: position.next_index,
            nonce: rand::rng().random(),
            seen: position.lineage,
        };
        Self { holder, request }
    }

    /// Asks once. Returns `None` if the holder did not reply in time.
    async fn ask(&self, timeout_ms: u64) -> Option<Reply> {
        let attach_call = attach(&self.holder, self.request.clone(), timeout_ms);
        let limit = Duration::from_millis(timeout_ms);
        match timeout(limit, attach_call).await.ok()?? {
            AttachReply::Attached(snapshot) if has_reached(&snapshot, self.request.next_index) => {
                Some(Reply::Record(snapshot))
            }
            AttachReply::Attached(_) | AttachReply::Behind | AttachReply::Unknown => {
                Some(Reply::NoRecord)
            }
        }
    }

    /// Timeout of one request. An entry releases its record only once, so a request to an entry is
    /// not given up before the search is over.
    fn timeout_ms(&self, left_ms: u64) -> u64 {
        match self.holder {
            Holder::Agent(..) => left_ms.min(HOLDER_TIMEOUT_MS),
            Holder::Entry(..) => left_ms,
        }
    }
}

async fn ask_after(
    sessions: &Rc<Sessions>,
    search: HolderSearch,
    question: Question,
    pause_ms: u64,
) -> (Question, Option<Reply>) {
    sleep(Duration::from_millis(pause_ms)).await;
    let left_ms = search.left_ms(sessions.clock.now());
    let reply = question.ask(question.timeout_ms(left_ms)).await;
    (question, reply)
}

async fn attach(holder: &Holder, request: AttachRequest, timeout_ms: u64) -> Option<AttachReply> {
    match holder {
        Holder::Agent(_, address) => {
            let client = connect_agent(*address).await?;
            client.attach(call_context(timeout_ms), request).await.ok()
        }
        Holder::Entry(_, address) => {
            let kind = ServiceKind::Entry;
            let transport = connect_transport(*address, kind, HOLDER_TIMEOUT_MS).await;
            let new = EntryServiceClient::new(client::Config::default(), transport.ok()?);
            spawn_local(async move {
                let _ = new.dispatch.await;
            });
            let call = new.client.release(call_context(timeout_ms), request);
            call.await.ok()
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
