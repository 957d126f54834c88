//! Log events of the agent, numbers 3000 to 3999.

use masticsill_types::Event;

/// The agent started.
pub const AGENT_STARTED: Event = Event::new(3001, "agent_started");
/// The agent takes nothing new any more.
pub const AGENT_LEAVING: Event = Event::new(3002, "agent_leaving");
/// The agent has handed everything over and may end.
pub const AGENT_DRAINED: Event = Event::new(3003, "agent_drained");
/// The engine gives signs of life, for the first time or again.
pub const ENGINE_ALIVE: Event = Event::new(3004, "engine_alive");
/// The engine is silent far longer than its own recent gaps; its attempts are failed.
pub const ENGINE_FROZEN: Event = Event::new(3005, "engine_frozen");
/// The engine refuses connections.
pub const ENGINE_LOST: Event = Event::new(3006, "engine_lost");
/// A run of the engine ended early.
pub const RUN_FAILED: Event = Event::new(3007, "run_failed");
/// Generations that nobody pulled were cancelled.
pub const ORPHANS_CANCELLED: Event = Event::new(3008, "orphans_cancelled");
/// Attempts that were still running at the end of the drain time are handed back.
pub const DRAIN_TIME_OVER: Event = Event::new(3009, "drain_time_over");
/// An entry's connection could not be served.
pub const CONNECTION_REFUSED: Event = Event::new(3010, "connection_refused");
/// The HTTP client could not be built; the endpoint can't be reached.
pub const CLIENT_FAILED: Event = Event::new(3011, "client_failed");
/// Orders to the engine may pass: the highest number drawn is known since the agent's start.
pub const ORDERS_OPEN: Event = Event::new(3020, "orders_open");
/// An order of the control leader ended.
pub const ORDER_ENDED: Event = Event::new(3021, "order_ended");

/// Every event of this crate.
pub const ALL: &[Event] = &[
    AGENT_STARTED,
    AGENT_LEAVING,
    AGENT_DRAINED,
    ENGINE_ALIVE,
    ENGINE_FROZEN,
    ENGINE_LOST,
    RUN_FAILED,
    ORPHANS_CANCELLED,
    DRAIN_TIME_OVER,
    CONNECTION_REFUSED,
    CLIENT_FAILED,
    ORDERS_OPEN,
    ORDER_ENDED,
];
