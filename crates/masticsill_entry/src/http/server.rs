//! Registers the handlers and holds what they share.

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

/// When a caller may come back after this entry's own queue was full, in milliseconds.
const FULL_QUEUE_RETRY_MS: u64 = 500;

/// What every handler shares.
#[derive(Clone, Debug)]
pub(crate) struct Gateway {
    /// The process's clock.
    pub(crate) clock: MonotonicClock,
    /// The entry's configuration.
    pub(crate) config: Arc<EntryConfig>,
    /// The sessions duty.
    pub(crate) inputs: Ring<SessionInput>,
    /// Membership and catalogue.
    pub(crate) mesh: MeshHandle,
    /// Counters.
    pub(crate) metrics: Metrics,
    /// Requests that callers still wait for.
    pub(crate) open_work: OpenWork,
    /// Whether requests are accepted.
    pub(crate) readiness: Readiness,
}

impl Gateway {
    /// This node's copy of the catalogue.
    pub(crate) fn catalogue(&self) -> Arc<CatalogueView> {
        self.mesh.catalogue()
    }

    /// The current time.
    pub(crate) fn now(&self) -> ClockMs {
        self.clock.now()
    }

    /// Hands work to the sessions duty.
    ///
    /// # Errors
    ///
    /// A refusal when the duty's ring is full.
    pub(crate) fn hand_over(&self, input: SessionInput) -> Result<(), Refusal> {
        self.inputs.push(input).map_err(|_| {
            let refusal = Refusal::not_run(RefusalKind::Overloaded, "the entry's queue is full");
            refusal.retry_after(FULL_QUEUE_RETRY_MS)
        })
    }
}

/// Starts the interface.
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
            resource("/healthz").route(route().method(GET).to(health::answer_alive)),
            resource("/readyz").route(route().method(GET).to(health::answer_ready)),
        ));
}

const GET: ntex::http::Method = ntex::http::Method::GET;
const POST: ntex::http::Method = ntex::http::Method::POST;
