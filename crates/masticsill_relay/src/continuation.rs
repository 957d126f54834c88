//! Streams that callers continue, and why some of them do not go on.

use std::rc::Rc;

use masticsill_dispatch::{Hindrance, VersionQuery, VersionState, Work};
use masticsill_registry::{EndpointId, QuorumShare, StreamOrigin};
use masticsill_types::{ClockMs, log_event};

use crate::events;
use crate::metrics::CauseLabel;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::response::Refusal;
use crate::retry_state::Obstacle;

/// How a continued stream ended without an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ContinuationEnd {
    /// The caller left, or accepts no more data.
    CallerLeft,
    /// An endpoint answered with an error.
    EndpointFailed,
    /// No further attempt was possible.
    Obstacle(Obstacle),
    /// The request was refused before an endpoint was sought.
    Refused(Refusal),
    /// Control replicas did not know where the stream began.
    UnknownOrigin {
        /// How much of the control quorum replied.
        replied: QuorumShare,
    },
}

impl ContinuationEnd {
    /// Name in logs and metrics; `waited_for` is the obstacle that the stream last waited for.
    ///
    /// Where the stream lacked an endpoint, it is what kept it from those of its version.
    fn reason(
        self,
        waited_for: Option<Obstacle>,
        is_rolled_back: bool,
        hindrance: Option<Hindrance>,
    ) -> &'static str {
        let last = match (self, waited_for) {
            (Self::UnknownOrigin { replied }, _) => return unknown_origin_reason(replied),
            (Self::EndpointFailed, _) => return "endpoint_failed",
            (Self::Refused(refusal), _) => return refusal.name(),
            (Self::CallerLeft | Self::Obstacle(Obstacle::Deadline), Some(obstacle))
            | (Self::Obstacle(obstacle), _) => obstacle,
            (Self::CallerLeft, None) => return hindrance.map_or("caller_left", Hindrance::name),
        };
        match last {
            Obstacle::OriginGone if is_rolled_back => "rolled_back",
            Obstacle::Dials
            | Obstacle::NoEndpoint
            | Obstacle::OriginGone
            | Obstacle::Overloaded
            | Obstacle::Unreachable
            | Obstacle::Withdrawn => hindrance.map_or(last.name(), Hindrance::name),
            Obstacle::Arrivals
            | Obstacle::Attempts
            | Obstacle::Budget
            | Obstacle::Deadline
            | Obstacle::Held { .. }
            | Obstacle::MayNotRepeat
            | Obstacle::Quarantined
            | Obstacle::Stopping => last.name(),
        }
    }
}

/// Which control replicas did not know where a stream began.
fn unknown_origin_reason(replied: QuorumShare) -> &'static str {
    match replied {
        QuorumShare::All => "unknown_to_all",
        QuorumShare::Majority => "unknown_to_majority",
        QuorumShare::Minority => "minority_replied",
    }
}

/// A stream that its caller continues, until it has gone on or ended. It is recorded as failed when
/// it is dropped before, which happens when its caller leaves.
#[derive(Debug)]
pub(crate) struct Continuation {
    caller_leaves_at: ClockMs,
    deadline_at: ClockMs,
    is_over: bool,
    /// Whether the request is at an endpoint.
    is_running: bool,
    origin: Option<StreamOrigin>,
    received_at: ClockMs,
    relay: Rc<Relay>,
    request_id: String,
    waited_for: Option<Obstacle>,
    work: Work,
}

impl Continuation {
    pub(crate) fn new(relay: &Rc<Relay>, request: &RelayRequest) -> Self {
        Self {
            caller_leaves_at: request.caller_leaves_at,
            deadline_at: request.deadline_at,
            is_over: false,
            is_running: false,
            origin: None,
            received_at: request.received_at,
            relay: Rc::clone(relay),
            request_id: request.id.clone(),
            waited_for: None,
            work: relay.work_of(request),
        }
    }

    /// Records where the stream began.
    pub(crate) fn note_origin(&mut self, origin: &StreamOrigin) {
        self.origin = Some(origin.clone());
    }

    /// Records that an endpoint is sought.
    pub(crate) fn note_search(&mut self) {
        self.is_running = false;
    }

    /// Records what the stream waits for.
    pub(crate) fn note_wait(&mut self, obstacle: Obstacle) {
        self.waited_for = Some(obstacle);
    }

    /// Records that the request is about to be sent to an endpoint.
    pub(crate) fn note_run(&mut self) {
        self.is_running = true;
        self.waited_for = None;
    }

    /// Records that the stream has gone on.
    pub(crate) fn succeed(&mut self) {
        self.is_over = true;
    }

    /// Records that the stream does not go on, unless it has; the request is not sent again to the
    /// `excluded` endpoints.
    pub(crate) fn fail(&mut self, end: ContinuationEnd, excluded: &[EndpointId]) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let relay = &self.relay;
        let now = relay.now();
        let origin = self.origin.as_ref();
        let state = origin.map(|it| self.version_state(now, it, excluded));
        let is_rolled_back =
            origin.is_some_and(|it| relay.is_version_withdrawn(&it.service, &it.version));
        let hindrance = state.as_ref().and_then(VersionState::cause);
        let hindrance = hindrance.filter(|_| !self.is_running);
        let cause = end.reason(self.waited_for, is_rolled_back, hindrance);
        let failed = &relay.metrics.continuations_failed;
        failed.get_or_create(&CauseLabel { cause }).inc();
        let state = state.unwrap_or_default();
        log_event!(
            warn,
            events::CONTINUATION_FAILED,
            request = self.request_id,
            reason = cause,
            has_caller_left = end == ContinuationEnd::CallerLeft,
            waited_for = self.waited_for.map_or("none", Obstacle::name),
            service = origin.map_or("", |it| &it.service),
            version = origin.map_or("", |it| &it.version),
            available = state.available,
            full = state.count(Hindrance::Full),
            closed = state.count(Hindrance::Closed),
            limited = state.count(Hindrance::Limited),
            resting = state.count(Hindrance::Resting),
            suspect_zone = state.count(Hindrance::SuspectZone),
            backing_off = state.count(Hindrance::BackingOff),
            silent = state.count(Hindrance::Silent),
            excluded = state.count(Hindrance::Excluded),
            leaving = state.count(Hindrance::Leaving),
            after_ms = now.since(self.received_at),
            left_ms = self.deadline_at.since(now),
            caller_left_ms = self.caller_leaves_at.since(now)
        );
    }

    fn version_state(
        &self,
        now: ClockMs,
        origin: &StreamOrigin,
        excluded: &[EndpointId],
    ) -> VersionState {
        let endpoints = self.relay.endpoints.borrow();
        let closed = self.relay.full_endpoints(&endpoints, &origin.service);
        let query = VersionQuery {
            closed: &closed,
            excluded,
            service: &origin.service,
            version: &origin.version,
            work: &self.work,
        };
        VersionState::of(&endpoints, now, &query)
    }
}

impl Drop for Continuation {
    fn drop(&mut self) {
        self.fail(ContinuationEnd::CallerLeft, &[]);
    }
}
