//! Log events of the entry, numbers 2000 to 2999.

use masticsill_types::Event;

/// The entry accepts callers.
pub const ENTRY_READY: Event = Event::new(2001, "entry_ready");
/// An agent can't be reached or stayed silent. Its streams move to other agents.
pub const AGENT_LOST: Event = Event::new(2002, "agent_lost");
/// A lost agent was reached again.
pub const AGENT_REACHED: Event = Event::new(2003, "agent_reached");
/// Readiness was turned off. The entry still accepts requests for the balancer's grace period.
pub const DRAIN_STARTED: Event = Event::new(2004, "drain_started");
/// No request is open any more, or the drain time is over.
pub const DRAIN_ENDED: Event = Event::new(2005, "drain_ended");
/// A generation continues with a new attempt after an attempt ended early.
pub const GENERATION_RESUMED: Event = Event::new(2006, "generation_resumed");
/// The search for the record of a generation that a caller resumed, and that this entry does not
/// own, has ended.
pub const GENERATION_TAKEN_OVER: Event = Event::new(2007, "generation_taken_over");
/// A request was refused after it had been admitted.
pub const GENERATION_REFUSED: Event = Event::new(2008, "generation_refused");

/// Every event of this crate.
pub const ALL: &[Event] = &[
    ENTRY_READY,
    AGENT_LOST,
    AGENT_REACHED,
    DRAIN_STARTED,
    DRAIN_ENDED,
    GENERATION_RESUMED,
    GENERATION_TAKEN_OVER,
    GENERATION_REFUSED,
];
