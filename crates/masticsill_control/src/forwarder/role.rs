//! Starting and stopping a forwarder.

use std::io;
use std::net::SocketAddr;

use masticsill_control_client::AddressBook;
use masticsill_runtime::{DutyHandle, Ring, ServiceStream, ShutdownSignal, spawn_async_duty};
use masticsill_types::{MonotonicClock, NodeId, ZoneId, log_event};
use tokio::task::spawn_local;

use super::calls::run_calls;
use super::service::ForwarderServer;
use crate::events;
use crate::handle::{ControlHandle, HeartbeatSink};
use crate::pauses::Pauses;
use crate::rpc::{Forward, ProcessIdentity, run_introductions, serve_connections};
use crate::unreadable::UnreadableMessages;

const CALL_QUEUE_CAPACITY: usize = 1_024;

/// Settings of a forwarder.
#[derive(Clone, Debug)]
pub struct ForwarderConfig {
    /// This node.
    pub node: NodeId,
    /// RPC address at which other processes reach this process.
    pub rpc_address: SocketAddr,
    /// RPC addresses at which control is served, by replicas or by processes without state.
    pub seeds: Vec<SocketAddr>,
    /// This process's availability zone.
    pub zone: ZoneId,
}

/// A running forwarder.
#[derive(Debug)]
pub struct ControlForwarder {
    book: AddressBook,
    calls: Ring<Forward>,
    duty: DutyHandle,
    ended: ShutdownSignal,
    unreadable: UnreadableMessages,
}

impl ControlForwarder {
    /// Starts the forwarder's duty; `connections` brings the connections to the control service.
    ///
    /// # Errors
    ///
    /// The operating system's error when no thread can be started.
    pub fn start(
        config: ForwarderConfig,
        connections: Ring<ServiceStream>,
        clock: MonotonicClock,
    ) -> io::Result<Self> {
        let book = AddressBook::from_seeds(config.seeds.iter().copied());
        let calls = Ring::with_capacity(CALL_QUEUE_CAPACITY);
        let ended = ShutdownSignal::default();
        let server = ForwarderServer::new(&config, book.clone(), clock);
        let (queued_calls, stop) = (calls.clone(), ended.clone());
        log_event!(
            info,
            events::FORWARDER_STARTED,
            node = config.node,
            rpc = config.rpc_address
        );
        let duty = spawn_async_duty("control_forwarder", move || async move {
            let identity = ProcessIdentity {
                address: config.rpc_address,
                keeps_state: false,
                node: config.node,
            };
            spawn_local(run_introductions(server.client.clone(), identity, || false));
            let pauses = Pauses::new(clock);
            spawn_local(pauses.clone().run());
            spawn_local(run_calls(server.client.clone(), pauses, queued_calls));
            tokio::select! {
                () = serve_connections(&connections, server) => {}
                () = stop.requested() => {}
            }
            connections.close();
            while connections.try_pop().is_some() {}
        })?;
        Ok(Self {
            book,
            calls,
            duty,
            ended,
            unreadable: UnreadableMessages::new(clock),
        })
    }

    /// A handle through which this process's servers call control.
    #[must_use]
    pub fn handle(&self) -> ControlHandle {
        ControlHandle {
            calls: self.calls.clone(),
            heartbeats: HeartbeatSink::Replicas,
            unreadable: self.unreadable.clone(),
        }
    }

    /// Adds addresses of control that became known after the start.
    pub fn add_seeds(&self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.book.add_seeds(seeds);
    }

    /// Stops the forwarder without waiting: calls in flight get no answer.
    ///
    /// # Errors
    ///
    /// An error naming a duty that panicked.
    pub fn stop(self) -> io::Result<()> {
        self.calls.close();
        self.ended.request();
        self.duty.join()
    }
}
