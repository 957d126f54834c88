//! What has been tried for a request, and what may still be.

use masticsill_dispatch::Overload;
use masticsill_registry::EndpointId;

use crate::attempt::SendFailure;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::response::Refusal;

/// Endpoints that can't be connected to before a request is given up of which nothing was passed on.
const MAX_FAILED_DIALS: usize = 8;
/// Longest wait for the first connection: a healthy endpoint accepts within a few milliseconds, and
/// what was not sent costs nothing to send elsewhere.
const MIN_DIAL_TIMEOUT_MS: u64 = 120;
/// First pause before what was begun is tried again: a tenth of the pause between events from which a
/// stream is late (700 ms).
const MIN_RETRY_PAUSE_MS: u64 = 70;
/// Longest of them: no longer than an endpoint is left alone after its failures.
const MAX_RETRY_PAUSE_MS: u64 = 1_120;
/// Longest wait for any: a lost first packet is sent again after a second.
const MAX_DIAL_TIMEOUT_MS: u64 = 1_200;
/// Endpoints that a request may reach, those included that did not run it.
const MAX_ARRIVALS: u32 = 10;

/// What keeps a request from being sent once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Obstacle {
    /// It has reached as many endpoints as it may, those included that did not run it.
    Arrivals,
    /// It has been sent as often as its route allows.
    Attempts,
    /// The service's retry budget is spent.
    Budget,
    /// Its time is over.
    Deadline,
    /// Too many endpoints could not be connected to.
    Dials,
    /// Endpoints crashed under it, and whether that counts is judged in a moment.
    Held {
        /// The longest wait for that.
        left_ms: u64,
    },
    /// It may have run, and may not run twice.
    MayNotRepeat,
    /// No endpoint is known that it could go to.
    NoEndpoint,
    /// It could not be answered in time.
    Overloaded,
    /// It crashes the endpoints that run it.
    Quarantined,
    /// The endpoint that was chosen could not be connected to.
    Unreachable,
}

impl Obstacle {
    /// The name in logs and metrics.
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
        }
    }
}

impl Obstacle {
    /// Whether time alone may remove it.
    pub(crate) fn is_transient(self) -> bool {
        match self {
            Self::Budget
            | Self::Dials
            | Self::Held { .. }
            | Self::NoEndpoint
            | Self::Overloaded
            | Self::Unreachable => true,
            Self::Arrivals
            | Self::Attempts
            | Self::Deadline
            | Self::MayNotRepeat
            | Self::Quarantined => false,
        }
    }
}

/// A run that is counted as failed, though it may still go on.
#[derive(Debug)]
pub(crate) struct PresumedFailure {
    id: EndpointId,
    /// Whether anything may have run before.
    may_have_run: bool,
}

/// What is known of a request that has not been answered yet.
#[derive(Debug, Default)]
pub(crate) struct RetryState {
    /// Sends that reached an endpoint, those included that it did not run: all of them count
    /// against the retry budget.
    arrivals: u32,
    /// Connections that could not be had, one after the other.
    dials_failed: u32,
    /// Endpoints that it must not go to again.
    pub(crate) excluded: Vec<EndpointId>,
    /// Why it is not sent anywhere any more.
    overload: Option<Overload>,
    /// Whether it may have run somewhere.
    pub(crate) may_have_run: bool,
    /// Pauses made so far.
    pauses: u32,
    /// Sends that count against the route's attempts.
    pub(crate) sends: u32,
}

impl RetryState {
    /// Notes an answer that says that the request did not run.
    ///
    /// It is no attempt where the endpoint was asked for a copy's sake only, or where its address
    /// belongs to another incarnation.
    pub(crate) fn note_not_run(&mut self, is_attempt: bool) {
        self.arrivals += 1;
        self.sends += u32::from(is_attempt);
    }

    /// Notes that it could not be answered in time.
    pub(crate) fn note_overload(&mut self, overload: Overload) {
        self.overload = Some(overload);
    }

