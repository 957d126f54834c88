//! The non-replicated reference model that replicas are compared with.

use indexmap::IndexMap;
use masticsill_quorum::{Entry, LogIndex, Membership, Payload, VoterId};
use masticsill_types::Term;

/// What a client knows about the outcome of its command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Accepted(LogIndex),
    Pending,
    Refused,
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Command {
    outcome: Outcome,
    /// The highest index that any client had seen accepted or read when the command was proposed.
    floor: LogIndex,
}

/// One log, its clients' commands and reads, and the single leader of each term.
#[derive(Debug, Default)]
pub struct Model {
    log: Vec<Entry>,
    /// The newest committed membership.
    pub membership: Membership,
    leaders: IndexMap<Term, VoterId>,
    commands: IndexMap<u64, Command>,
    reads: IndexMap<u64, (LogIndex, bool)>,
    /// The time at which each new highest index was accepted or read, oldest first.
    accepted: Vec<(u64, LogIndex)>,
    floor: LogIndex,
}

impl Model {
    pub fn elect(&mut self, term: Term, leader: &VoterId) {
        let known = self.leaders.entry(term).or_insert_with(|| leader.clone());
        assert_eq!(known, leader, "two leaders in term {term}");
    }

    /// Records a committed entry; returns whether it was not known to be committed before.
    pub fn commit(&mut self, entry: &Entry) -> bool {
        let position = usize::try_from(entry.index.0).unwrap() - 1;
        if let Some(known) = self.log.get(position) {
            assert_eq!(
                known, entry,
                "two different entries were committed at one index"
            );
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

    /// The numbers of the commands in the committed log up to an index.
    pub fn commands_up_to(&self, index: LogIndex) -> Vec<u64> {
        let count = usize::try_from(index.0).unwrap();
        assert!(
            count <= self.log.len(),
            "a snapshot covers entries that were never committed"
        );
        let commands = self.log[..count].iter().filter_map(command_of);
        commands.collect()
    }

    pub fn propose(&mut self, id: u64) {
        let floor = self.floor;
        let outcome = Outcome::Pending;
        self.commands.insert(id, Command { outcome, floor });
    }

    pub fn outcome(&self, id: u64) -> Option<Outcome> {
        self.commands.get(&id).map(|command| command.outcome)
    }

    pub fn resolve(&mut self, now: u64, id: u64, outcome: Outcome) {
        let Some(command) = self.commands.get_mut(&id) else {
            return;
        };
        assert_eq!(
            command.outcome,
            Outcome::Pending,
            "command {id} is answered twice"
        );
        command.outcome = outcome;
        if let Outcome::Accepted(index) = outcome {
            assert!(
                index > command.floor,
                "command {id} has a lower index than one accepted before it was proposed"
            );
            let held = self.log.get(usize::try_from(index.0).unwrap() - 1);
            assert_eq!(
                held.and_then(command_of),
                Some(id),
                "command {id} was accepted but is not committed at its index"
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
            "read {id} was served before its index was applied"
        );
        assert!(
            applied >= *floor,
            "read {id} misses an entry accepted before the read started"
        );
        *is_done = true;
        self.raise_floor(now, applied);
    }

    /// The newest entry that was acknowledged to a client.
    pub fn newest_accepted(&self) -> Option<&Entry> {
        self.log
            .get(usize::try_from(self.floor.0).unwrap().checked_sub(1)?)
    }

    pub fn done_reads(&self) -> usize {
        self.reads.values().filter(|(_, is_done)| *is_done).count()
    }

    pub fn accepted_commands(&self) -> usize {
        let outcomes = self.commands.values().map(|command| command.outcome);
        outcomes
            .filter(|outcome| matches!(outcome, Outcome::Accepted(_)))
            .count()
    }

    /// Checks a leader's claim that its commit index covers every entry accepted before `at`.
    pub fn check_commit_covers(&self, commit: LogIndex, at: u64) {
        let earlier = self.accepted.iter().rev().find(|(when, _)| *when < at);
        let covered = earlier.map_or(LogIndex(0), |(_, index)| *index);
        assert!(
            commit >= covered,
            "commit index {commit} at time {at} does not cover accepted index {covered}"
        );
    }

    /// Checks that each accepted command is in the log once, and that no refused command is.
    pub fn check_commands(&self) {
        let mut counts: IndexMap<u64, usize> = IndexMap::new();
        for id in self.log.iter().filter_map(command_of) {
            *counts.entry(id).or_default() += 1;
        }
        for (id, command) in &self.commands {
            let count = counts.get(id).copied().unwrap_or(0);
            let is_right = match command.outcome {
                Outcome::Accepted(_) => count == 1,
                Outcome::Pending | Outcome::Unknown => count <= 1,
                Outcome::Refused => count == 0,
            };
            assert!(
                is_right,
                "command {id} with outcome {:?} is in the log {count} times",
                command.outcome
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
