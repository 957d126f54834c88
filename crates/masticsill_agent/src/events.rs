//! Log events of the agent, numbers 3000 to 3999.

use masticsill_types::Event;

/// The agent started.
pub const AGENT_STARTED: Event = Event::new(3001, "agent_started");
/// The planned stop has begun; the agent accepts no new work.
pub const AGENT_LEAVING: Event = Event::new(3002, "agent_leaving");
/// The planned stop is complete: nothing is running any more, and the agent may be stopped.
pub const AGENT_DRAINED: Event = Event::new(3003, "agent_drained");
/// The engine shows activity, for the first time or again after a freeze or a loss.
pub const ENGINE_ALIVE: Event = Event::new(3004, "engine_alive");
/// The engine has been silent for far longer than its recent gaps; its running attempts are failed.
pub const ENGINE_FROZEN: Event = Event::new(3005, "engine_frozen");
/// The engine refuses connections.
pub const ENGINE_LOST: Event = Event::new(3006, "engine_lost");
/// A run failed at the engine before the end of the answer.
pub const RUN_FAILED: Event = Event::new(3007, "run_failed");
/// Generations were cancelled because nobody pulled them.
pub const ORPHANS_CANCELLED: Event = Event::new(3008, "orphans_cancelled");
/// The drain time is over; the attempts that are still running are failed and returned to their
/// owners.
pub const DRAIN_TIME_OVER: Event = Event::new(3009, "drain_time_over");
/// A connection from an entry could not be served.
pub const CONNECTION_REFUSED: Event = Event::new(3010, "connection_refused");
/// The HTTP client could not be built, so the endpoint can't be reached.
pub const CLIENT_FAILED: Event = Event::new(3011, "client_failed");
/// The order gate is open: the agent has learnt the highest fencing number issued before its start.
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
