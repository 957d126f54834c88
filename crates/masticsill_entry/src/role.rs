//! Starts the duties of the entry and stops them in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use masticsill_mesh::MeshHandle;
use masticsill_runtime::{DutyHandle, HttpHost, Metrics, Ring, ServiceStream, spawn_async_duty};
use masticsill_types::{MonotonicClock, log_event};

use crate::config::EntryConfig;
use crate::events;
use crate::http::{Gateway, start_http};
use crate::open_work::OpenWork;
use crate::peer_service::serve_peers;
use crate::readiness::Readiness;
use crate::sessions_duty::{INPUT_RING_CAPACITY, SessionInput, run_sessions};

const DRAIN_POLL_INTERVAL_MS: u64 = 20;

/// A running entry.
#[derive(Debug)]
pub struct EntryRole {
    config: Arc<EntryConfig>,
    connections: Ring<ServiceStream>,
    duties: Vec<DutyHandle>,
    host: HttpHost,
    inputs: Ring<SessionInput>,
    mesh: MeshHandle,
    open_work: OpenWork,
    readiness: Readiness,
}

impl EntryRole {
    /// Starts the duties of the entry. `connections` delivers the connections of other entries.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be bound or a thread can't be
    /// started.
    pub fn start(
        config: EntryConfig,
        connections: Ring<ServiceStream>,
        mesh: MeshHandle,
        metrics: Metrics,
        clock: MonotonicClock,
    ) -> io::Result<Self> {
        let inputs = Ring::with_capacity(INPUT_RING_CAPACITY);
        let open_work = OpenWork::default();
        let readiness = Readiness::default();
        let sessions = {
            let session_metrics = metrics.clone();
            let (config, inputs, mesh) = (config.clone(), inputs.clone(), mesh.clone());
            spawn_async_duty("sessions", move || {
                run_sessions(config, inputs, mesh, session_metrics, clock)
            })?
        };
        let peer_duty = {
            let (connections, inputs) = (connections.clone(), inputs.clone());
            spawn_async_duty("peers", move || serve_peers(connections, inputs))?
        };
        let config = Arc::new(config);
        let host = start_http(Gateway {
            clock,
            config: Arc::clone(&config),
            inputs: inputs.clone(),
            mesh: mesh.clone(),
            metrics,
            open_work: open_work.clone(),
            readiness: readiness.clone(),
        })?;
        log_event!(info, events::ENTRY_READY, address = host.address());
        Ok(Self {
            config,
            connections,
            duties: vec![sessions, peer_duty],
            host,
            inputs,
            mesh,
            open_work,
            readiness,
        })
    }

    /// Returns the address of the HTTP listener for callers.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Stops gracefully: turns readiness off, still accepts requests for the balancer's grace
    /// period, then waits at most for the drain time until open streams and calls have finished.
    ///
    /// # Errors
    ///
    /// Returns an error if a duty panicked.
    pub fn stop(self) -> io::Result<()> {
        self.readiness.stop_readiness();
        self.mesh.leave();
        log_event!(info, events::DRAIN_STARTED, open = self.open_work.count());
        sleep(Duration::from_millis(self.config.balancer_grace_ms));
        self.readiness.stop_accepting();
        self.wait_for_open_work();
        log_event!(info, events::DRAIN_ENDED, open = self.open_work.count());
        self.host.stop()?;
        self.inputs.close();
        self.connections.close();
        for duty in self.duties {
            duty.join()?;
        }
        Ok(())
    }

    fn wait_for_open_work(&self) {
        let mut waited_ms = 0;
        while self.open_work.count() > 0 && waited_ms < self.config.drain_ms {
            sleep(Duration::from_millis(DRAIN_POLL_INTERVAL_MS));
            waited_ms += DRAIN_POLL_INTERVAL_MS;
        }
    }
}
