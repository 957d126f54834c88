//! The HTTP duty: the administration API.

mod auth;
mod catalogue;
mod operations;
mod reply;
mod server;

use std::sync::Arc;

use masticsill_runtime::{Ring, ShutdownSignal};
use ntex::web::{self, ServiceConfig};
use tokio::sync::oneshot;

use crate::client::ControlUnavailable;
use crate::config::{ControlConfig, OperatorConfig};
use crate::quorum::QuorumHandle;
use crate::rpc::Forward;

pub(crate) use server::HttpEdge;

/// What the handlers share.
#[derive(Clone, Debug)]
pub(crate) struct HttpState {
    calls: Ring<Forward>,
    operators: Arc<[OperatorConfig]>,
    quorum: QuorumHandle,
    stopping: ShutdownSignal,
}

pub(crate) fn state(
    config: &ControlConfig,
    quorum: &QuorumHandle,
    calls: Ring<Forward>,
) -> HttpState {
    HttpState {
        calls,
        operators: Arc::from(config.operators.clone()),
        quorum: quorum.clone(),
        stopping: ShutdownSignal::default(),
    }
}

impl HttpState {
    /// Has a call answered by the leader.
    async fn forward<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<Result<T, ControlUnavailable>>) -> Forward,
    ) -> Result<T, ControlUnavailable> {
        let not_run = ControlUnavailable {
            is_outcome_unknown: false,
        };
        let (reply_to, reply) = oneshot::channel();
        if self.calls.push(call(reply_to)).is_err() {
            return Err(not_run);
        }
        let lost = ControlUnavailable {
            is_outcome_unknown: true,
        };
        reply.await.unwrap_or(Err(lost))
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
        .route("/v1/audit", web::get().to(operations::audit))
        .route("/v1/replicas", web::get().to(operations::replicas))
        .route("/v1/replicas", web::post().to(operations::join))
        .route("/v1/replicas/{node}", web::delete().to(operations::remove))
        .route("/healthz", web::get().to(operations::health))
        .route("/readyz", web::get().to(operations::readiness));
}
