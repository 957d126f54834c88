//! Errors that keep a control replica from starting.

use std::io;

use masticsill_quorum::SettingsError;
use masticsill_quorum::storage::StorageError;
use thiserror::Error;

use crate::quorum::StateError;

/// A control replica could not be started.
#[derive(Debug, Error)]
pub enum ControlError {
    /// An address can't be bound, or a thread can't be started.
    #[error("control replica can't start: {0}; check its addresses and the process limits")]
    Io(#[from] io::Error),
    /// The quorum's settings are inconsistent with the leader's lease.
    #[error("control settings are refused: {0}")]
    Settings(#[from] SettingsError),
    /// The durable state can't be read.
    #[error(transparent)]
    State(#[from] StateError),
    /// The data folder can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
}
