//! Versions of services that a majority of the control replicas know.
//!
//! A new stream begins at such a version only, while there is one with endpoints. Any majority of
//! the replicas then knows every version at which a stream may have begun, also while some replicas
//! are cut off or have ended.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

/// The replicas that have reported endpoints of a version.
#[derive(Clone, Debug, Default)]
struct VersionReports {
    is_confirmed: bool,
    replicas: IndexSet<SocketAddr>,
}

/// The versions of each service, and who has reported them.
#[derive(Clone, Debug, Default)]
pub struct ConfirmedVersions {
    services: IndexMap<String, IndexMap<String, VersionReports>>,
}

impl ConfirmedVersions {
    /// Records that a replica reported an endpoint of a version.
    pub fn note(&mut self, from: SocketAddr, service: &str, version: &str) {
        let versions = self.services.entry(service.to_owned()).or_default();
        let reports = versions.entry(version.to_owned()).or_default();
        reports.replicas.insert(from);
    }

    /// Confirms the versions that a majority has reported. Due after each report, and when the voters
    /// have changed.
    pub fn confirm(&mut self, is_majority: impl Fn(&IndexSet<SocketAddr>) -> bool) {
        let reports = self.services.values_mut().flat_map(IndexMap::values_mut);
        for reports in reports.filter(|it| !it.is_confirmed) {
            reports.is_confirmed = is_majority(&reports.replicas);
        }
    }

    /// Forgets the versions of services for which `is_known` is false, since they have no endpoint.
    pub fn prune(&mut self, is_known: impl Fn(&str, &str) -> bool) {
        self.services.retain(|service, versions| {
            versions.retain(|version, _| is_known(service, version));
            !versions.is_empty()
        });
    }

    /// The versions of a service that are not confirmed. None if no confirmed version is ready: the
    /// entry may have started while it reaches a minority of the replicas only, and serves then.
    #[must_use]
    pub fn unconfirmed(&self, service: &str, is_ready: impl Fn(&str) -> bool) -> Vec<String> {
        let Some(versions) = self.services.get(service).filter(|it| it.len() > 1) else {
            return Vec::new();
        };
        let mut confirmed = versions.iter().filter(|(_, it)| it.is_confirmed);
        if !confirmed.any(|(version, _)| is_ready(version)) {
            return Vec::new();
        }
        let unconfirmed = versions.iter().filter(|(_, it)| !it.is_confirmed);
        unconfirmed.map(|(version, _)| version.clone()).collect()
    }
}
