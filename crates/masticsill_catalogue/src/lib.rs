//! Catalogue entries, change application, de-duplication and audit.
//!
//! Pure logic: no sockets, no threads and no clock of its own.

mod catalogue;
mod entry;
mod follower;
mod update;

pub use catalogue::{Catalogue, MAX_TOMBSTONES, Tombstone, VersionedEntry};
pub use entry::{BackEnd, CatalogueEntry, EngineRole, Limits, Placement, RoleReplicas};
pub use follower::Follower;
pub use update::{Applied, CatalogueDelta, CatalogueSnapshot, CatalogueUpdate};
