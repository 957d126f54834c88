//! The voters of the control quorum as the control replicas report them, and which replicas are a
//! majority of them.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};

/// How much of the control quorum some replicas are.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum QuorumShare {
    /// Possibly less than a majority.
    #[default]
    Minority,
    /// A majority of the voters.
    Majority,
    /// All voters.
    All,
}

/// The voters that each control replica reported last.
///
/// A replica reports the newest voters of its log, and only while it is one of them. Replicas that
/// joined or were removed lately may be missing from some of the reports.
#[derive(Clone, Debug, Default)]
pub struct ReportedVoters {
    by_replica: IndexMap<SocketAddr, Vec<SocketAddr>>,
}

impl ReportedVoters {
    /// Records the voters that a replica reported; returns whether they differ from its former
    /// report. One address may stand for two voters, of which one has lost its data folder.
    pub fn note(&mut self, replica: SocketAddr, voters: Vec<SocketAddr>) -> bool {
        if voters.is_empty() {
            return self.remove(&replica);
        }
        let is_changed = self.by_replica.get(&replica) != Some(&voters);
        if is_changed {
            self.by_replica.insert(replica, voters);
        }
        is_changed
    }

    /// Forgets the report of a replica that doesn't answer; returns whether there was one.
    pub fn remove(&mut self, replica: &SocketAddr) -> bool {
        self.by_replica.swap_remove(replica).is_some()
    }

    /// Every voter that any replica reports.
    #[must_use]
    pub fn voters(&self) -> IndexSet<SocketAddr> {
        self.by_replica.values().flatten().copied().collect()
    }

    /// How much of the quorum the replicas are that satisfy `is_included`.
    ///
    /// They count as a majority only if those among the voters of one report are a majority of the
    /// voters that each of them reports. If the quorum had moved on to other voters, a majority of
    /// the former ones would have had to store that, and one of the replicas would report it.
    #[must_use]
    pub fn share(&self, is_included: impl Fn(&SocketAddr) -> bool) -> QuorumShare {
        let shares = self.by_replica.values().map(|voters| {
            let reporting = voters.iter().filter(|it| self.by_replica.contains_key(*it));
            let included: IndexSet<SocketAddr> =
                reporting.filter(|it| is_included(it)).copied().collect();
            self.share_of(&included)
        });
        shares.max().unwrap_or_default()
    }

    /// The least share that the replicas `included` are by the report of each of them.
    fn share_of(&self, included: &IndexSet<SocketAddr>) -> QuorumShare {
        let reports = included.iter().map(|it| &self.by_replica[it]);
        let shares = reports.map(|voters| share_of_voters(voters, included));
        shares.min().unwrap_or_default()
    }
}

fn share_of_voters(voters: &[SocketAddr], included: &IndexSet<SocketAddr>) -> QuorumShare {
    let count = included.iter().filter(|it| voters.contains(it)).count();
    if count == voters.len() {
        QuorumShare::All
    } else if 2 * count > voters.len() {
        QuorumShare::Majority
    } else {
        QuorumShare::Minority
    }
}
