//! Start and stop of a relay.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use masticsill_catalogue::DocumentSources;
use masticsill_runtime::{DutyHandle, Ring, ShutdownSignal, spawn_async_duty};
use masticsill_types::{MonotonicClock, log_event};
use prometheus_client::registry::Registry;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::config::RelayConfig;
use crate::discovery::start_discovery;
use crate::dispatch_queue::run_dispatch;
use crate::documents::{DocumentParts, PARSED_RING_ITEMS, run_documents};
use crate::engine_reservation::run_queue_reservations;
use crate::events;
use crate::metrics::RelayMetrics;
use crate::relay::Relay;
use crate::server::serve;

/// Maximum number of control addresses that wait to be watched.
const SEED_RING_ITEMS: usize = 64;

/// A running relay.
#[derive(Debug)]
pub struct RelayRole {
    address: SocketAddr,
    /// The duty that fetches and parses documents.
    documents: DutyHandle,
    duty: DutyHandle,
    has_document: Arc<AtomicBool>,
    seeds: Ring<SocketAddr>,
    stopping: ShutdownSignal,
}

impl RelayRole {
    /// Binds the callers' address and starts to serve; metrics are registered in `registry`.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address cannot be bound or a thread cannot be started.
    pub fn start(
        config: RelayConfig,
        clock: MonotonicClock,
        registry: &mut Registry,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(config.listen_address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let has_document = Arc::new(AtomicBool::new(false));
        let stopping = ShutdownSignal::default();
        log_event!(
            info,
            events::RELAY_STARTED,
            node = config.node,
            address = address
        );
        let metrics = RelayMetrics::new(registry);
        let seeds = Ring::with_capacity(SEED_RING_ITEMS);
        let new_seeds = seeds.clone();
        let (document_flag, signal) = (Arc::clone(&has_document), stopping.clone());
        let ended = ShutdownSignal::default();
        let is_relaying = Arc::new(AtomicBool::new(false));
        let parsed = Ring::with_capacity(PARSED_RING_ITEMS);
        let (sources, known_sources) = watch::channel(DocumentSources::default());
        let parts = DocumentParts {
            clock,
            ended: ended.clone(),
            is_relaying: Arc::clone(&is_relaying),
            parsed: parsed.clone(),
            reader: config.read_document,
            sources: known_sources,
        };
        let documents = spawn_async_duty("relay_documents", || run_documents(parts))?;
        let duty = spawn_async_duty("relay", move || async move {
            let relay = Relay::new(config, clock, signal, document_flag, is_relaying, metrics);
            let relay = Rc::new(relay);
            start_discovery(&relay, new_seeds, sources, parsed);
            spawn_local(run_dispatch(Rc::clone(&relay)));
            spawn_local(run_queue_reservations(Rc::clone(&relay)));
            serve(relay, listener).await;
            ended.request();
        })?;
        Ok(Self {
            address,
            documents,
            duty,
            has_document,
            seeds,
            stopping,
        })
    }

    /// The address on which callers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds addresses of control replicas to watch; known addresses are ignored.
    pub fn add_control_addresses(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            // A full ring is emptied within moments, and the caller passes its addresses again.
            let _ = self.seeds.push(address);
        }
    }

    /// Returns a function that tells whether new callers should be routed here: a document is
    /// active and no shutdown has been requested.
    pub fn readiness(&self) -> impl Fn() -> bool + Clone + Send + Sync + 'static {
        let has_document = Arc::clone(&self.has_document);
        let stopping = self.stopping.clone();
        move || has_document.load(Ordering::Acquire) && !stopping.is_requested()
    }

    /// Shuts down gracefully: requests that were read are answered, and no new ones are accepted
    /// once load balancers have had time to notice.
    ///
    /// # Errors
    ///
    /// An error if the duty panicked.
    pub fn stop(self) -> io::Result<()> {
        self.stopping.request();
        self.duty.join()?;
        if self.documents.is_finished() {
            self.documents.join()?;
        }
        // A document that is still being parsed is no longer needed, and is not waited for.
        Ok(())
    }
}
