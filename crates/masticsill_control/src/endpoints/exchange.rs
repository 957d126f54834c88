//! Exchange of endpoint records with the other replicas, and of the origins of streams with those
//! that have started.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use masticsill_registry::{UNCONFIRMED_GRACE_MS, Watcher};
use masticsill_types::{ClockMs, NodeId, log_event};
use masticsill_wire::control::WatchRequest;
use tokio::task::spawn_local;

use crate::events;
use crate::quorum::Request;
use crate::rpc::ControlServer;

/// Longest wait of one exchange, and so the greatest age of a reported heartbeat age on arrival.
const WAIT_MS: u64 = 1_000;
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How often silent endpoints and new replicas are checked for.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// A replica that answered within this time counts as reachable.
const REACHABLE_TIMEOUT_MS: u64 = 2_500;

/// Origins of streams in one message: far less than a frame may hold.
const ORIGINS_PER_MESSAGE: usize = 4_096;

/// What another replica has answered.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    /// The last answer; none if there has been none.
    last_at: Option<ClockMs>,
    /// Whether all that a replica knows has been merged which knows the past.
    includes_past: bool,
}

/// The answers of each other replica.
type AnswersOfReplicas = Rc<RefCell<IndexMap<NodeId, Answers>>>;

/// Exchanges records with every other replica and updates which endpoints are silent; never
/// returns.
pub(crate) async fn run_exchange(server: ControlServer, node: NodeId) {
    let started_at = server.clock.now();
    // Since when this replica may lack what the quorum knows.
    let mut uninformed_since = started_at;
    let mut knew_past = false;
    let answers: AnswersOfReplicas = Rc::default();
    if server.is_new {
        // The folder belongs to no cluster, whatever the former process of this replica knew.
        server.endpoints.forget_past();
    }
    loop {
        let others = server.book.named();
        let others = others.into_iter().filter(|(other, _)| *other != node);
        for (other, _) in others {
            if !answers.borrow().contains_key(&other) {
                answers
                    .borrow_mut()
                    .insert(other.clone(), Answers::default());
                let following = follow(server.clone(), node.clone(), other, Rc::clone(&answers));
                spawn_local(following);
            }
        }
        let now = server.clock.now();
        // A replica that has just started has received no heartbeats yet. Restored records count as
        // live for this long; after that the other replicas have reported which endpoints they
        // hear.
        let is_settled = now.since(started_at) > UNCONFIRMED_GRACE_MS;
        let is_reached = |other: &NodeId| {
            let last_at = answers.borrow().get(other).and_then(|it| it.last_at);
            *other == node || last_at.is_some_and(|at| now.since(at) < REACHABLE_TIMEOUT_MS)
        };
        let voters = server.quorum.status().voters.names;
        let reaches_majority = is_majority(&voters, is_reached);
        server
            .endpoints
            .update_silence(is_settled && reaches_majority);
        if knew_past && !server.endpoints.knows_past() {
            // The quorum went on without this replica: what it learned before no longer suffices.
            uninformed_since = now;
            let mut answers = answers.borrow_mut();
            answers.values_mut().for_each(|it| it.includes_past = false);
        }
        // Whatever is remembered by then began after this replica was back.
        let has_seen_all = now.since(uninformed_since) >= server.endpoints.forget_ms();
        if (has_seen_all && reaches_majority) || has_learned_past(&server, &answers).await {
            server.endpoints.note_past_known();
        }
        knew_past = server.endpoints.knows_past();
        tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
    }
}

/// Whether a majority of the voters satisfies `is_included`; false without voters. Of two voters with
/// the same name one counts.
fn is_majority(voters: &[NodeId], is_included: impl Fn(&NodeId) -> bool) -> bool {
    let names: IndexSet<&NodeId> = voters.iter().collect();
    let included = names.into_iter().filter(|name| is_included(name)).count();
    2 * included > voters.len()
}

/// Whether this replica knows what the quorum knew before it started: its folder was new then and it has
/// founded the cluster since, or has merged the records of a majority of the other voters. Whatever a majority
/// knew, one of these knows.
async fn has_learned_past(server: &ControlServer, answers: &AnswersOfReplicas) -> bool {
    if server.endpoints.knows_past() {
        return true;
    }
    let Some((own, founding)) = server.quorum.ask_any(Request::Identify).await else {
        return false;
    };
    let others = server.quorum.status().voters.without(&server.node);
    let includes_past = |other: &NodeId| {
        let answers = answers.borrow();
        answers.get(other).is_some_and(|it| it.includes_past)
    };
    let is_founder = server.is_new && own.is_founded && !founding.is_empty();
    is_founder || is_majority(&others, includes_past)
}

/// Whether another replica knows the endpoints that the quorum knew before it started.
async fn knows_past(server: &ControlServer, address: SocketAddr) -> bool {
    let reply = server
        .client
        .find_stream_origin(address, "", None, WAIT_MS)
        .await;
    reply.is_some_and(|it| it.versions_kept_ms > 0)
}

/// Merges the changes of one other replica's registry, repeatedly.
async fn follow(server: ControlServer, node: NodeId, other: NodeId, answers: AnswersOfReplicas) {
    // The incarnation of the other replica that has been sent the origins of streams.
    let mut informed = None;
    let mut request = WatchRequest {
        document_seen: Some(u64::MAX),
        loads: Vec::new(),
        // Replicas send no requests to endpoints, so they don't need the loads of other watchers.
        loads_revision: u64::MAX,
        registry: 0,
        revision: 0,
        // Replicas apply roll-outs from the log.
        rollouts_revision: u64::MAX,
        suspects_revision: 0,
        versions_revision: 0,
        wait_ms: WAIT_MS,
        watcher: Watcher::Replica(node),
    };
    loop {
        let address: Option<SocketAddr> = server.book.get(&other);
        let mut includes_past = false;
        let reply = match address {
            Some(address) => {
                let is_asked = !server.endpoints.knows_past();
                includes_past = is_asked && knows_past(&server, address).await;
                server.client.watch(address, &request).await
            }
            None => None,
        };
        let Some((address, reply)) = address.zip(reply) else {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        server.endpoints.merge(&reply.endpoints, &reply.heard);
        server.endpoints.suspects().merge(&reply.suspects);
        {
            let mut answers = answers.borrow_mut();
            let merged = answers.entry(other.clone()).or_default();
            merged.last_at = Some(server.clock.now());
            merged.includes_past |= includes_past;
        }
        request.registry = reply.registry;
        request.revision = reply.revision;
        request.suspects_revision = reply.suspects_revision;
        if informed != Some(reply.registry) && send_stream_origins(&server, &other, address).await {
            informed = Some(reply.registry);
        }
    }
}

/// Sends another replica the origins of streams that are known here; returns whether it received
/// them. It may have replaced a machine whose disk is lost, and the entries that began the streams
/// may have ended.
async fn send_stream_origins(server: &ControlServer, other: &NodeId, address: SocketAddr) -> bool {
    let records = server.endpoints.stream_origins();
    for records in records.chunks(ORIGINS_PER_MESSAGE) {
        let told = server.client.tell_stream_origins(address, records);
        if told.await.is_none() {
            return false;
        }
    }
    log_event!(
        info,
        events::STREAM_ORIGINS_SENT,
        replica = other,
        streams = records.len()
    );
    true
}
