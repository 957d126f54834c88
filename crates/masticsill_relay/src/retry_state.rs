//! The attempts of a request so far, and whether another one is allowed.

use std::cell::OnceCell;

use masticsill_dispatch::Overload;
use masticsill_registry::EndpointId;

use crate::attempt::SendFailure;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::response::Refusal;

/// Number of endpoints that cannot be reached after which a request is given up, provided that
/// nothing of its response has been delivered.
const MAX_FAILED_DIALS: usize = 8;
/// Timeout of the first connection: a healthy endpoint accepts within a few milliseconds, and a
/// request that was not sent can go to another endpoint at no cost.
const MIN_DIAL_TIMEOUT_MS: u64 = 120;
/// First pause before a stream that has begun is retried: a tenth of the gap between events from
/// which a stream is late (700 ms).
const MIN_RETRY_PAUSE_MS: u64 = 70;
/// Maximum pause before a retry: no longer than the backoff of an endpoint after failures.
const MAX_RETRY_PAUSE_MS: u64 = 1_120;
/// Maximum timeout of a connection: a lost first packet is retransmitted after one second.
const MAX_DIAL_TIMEOUT_MS: u64 = 1_200;
/// Maximum number of endpoints that a request may reach, including those that did not run it.
const MAX_ARRIVALS: u32 = 10;

/// Why a request cannot be sent once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Obstacle {
    /// The request has reached the maximum number of endpoints, including those that did not run
    /// it.
    Arrivals,
    /// The request has been sent as often as its route allows.
    Attempts,
    /// The service's retry budget is exhausted.
    Budget,
    /// The request's deadline has passed.
    Deadline,
    /// Too many endpoints could not be reached.
    Dials,
    /// Endpoints crashed under the request, and whether that counts against it is judged shortly.
    Held {
        /// The maximum wait for that judgement, in milliseconds.
        left_ms: u64,
    },
    /// The request may have run, and may not run twice.
    MayNotRepeat,
    /// No usable endpoint is known.
    NoEndpoint,
    /// The request could not be answered in time.
    Overloaded,
    /// The request crashes the endpoints that run it.
    Quarantined,
    /// The chosen endpoint could not be connected to.
    Unreachable,
    /// No endpoint of the version that began the stream is left.
    OriginGone,
    /// This relay is about to stop and could not complete the request.
    Stopping,
    /// The chosen endpoint has asked for rest, or begun to leave, since it was chosen.
    Withdrawn,
}

impl Obstacle {
    /// Name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Arrivals => "arrivals",
            Self::Attempts => "attempts",
            Self::Budget => "budget",
            Self::Deadline => "deadline",
            Self::Dials => "dials",
            Self::Held { .. } => "held",
            Self::MayNotRepeat => "may_not_repeat",
            Self::NoEndpoint => "nobody",
            Self::Overloaded => "overloaded",
            Self::Quarantined => "quarantined",
            Self::Unreachable => "unreached",
            Self::OriginGone => "origin_gone",
            Self::Stopping => "stopping",
            Self::Withdrawn => "withdrawn",
        }
    }
}

impl Obstacle {
    /// Whether the obstacle may disappear with time.
    pub(crate) fn is_transient(self) -> bool {
        match self {
            Self::Budget
            | Self::Dials
            | Self::Held { .. }
            | Self::NoEndpoint
            | Self::Overloaded
            | Self::Unreachable
            | Self::Withdrawn => true,
            Self::Arrivals
            | Self::Attempts
            | Self::Deadline
            | Self::MayNotRepeat
            | Self::Quarantined
            | Self::OriginGone
            | Self::Stopping => false,
        }
    }
}

/// A run that counts as failed although it may still continue.
#[derive(Debug)]
pub(crate) struct PresumedFailure {
    id: EndpointId,
    /// Whether the request may have run before this run.
    may_have_run: bool,
}

