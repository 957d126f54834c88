//! Tracks which writes are synced and which actions wait for a sync.

use std::collections::VecDeque;

use masticsill_types::Term;

use crate::{Envelope, LogIndex, SyncPoint};

/// An action that takes effect only once a write is synced.
#[derive(Debug)]
pub(crate) enum Deferred {
    /// Count the replica's own log as durable up to an entry.
    OwnEntry { index: LogIndex, term: Term },
    /// Count the replica's vote for itself.
    OwnVote { term: Term },
    /// Send a message.
    Send(Envelope),
}

/// The write points requested and synced, and the actions that wait for them.
#[derive(Debug)]
pub(crate) struct Durability {
    issued: SyncPoint,
    synced: SyncPoint,
    term_write_point: SyncPoint,
    /// The last index of the current log that is synced.
    synced_index: LogIndex,
    deferred_actions: VecDeque<(SyncPoint, Deferred)>,
}

impl Durability {
    pub(crate) fn new(synced_index: LogIndex) -> Self {
        Self {
            issued: SyncPoint::default(),
            synced: SyncPoint::default(),
            term_write_point: SyncPoint::default(),
            synced_index,
            deferred_actions: VecDeque::new(),
        }
    }

    /// The last index of the current log that is synced.
    pub(crate) fn synced_index(&self) -> LogIndex {
        self.synced_index
    }

    pub(crate) fn next_point(&mut self) -> SyncPoint {
        self.issued = SyncPoint(self.issued.0 + 1);
        self.issued
    }

    /// Records that the newest write stores the term and vote.
    pub(crate) fn mark_term_write(&mut self) {
        self.term_write_point = self.issued;
    }

    pub(crate) fn is_term_synced(&self) -> bool {
        self.term_write_point <= self.synced
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        self.synced_index = self.synced_index.min(index.previous());
        // The same entry may be appended again later; the sync of the earlier write does not prove
        // the later one durable.
        self.deferred_actions
            .retain(|(_, deferred)| match deferred {
                Deferred::OwnEntry { index: own, .. } => *own < index,
                Deferred::OwnVote { .. } | Deferred::Send(_) => true,
            });
    }

    pub(crate) fn raise_synced_index(&mut self, index: LogIndex) {
        self.synced_index = self.synced_index.max(index);
    }

    /// Defers an action until every write requested so far is synced.
    pub(crate) fn defer(&mut self, deferred: Deferred) {
        self.deferred_actions.push_back((self.issued, deferred));
    }

    pub(crate) fn mark_synced(&mut self, up_to: SyncPoint) {
        self.synced = self.synced.max(up_to.min(self.issued));
    }

    /// Removes and returns the next deferred action whose writes are all synced.
    pub(crate) fn pop_ready(&mut self) -> Option<Deferred> {
        let (point, _) = self.deferred_actions.front()?;
        if *point > self.synced {
            return None;
        }
        self.deferred_actions
            .pop_front()
            .map(|(_, deferred)| deferred)
    }
}
