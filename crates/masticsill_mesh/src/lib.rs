//! What every node runs: membership exchange and the catalogue relay.
//!
//! [`Mesh::start`] runs one duty. It owns the process's RPC listener, hands the connections of
//! other services to their roles, keeps the view of all members, and keeps the node's copy of the
//! catalogue current: every few hundred milliseconds it asks the control quorum, or any peer when
//! the quorum can't be reached, for what changed and for a proof of freshness. Other duties read
//! both through [`MeshHandle`] without waiting.

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
