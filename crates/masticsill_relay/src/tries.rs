//! What has been tried for a request, and what may still be.

use masticsill_dispatch::Overload;
use masticsill_registry::EndpointId;

use crate::answer::Refusal;
use crate::attempt::SendFailure;
use crate::relay::Relay;
use crate::request::RelayRequest;

/// Endpoints that can't be connected to before a request is given up.
const MAX_DIALS: usize = 8;
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
    /// It may have run, and may not run twice.
    MayNotRepeat,
    /// No endpoint is known that it could go to.
    Nobody,
    /// It could not be answered in time.
    Overloaded,
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
            Self::MayNotRepeat => "may_not_repeat",
            Self::Nobody => "nobody",
            Self::Overloaded => "overloaded",
        }
    }
}

/// What is known of a request that has not been answered yet.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    /// Sends that reached an endpoint, those included that it did not run: all of them count
    /// against the retry budget.
    arrivals: u32,
    /// Endpoints that it must not go to again.
    pub(crate) excluded: Vec<EndpointId>,
    /// Why it is not sent anywhere any more.
    overload: Option<Overload>,
    /// Whether it may have run somewhere.
    pub(crate) may_have_run: bool,
    /// Sends that count against the route's attempts.
    pub(crate) sends: u32,
}

impl Tries {
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
        self.excluded.push(id);
        match failure {
            SendFailure::NotSent => {}
            SendFailure::MayHaveRun => {
                self.arrivals += 1;
                self.sends += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Whether the request may be sent once more; the retry budget is spent then.
    ///
    /// # Errors
    ///
    /// What keeps it from that.
    pub(crate) fn may_go_on(&self, relay: &Relay, request: &RelayRequest) -> Result<(), Obstacle> {
        if self.excluded.len() >= MAX_DIALS {
            return Err(Obstacle::Dials);
        }
        if self.arrivals >= MAX_ARRIVALS {
            return Err(Obstacle::Arrivals);
        }
        if self.sends >= request.route.max_attempts {
            return Err(Obstacle::Attempts);
        }
        if self.may_have_run && !request.route.may_repeat() {
            return Err(Obstacle::MayNotRepeat);
        }
        if self.arrivals == 0 || relay.try_spend(&request.service) {
            Ok(())
        } else {
            Err(Obstacle::Budget)
        }
    }

    /// Why the request is given up, by what may have become of it.
    pub(crate) fn refusal(&self, relay: &Relay, request: &RelayRequest) -> Refusal {
        let is_over = request.left_ms(relay.now()) == 0;
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
