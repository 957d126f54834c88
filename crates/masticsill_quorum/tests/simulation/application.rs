//! What the simulated replicas replicate.

use masticsill_quorum::{Entry, LogIndex, Payload, Snapshot, VoterId};

use super::model::{Model, command_of};

/// A replicated state machine, its clients and what they check.
///
/// A command begins with its number, eight bytes little-endian.
pub trait Application {
    /// One replica's state; a restart forgets it.
    type State: Default;

    /// A whole command that no client waits for.
    fn command(&mut self, number: u64) -> Vec<u8>;

    /// An entry is committed, wherever that is known first.
    fn commit(&mut self, _entry: &Entry) {}

    /// A replica applies an entry.
    fn apply(&mut self, state: &mut Self::State, entry: &Entry);

    /// A replica takes a snapshot's state over.
    fn restore(&self, state: &mut Self::State, snapshot: &Snapshot, model: &Model);

    /// A replica's state for a snapshot.
    fn serialise(&self, state: &Self::State) -> Vec<u8>;

    /// A client's command is accepted by the replica that it asked.
    fn answer(&mut self, _now: u64, _state: &Self::State, _index: LogIndex) {}

    /// A client begins to read.
    fn begin_read(&mut self, _number: u64) {}

    /// A client reads a replica's state.
    fn end_read(&mut self, _now: u64, _state: &Self::State, _number: u64) {}

    /// Checks a replica's state that has applied the whole committed log.
    fn check(&self, id: &VoterId, state: &Self::State, model: &Model);
}

/// Numbers in a list.
#[derive(Debug, Default)]
pub struct Numbers;

impl Application for Numbers {
    type State = Vec<u64>;

    fn command(&mut self, number: u64) -> Vec<u8> {
        number.to_le_bytes().to_vec()
    }

    fn apply(&mut self, state: &mut Vec<u64>, entry: &Entry) {
        if let Payload::Command(bytes) = &entry.payload {
            assert_eq!(bytes.len(), 8, "a number has no content");
        }
        state.extend(command_of(entry));
    }

    fn restore(&self, state: &mut Vec<u64>, snapshot: &Snapshot, model: &Model) {
        let numbers = snapshot.data.chunks(8);
        let numbers = numbers.map(|bytes| u64::from_le_bytes(bytes.try_into().unwrap()));
        *state = numbers.collect();
        let expected = model.commands_up_to(snapshot.index);
        assert_eq!(*state, expected, "a wrong snapshot");
    }

    fn serialise(&self, state: &Vec<u64>) -> Vec<u8> {
        state.iter().flat_map(|id| id.to_le_bytes()).collect()
    }

    fn check(&self, id: &VoterId, state: &Vec<u64>, model: &Model) {
        let expected = model.commands_up_to(model.last_index());
        assert_eq!(*state, expected, "{id} differs");
    }
}
