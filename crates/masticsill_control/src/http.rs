//! The HTTP duty: the administration API.

mod auth;
mod catalogue;
mod document;
mod operations;
mod reply;
mod rollouts;
mod server;

use std::sync::Arc;

use masticsill_control_client::ControlUnavailable;
use masticsill_runtime::{Ring, ShutdownSignal};
use ntex::web::{self, ServiceConfig};
use tokio::sync::oneshot;

use crate::config::{ControlConfig, OperatorConfig};
use crate::endpoints::EndpointHub;
use crate::handle::forward;
use crate::quorum::QuorumHandle;
use crate::rpc::Forward;

pub(crate) use server::HttpEdge;

/// State shared by the handlers.
#[derive(Clone, Debug)]
pub(crate) struct HttpState {
    calls: Ring<Forward>,
    endpoints: EndpointHub,
    operators: Arc<[OperatorConfig]>,
    quorum: QuorumHandle,
    stopping: ShutdownSignal,
}

pub(crate) fn state(
    config: &ControlConfig,
    quorum: &QuorumHandle,
    calls: &Ring<Forward>,
    endpoints: &EndpointHub,
) -> HttpState {
    HttpState {
        calls: calls.clone(),
        endpoints: endpoints.clone(),
        operators: Arc::from(config.operators.clone()),
        quorum: quorum.clone(),
        stopping: ShutdownSignal::default(),
    }
}

impl HttpState {
    /// Sends a call to the router, which gets the leader's answer.
    async fn forward<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<Result<T, ControlUnavailable>>) -> Forward,
    ) -> Result<T, ControlUnavailable> {
        forward(&self.calls, call).await
    }
}

/// The routes of the administration API.
fn configure(state: &HttpState, config: &mut ServiceConfig) {
    config
        .state(state.clone())
        .route("/v1/catalogue", web::get().to(catalogue::list))
        .route("/v1/catalogue/{id}*", web::get().to(catalogue::read))
        .route("/v1/catalogue/{id}*", web::put().to(catalogue::put))
        .route("/v1/catalogue/{id}*", web::delete().to(catalogue::delete))
        .route("/v1/document", web::get().to(document::document))
        .route("/v1/endpoints", web::get().to(document::endpoints))
        .route("/v1/rollouts", web::get().to(rollouts::list))
        .route("/v1/rollouts", web::post().to(rollouts::order))
        .route("/v1/audit", web::get().to(operations::audit))
        .route("/v1/replicas", web::get().to(operations::replicas))
        .route("/v1/replicas", web::post().to(operations::join))
        .route("/v1/replicas/{node}", web::delete().to(operations::remove))
        .route("/healthz", web::get().to(operations::health))
        .route("/readyz", web::get().to(operations::readiness));
}
