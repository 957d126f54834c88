//! Gauges of the number of endpoints by state, for the metrics of control replicas and relays.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::record::EndpointState;

/// The label with the state that endpoints announced.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StateLabel {
    state: &'static str,
}

/// Number of endpoints in each state.
#[derive(Clone, Debug, Default)]
pub struct StateGauges {
    endpoints: Family<StateLabel, Gauge>,
}

impl StateGauges {
    /// Registers the gauges under a metric name.
    pub fn register(&self, name: &'static str, registry: &mut Registry) {
        let help = "Endpoints by what they say of themselves";
        registry.register(name, help, self.endpoints.clone());
    }

    /// Sets the gauge of each state in `states` to its number of occurrences in `endpoints`, the
    /// states of all endpoints.
    pub fn update(&self, states: &[EndpointState], endpoints: &[EndpointState]) {
        for state in states {
            let count = endpoints.iter().filter(|it| *it == state).count();
            let label = StateLabel {
                state: state.name(),
            };
            let gauge = self.endpoints.get_or_create(&label);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}
