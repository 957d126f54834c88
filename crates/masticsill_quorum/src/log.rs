//! The replicated log in memory: entries, the newest snapshot and the memberships.

use std::collections::VecDeque;

use masticsill_types::Term;

use crate::{Entry, LogIndex, Membership, Payload, Snapshot};

/// The in-memory log: all entries after a base entry, which is not held itself.
#[derive(Debug)]
pub(crate) struct ReplicaLog {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Memberships with the index of the entry that set them; the first is in effect at the base.
    memberships: Vec<(LogIndex, Membership)>,
    snapshot: Option<Snapshot>,
}

impl ReplicaLog {
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: LogIndex::default(),
            base_term: Term::default(),
            entries: VecDeque::new(),
            memberships: vec![(LogIndex::default(), Membership::default())],
            snapshot: None,
        };
        if let Some(snapshot) = snapshot {
            log.replace_with(snapshot);
        }
        log.append(entries);
        log
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(LogIndex::default(), |snapshot| snapshot.index)
    }

    /// The newest membership and the entry that set it.
    pub(crate) fn membership(&self) -> (LogIndex, &Membership) {
        let (index, membership) = self
            .memberships
            .last()
            .expect("the membership at the base is never dropped");
        (*index, membership)
    }

    pub(crate) fn membership_at(&self, index: LogIndex) -> &Membership {
        let in_force = self.memberships.iter().rev().find(|(set, _)| *set <= index);
        let (_, membership) = in_force.unwrap_or(&self.memberships[0]);
        membership
    }

    /// The term of an entry, if the log holds it or it is the base entry.
    pub(crate) fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `first` on, limited by count and payload bytes. The first entry is included
    /// even if it exceeds `max_bytes`.
    pub(crate) fn batch(
        &self,
        first: LogIndex,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<Entry> {
        let mut batch = Vec::new();
        let mut size_bytes = 0;
        let mut index = first;
        while let Some(entry) = self.entry(index) {
            size_bytes += entry.payload.size_bytes();
            let is_full = batch.len() >= max_entries || size_bytes > max_bytes;
            if is_full && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
            index = index.next();
        }
        batch
    }

    /// The entries after `after`, up to and including `up_to`.
    pub(crate) fn between(&self, after: LogIndex, up_to: LogIndex) -> Vec<Entry> {
        let count = usize::try_from(up_to.0.saturating_sub(after.0)).unwrap_or(usize::MAX);
        if count == 0 {
            return Vec::new();
        }
        self.batch(after.next(), count, usize::MAX)
    }

    pub(crate) fn append(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            assert_eq!(entry.index, self.last_index().next(), "the log has no gaps");
            if let Payload::Membership(membership) = &entry.payload {
                self.memberships.push((entry.index, membership.clone()));
            }
            self.entries.push_back(entry);
        }
    }

    pub(crate) fn truncate_from(&mut self, index: LogIndex) {
        while self.last_index() >= index && self.entries.pop_back().is_some() {}
        let last = self.last_index();
        while self.memberships.len() > 1 && self.membership().0 > last {
            self.memberships.pop();
        }
    }

    /// The last index at or below `index` whose term is lower than that of the entry at `index`; at
    /// least the base index.
    pub(crate) fn last_index_before_term_of(&self, index: LogIndex) -> LogIndex {
        let mut candidate = index.min(self.last_index());
        let Some(term) = self.term(candidate) else {
            return candidate;
        };
        while candidate > self.base_index && self.term(candidate) == Some(term) {
            candidate = candidate.previous();
        }
        candidate
    }

    /// Stores a snapshot of this log's own prefix and drops all but the last `retained_entries`
    /// entries before it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, retained_entries: u64) {
        let new_base = LogIndex(snapshot.index.0.saturating_sub(retained_entries));
        while self.base_index < new_base {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        self.drop_old_memberships();
        self.snapshot = Some(snapshot);
    }

    /// Installs the leader's snapshot. Entries after it are kept if the log matches the snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        if self.term(snapshot.index) == Some(snapshot.term) {
            self.compact(snapshot, 0);
        } else {
            self.replace_with(snapshot);
        }
    }

    fn replace_with(&mut self, snapshot: Snapshot) {
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.entries.clear();
        self.memberships = vec![(snapshot.index, snapshot.membership.clone())];
        self.snapshot = Some(snapshot);
    }

    fn drop_old_memberships(&mut self) {
        let base = self.base_index;
        let is_superseded = |next: &(LogIndex, Membership)| next.0 <= base;
        while self.memberships.get(1).is_some_and(is_superseded) {
            self.memberships.remove(0);
        }
    }
}