/// State of a request that has not been answered yet.
#[derive(Debug, Default)]
pub(crate) struct RetryState {
    /// Attempts that reached an endpoint, including those that it did not run; all of them count
    /// against the retry budget.
    arrivals: u32,
    /// Consecutive connections that failed.
    dials_failed: u32,
    /// Endpoints that the request must not be sent to again.
    pub(crate) excluded: Vec<EndpointId>,
    /// The version of the endpoint that the request was sent to first, or of the last one while it
    /// certainly has not run; only where roll-outs are enabled.
    first_version: Option<String>,
    /// The dispatcher's refusal, if there was one.
    overload: Option<Overload>,
    /// Whether the relay stopped while the request was queued.
    is_stopped: bool,
    /// Whether the request may have run at any endpoint.
    pub(crate) may_have_run: bool,
    /// Pauses since the last run that made progress.
    pauses: u32,
    /// Attempts that count against the route's maximum.
    pub(crate) sends: u32,
    /// The version that wrote the events of the stream that the caller has.
    stream_version: Option<String>,
    /// Endpoints that did not run the request, and count against the route's maximum.
    turned_away_by: Vec<EndpointId>,
    /// A random number between 0 and 1 that decides for all attempts which version the request is
    /// drawn for.
    version_draw: OnceCell<f64>,
}

impl RetryState {
    /// The state of a request for a stream of which the caller has events that `version` wrote, or
    /// of a new request without a version.
    pub(crate) fn of_version(version: Option<String>) -> Self {
        Self {
            stream_version: version,
            ..Self::default()
        }
    }

    /// Records a response of an endpoint that says that the request did not run.
    ///
    /// This is not counted as an attempt if the endpoint was chosen only because it holds a copy,
    /// or if its address belongs to another incarnation (`is_attempt` is false). An endpoint that
    /// turns a stream away again counts once: the route's maximum is one of endpoints.
    pub(crate) fn note_not_run(&mut self, id: &EndpointId, is_attempt: bool) {
        self.arrivals += 1;
        if is_attempt && !self.turned_away_by.contains(id) {
            self.turned_away_by.push(id.clone());
            self.sends += 1;
        }
    }

    /// Records that the request could not be answered in time.
    pub(crate) fn note_overload(&mut self, overload: Overload) {
        self.overload = Some(overload);
    }

    /// Records that the relay stops before it could complete the request; returns the obstacle.
    pub(crate) fn note_stopping(&mut self) -> Obstacle {
        self.is_stopped = true;
        Obstacle::Stopping
    }

