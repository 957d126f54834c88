//! Log events of the runtime, numbers 1000 to 1999.

use masticsill_types::Event;

/// A duty thread started.
pub const DUTY_STARTED: Event = Event::new(1001, "duty_started");
/// A duty thread ended.
pub const DUTY_ENDED: Event = Event::new(1002, "duty_ended");
/// A termination signal arrived; the process starts its graceful shutdown.
pub const SHUTDOWN_REQUESTED: Event = Event::new(1003, "shutdown_requested");
/// A peer's connection could not be accepted.
pub const ACCEPT_FAILED: Event = Event::new(1004, "accept_failed");
/// The process started.
pub const PROCESS_STARTED: Event = Event::new(1005, "process_started");
/// The process completed its graceful shutdown.
pub const PROCESS_ENDED: Event = Event::new(1006, "process_ended");
/// A connection was closed because its preamble was missing, late or invalid, or named another
/// cluster.
pub const PREAMBLE_REFUSED: Event = Event::new(1007, "preamble_refused");
/// A hangup signal arrived; the process reads its settings again.
pub const RELOAD_REQUESTED: Event = Event::new(1008, "reload_requested");
/// The settings were read again, and the fields that may change at run time were applied.
pub const SETTINGS_RELOADED: Event = Event::new(1009, "settings_reloaded");
/// The settings were read again and are invalid; the previous settings stay in force.
pub const RELOAD_REFUSED: Event = Event::new(1010, "reload_refused");
/// Log lines were dropped, because a queue or the rate limit was full.
pub const LOG_LINES_LEFT_OUT: Event = Event::new(1011, "log_lines_left_out");

/// Every event of this crate.
pub const ALL: &[Event] = &[
    DUTY_STARTED,
    DUTY_ENDED,
    SHUTDOWN_REQUESTED,
    ACCEPT_FAILED,
    PROCESS_STARTED,
    PROCESS_ENDED,
    PREAMBLE_REFUSED,
    RELOAD_REQUESTED,
    SETTINGS_RELOADED,
    RELOAD_REFUSED,
    LOG_LINES_LEFT_OUT,
];