    /// Notes a send that failed; the endpoint is not asked again.
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

    /// Leaves an endpoint out from now on.
    pub(crate) fn exclude(&mut self, id: EndpointId) {
        if !self.excluded.contains(&id) {
            self.excluded.push(id);
        }
    }

    /// Counts a run that is doubted as one that failed, until it goes on.
    pub(crate) fn presume_failed(&mut self, id: EndpointId) -> PresumedFailure {
        let presumed = PresumedFailure {
            id: id.clone(),
            may_have_run: self.may_have_run,
        };
        self.note(id, &SendFailure::MayHaveRun);
        presumed
    }

    /// Takes a doubt back: the run goes on.
    pub(crate) fn retract_presumed_failure(&mut self, presumed: &PresumedFailure) {
        self.excluded.retain(|id| *id != presumed.id);
        self.arrivals -= 1;
        self.sends -= 1;
        self.may_have_run = presumed.may_have_run;
    }

    /// Lets endpoints be asked again that could not be reached or had no room, but not `running`.
    pub(crate) fn clear_exclusions(&mut self, running: Option<&EndpointId>) {
        self.excluded.retain(|id| Some(id) == running);
    }

    /// How long the next connection may take: longer each time from the third on, since what is slow
    /// may be this relay's own link.
    pub(crate) fn dial_timeout_ms(&self) -> u64 {
        let doublings = self.dials_failed.saturating_sub(1).min(8);
        (MIN_DIAL_TIMEOUT_MS << doublings).min(MAX_DIAL_TIMEOUT_MS)
    }

    /// Notes that a connection stands.
    pub(crate) fn note_connected(&mut self) {
        self.dials_failed = 0;
    }

    /// Notes that a run is at work.
    pub(crate) fn reset_pauses(&mut self) {
        self.pauses = 0;
    }

    /// Pause before what was begun is tried again: longer each time, so that an engine that refuses is
    /// not asked without end.
    pub(crate) fn next_pause_ms(&mut self) -> u64 {
        let pause_ms = (MIN_RETRY_PAUSE_MS << self.pauses.min(8)).min(MAX_RETRY_PAUSE_MS);
        self.pauses += 1;
        pause_ms
    }

    /// Whether so many endpoints could not be reached, or did not run it, that the next one is asked
    /// only after a pause.
    pub(crate) fn needs_pause(&self) -> bool {
        self.dials_failed as usize >= MAX_FAILED_DIALS || self.arrivals >= MAX_ARRIVALS
    }

    /// Whether the request may be sent once more, as far as it is known here.
    ///
    /// What was begun goes on until its time is over: it may be connected, and turned away, as often
    /// as the retry budget allows.
    ///
    /// # Errors
    ///
    /// What keeps it from that.
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
        if self.excluded.len() >= MAX_FAILED_DIALS {
            return Err(Obstacle::Dials);
        }
        if self.arrivals >= MAX_ARRIVALS && !is_begun {
            return Err(Obstacle::Arrivals);
        }
        Ok(())
    }

    /// Whether the retry budget has something left for one more send, if that needs it.
    pub(crate) fn has_budget(&self, relay: &Relay, request: &RelayRequest) -> bool {
        self.arrivals == 0 || relay.has_retries_left(&request.service)
    }

    /// Spends the retry budget for a send that is about to leave; false if there is nothing left.
    pub(crate) fn spend(&self, relay: &Relay, request: &RelayRequest) -> bool {
        self.arrivals == 0 || relay.try_spend(&request.service)
    }

    /// Why the request is given up, by what may have become of it.
    pub(crate) fn refusal(&self, relay: &Relay, request: &RelayRequest) -> Refusal {
        let is_over = request.left_ms(relay.now()) == 0;
        if !self.may_have_run
            && let Some(retry_after_ms) = relay.quarantine_left_ms(request)
        {
            return Refusal::Quarantined { retry_after_ms };
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
