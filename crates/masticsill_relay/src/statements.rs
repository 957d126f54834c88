//! What endpoints say of themselves in their responses: how many requests per second they accept, for
//! how long they want none, and that they leave.

use masticsill_http1::ResponseHead;
use masticsill_registry::{Announcement, EndpointId, EndpointLoad, RequestRate};
use masticsill_types::log_event;

use crate::attempt::Attempt;
use crate::endpoint_response::MISDIRECTED_REQUEST;
use crate::events;
use crate::relay::Relay;

/// Status sent by an endpoint that refuses a request for now.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Records what a response says of its endpoint.
pub(crate) fn note_statements(relay: &Relay, attempt: &Attempt, head: &ResponseHead) {
    if head.status == MISDIRECTED_REQUEST {
        // Another endpoint has the address.
        return;
    }
    note_stated_limit(relay, attempt, head);
    if let Some(rest_ms) = rest_ms(head) {
        let now = relay.now();
        relay.with_endpoint(&attempt.endpoint().id, |it| it.note_rest(now, rest_ms));
    }
    if head.headers.text(&relay.config.headers.leaving) == Some("1") {
        note_leaving(relay, attempt.endpoint());
    }
}

/// How long an endpoint that refuses a request wants no further ones from this entry, in
/// milliseconds; `None` if it doesn't say.
pub(crate) fn rest_ms(head: &ResponseHead) -> Option<u64> {
    let seconds: f64 = head.headers.text("retry-after")?.parse().ok()?;
    let is_refusal = head.status == SERVICE_UNAVAILABLE && seconds.is_finite() && seconds > 0.0;
    // The time is positive, and the conversion saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    is_refusal.then_some((seconds * 1_000.0).ceil() as u64)
}

/// Records that an endpoint leaves, and reports it to the other entries at once.
fn note_leaving(relay: &Relay, endpoint: &Announcement) {
    if relay.endpoints.borrow_mut().note_leaving(&endpoint.id) {
        log_leaving(&endpoint.id, "response");
        relay.note_load_change(&endpoint.zone);
    }
}

fn log_leaving(id: &EndpointId, source: &str) {
    log_event!(
        info,
        events::ENDPOINT_LEAVES,
        endpoint = id,
        source = source
    );
}

/// Records whether a response states a limit of the endpoint's requests. Each change is logged, and
/// reported to the other entries at once.
fn note_stated_limit(relay: &Relay, attempt: &Attempt, head: &ResponseHead) {
    let endpoint = attempt.endpoint();
    let stated = head.headers.text(&relay.config.headers.request_limit);
    let rate = stated.and_then(RequestRate::parse_per_s);
    let is_unreadable = stated.is_some() && rate.is_none();
    // An endpoint that fails may not say all that it says otherwise.
    let is_failure = stated.is_none() && !(200..300).contains(&head.status);
    if is_unreadable || is_failure {
        // The former statement holds.
        return;
    }
    let sent_at = attempt.progress.began_at;
    let is_changed = relay.endpoints.borrow_mut().note_stated_limit(
        relay.now(),
        &endpoint.id,
        sent_at,
        rate,
        rand::random(),
    );
    if is_changed {
        log_limit(relay, &endpoint.id, "response");
        relay.note_load_change(&endpoint.zone);
        relay.capacity_changed.notify_one();
    }
}

/// Records what endpoints said of themselves to other entries, and logs each change.
pub(crate) fn note_reports(relay: &Relay, loads: &[EndpointLoad]) {
    let now = relay.now();
    let mut endpoints = relay.endpoints.borrow_mut();
    let changed = endpoints.note_limit_reports(now, loads, rand::random);
    let leaving = endpoints.note_leaving_reports(loads);
    drop(endpoints);
    for id in &leaving {
        log_leaving(id, "report");
    }
    for id in &changed {
        log_limit(relay, id, "report");
    }
}

fn log_limit(relay: &Relay, id: &EndpointId, source: &str) {
    let now = relay.now();
    let endpoints = relay.endpoints.borrow();
    let Some(endpoint) = endpoints.get(id) else {
        return;
    };
    let limit = &endpoint.request_limit;
    log_event!(
        info,
        events::REQUEST_LIMIT_STATED,
        endpoint = id,
        zone = endpoint.announcement.zone,
        is_limited = limit.rate().is_some(),
        per_s = limit.rate().map_or(0.0, RequestRate::per_s),
        source = source,
        next_turn_ms = limit.next_turn_ms(now),
        in_flight = endpoint.in_flight,
        entries = relay.entry_count()
    );
}
