//! What the balancer asks.

use ntex::web::HttpResponse;
use ntex::web::types::State;

use super::server::Gateway;

/// `GET /healthz`: the process answers.
pub(crate) async fn answer_alive() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// `GET /readyz`: whether new requests should be sent here.
pub(crate) async fn answer_ready(gateway: State<Gateway>) -> HttpResponse {
    if !gateway.readiness.is_ready() {
        return HttpResponse::ServiceUnavailable().body("shutting down\n");
    }
    if !gateway.catalogue().is_fresh(gateway.now()) {
        return HttpResponse::ServiceUnavailable().body("catalogue lease has lapsed\n");
    }
    HttpResponse::Ok().body("ready\n")
}
