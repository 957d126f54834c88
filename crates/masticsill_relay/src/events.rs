//! Log events of the relay, numbers 2100 to 2199.

use masticsill_types::Event;

/// The relay serves callers.
pub const RELAY_STARTED: Event = Event::new(2100, "relay_started");
/// The relay has ended.
pub const RELAY_STOPPED: Event = Event::new(2101, "relay_stopped");
/// A graceful shutdown began: readiness is off and responses close their connections.
pub const RELAY_STOPPING: Event = Event::new(2102, "relay_stopping");
/// A request was answered with an endpoint's response.
pub const REQUEST_ANSWERED: Event = Event::new(2110, "request_answered");
/// A request was answered by the relay itself.
pub const REQUEST_REFUSED: Event = Event::new(2111, "request_refused");
/// An exchange with an endpoint ended without a response that can be forwarded.
pub const ATTEMPT_FAILED: Event = Event::new(2112, "attempt_failed");
/// A stream resumes at another endpoint.
pub const STREAM_RESUMED: Event = Event::new(2113, "stream_resumed");
/// A stream was aborted after part of it had been delivered.
pub const STREAM_BROKEN_OFF: Event = Event::new(2114, "stream_broken_off");
/// A caller disconnected before its response was complete.
pub const CALLER_LEFT: Event = Event::new(2115, "caller_left");
/// Bytes received from a caller are not a request that can be relayed.
pub const REQUEST_MALFORMED: Event = Event::new(2116, "request_malformed");
/// An endpoint reported that it did not run a request, which is retried elsewhere or returned to
/// its caller.
pub const ATTEMPT_NOT_RUN: Event = Event::new(2117, "attempt_not_run");
/// The endpoint that holds a copy of a stream's run cannot resume the stream.
pub const COPY_UNUSABLE: Event = Event::new(2118, "copy_unusable");
/// A running engine was asked for a copy of a run's KV cache, because the first copy is lost.
pub const COPY_ASKED: Event = Event::new(2119, "copy_asked");
/// A document became active.
pub const DOCUMENT_TAKEN: Event = Event::new(2120, "document_taken");
/// A document could not be parsed.
pub const DOCUMENT_UNREADABLE: Event = Event::new(2121, "document_unreadable");
/// An update from a control replica changed the known state of an endpoint.
pub const ENDPOINT_CHANGED: Event = Event::new(2122, "endpoint_changed");
/// Several endpoints of a zone failed at once; requests avoid the zone.
pub const ZONE_SUSPECT: Event = Event::new(2123, "zone_suspect");
/// A control replica answers.
pub const CONTROL_REACHED: Event = Event::new(2124, "control_reached");
/// A control replica stopped answering.
pub const CONTROL_LOST: Event = Event::new(2125, "control_lost");
/// The listener cannot accept connections.
pub const ACCEPT_FAILED: Event = Event::new(2126, "relay_accept_failed");
/// A service's retry budget does not allow another attempt.
pub const RETRY_REFUSED: Event = Event::new(2127, "retry_refused");
/// An endpoint was chosen for a stream, or for a further attempt of any request.
pub const ENDPOINT_CHOSEN: Event = Event::new(2128, "endpoint_chosen");
/// A request waited until an endpoint had capacity.
pub const REQUEST_WAITED: Event = Event::new(2129, "request_waited");
/// A request was refused because it could not be answered in time.
pub const OVERLOAD_REFUSED: Event = Event::new(2130, "overload_refused");
/// The limit of concurrent requests to an endpoint of a plain service was introduced or lifted.
pub const ENDPOINT_LIMITED: Event = Event::new(2131, "endpoint_limited");
/// The relay's thread ran late, or the relay received nothing at all for a while.
pub const RELAY_LATE: Event = Event::new(2132, "relay_late");
/// A run that had exceeded its silence timeout continued before its replacement was connected.
pub const RUN_WENT_ON: Event = Event::new(2133, "run_went_on");
/// A stream that has begun waits until the obstacle to its next attempt is gone.
pub const STREAM_WAITS: Event = Event::new(2134, "stream_waits");
/// A piece of a document, or the assembled document, does not match its hash; it is fetched again.
pub const PIECE_DAMAGED: Event = Event::new(2135, "piece_damaged");
/// An exchange broke, and the endpoint was probed with a connection to learn whether it is down.
pub const CRASH_CHECKED: Event = Event::new(2136, "crash_checked");
/// A control replica reported that a request crashes endpoints; it is no longer sent to any.
pub const REQUEST_QUARANTINED: Event = Event::new(2137, "request_quarantined");
/// An endpoint states another limit of requests per second than before, or none any more.
pub const REQUEST_LIMIT_STATED: Event = Event::new(2138, "request_limit_stated");
/// An endpoint said in a response that it leaves.
pub const ENDPOINT_LEAVES: Event = Event::new(2139, "endpoint_leaves");
/// A roll-out began, or its phase changed.
pub const ROLLOUT_CHANGED: Event = Event::new(2140, "rollout_changed");
/// The leader's word on a roll-out in progress has expired, or is valid again.
pub const ROLLOUT_LEASE: Event = Event::new(2141, "rollout_lease");
/// A version of a service appeared beside others.
pub const VERSION_APPEARED: Event = Event::new(2142, "version_appeared");
/// A caller continues a stream of which an earlier attempt brought events.
pub const STREAM_CONTINUED: Event = Event::new(2143, "stream_continued");
/// A stream that a caller continues ended without an event.
pub const CONTINUATION_FAILED: Event = Event::new(2144, "continuation_failed");
/// An endpoint was asked which incarnation it is.
pub const INCARNATION_CHECKED: Event = Event::new(2145, "incarnation_checked");

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
    REQUEST_LIMIT_STATED,
    ENDPOINT_LEAVES,
    ROLLOUT_CHANGED,
    ROLLOUT_LEASE,
    VERSION_APPEARED,
    STREAM_CONTINUED,
    CONTINUATION_FAILED,
    INCARNATION_CHECKED,
];
