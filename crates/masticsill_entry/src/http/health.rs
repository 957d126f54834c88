//! Health endpoints for the load balancer.

use ntex::web::HttpResponse;
use ntex::web::types::State;

use super::server::Gateway;

/// `GET /healthz`: succeeds while the process is alive.
pub(crate) async fn answer_liveness() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// `GET /readyz`: succeeds while new requests should be sent to this entry.
pub(crate) async fn answer_readiness(gateway: State<Gateway>) -> HttpResponse {
    if !gateway.readiness.is_ready() {
        return HttpResponse::ServiceUnavailable().body("shutting down\n");
    }
    if !gateway.catalogue().is_fresh(gateway.now()) {
        return HttpResponse::ServiceUnavailable().body("catalogue lease has lapsed\n");
    }
    HttpResponse::Ok().body("ready\n")
}
