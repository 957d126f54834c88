//! The application that the simulated replicas replicate.

use masticsill_quorum::{Entry, LogIndex, Payload, Snapshot, VoterId};

use super::model::{Model, command_of};

/// A replicated state machine, its clients and their checks.
///
/// Each command starts with its number: eight bytes, little-endian.
pub trait Application {
    /// One replica's state, which is lost in a restart.
    type State: Default;

    /// Builds a complete command that no client waits for.
    fn command(&mut self, number: u64) -> Vec<u8>;

    /// Called once per entry, when the first replica reports it committed.
    fn commit(&mut self, _entry: &Entry) {}

    /// Applies an entry to a replica's state.
    fn apply(&mut self, state: &mut Self::State, entry: &Entry);

    /// Replaces a replica's state with that of a snapshot.
    fn restore(&self, state: &mut Self::State, snapshot: &Snapshot, model: &Model);

    /// Serializes a replica's state for a snapshot.
    fn serialize(&self, state: &Self::State) -> Vec<u8>;

    /// Called when a client's command is accepted by the replica it was sent to.
    fn answer(&mut self, _now: u64, _state: &Self::State, _index: LogIndex) {}

    /// Called when a client starts a read.
    fn begin_read(&mut self, _number: u64) {}

    /// Called when a client's read of a replica's state is served.
    fn end_read(&mut self, _now: u64, _state: &Self::State, _number: u64) {}

    /// Checks the state of a replica that has applied the entire committed log.
    fn check(&self, id: &VoterId, state: &Self::State, model: &Model);
}

/// An application whose state is the list of all command numbers.
#[derive(Debug, Default)]
pub struct Numbers;

impl Application for Numbers {
    type State = Vec<u64>;

    fn command(&mut self, number: u64) -> Vec<u8> {
        number.to_le_bytes().to_vec()
    }

    fn apply(&mut self, state: &mut Vec<u64>, entry: &Entry) {
        if let Payload::Command(bytes) = &entry.payload {
            assert_eq!(bytes.len(), 8, "a command must consist of its number only");
        }
        state.extend(command_of(entry));
    }

    fn restore(&self, state: &mut Vec<u64>, snapshot: &Snapshot, model: &Model) {
        let numbers = snapshot.data.chunks(8);
        let numbers = numbers.map(|bytes| u64::from_le_bytes(bytes.try_into().unwrap()));
        *state = numbers.collect();
        let expected = model.commands_up_to(snapshot.index);
        assert_eq!(
            *state, expected,
            "the snapshot's state differs from the model"
        );
    }

    fn serialize(&self, state: &Vec<u64>) -> Vec<u8> {
        state.iter().flat_map(|id| id.to_le_bytes()).collect()
    }

    fn check(&self, id: &VoterId, state: &Vec<u64>, model: &Model) {
        let expected = model.commands_up_to(model.last_index());
        assert_eq!(*state, expected, "the state of {id} differs from the model");
    }
}
