//! Log events of the runtime, numbers 1000 to 1999.

use masticsill_types::Event;

/// A duty thread started.
pub const DUTY_STARTED: Event = Event::new(1001, "duty_started");
/// A duty thread ended.
pub const DUTY_ENDED: Event = Event::new(1002, "duty_ended");
/// A termination signal arrived; the process begins its graceful shutdown.
pub const SHUTDOWN_REQUESTED: Event = Event::new(1003, "shutdown_requested");
/// A peer's connection could not be accepted.
pub const ACCEPT_FAILED: Event = Event::new(1004, "accept_failed");
/// The process started.
pub const PROCESS_STARTED: Event = Event::new(1005, "process_started");
/// The process ended its graceful shutdown.
pub const PROCESS_ENDED: Event = Event::new(1006, "process_ended");
/// A connection did not name a service.
pub const PREAMBLE_REFUSED: Event = Event::new(1007, "preamble_refused");

/// Every event of this crate.
pub const ALL: &[Event] = &[
    DUTY_STARTED,
    DUTY_ENDED,
    SHUTDOWN_REQUESTED,
    ACCEPT_FAILED,
    PROCESS_STARTED,
    PROCESS_ENDED,
    PREAMBLE_REFUSED,
];
