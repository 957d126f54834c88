//! Log events of the replicated log's storage.

use masticsill_types::Event;

/// A new data folder was created and assigned its identity.
pub const FOLDER_CREATED: Event = Event::new(4900, "data_folder_created");
/// The last record of the log was incomplete and was truncated.
pub const TORN_TAIL_CUT: Event = Event::new(4901, "torn_tail_cut");
/// A write or sync failed; the storage refuses every later operation.
pub const STORAGE_FAILED: Event = Event::new(4902, "storage_failed");
/// An operator made this replica the only voter after the majority was lost.
pub const SOLE_VOTER_FORCED: Event = Event::new(4903, "sole_voter_forced");
/// The disk is full; the write is retried, and nothing is acknowledged in the meantime.
pub const DISK_FULL: Event = Event::new(4904, "disk_full");
/// A write that waited for disk space succeeded.
pub const DISK_HAS_SPACE: Event = Event::new(4905, "disk_has_space");

/// Every event of this crate.
pub const ALL: &[Event] = &[
    FOLDER_CREATED,
    TORN_TAIL_CUT,
    STORAGE_FAILED,
    SOLE_VOTER_FORCED,
    DISK_FULL,
    DISK_HAS_SPACE,
];
