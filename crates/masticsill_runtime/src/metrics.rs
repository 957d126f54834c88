//! Metrics sent to a `StatsD` listener.

use std::fmt;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricError, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};

/// Prefix of all metric names.
const PREFIX: &str = "masticsill";
/// Most metrics that wait to be sent; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4096;

/// The socket to the `StatsD` listener could not be set up.
#[derive(Debug)]
pub struct MetricsError(MetricError);

impl fmt::Display for MetricsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "metrics can't be sent: {}; correct `metrics.statsd_address` or leave it out",
            self.0
        )
    }
}

impl std::error::Error for MetricsError {}

/// Sends counters, gauges and timings. Clones share one queue.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Returns a client that discards all metrics.
    #[must_use]
    pub fn disabled() -> Self {
        let client = StatsdClient::from_sink(PREFIX, NopMetricSink);
        Self {
            client: Arc::new(client),
        }
    }

    /// Returns a client that sends metrics to a `StatsD` listener over UDP, through a bounded queue
    /// and a thread of its own.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] if no socket can be opened.
    pub fn to_statsd(address: SocketAddr) -> Result<Self, MetricsError> {
        let bind = if address.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(bind).map_err(|error| MetricsError(error.into()))?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(MetricsError)?;
        let queue = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
        let client = StatsdClient::from_sink(PREFIX, queue);
        Ok(Self {
            client: Arc::new(client),
        })
    }

    /// Adds `amount` to a counter. A metric that can't be sent is dropped.
    pub fn count(&self, name: &str, amount: u64) {
        let _ = self.client.count(name, amount);
    }

    /// Sets a gauge. A metric that can't be sent is dropped.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration in milliseconds. A metric that can't be sent is dropped.
    pub fn time_ms(&self, name: &str, duration_ms: u64) {
        let _ = self.client.time(name, duration_ms);
    }
}
