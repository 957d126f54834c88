//! Serves connections and runs the tasks that call other processes.

use std::sync::{Arc, Mutex};

use futures::StreamExt;
use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_quorum::FoundingReservation;
use masticsill_runtime::{Ring, ServiceStream, ShutdownSignal, events as runtime_events};
use masticsill_types::{MonotonicClock, log_event};
use masticsill_wire::control::ControlService;
use tarpc::server::{BaseChannel, Channel};
use tokio::task::spawn_local;

use super::founding::{found_with_discovered, run_founding};
use super::introductions::{ProcessIdentity, run_introductions};
use super::peers::{LocalReplica, run_outgoing, run_proofs};
use super::router::{Forward, run_router};
use super::service::ControlServer;
use crate::admission::{run_admission, run_departure, run_member_removal};
use crate::config::{AdmissionPolicy, ControlConfig, FoundingPolicy};
use crate::document_pieces::DocumentPieces;
use crate::endpoints::{EndpointHub, follow_prompts, run_exchange, run_judgements};
use crate::gauges::{ControlGauges, run_gauges};
use crate::pauses::Pauses;
use crate::quorum::{Outgoing, PublishedState, QuorumHandle};
use crate::rollouts::{ReceivedEvidence, run_rollouts};

/// Arguments of [`run`].
#[derive(Debug)]
pub(crate) struct RpcParts {
    pub(crate) book: AddressBook,
    pub(crate) calls: Ring<Forward>,
    pub(crate) clock: MonotonicClock,
    pub(crate) connections: Ring<ServiceStream>,
    pub(crate) documents: DocumentPieces,
    pub(crate) endpoints: EndpointHub,
    pub(crate) ended: ShutdownSignal,
    pub(crate) gauges: ControlGauges,
    /// Whether the data folder was new when this process started.
    pub(crate) is_new: bool,
    pub(crate) outgoing: Ring<Outgoing>,
    pub(crate) published: PublishedState,
    pub(crate) quorum: QuorumHandle,
}

/// Serves until the replica ends.
pub(crate) async fn run(config: ControlConfig, parts: RpcParts) {
    let local = LocalReplica {
        address: config.rpc_address,
        node: config.node.clone(),
    };
    parts
        .book
        .record_announced(local.node.clone(), local.address);
    let server = ControlServer {
        book: parts.book.clone(),
        client: ControlClient::new(parts.book.clone()),
        clock: parts.clock,
        documents: parts.documents,
        endpoints: parts.endpoints,
        evidence: ReceivedEvidence::default(),
        first_seeds: config.seeds.clone().into(),
        is_new: parts.is_new,
        lease_ms: config.replica.lease_ms,
        node: config.node.clone(),
        pauses: Pauses::new(parts.clock),
        published: parts.published,
        quorum: parts.quorum,
        reservations: Arc::new(Mutex::new(FoundingReservation::new(parts.clock.now()))),
        rollouts: config.rollouts,
    };
    start_tasks(&config, &server, &local);
    spawn_local(server.pauses.clone().run());
    spawn_local(run_gauges(server.clone(), parts.gauges));
    spawn_local(run_proofs(server.clone()));
    spawn_local(run_outgoing(local, parts.book, parts.outgoing));
    spawn_local(run_router(server.clone(), parts.calls.clone()));
    tokio::select! {
        () = serve_connections(&parts.connections, server) => {}
        () = parts.ended.requested() => {}
    }
    // Connections that the process still accepts are closed at once, so that peers call another
    // replica.
    parts.connections.close();
    while parts.connections.try_pop().is_some() {}
    // The process may still accept calls. Their callers learn that nobody answers them any more.
    parts.calls.close();
    while parts.calls.try_pop().is_some() {}
}

fn start_tasks(config: &ControlConfig, server: &ControlServer, local: &LocalReplica) {
    let identity = ProcessIdentity {
        address: local.address,
        keeps_state: true,
        node: local.node.clone(),
    };
    let status = server.quorum.clone();
    let is_founded = move || status.status().is_founded;
    spawn_local(run_introductions(
        server.client.clone(),
        identity,
        is_founded,
    ));
    match &config.founding {
        FoundingPolicy::Discovered { voters } => {
            spawn_local(found_with_discovered(server.clone(), *voters));
        }
        FoundingPolicy::Named(founders) => {
            let node = config.node.clone();
            spawn_local(run_founding(server.clone(), node, founders.clone()));
        }
        FoundingPolicy::Never => {}
    }
    spawn_local(run_exchange(server.clone(), config.node.clone()));
    spawn_local(run_judgements(server.endpoints.suspects().clone()));
    if let Some(rollouts) = config.rollouts {
        spawn_local(run_rollouts(server.clone(), rollouts.limits));
    }
    if let Some(feed) = &config.prompt_cache_feed {
        spawn_local(follow_prompts(server.endpoints.clone(), feed.clone()));
    }
    match config.admission {
        AdmissionPolicy::Operators => {}
        AdmissionPolicy::Quorum { .. } => {
            let (node, address) = (config.node.clone(), config.rpc_address);
            spawn_local(run_admission(server.clone(), node, address));
            spawn_local(run_departure(server.clone()));
            spawn_local(run_member_removal(server.clone()));
        }
    }
}

/// Answers the calls of every connection that the process accepts, until the ring is closed.
pub(crate) async fn serve_connections<S>(connections: &Ring<ServiceStream>, server: S)
where
    S: ControlService + Clone + 'static,
{
    while let Some(stream) = connections.pop().await {
        match stream.into_transport() {
            Ok(transport) => {
                let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
                spawn_local(calls.for_each_concurrent(None, |call| call));
            }
            Err(error) => log_event!(warn, runtime_events::ACCEPT_FAILED, cause = error),
        }
    }
}
