//! The HTTP server: its routes and the state that its handlers share.

use std::io;
use std::sync::Arc;

use masticsill_mesh::{CatalogueView, MeshHandle};
use masticsill_runtime::{HttpHost, Metrics, Ring};
use masticsill_types::{ClockMs, MonotonicClock, Refusal, RefusalKind};
use ntex::web::{ServiceConfig, resource, route};

use super::{completions, health, models, plain};
use crate::config::EntryConfig;
use crate::open_work::OpenWork;
use crate::readiness::Readiness;
use crate::sessions_duty::SessionInput;

/// Delay after which a caller may retry when the queue of this entry was full.
const QUEUE_FULL_RETRY_AFTER_MS: u64 = 500;

/// The state that all handlers share.
#[derive(Clone, Debug)]
pub(crate) struct Gateway {
    /// Clock of the process.
    pub(crate) clock: MonotonicClock,
    /// Configuration of the entry.
    pub(crate) config: Arc<EntryConfig>,
    /// Inputs of the sessions duty.
    pub(crate) inputs: Ring<SessionInput>,
    /// Membership and catalogue.
    pub(crate) mesh: MeshHandle,
    /// Metrics of the process.
    pub(crate) metrics: Metrics,
    /// Counts the requests that have no complete answer yet.
    pub(crate) open_work: OpenWork,
    /// Whether requests are accepted.
    pub(crate) readiness: Readiness,
}

impl Gateway {
    /// Returns the node's copy of the catalogue.
    pub(crate) fn catalogue(&self) -> Arc<CatalogueView> {
        self.mesh.catalogue()
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> ClockMs {
        self.clock.now()
    }

    /// Submits an input to the sessions duty.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the ring of the duty is full.
    pub(crate) fn enqueue(&self, input: SessionInput) -> Result<(), Refusal> {
        self.inputs.push(input).map_err(|_| {
            let refusal = Refusal::not_run(RefusalKind::Overloaded, "the entry's queue is full");
            refusal.retry_after(QUEUE_FULL_RETRY_AFTER_MS)
        })
    }
}

/// Starts the HTTP server for callers.
pub(crate) fn start_http(gateway: Gateway) -> io::Result<HttpHost> {
    let address = gateway.config.http_address;
    let workers = gateway.config.workers;
    HttpHost::start("http", address, workers, move |config| {
        configure(config, gateway.clone());
    })
}

fn configure(config: &mut ServiceConfig, gateway: Gateway) {
    config
        .state(gateway)
        .service((
            resource("/v1/completions").route(route().method(POST).to(completions::complete_text)),
            resource("/v1/chat/completions")
                .route(route().method(POST).to(completions::complete_chat)),
            resource("/v1/models").route(route().method(GET).to(models::list_models)),
        ))
        .service((
            resource("/v1/services/{entry}/{path}*").to(plain::call_service),
            resource("/healthz").route(route().method(GET).to(health::answer_liveness)),
            resource("/readyz").route(route().method(GET).to(health::answer_readiness)),
        ));
}

const GET: ntex::http::Method = ntex::http::Method::GET;
const POST: ntex::http::Method = ntex::http::Method::POST;
