//! Log events of the relay, numbers 2100 to 2199.

use masticsill_types::Event;

/// The relay serves callers.
pub const RELAY_STARTED: Event = Event::new(2100, "relay_started");
/// The relay has ended.
pub const RELAY_STOPPED: Event = Event::new(2101, "relay_stopped");
/// A graceful shutdown began: readiness is off and answers close their connections.
pub const RELAY_STOPPING: Event = Event::new(2102, "relay_stopping");
/// A request was answered with an endpoint's answer.
pub const REQUEST_ANSWERED: Event = Event::new(2110, "request_answered");
/// A request was answered by the relay itself.
pub const REQUEST_REFUSED: Event = Event::new(2111, "request_refused");
/// An exchange with an endpoint ended without an answer that can be passed on.
pub const ATTEMPT_FAILED: Event = Event::new(2112, "attempt_failed");
/// A stream goes on at another endpoint.
pub const STREAM_RESUMED: Event = Event::new(2113, "stream_resumed");
/// A stream was broken off towards its caller.
pub const STREAM_BROKEN_OFF: Event = Event::new(2114, "stream_broken_off");
/// A caller left before its answer was whole.
pub const CALLER_LEFT: Event = Event::new(2115, "caller_left");
/// Bytes of a caller are no request that can be relayed.
pub const REQUEST_MALFORMED: Event = Event::new(2116, "request_malformed");
/// An endpoint said that it did not run a request; it goes elsewhere, or back to its caller.
pub const ATTEMPT_NOT_RUN: Event = Event::new(2117, "attempt_not_run");
/// The endpoint that holds a copy of a stream's run can't take it over.
pub const COPY_UNUSABLE: Event = Event::new(2118, "copy_unusable");
/// A running engine was asked for a copy of a run's memory, because the run's first one is lost.
pub const COPY_ASKED: Event = Event::new(2119, "copy_asked");
/// A document came into force here.
pub const DOCUMENT_TAKEN: Event = Event::new(2120, "document_taken");
/// A document could not be read.
pub const DOCUMENT_UNREADABLE: Event = Event::new(2121, "document_unreadable");
/// What a control replica told changed what is believed of an endpoint.
pub const ENDPOINT_CHANGED: Event = Event::new(2122, "endpoint_changed");
/// Several endpoints of a zone failed at once; requests there turn elsewhere.
pub const ZONE_SUSPECT: Event = Event::new(2123, "zone_suspect");
/// A control replica answers.
pub const CONTROL_REACHED: Event = Event::new(2124, "control_reached");
/// A control replica stopped answering.
pub const CONTROL_LOST: Event = Event::new(2125, "control_lost");
/// The listener can't accept.
pub const ACCEPT_FAILED: Event = Event::new(2126, "relay_accept_failed");
/// The retry budget of a service does not allow one more send.
pub const RETRY_REFUSED: Event = Event::new(2127, "retry_refused");
/// An endpoint was chosen for a stream, or for one more send of any request.
pub const ENDPOINT_CHOSEN: Event = Event::new(2128, "endpoint_chosen");
/// A request waited here until an endpoint had room for it.
pub const REQUEST_WAITED: Event = Event::new(2129, "request_waited");
/// A request is refused, since it could not be answered in time.
pub const OVERLOAD_REFUSED: Event = Event::new(2130, "overload_refused");
/// An endpoint of a plain service is given fewer requests at once from now on, or no longer so.
pub const ENDPOINT_LIMITED: Event = Event::new(2131, "endpoint_limited");
/// The relay itself was late, or nothing at all reached it for a while.
pub const RELAY_LATE: Event = Event::new(2132, "relay_late");
/// A run that had been silent for too long goes on, before its successor was connected.
pub const RUN_WENT_ON: Event = Event::new(2133, "run_went_on");
/// A stream that was begun waits for what keeps it from its next send.
pub const STREAM_WAITS: Event = Event::new(2134, "stream_waits");
/// A piece of a document, or the whole, has other bytes than its hash says; it is fetched again.
pub const PIECE_DAMAGED: Event = Event::new(2135, "piece_damaged");
/// An exchange broke, and the endpoint was asked for a connection to learn whether it is down.
pub const CRASH_CHECKED: Event = Event::new(2136, "crash_checked");
/// A request crashes endpoints and is sent nowhere any more, as a control replica told.
pub const REQUEST_QUARANTINED: Event = Event::new(2137, "request_quarantined");

/// Every event of this crate.
pub const ALL: &[Event] = &[
    RELAY_STARTED,
    RELAY_STOPPED,
    RELAY_STOPPING,
    REQUEST_ANSWERED,
    REQUEST_REFUSED,
    ATTEMPT_FAILED,
    STREAM_RESUMED,
    STREAM_BROKEN_OFF,
    CALLER_LEFT,
    REQUEST_MALFORMED,
    ATTEMPT_NOT_RUN,
    COPY_UNUSABLE,
    COPY_ASKED,
    DOCUMENT_TAKEN,
    DOCUMENT_UNREADABLE,
    ENDPOINT_CHANGED,
    ZONE_SUSPECT,
    CONTROL_REACHED,
    CONTROL_LOST,
    ACCEPT_FAILED,
    RETRY_REFUSED,
    ENDPOINT_CHOSEN,
    REQUEST_WAITED,
    OVERLOAD_REFUSED,
    ENDPOINT_LIMITED,
    RELAY_LATE,
    RUN_WENT_ON,
    STREAM_WAITS,
    PIECE_DAMAGED,
    CRASH_CHECKED,
    REQUEST_QUARANTINED,
];
