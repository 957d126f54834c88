//! Why a command failed, and the exit code that says so to a script.

use masticsill_wire::admin::ErrorJson;
use thiserror::Error;

/// Exit code of failures without one of their own.
pub(crate) const OTHER: u8 = 1;

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The command line or a file is wrong.
    #[error("{0}")]
    Usage(String),
    /// Another change of the entry came first.
    #[error("{}", .0.message)]
    Conflict(ErrorJson),
    /// The call was refused.
    #[error("{}", .0.message)]
    Refused(ErrorJson),
    /// No instance answered, and nothing was sent.
    #[error("no control instance answered ({cause}); check --address, nothing was done")]
    Unavailable {
        /// The last cause.
        cause: String,
    },
    /// A replacement takes longer than the time given.
    #[error(
        "`{node}` has not taken over yet; the replacement goes on by itself, see \
         `masticsillctl replicas`"
    )]
    StillReplacing {
        /// The new replica.
        node: String,
    },
    /// A change was sent and its answer never came.
    #[error(
        "no answer ({cause}); the change may be in force: run this again with \
         `--change-id {change_id} --expected-version {expected_version}`"
    )]
    OutcomeUnknown {
        /// The last cause.
        cause: String,
        /// The change's id.
        change_id: String,
        /// The version that it expects.
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
