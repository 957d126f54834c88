//! Errors of a data folder.

use std::io;
use std::path::PathBuf;

use masticsill_types::NodeId;
use thiserror::Error;

/// An error of a data folder. After any error from a write the process must stop.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file's content differs from what was written.
    #[error(
        "`{file}` is corrupt at byte {offset_bytes} ({reason}); don't edit it: move the data \
         folder away, start with an empty one and let this replica join in place of the old one"
    )]
    Corrupt {
        /// The file within the data folder.
        file: String,
        /// Offset of the first damaged record, in bytes.
        offset_bytes: u64,
        /// What is wrong at that offset.
        reason: &'static str,
    },
    /// An earlier write or sync failed; which writes are durable is unknown.
    #[error(
        "an earlier write to the data folder failed; repair the disk, then restart the process"
    )]
    Failed,
    /// The operating system reported an error.
    #[error(
        "can't {operation} `{file}`: {source}; check the disk's space and health, then restart"
    )]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// The file within the data folder.
        file: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("another process uses the data folder `{0}`; stop it first")]
    Locked(PathBuf),
    /// A required file is missing.
    #[error(
        "`{file}` is missing; put it back, or move the data folder away, start with an empty one \
         and let this replica join in place of the old one"
    )]
    Missing {
        /// The file within the data folder.
        file: String,
    },
    /// Founding a cluster, or abandoning a founding, requires a folder without a log.
    #[error("the data folder already holds cluster state; use a new, empty data folder")]
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
    /// Whether the folder can't be used although the disk works: a file is missing or corrupt.
    #[must_use]
    pub fn is_folder_damaged(&self) -> bool {
        matches!(self, Self::Corrupt { .. } | Self::Missing { .. })
    }

    pub(crate) fn corrupt(file: &str, offset_bytes: usize, reason: &'static str) -> Self {
        Self::Corrupt {
            file: file.to_owned(),
            offset_bytes: offset_bytes as u64,
            reason,
        }
    }

    /// Wraps an operating system's error with the operation that failed.
    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Io {
            operation,
            file: file.to_owned(),
            source,
        }
    }
}
