//! Accepts connections and runs this replica's own calls.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;

use futures::StreamExt;
use masticsill_runtime::{Ring, RpcListener, ShutdownSignal, events as runtime_events, listen};
use masticsill_types::{MonotonicClock, NodeId, log_event};
use masticsill_wire::control::ControlService;
use tarpc::server::{BaseChannel, Channel};
use tokio::task::spawn_local;

use super::founding::run_founding;
use super::peers::{Sender, run_outgoing, run_proofs, say_hello};
use super::router::{Forward, run_router};
use super::service::ControlServer;
use crate::book::AddressBook;
use crate::client::ControlClient;
use crate::config::ControlConfig;
use crate::quorum::{Outgoing, QuorumHandle};

/// What the RPC duty is built from.
#[derive(Debug)]
pub(crate) struct RpcParts {
    pub(crate) book: AddressBook,
    pub(crate) calls: Ring<Forward>,
    pub(crate) clock: MonotonicClock,
    pub(crate) ended: ShutdownSignal,
    pub(crate) outgoing: Ring<Outgoing>,
    pub(crate) quorum: QuorumHandle,
}

/// Listens, reports the address to `started`, and serves until the replica ends.
pub(crate) async fn run(
    config: ControlConfig,
    parts: RpcParts,
    started: mpsc::Sender<io::Result<SocketAddr>>,
) {
    let (listener, address) = match bind(config.rpc_address).await {
        Ok(bound) => bound,
        Err(error) => {
            let _ = started.send(Err(error));
            return;
        }
    };
    let _ = started.send(Ok(address));
    let sender = Sender {
        address: config.advertised_rpc_address.unwrap_or(address),
        node: config.node.clone(),
    };
    parts.book.learn(sender.node.clone(), sender.address);
    let server = ControlServer {
        book: parts.book.clone(),
        client: ControlClient::new(parts.book.clone()),
        quorum: parts.quorum,
    };
    start_tasks(&config, &server, &sender);
    spawn_local(run_proofs(server.clone(), parts.clock));
    spawn_local(run_outgoing(sender, parts.book, parts.outgoing));
    spawn_local(run_router(server.clone(), parts.calls));
    tokio::select! {
        () = accept(&listener, server) => {}
        () = parts.ended.requested() => {}
    }
}

fn start_tasks(config: &ControlConfig, server: &ControlServer, sender: &Sender) {
    let is_other = |(node, _): &(&NodeId, &SocketAddr)| **node != config.node;
    for (_, peer) in config.peers.iter().filter(is_other) {
        spawn_local(say_hello(sender.clone(), *peer));
    }
    let founders = config.founders.clone();
    spawn_local(run_founding(server.clone(), config.node.clone(), founders));
}

async fn bind(address: SocketAddr) -> io::Result<(RpcListener, SocketAddr)> {
    let listener = listen(address).await?;
    let address = listener.local_address()?;
    Ok((listener, address))
}

async fn accept(listener: &RpcListener, server: ControlServer) {
    loop {
        match listener.accept().await {
            Ok(transport) => {
                let calls = BaseChannel::with_defaults(transport).execute(server.clone().serve());
                spawn_local(calls.for_each_concurrent(None, |call| call));
            }
            Err(error) => log_event!(warn, runtime_events::ACCEPT_FAILED, cause = error),
        }
    }
}
