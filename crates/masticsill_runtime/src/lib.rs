//! Building blocks of a process: threads, bounded queues, RPC and HTTP listeners, logging, metrics
//! and signals.
//!
//! A process is a set of duties: long-running tasks, each on a thread of its own, that pass items
//! to each other through [`Ring`]s.

mod cluster;
mod duty;
pub mod events;
mod http;
mod http_client;
mod log_rate_limiter;
mod logging;
mod metrics;
mod ring;
mod rpc;
mod shutdown;
mod structured;
mod text_metrics;

pub use cluster::{ClusterTag, cluster_tag, set_process_cluster};
pub use duty::{DutyHandle, spawn_async_duty, spawn_duty};
pub use http::HttpHost;
pub use http_client::is_unsent;
pub use log_rate_limiter::LogRateLimiter;
pub use logging::start_logging;
pub use metrics::{Metrics, MetricsError};
pub use ring::{Ring, RingFull};
pub use rpc::{
    RpcListener, RpcTransport, ServiceStream, call_context, connect_to_cluster, connect_transport,
    listen,
};
pub use shutdown::{ShutdownSignal, watch_signals};
pub use structured::{LogGuard, start_structured_logging, start_structured_logging_to};
pub use text_metrics::{METRICS_PATH, serve_text_metrics};
