//! The replicas from which a document can be fetched, and the choice among them.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_types::ClockMs;

/// How long replicas in the requester's own zone may lack a version before a replica in another
/// zone is asked: twice the time in which a replica usually applies what its leader has.
const SAME_ZONE_WAIT_MS: u64 = 150;

/// A replica that answered the last request, and its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DocumentSource {
    /// Whether the replica is in the requester's own zone; it is preferred, because traffic between
    /// zones is expensive.
    pub is_same_zone: bool,
    /// The document version that the replica has applied, if any.
    pub version: Option<u64>,
}

/// The known versions of the document and the replicas that have them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DocumentSources {
    /// The newest version known, and when it was first reported.
    newest: Option<(u64, ClockMs)>,
    replicas: IndexMap<SocketAddr, DocumentSource>,
}

impl DocumentSources {
    /// Records a replica's answer.
    pub fn record_answer(&mut self, now: ClockMs, address: SocketAddr, source: DocumentSource) {
        self.replicas.insert(address, source);
        if let Some(version) = source.version.filter(|it| Some(*it) > self.newest()) {
            self.newest = Some((version, now));
        }
    }

    /// Removes a replica that does not answer. The newest version known stays.
    pub fn remove(&mut self, address: &SocketAddr) {
        self.replicas.shift_remove(address);
    }

    /// The last answer of a replica; `None` if it has never answered or was removed.
    #[must_use]
    pub fn get(&self, address: &SocketAddr) -> Option<DocumentSource> {
        self.replicas.get(address).copied()
    }

    /// The newest version that any replica has reported.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.newest.map(|(version, _)| version)
    }

    /// The replica to ask for the piece list of the newest version, except for those in
    /// `excluded`. `turn` distributes requesters over equally suitable replicas.
    ///
    /// `None` if no replica has the version, or if it is still expected to reach the replicas in
    /// the requester's own zone.
    #[must_use]
    pub fn choose_list_source(
        &self,
        now: ClockMs,
        turn: usize,
        excluded: &IndexSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        let (newest, since) = self.newest?;
        let is_waiting_for_zone = now.since(since) < SAME_ZONE_WAIT_MS;
        let has_same_zone = self.replicas.values().any(|source| source.is_same_zone);
        let only_same_zone = is_waiting_for_zone && has_same_zone && excluded.is_empty();
        self.choose(turn, excluded, |source| {
            source.version >= Some(newest) && (source.is_same_zone || !only_same_zone)
        })
    }

    /// The replica to ask for pieces of a version, except for those in `excluded`.
    #[must_use]
    pub fn choose_piece_source(
        &self,
        version: u64,
        turn: usize,
        excluded: &IndexSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        self.choose(turn, excluded, |source| source.version >= Some(version))
    }

    /// One of the replicas that fit, preferably one in the requester's own zone.
    fn choose(
        &self,
        turn: usize,
        excluded: &IndexSet<SocketAddr>,
        fits: impl Fn(&DocumentSource) -> bool,
    ) -> Option<SocketAddr> {
        let choose_in = |is_same_zone: bool| {
            let fitting = self.replicas.iter().filter(|(address, source)| {
                source.is_same_zone == is_same_zone && fits(source) && !excluded.contains(*address)
            });
            let mut fitting: Vec<SocketAddr> = fitting.map(|(address, _)| *address).collect();
            fitting.sort_unstable();
            let position = turn.checked_rem(fitting.len())?;
            fitting.get(position).copied()
        };
        choose_in(true).or_else(|| choose_in(false))
    }
}
