//! Log events of the mesh, numbers 5000 to 5999.

use masticsill_types::Event;

/// The mesh started.
pub const MESH_STARTED: Event = Event::new(5001, "mesh_started");
/// The mesh stopped after announcing its end to its peers.
pub const MESH_ENDED: Event = Event::new(5002, "mesh_ended");
/// A higher incarnation of this node is known, so this process stays silent. Stop this process, set
/// the clock of the machine if it went back, or correct the settings if two nodes have one name.
pub const SUPERSEDED: Event = Event::new(5003, "superseded");
/// The state, incarnation or description of a member changed in the view of this node.
pub const MEMBER_CHANGED: Event = Event::new(5004, "member_changed");
/// A member is gone in the view of this node.
pub const MEMBER_GONE: Event = Event::new(5005, "member_gone");
/// The node's copy of the catalogue reached a new version.
pub const CATALOGUE_CHANGED: Event = Event::new(5006, "catalogue_changed");
/// The node's copy of the catalogue is not proven current. Until it is, no new work starts on this
/// node.
pub const CATALOGUE_STALE: Event = Event::new(5007, "catalogue_stale");
/// The node's copy of the catalogue is proven current again.
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
