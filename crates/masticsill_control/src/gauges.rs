//! Gauges of a control replica, documented in docs/METRICS.md.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use masticsill_registry::{EndpointState, StateGauges};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::time::sleep;

use crate::rpc::ControlServer;

/// How often the gauges are updated.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Gauges of one replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlGauges {
    document_version: Gauge<u64, AtomicU64>,
    endpoints: StateGauges,
    endpoints_down: Gauge,
    is_founded: Gauge,
    is_leading: Gauge,
    term: Gauge<u64, AtomicU64>,
    voters: Gauge,
}

impl ControlGauges {
    /// Creates the gauges and registers them.
    pub(crate) fn new(registry: &mut Registry) -> Self {
        let gauges = Self::default();
        let help = "Version of the document applied here";
        let version = gauges.document_version.clone();
        registry.register("masticsill_control_document_version", help, version);
        gauges
            .endpoints
            .register("masticsill_control_endpoints", registry);
        let help = "Endpoints of this replica's zone that it reports as down";
        registry.register(
            "masticsill_control_endpoints_down",
            help,
            gauges.endpoints_down.clone(),
        );
        let help = "Whether the data folder belongs to a cluster";
        registry.register(
            "masticsill_control_founded",
            help,
            gauges.is_founded.clone(),
        );
        let help = "Whether this replica leads and has proved it";
        registry.register(
            "masticsill_control_leading",
            help,
            gauges.is_leading.clone(),
        );
        let help = "Term of the quorum";
        registry.register("masticsill_control_term", help, gauges.term.clone());
        let help = "Voters of the newest membership";
        registry.register("masticsill_control_voters", help, gauges.voters.clone());
        gauges
    }

    fn update(&self, server: &ControlServer) {
        let status = server.quorum.status();
        let version = server.published.document().map(|document| document.version);
        self.document_version.set(version.unwrap_or_default());
        self.is_founded.set(i64::from(status.is_founded));
        self.is_leading.set(i64::from(status.is_leading));
        self.term.set(status.term.0);
        self.voters
            .set(i64::try_from(status.voters).unwrap_or(i64::MAX));
        let (down, _) = server.endpoints.outages().snapshot();
        self.endpoints_down
            .set(i64::try_from(down.len()).unwrap_or(i64::MAX));
        let records = server.endpoints.records();
        let endpoint_states: Vec<EndpointState> =
            records.iter().map(|it| it.announcement.state).collect();
        let shown = [EndpointState::Ready, EndpointState::Draining];
        self.endpoints.update(&shown, &endpoint_states);
    }
}

/// Updates the gauges periodically until the duty ends.
pub(crate) async fn run_gauges(server: ControlServer, gauges: ControlGauges) {
    loop {
        gauges.update(&server);
        sleep(UPDATE_INTERVAL).await;
    }
}
