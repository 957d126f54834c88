//! Log events of the entry, numbers 2000 to 2999.

use masticsill_types::Event;

/// The entry accepts callers.
pub const ENTRY_READY: Event = Event::new(2001, "entry_ready");
/// An agent can't be reached or stayed silent; its streams are moved.
pub const AGENT_LOST: Event = Event::new(2002, "agent_lost");
/// A lost agent was reached again.
pub const AGENT_REACHED: Event = Event::new(2003, "agent_reached");
/// Readiness is off; the entry still accepts for the balancer's grace.
pub const DRAIN_STARTED: Event = Event::new(2004, "drain_started");
/// The entry has no open stream left, or its drain time is over.
pub const DRAIN_ENDED: Event = Event::new(2005, "drain_ended");
/// A generation goes on after an attempt ended early.
pub const GENERATION_RESUMED: Event = Event::new(2006, "generation_resumed");
/// A caller came back to a generation that another entry owned.
pub const GENERATION_TAKEN_OVER: Event = Event::new(2007, "generation_taken_over");
/// A caller was given a refusal after its request was admitted.
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
