//! The replicated state of this replica, its durable encoding and its freshness.

use std::sync::Arc;

use masticsill_catalogue::{
    Action, Command, CommandAnswer, ControlState, Freshness, StoredDocument,
};
use masticsill_quorum::{Entry, LogIndex, Payload, Snapshot};
use masticsill_rollout::Rollouts;
use masticsill_types::{CatalogueVersion, ClockMs, wall_ms};
use masticsill_wire::control::AuditPage;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// An entry of the log or a snapshot can't be decoded by this version.
#[derive(Clone, Debug, Error)]
#[error("{what} can't be read ({source}); run the version of masticsill that wrote it, or newer")]
pub struct StateError {
    what: &'static str,
    source: postcard::Error,
}

/// Durable encoding of a command. Variants are only ever added at the end.
#[derive(Deserialize, Serialize)]
enum StoredCommand {
    V1(Command),
}

/// Durable encoding of the state. Variants are only ever added at the end.
#[derive(Deserialize, Serialize)]
enum StoredState {
    V1(ControlState),
    /// The state together with the catalogue document.
    V2(ControlState, Option<StoredDocument>),
    /// The state together with the catalogue document and the roll-outs.
    V3(ControlState, Option<StoredDocument>, Rollouts),
}

/// The replicated state and the index up to which it is applied.
#[derive(Debug)]
pub(crate) struct StateMachine {
    applied: LogIndex,
    /// A proof of freshness for a version that is not applied here yet.
    awaited_proof: Option<(CatalogueVersion, ClockMs)>,
    freshness: Freshness,
    state: ControlState,
}

impl StateMachine {
    pub(crate) fn new(started_at: ClockMs) -> Self {
        Self {
            applied: LogIndex::default(),
            awaited_proof: None,
            freshness: Freshness::new(started_at),
            state: ControlState::default(),
        }
    }

    pub(crate) fn state(&self) -> &ControlState {
        &self.state
    }

    /// Replaces the state by that of a snapshot; a founding snapshot holds no state.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) -> Result<(), StateError> {
        let what = "the snapshot";
        self.state = if snapshot.data.is_empty() {
            ControlState::default()
        } else {
            let stored = postcard::from_bytes(&snapshot.data)
                .map_err(|source| StateError { what, source })?;
            match stored {
                StoredState::V1(state) => state,
                StoredState::V2(state, document) => state.with_document(document),
                StoredState::V3(state, document, rollouts) => {
                    state.with_document(document).with_rollouts(rollouts)
                }
            }
        };
        self.applied = snapshot.index;
        Ok(())
    }

    /// Applies a committed entry; returns the answer if the entry holds a command.
    pub(crate) fn apply(&mut self, entry: &Entry) -> Result<Option<CommandAnswer>, StateError> {
        let answer = match &entry.payload {
            Payload::Command(bytes) => {
                let what = "a command of the log";
                let StoredCommand::V1(command) =
                    postcard::from_bytes(bytes).map_err(|source| StateError { what, source })?;
                Some(self.state.apply(&command))
            }
            Payload::Membership(_) | Payload::Noop => None,
        };
        self.applied = entry.index;
        Ok(answer)
    }

    /// Renews the freshness of this state if it is applied up to `index`: at `as_of` it held every
    /// accepted change.
    pub(crate) fn renew_as_leader(&mut self, index: LogIndex, as_of: ClockMs) {
        if self.applied >= index {
            self.freshness.renew(as_of);
        }
    }

    /// Renews the freshness by the leader's proof for a version, now or once that version is
    /// applied.
    pub(crate) fn renew_by_proof(&mut self, version: CatalogueVersion, as_of: ClockMs) {
        self.renew_if_awaited();
        if self.state.catalogue().version() >= version {
            self.freshness.renew(as_of);
        } else if self.awaited_proof.is_none() {
            // The oldest pending proof is kept: if each newer one replaced it, a steady stream of
            // proofs for versions not yet applied could keep the state from ever being renewed.
            self.awaited_proof = Some((version, as_of));
        }
    }

    fn renew_if_awaited(&mut self) {
        if let Some((version, as_of)) = self.awaited_proof
            && self.state.catalogue().version() >= version
        {
            self.freshness.renew(as_of);
            self.awaited_proof = None;
        }
    }

    /// When this state was last known to hold every accepted change.
    pub(crate) fn freshness(&mut self) -> Freshness {
        self.renew_if_awaited();
        self.freshness
    }

    pub(crate) fn audit_page(&self, after: u64, limit: u32) -> AuditPage {
        let audit = self.state.audit();
        AuditPage {
            last_sequence: audit.last_sequence(),
            records: audit.after(after).take(limit as usize).cloned().collect(),
        }
    }
}

/// Encodes a command with the current wall-clock time.
pub(crate) fn encode_command(action: Action) -> Arc<[u8]> {
    let command = Command {
        action,
        at_wall_ms: wall_ms(),
    };
    let bytes = postcard::to_stdvec(&StoredCommand::V1(command));
    Arc::from(bytes.expect("commands always encode into memory"))
}

/// Encodes the state for a snapshot. A state without roll-outs is encoded as by releases that know
/// of none, so that such a release can still read it.
pub(crate) fn encode_state(state: ControlState) -> Vec<u8> {
    let document = state.document().cloned();
    let stored = if state.rollouts().revision() == 0 {
        StoredState::V2(state, document)
    } else {
        let rollouts = state.rollouts().clone();
        StoredState::V3(state, document, rollouts)
    };
    let bytes = postcard::to_stdvec(&stored);
    bytes.expect("the state always encodes into memory")
}