    /// Records a failed attempt, and excludes its endpoint.
    pub(crate) fn note(&mut self, id: EndpointId, failure: &SendFailure) {
        self.exclude(id);
        match failure {
            SendFailure::NotSent => self.dials_failed += 1,
            SendFailure::MayHaveRun => {
                self.arrivals += 1;
                self.sends += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Excludes an endpoint from further attempts.
    pub(crate) fn exclude(&mut self, id: EndpointId) {
        if !self.excluded.contains(&id) {
            self.excluded.push(id);
        }
    }

    /// Counts a silent run as failed, until it continues.
    pub(crate) fn presume_failed(&mut self, id: EndpointId) -> PresumedFailure {
        let presumed = PresumedFailure {
            id: id.clone(),
            may_have_run: self.may_have_run,
        };
        self.note(id, &SendFailure::MayHaveRun);
        presumed
    }

    /// Retracts a presumed failure, because the run continues.
    pub(crate) fn retract_presumed_failure(&mut self, presumed: &PresumedFailure) {
        self.excluded.retain(|id| *id != presumed.id);
        self.arrivals -= 1;
        self.sends -= 1;
        self.may_have_run = presumed.may_have_run;
    }

    /// Allows endpoints to be tried again that could not be reached or had no capacity, except
    /// `running`.
    pub(crate) fn clear_exclusions(&mut self, running: Option<&EndpointId>) {
        self.excluded.retain(|id| Some(id) == running);
    }

    /// Whether [`Self::clear_exclusions`] would allow an endpoint to be tried again.
    pub(crate) fn has_exclusions_beside(&self, running: Option<&EndpointId>) -> bool {
        self.excluded.iter().any(|id| Some(id) != running)
    }

    /// Timeout of the next connection in milliseconds. It doubles with each failure from the second
    /// on, because the cause may be this relay's own link.
    pub(crate) fn dial_timeout_ms(&self) -> u64 {
        let doublings = self.dials_failed.saturating_sub(1).min(8);
        (MIN_DIAL_TIMEOUT_MS << doublings).min(MAX_DIAL_TIMEOUT_MS)
    }

    /// Consecutive connections that failed.
    pub(crate) fn failed_dials(&self) -> u32 {
        self.dials_failed
    }

    /// A random number between 0 and 1, the same for all attempts.
    pub(crate) fn version_draw(&self) -> f64 {
        *self.version_draw.get_or_init(rand::random)
    }

    /// Records the version of the endpoint that the request is about to be sent to.
    pub(crate) fn note_version(&mut self, version: &str) {
        if !self.may_have_run {
            self.first_version = Some(version.to_owned());
        }
    }

    /// The version of the endpoint that may have run the request first; none if it has not run.
    pub(crate) fn first_version(&self) -> Option<&str> {
        let first_version = self.first_version.as_deref();
        first_version.filter(|_| self.may_have_run)
    }

    /// Records the version that wrote the first event of the stream.
    pub(crate) fn set_stream_version(&mut self, version: &str) {
        self.stream_version = Some(version.to_owned());
    }

    /// The version that wrote the events of the stream that the caller has; none without events.
    pub(crate) fn stream_version(&self) -> Option<&str> {
        self.stream_version.as_deref()
    }

    /// Records that a connection was established.
    pub(crate) fn note_connected(&mut self) {
        self.dials_failed = 0;
    }

    /// Resets the pauses, because a run makes progress.
    pub(crate) fn reset_pauses(&mut self) {
        self.pauses = 0;
    }

    /// Pause in milliseconds before a stream that has begun is retried. It doubles each time, so
    /// that an engine which refuses is not asked continuously.
    pub(crate) fn next_pause_ms(&mut self) -> u64 {
        let pause_ms = (MIN_RETRY_PAUSE_MS << self.pauses.min(8)).min(MAX_RETRY_PAUSE_MS);
        self.pauses += 1;
        pause_ms
    }

    /// Whether so many endpoints could not be reached, or did not run the request, that the next
    /// attempt is made only after a pause.
    pub(crate) fn needs_pause(&self) -> bool {
        self.dials_failed as usize >= MAX_FAILED_DIALS || self.arrivals >= MAX_ARRIVALS
    }

    /// Checks whether the request may be sent once more, as far as this relay knows.
    ///
    /// A stream that has begun is retried until its deadline: it may be connected, and turned away,
    /// as often as the retry budget allows.
    ///
    /// # Errors
    ///
    /// The obstacle to another attempt.
    pub(crate) fn check_may_send(
        &self,
        relay: &Relay,
        request: &RelayRequest,
        is_begun: bool,
    ) -> Result<(), Obstacle> {
        relay.check_crashes(request)?;
        if self.sends >= request.route.max_attempts {
            return Err(Obstacle::Attempts);
        }
        if self.may_have_run && !request.route.may_repeat() {
            return Err(Obstacle::MayNotRepeat);
        }
        if !relay.has_stream_version(request, self) {
            return Err(Obstacle::OriginGone);
        }
        if self.excluded.len() >= MAX_FAILED_DIALS {
            return Err(Obstacle::Dials);
        }
        if self.arrivals >= MAX_ARRIVALS && !is_begun {
            return Err(Obstacle::Arrivals);
        }
        Ok(())
    }

    /// Whether the retry budget allows the next attempt; the first one needs no budget.
    pub(crate) fn has_budget(&self, relay: &Relay, request: &RelayRequest) -> bool {
        self.arrivals == 0 || relay.has_retries_left(&request.service)
    }

    /// Spends retry budget for an attempt that is about to be sent; false if the budget is
    /// exhausted.
    pub(crate) fn spend(&self, relay: &Relay, request: &RelayRequest) -> bool {
        self.arrivals == 0 || relay.try_spend(&request.service)
    }

    /// The refusal of a request that is given up; it tells whether the request may have run.
    pub(crate) fn refusal(&self, relay: &Relay, request: &RelayRequest) -> Refusal {
        let is_over = request.left_ms(relay.now()) == 0;
        if !self.may_have_run
            && let Some(retry_after_ms) = relay.quarantine_left_ms(request)
        {
            return Refusal::Quarantined { retry_after_ms };
        }
        if !self.may_have_run && self.is_stopped && !is_over {
            return Refusal::Stopping;
        }
        match (self.may_have_run, is_over, self.overload) {
            (true, true, _) => Refusal::DeadlineAfterSend,
            (true, false, _) => Refusal::Broken,
            (false, true, _) => Refusal::DeadlineBeforeSend,
            (false, false, Some(overload)) => Refusal::Overloaded {
                retry_after_ms: overload.retry_after_ms,
            },
            (false, false, None) => Refusal::NoEndpoint,
        }
    }
}
