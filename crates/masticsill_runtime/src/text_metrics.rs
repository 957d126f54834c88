//! Metrics served over HTTP in the `OpenMetrics` text format.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ntex::web::types::State;
use ntex::web::{self, HttpResponse, ServiceConfig};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::http::HttpHost;

/// HTTP path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Serves the metrics of a registry as text on a duty of its own.
///
/// # Errors
///
/// The operating system's error if the address can't be bound or the thread can't be started.
pub fn serve_text_metrics(address: SocketAddr, registry: Registry) -> io::Result<HttpHost> {
    let registry = Arc::new(registry);
    HttpHost::start("metrics", address, 1, move |config| {
        configure(&registry, config);
    })
}

fn configure(registry: &Arc<Registry>, config: &mut ServiceConfig) {
    config
        .state(Arc::clone(registry))
        .route(METRICS_PATH, web::get().to(show));
}

async fn show(registry: State<Arc<Registry>>) -> HttpResponse {
    let mut text = String::new();
    match encode(&mut text, &registry) {
        Ok(()) => HttpResponse::Ok()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}
