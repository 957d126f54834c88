//! Accepts connections and runs this replica's own calls.

use std::sync::{Arc, Mutex};

use futures::StreamExt;
use masticsill_control_client::{AddressBook, ControlClient};
use masticsill_quorum::FoundingReservation;
use masticsill_runtime::{Ring, ServiceStream, ShutdownSignal, events as runtime_events};
use masticsill_types::{MonotonicClock, log_event};
use masticsill_wire::control::ControlService;
use tarpc::server::{BaseChannel, Channel};
use tokio::task::spawn_local;

use super::founding::{found_with_others, run_founding};
use super::introductions::{Newcomer, run_introductions};
use super::peers::{Sender, run_outgoing, run_proofs};
use super::router::{Forward, run_router};
use super::service::ControlServer;
use crate::admission::{run_admission, run_trimming};
use crate::config::{AdmissionPolicy, ControlConfig, FoundingPolicy};
use crate::cutting::CutDocuments;
use crate::endpoints::{EndpointHub, follow_prompts, run_exchange, run_judging};
use crate::gauges::{ControlGauges, run_gauges};
use crate::quorum::{Outgoing, PublishedState, QuorumHandle};

/// What the RPC duty is built from.
#[derive(Debug)]
pub(crate) struct RpcParts {
    pub(crate) book: AddressBook,
    pub(crate) calls: Ring<Forward>,
    pub(crate) clock: MonotonicClock,
    pub(crate) connections: Ring<ServiceStream>,
    pub(crate) documents: CutDocuments,
    pub(crate) endpoints: EndpointHub,
    pub(crate) ended: ShutdownSignal,
    pub(crate) gauges: ControlGauges,
    pub(crate) outgoing: Ring<Outgoing>,
    pub(crate) published: PublishedState,
    pub(crate) quorum: QuorumHandle,
}

/// Serves until the replica ends.
pub(crate) async fn run(config: ControlConfig, parts: RpcParts) {
    let sender = Sender {
        address: config.rpc_address,
        node: config.node.clone(),
    };
    parts
        .book
        .record_announced(sender.node.clone(), sender.address);
    let server = ControlServer {
        book: parts.book.clone(),
        client: ControlClient::new(parts.book.clone()),
        clock: parts.clock,
        documents: parts.documents,
        endpoints: parts.endpoints,
        first_seeds: config.seeds.clone().into(),
        node: config.node.clone(),
        published: parts.published,
        quorum: parts.quorum,
        reservations: Arc::new(Mutex::new(FoundingReservation::new(parts.clock.now()))),
    };
    start_tasks(&config, &server, &sender);
    spawn_local(run_gauges(server.clone(), parts.gauges));
    spawn_local(run_proofs(server.clone()));
    spawn_local(run_outgoing(sender, parts.book, parts.outgoing));
    spawn_local(run_router(server.clone(), parts.calls));
    tokio::select! {
        () = serve_connections(&parts.connections, server) => {}
        () = parts.ended.requested() => {}
    }
    // What the process still accepts is closed at once, so that peers turn elsewhere.
    parts.connections.close();
    while parts.connections.try_pop().is_some() {}
}

fn start_tasks(config: &ControlConfig, server: &ControlServer, sender: &Sender) {
    let newcomer = Newcomer {
        address: sender.address,
        keeps_state: true,
        node: sender.node.clone(),
    };
    let status = server.quorum.clone();
    let is_founded = move || status.status().is_founded;
    spawn_local(run_introductions(
        server.client.clone(),
        newcomer,
        is_founded,
    ));
    match &config.founding {
        FoundingPolicy::Discovered { voters } => {
            spawn_local(found_with_others(server.clone(), *voters));
        }
        FoundingPolicy::Named(founders) => {
            let node = config.node.clone();
            spawn_local(run_founding(server.clone(), node, founders.clone()));
        }
        FoundingPolicy::Never => {}
    }
    spawn_local(run_exchange(server.clone(), config.node.clone()));
    spawn_local(run_judging(server.endpoints.suspects().clone()));
    if let Some(call) = &config.prompt_cache_feed {
        spawn_local(follow_prompts(server.endpoints.clone(), call.clone()));
    }
    match config.admission {
        AdmissionPolicy::Operators => {}
        AdmissionPolicy::Quorum { .. } => {
            let (node, address) = (config.node.clone(), config.rpc_address);
            spawn_local(run_admission(server.clone(), node, address));
            spawn_local(run_trimming(server.clone()));
        }
    }
}

/// Answers the calls of every connection that the process accepts, until there are no more.
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
