//! The part common to all nodes: membership gossip and the catalogue relay.
//!
//! [`Mesh::start`] runs one duty. The duty owns the RPC listener of the process, dispatches the
//! connections of other services to their roles, maintains the view of all members and keeps the
//! node's copy of the catalogue current: every few hundred milliseconds it asks the control quorum,
//! or any peer when the quorum can't be reached, for changes and for a proof of freshness. Other
//! duties read the members and the catalogue through [`MeshHandle`] without waiting.

mod config;
pub mod events;
mod handle;
mod mesh;
mod node;
mod peers;
mod renewal;
mod sources;
mod view;

pub use config::{MeshConfig, RenewSource, RenewalPeriods, ServiceRoutes, new_incarnation};
pub use handle::MeshHandle;
pub use mesh::Mesh;
pub use sources::{RenewalSources, list_renewal_sources};
pub use view::{CatalogueView, MembershipView};
