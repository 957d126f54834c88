//! Limits of requests per second that endpoints state in their responses.

use masticsill_http1::ResponseHead;
use masticsill_registry::RequestRate;
use masticsill_types::log_event;

use crate::attempt::Attempt;
use crate::endpoint_response::MISDIRECTED_REQUEST;
use crate::events;
use crate::relay::Relay;

/// Records whether a response states a limit of the endpoint's requests, and logs each change.
pub(crate) fn note_stated_limit(relay: &Relay, attempt: &Attempt, head: &ResponseHead) {
    if head.status == MISDIRECTED_REQUEST {
        // Another endpoint has the address.
        return;
    }
    let endpoint = attempt.endpoint();
    let stated = head.headers.text(&relay.config.headers.request_limit);
    let rate = stated.and_then(RequestRate::parse_per_s);
    if stated.is_some() && rate.is_none() {
        // The former statement holds, since this one can't be read.
        return;
    }
    let (now, sent_at) = (relay.now(), attempt.progress.began_at);
    let entries = relay.entry_count();
    relay.with_endpoint(&endpoint.id, |it| {
        if it.request_limit.note_response(now, sent_at, rate) {
            log_event!(
                info,
                events::REQUEST_LIMIT_STATED,
                endpoint = endpoint.id,
                zone = endpoint.zone,
                per_s = rate.map_or(-1.0, RequestRate::per_s),
                in_flight = it.in_flight,
                entries = entries
            );
        }
    });
}
