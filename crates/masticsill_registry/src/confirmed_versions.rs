//! Versions of services that a majority of the control replicas have stored.
//!
//! A new stream begins at such a version only, while there is one with endpoints. Any majority of
//! the replicas then knows every version at which a stream may have begun, also while some replicas
//! are cut off or have ended, and after all of them have restarted.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

use crate::stream_origins::StreamOrigin;

/// The replicas that have stored a version.
#[derive(Clone, Debug, Default)]
struct VersionReports {
    is_confirmed: bool,
    replicas: IndexSet<SocketAddr>,
}

/// The versions of each service, and who has stored them.
#[derive(Clone, Debug, Default)]
pub struct ConfirmedVersions {
    /// What each replica has stored, by its last report.
    reports: IndexMap<SocketAddr, Vec<StreamOrigin>>,
    services: IndexMap<String, IndexMap<String, VersionReports>>,
}

impl ConfirmedVersions {
    /// Records that there is an endpoint of a version.
    pub fn note_known(&mut self, service: &str, version: &str) {
        let versions = self.services.entry(service.to_owned()).or_default();
        if versions.contains_key(version) {
            return;
        }
        let has_stored = |report: &[StreamOrigin]| {
            let mut stored = report.iter();
            stored.any(|it| it.service == service && it.version == version)
        };
        let replicas = self.reports.iter().filter(|(_, it)| has_stored(it));
        let reports = VersionReports {
            is_confirmed: false,
            replicas: replicas.map(|(replica, _)| *replica).collect(),
        };
        versions.insert(version.to_owned(), reports);
    }

    /// Records all versions that a replica has stored.
    pub fn note_stored(&mut self, from: SocketAddr, stored: Vec<StreamOrigin>) {
        for StreamOrigin { service, version } in &stored {
            let versions = self.services.get_mut(service);
            if let Some(reports) = versions.and_then(|it| it.get_mut(version)) {
                reports.replicas.insert(from);
            }
        }
        self.reports.insert(from, stored);
    }

    /// Confirms the versions that a majority has stored. Due after each report, and when the voters
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
