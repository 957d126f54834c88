//! Why a data folder can't be used.

use std::io;
use std::path::PathBuf;

use masticsill_types::NodeId;
use thiserror::Error;

/// Why a data folder can't be used. After any error from a write the process must stop.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file holds something else than was written.
    #[error(
        "`{file}` is corrupt at byte {offset_bytes} ({reason}); don't edit it: move the data \
         folder away, start with an empty one and let this replica join in place of the old one"
    )]
    Corrupt {
        /// The file within the data folder.
        file: String,
        /// Where the damage begins.
        offset_bytes: u64,
        /// What is wrong there.
        reason: &'static str,
    },
    /// An earlier write or sync failed, and what is durable is not known.
    #[error("the data folder failed earlier; mend the disk, then restart the process")]
    Failed,
    /// The operating system refused an operation.
    #[error(
        "can't {operation} `{file}`: {source}; check the disk's space and health, then restart"
    )]
    Io {
        /// What was tried.
        operation: &'static str,
        /// The file within the data folder.
        file: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("another process uses the data folder `{0}`; stop it first")]
    Locked(PathBuf),
    /// A file that must be there is gone.
    #[error(
        "`{file}` is missing; put it back, or move the data folder away, start with an empty one \
         and let this replica join in place of the old one"
    )]
    Missing {
        /// The file within the data folder.
        file: String,
    },
    /// Founding a cluster needs a new folder.
    #[error("the data folder holds a log already; found a cluster on a new folder only")]
    NotNew,
    /// The folder belongs to another cluster.
    #[error("the data folder belongs to cluster `{found}`, not `{expected}`; correct the settings")]
    WrongCluster {
        /// The cluster in the settings.
        expected: String,
        /// The cluster of the folder.
        found: String,
    },
    /// The folder belongs to another node.
    #[error("the data folder belongs to node `{found}`, not `{expected}`; correct the settings")]
    WrongNode {
        /// The node in the settings.
        expected: NodeId,
        /// The node of the folder.
        found: String,
    },
}

impl StorageError {
    pub(crate) fn corrupt(file: &str, offset_bytes: usize, reason: &'static str) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset_bytes: offset_bytes as u64,
            reason,
        }
    }

    /// Wraps an operating system's error with what was tried.
    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Io {
            operation,
            file: file.to_owned(),
            source,
        }
    }
}
