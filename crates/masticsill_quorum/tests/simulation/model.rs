//! The naive single copy that replicas are compared with.

use indexmap::IndexMap;
use masticsill_quorum::{Entry, LogIndex, Membership, Payload, VoterId};
use masticsill_types::Term;

/// What a client knows of its command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    Accepted(LogIndex),
    Pending,
    Refused,
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Command {
    fate: Fate,
    /// The highest index accepted or read before the command was proposed.
    floor: LogIndex,
}

/// One log, one set of clients and one leader a term.
#[derive(Debug, Default)]
pub struct Model {
    log: Vec<Entry>,
    /// The newest committed membership.
    pub membership: Membership,
    leaders: IndexMap<Term, VoterId>,
    commands: IndexMap<u64, Command>,
    reads: IndexMap<u64, (LogIndex, bool)>,
    /// When each new highest index was accepted, oldest first.
    accepted: Vec<(u64, LogIndex)>,
    floor: LogIndex,
}

impl Model {
    pub fn elect(&mut self, term: Term, leader: &VoterId) {
        let known = self.leaders.entry(term).or_insert_with(|| leader.clone());
        assert_eq!(known, leader, "two leaders in term {term}");
    }

    /// Takes a committed entry in; returns whether it was not known as committed.
    pub fn commit(&mut self, entry: &Entry) -> bool {
        let position = usize::try_from(entry.index.0).unwrap() - 1;
        if let Some(known) = self.log.get(position) {
            assert_eq!(known, entry, "a committed entry differs");
            return false;
        }
        assert_eq!(position, self.log.len(), "committed entries have a gap");
        self.log.push(entry.clone());
        if let Payload::Membership(membership) = &entry.payload {
            self.membership = membership.clone();
        }
        true
    }

    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.log.len() as u64)
    }

    /// The commands of the committed log up to an index.
    pub fn commands_up_to(&self, index: LogIndex) -> Vec<u64> {
        let count = usize::try_from(index.0).unwrap();
        assert!(
            count <= self.log.len(),
            "a snapshot holds what was never committed"
        );
        let commands = self.log[..count].iter().filter_map(command_of);
        commands.collect()
    }

    pub fn propose(&mut self, id: u64) {
        let floor = self.floor;
        let fate = Fate::Pending;
        self.commands.insert(id, Command { fate, floor });
    }

    pub fn fate(&self, id: u64) -> Option<Fate> {
        self.commands.get(&id).map(|command| command.fate)
    }

    pub fn settle(&mut self, now: u64, id: u64, fate: Fate) {
        let Some(command) = self.commands.get_mut(&id) else {
            return;
        };
        assert_eq!(
            command.fate,
            Fate::Pending,
            "command {id} is answered twice"
        );
        command.fate = fate;
        if let Fate::Accepted(index) = fate {
            assert!(
                index > command.floor,
                "command {id} stands before an earlier one"
            );
            let held = self.log.get(usize::try_from(index.0).unwrap() - 1);
            assert_eq!(
                held.and_then(command_of),
                Some(id),
                "accepted, not committed"
            );
            self.raise_floor(now, index);
        }
    }

    fn raise_floor(&mut self, now: u64, index: LogIndex) {
        if index > self.floor {
            self.floor = index;
            self.accepted.push((now, index));
        }
    }

    pub fn begin_read(&mut self, id: u64) {
        self.reads.insert(id, (self.floor, false));
    }

    pub fn end_read(&mut self, now: u64, id: u64, applied: LogIndex, index: LogIndex) {
        let (floor, is_done) = &mut self.reads[&id];
        assert!(
            applied >= index,
            "read {id} is ready before its index is applied"
        );
        assert!(
            applied >= *floor,
            "read {id} misses what was accepted before it began"
        );
        *is_done = true;
        self.raise_floor(now, applied);
    }

    /// The newest entry that a client was told of.
    pub fn newest_accepted(&self) -> Option<&Entry> {
        self.log
            .get(usize::try_from(self.floor.0).unwrap().checked_sub(1)?)
    }

    pub fn done_reads(&self) -> usize {
        self.reads.values().filter(|(_, is_done)| *is_done).count()
    }

    pub fn accepted_commands(&self) -> usize {
        let fates = self.commands.values().map(|command| command.fate);
        fates
            .filter(|fate| matches!(fate, Fate::Accepted(_)))
            .count()
    }

    /// Checks a leader's statement that its commit index covers all accepted before `at`.
    pub fn check_as_of(&self, commit: LogIndex, at: u64) {
        let earlier = self.accepted.iter().rev().find(|(when, _)| *when < at);
        let covered = earlier.map_or(LogIndex(0), |(_, index)| *index);
        assert!(
            commit >= covered,
            "as of {at}: commit {commit} misses {covered}"
        );
    }

    /// Checks that each command is there once, if accepted, and not at all, if refused.
    pub fn check_commands(&self) {
        let mut counts: IndexMap<u64, usize> = IndexMap::new();
        for id in self.log.iter().filter_map(command_of) {
            *counts.entry(id).or_default() += 1;
        }
        for (id, command) in &self.commands {
            let count = counts.get(id).copied().unwrap_or(0);
            let is_right = match command.fate {
                Fate::Accepted(_) => count == 1,
                Fate::Pending | Fate::Unknown => count <= 1,
                Fate::Refused => count == 0,
            };
            assert!(
                is_right,
                "command {id}, {:?}, stands {count} times",
                command.fate
            );
        }
    }
}

/// The number of a command entry.
pub fn command_of(entry: &Entry) -> Option<u64> {
    match &entry.payload {
        Payload::Command(bytes) => Some(u64::from_le_bytes(*bytes.first_chunk().unwrap())),
        Payload::Membership(_) | Payload::Noop => None,
    }
}
