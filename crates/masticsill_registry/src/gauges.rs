//! Counts of endpoints by state, for the metrics of those who hold a table of them.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::record::EndpointState;

/// What endpoints say of themselves.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StateLabel {
    state: &'static str,
}

/// How many endpoints there are in each state.
#[derive(Clone, Debug, Default)]
pub struct StateGauges {
    endpoints: Family<StateLabel, Gauge>,
}

impl StateGauges {
    /// Shows the gauges under a name.
    pub fn register(&self, name: &'static str, registry: &mut Registry) {
        let help = "Endpoints by what they say of themselves";
        registry.register(name, help, self.endpoints.clone());
    }

    /// Counts the endpoints of each of the states.
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
