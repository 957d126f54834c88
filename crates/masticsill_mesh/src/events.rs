//! Log events of the mesh, numbers 5000 to 5999.

use masticsill_types::Event;

/// The mesh started.
pub const MESH_STARTED: Event = Event::new(5001, "mesh_started");
/// The mesh ended and said so to its peers.
pub const MESH_ENDED: Event = Event::new(5002, "mesh_ended");
/// A later life of this node is known, so this one stays silent: end it, or correct the clock of a
/// machine whose wall clock went back, or the settings of two nodes of one name.
pub const SUPERSEDED: Event = Event::new(5003, "superseded");
/// A member's state changed as seen from here.
pub const MEMBER_CHANGED: Event = Event::new(5004, "member_changed");
/// A member is gone as seen from here.
pub const MEMBER_GONE: Event = Event::new(5005, "member_gone");
/// The copy of the catalogue reached a version.
pub const CATALOGUE_CHANGED: Event = Event::new(5006, "catalogue_changed");
/// The copy of the catalogue can't be proven current: no new work starts here until it can.
pub const CATALOGUE_STALE: Event = Event::new(5007, "catalogue_stale");
/// The copy of the catalogue is proven current again.
pub const CATALOGUE_FRESH: Event = Event::new(5008, "catalogue_fresh");

/// Every event of this crate.
pub const ALL: &[Event] = &[
    MESH_STARTED,
    MESH_ENDED,
    SUPERSEDED,
    MEMBER_CHANGED,
    MEMBER_GONE,
    CATALOGUE_CHANGED,
    CATALOGUE_STALE,
    CATALOGUE_FRESH,
];
