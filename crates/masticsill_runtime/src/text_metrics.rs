//! Metrics served as text, for whoever collects them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ntex::web::types::State;
use ntex::web::{self, HttpResponse, ServiceConfig};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

use crate::http::HttpHost;

/// Where the text is served.
pub const METRICS_PATH: &str = "/metrics";

/// Serves a registry as text on a duty of its own.
///
/// # Errors
///
/// The operating system's error when the address can't be bound or no thread can be started.
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
