//! Gauges of a control replica, documented in docs/METRICS.md.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use masticsill_registry::{EndpointState, StateGauges};
use masticsill_rollout::Phase;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use tokio::time::sleep;

use crate::rpc::ControlServer;

/// How often the gauges are updated.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// The label with the service of a roll-out.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabel {
    service: String,
}

/// Gauges of one replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct ControlGauges {
    document_version: Gauge<u64, AtomicU64>,
    endpoints: StateGauges,
    is_founded: Gauge,
    is_leading: Gauge,
    rollout_phase: Family<ServiceLabel, Gauge>,
    rollout_share: Family<ServiceLabel, Gauge>,
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
        let help =
            "Phase of the latest roll-out: 0 canary, 1 finishing, 2 completed, 3 rolled back";
        let phase = gauges.rollout_phase.clone();
        registry.register("masticsill_control_rollout_phase", help, phase);
        let help = "Share of new requests that the target version of the latest roll-out gets";
        let share = gauges.rollout_share.clone();
        registry.register("masticsill_control_rollout_share_permille", help, share);
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
        self.update_rollouts(server);
        self.term.set(status.term.0);
        self.voters
            .set(i64::try_from(status.voters.names.len()).unwrap_or(i64::MAX));
        let records = server.endpoints.records();
        let endpoint_states: Vec<EndpointState> =
            records.iter().map(|it| it.announcement.state).collect();
        let shown = [EndpointState::Ready, EndpointState::Draining];
        self.endpoints.update(&shown, &endpoint_states);
    }

    fn update_rollouts(&self, server: &ControlServer) {
        let (rollouts, _) = server
            .published
            .rollouts(server.clock.now(), server.lease_ms);
        for rollout in rollouts.iter() {
            let label = ServiceLabel {
                service: rollout.order.service.clone(),
            };
            let phase = match rollout.phase {
                Phase::Canary { .. } => 0,
                Phase::Finishing => 1,
                Phase::Completed => 2,
                Phase::RolledBack(_) => 3,
            };
            self.rollout_phase.get_or_create(&label).set(phase);
            let share = i64::from(rollout.phase.share_permille());
            self.rollout_share.get_or_create(&label).set(share);
        }
    }
}

/// Updates the gauges periodically until the duty ends.
pub(crate) async fn run_gauges(server: ControlServer, gauges: ControlGauges) {
    loop {
        gauges.update(&server);
        sleep(UPDATE_INTERVAL).await;
    }
}
