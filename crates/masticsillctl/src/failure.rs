//! Failures of commands and their exit codes.

use masticsill_wire::admin::ErrorJson;
use thiserror::Error;

/// Exit code of failures that have no specific code.
pub(crate) const OTHER: u8 = 1;

/// The reason why a command failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The command line or an input file is invalid.
    #[error("{0}")]
    Usage(String),
    /// The entry is no longer at the expected version: another change was accepted first.
    #[error("{}", .0.message)]
    Conflict(ErrorJson),
    /// A control instance refused the call.
    #[error("{}", .0.message)]
    Refused(ErrorJson),
    /// No control instance answered the call, and no change was sent.
    #[error("no control instance answered ({cause}); check --address, nothing was done")]
    Unavailable {
        /// Error of the last attempt.
        cause: String,
    },
    /// The new replica did not become a voter within the time of `--timeout-s`; the control
    /// instances go on with the change.
    #[error(
        "`{node}` has not taken over yet; the replacement goes on by itself, see \
         `masticsillctl replicas`"
    )]
    StillReplacing {
        /// Name of the new replica.
        node: String,
    },
    /// A change was sent, but no answer arrived; it may be in force.
    #[error(
        "no answer ({cause}); the change may be in force: run this again with \
         `--change-id {change_id} --expected-version {expected_version}`"
    )]
    OutcomeUnknown {
        /// Error of the last attempt.
        cause: String,
        /// Id of the change, to send it again under.
        change_id: String,
        /// Version of the entry that the change replaces.
        expected_version: u64,
    },
}

impl Failure {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Conflict(_) => 3,
            Self::Refused(_) => 4,
            Self::Unavailable { .. } => 5,
            Self::OutcomeUnknown { .. } => 6,
            Self::StillReplacing { .. } => OTHER,
        }
    }
}
