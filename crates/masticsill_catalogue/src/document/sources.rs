//! The replicas that a document can be fetched from, and which of them is asked.

use std::net::SocketAddr;

use indexmap::{IndexMap, IndexSet};
use masticsill_types::ClockMs;

/// How long replicas of the own zone may lack a version before another zone's is asked: twice the
/// time in which a replica usually applies what its leader has.
const NEAR_PATIENCE_MS: u64 = 150;

/// A replica that answered last time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DocumentSource {
    /// Whether it is of the own zone: bytes between zones are dear.
    pub is_near: bool,
    /// The version applied there.
    pub version: Option<u64>,
}

/// What is known of a document's versions and the replicas that have them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DocumentSources {
    /// The newest version, and when it was heard of first.
    newest: Option<(u64, ClockMs)>,
    replicas: IndexMap<SocketAddr, DocumentSource>,
}

impl DocumentSources {
    /// Notes a replica's answer.
    pub fn note(&mut self, now: ClockMs, address: SocketAddr, source: DocumentSource) {
        self.replicas.insert(address, source);
        if let Some(version) = source.version.filter(|it| Some(*it) > self.newest()) {
            self.newest = Some((version, now));
        }
    }

    /// Notes that a replica does not answer.
    pub fn forget(&mut self, address: &SocketAddr) {
        self.replicas.shift_remove(address);
    }

    /// What a replica answered last time.
    #[must_use]
    pub fn get(&self, address: &SocketAddr) -> Option<DocumentSource> {
        self.replicas.get(address).copied()
    }

    /// The newest version heard of.
    #[must_use]
    pub fn newest(&self) -> Option<u64> {
        self.newest.map(|(version, _)| version)
    }

    /// Whom to ask for what the newest version consists of. `turn` shares the work of equal
    /// replicas among those who ask.
    #[must_use]
    pub fn lister(
        &self,
        now: ClockMs,
        turn: usize,
        passed_over: &IndexSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        let (newest, since) = self.newest?;
        let is_patient = now.since(since) < NEAR_PATIENCE_MS;
        let has_near = self.replicas.values().any(|source| source.is_near);
        let only_near = is_patient && has_near && passed_over.is_empty();
        self.choose(turn, passed_over, |source| {
            source.version >= Some(newest) && (source.is_near || !only_near)
        })
    }

    /// Whom to ask for pieces of a version.
    #[must_use]
    pub fn holder(
        &self,
        version: u64,
        turn: usize,
        passed_over: &IndexSet<SocketAddr>,
    ) -> Option<SocketAddr> {
        self.choose(turn, passed_over, |source| source.version >= Some(version))
    }

    /// One of the replicas that fit, of the own zone if there is one.
    fn choose(
        &self,
        turn: usize,
        passed_over: &IndexSet<SocketAddr>,
        fits: impl Fn(&DocumentSource) -> bool,
    ) -> Option<SocketAddr> {
        let of_zone = |is_near: bool| {
            let fitting = self.replicas.iter().filter(|(address, source)| {
                source.is_near == is_near && fits(source) && !passed_over.contains(*address)
            });
            let mut fitting: Vec<SocketAddr> = fitting.map(|(address, _)| *address).collect();
            fitting.sort_unstable();
            let position = turn.checked_rem(fitting.len())?;
            fitting.get(position).copied()
        };
        of_zone(true).or_else(|| of_zone(false))
    }
}
