//! Requests answered by a stream of numbered events.
//!
//! One response to the caller may consist of several runs, each of which resumes after the last
//! event that the caller has. The head, with its signature, is that of the first run.
//!
//! A silent run is presumed to have failed, but is kept open until the connection of its
//! replacement is established, and continues if it sends anything before that. The silence may be
//! caused by the relay itself, and without a replacement a late response is worth more than half a
//! one. A stream that has begun is ended only when its deadline has passed, or when its engine
//! broke it and no further attempt is allowed.

mod run;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use masticsill_registry::{Announcement, EndpointId};
use masticsill_types::log_event;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{sleep, timeout};

use crate::attempt::{Attempt, SendFailure, open};
use crate::continuation::{Continuation, ContinuationEnd};
use crate::copies::{CopyManager, RunCopy};
use crate::dispatch_queue::Dispatched;
use crate::event_order::EventOrder;
use crate::events;
use crate::relay::Relay;
use crate::request::RelayRequest;
use crate::reservation::{CopyReservation, Reservation, ReservedLoad};
use crate::response::{Refusal, Response};
use crate::retry_state::{Obstacle, RetryState};
use crate::stream_timing::StreamTiming;

/// How long a stream that has begun keeps away from the endpoints that turned it away or failed, if
/// no other has capacity: as long as an endpoint is avoided at most after failures.
const MAX_EXCLUSION_MS: u64 = 1_200;

/// How a stream ended towards its caller.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    /// All of the stream has been written.
    Whole {
        endpoint: EndpointId,
        resumes: u32,
        timing: StreamTiming,
    },
    /// An endpoint's response that is not a stream, to be written as a whole.
    Plain(Response, EndpointId),
    /// A response of the relay itself, to be written; nothing of the stream has been.
    Refused {
        /// Why no further attempt was possible.
        obstacle: Obstacle,
        refusal: Refusal,
    },
    /// Part of the stream has been written and the rest is not available: the connection must be
    /// closed.
    BrokenOff(BrokenOff),
    /// The caller accepts no more data.
    CallerLeft(io::Error),
}

/// Details of a stream that was aborted.
#[derive(Debug)]
pub(crate) struct BrokenOff {
    /// Number of events delivered to the caller.
    pub(crate) delivered: u64,
    /// Why the stream could not be resumed.
    pub(crate) obstacle: Obstacle,
    pub(crate) refusal: Refusal,
    /// Attempts that count against the route's maximum.
    pub(crate) sends: u32,
    /// How the last run failed.
    pub(crate) last_failure: &'static str,
}

/// The next run of a stream, connected and not sent yet.
struct NextAttempt {
    from_copy: Option<RunCopy>,
    attempt: Attempt,
}

/// How one run ended.
enum RunEnd {
    Whole,
    Plain(Response),
    /// The request did not run; `is_replaced` if another incarnation has the address.
    NotRun {
        is_replaced: bool,
    },
    Failed(SendFailure),
    /// The run was silent, and the connection of its replacement is established.
    Replaced(Box<NextAttempt>),
    CallerLeft(io::Error),
}

/// A stream being relayed to its caller.
pub(crate) struct StreamRelay<'a> {
    /// The stream that the caller continues; none for a new one.
    continuation: Option<Continuation>,
    copies: CopyManager,
    /// Events delivered by all runs.
    delivered: u64,
    is_closing: bool,
    /// Whether a run can resume from the copy, because the copied run has finished its prefill.
    is_copy_usable: bool,
    is_head_written: bool,
    last_failure: &'static str,
    order: EventOrder,
    /// Time in milliseconds for which the request has produced events, in all of its runs.
    reached_ms: u64,
    relay: &'a Rc<Relay>,
    request: &'a RelayRequest,
    resumes: u32,
    timing: StreamTiming,
    retry_state: RetryState,
    writer: &'a mut OwnedWriteHalf,
}

impl<'a> StreamRelay<'a> {
    /// Prepares a stream. `version` is the one that began it, if its caller continues a stream
    /// (`continuation`).
    pub(crate) fn new(
        relay: &'a Rc<Relay>,
        request: &'a RelayRequest,
        version: Option<String>,
        continuation: Option<Continuation>,
        writer: &'a mut OwnedWriteHalf,
        is_closing: bool,
    ) -> Self {
        Self {
            continuation,
            copies: CopyManager::default(),
            delivered: 0,
            is_closing,
            is_copy_usable: false,
            is_head_written: false,
            last_failure: "none",
            order: EventOrder::after(request.last_event(&relay.config.headers)),
            reached_ms: 0,
            relay,
            request,
            resumes: 0,
            timing: StreamTiming::default(),
            retry_state: RetryState::of_version(version),
            writer,
        }
    }

    /// Relays until the stream is complete or given up.
    pub(crate) async fn run(mut self) -> StreamEnd {
        let end = self.relay_runs().await;
        let ended = match &end {
            StreamEnd::Whole { .. } => {
                self.note_continued();
                return end;
            }
            StreamEnd::Plain(..) => ContinuationEnd::EndpointFailed,
            StreamEnd::Refused { obstacle, .. }
            | StreamEnd::BrokenOff(BrokenOff { obstacle, .. }) => {
                ContinuationEnd::Obstacle(*obstacle)
            }
            StreamEnd::CallerLeft(_) => ContinuationEnd::CallerLeft,
        };
        self.note_not_continued(ended);
        end
    }

    async fn relay_runs(&mut self) -> StreamEnd {
        let mut next = self.open_next(None).await;
        let obstacle = loop {
            let NextAttempt { from_copy, attempt } = match next {
                Ok(next) => next,
                Err(obstacle) => break obstacle,
            };
            let id = attempt.endpoint().id.clone();
            let delivered_before = self.delivered;
            let end = self.run_once(attempt, from_copy.as_ref()).await;
            // The run did not finish its prefill. Engines refused 594 of 612 copies of such runs,
            // and each refusal spends retry budget.
            let is_prefill_incomplete = self.delivered == delivered_before && from_copy.is_none();
            next = match end {
                RunEnd::Whole => {
                    return StreamEnd::Whole {
                        endpoint: id,
                        resumes: self.resumes,
                        timing: self.timing,
                    };
                }
                RunEnd::Plain(response) => return StreamEnd::Plain(response, id),
                RunEnd::CallerLeft(error) => return StreamEnd::CallerLeft(error),
                RunEnd::NotRun { is_replaced } => {
                    // The endpoint did not run the request, so that it made no copy.
                    self.copies.clear();
                    self.retry_state
                        .note_not_run(&id, !is_replaced && from_copy.is_none());
                    // An engine that lacks the copy may still run the request from its prompt.
                    if from_copy.is_none() {
                        self.retry_state.exclude(id);
                    }
                    if self.is_head_written && self.retry_state.needs_pause() {
                        let pause_ms = self.retry_state.next_pause_ms();
                        sleep(Duration::from_millis(pause_ms)).await;
                    }
                    self.open_next(None).await
                }
                RunEnd::Failed(failure) => {
                    if is_prefill_incomplete {
                        self.copies.clear();
                    }
                    self.retry_state.note(id, &failure);
                    self.open_next(None).await
                }
                RunEnd::Replaced(next) => Ok(*next),
            };
        };
        let refusal = match obstacle {
            // No retry within the caller's time could succeed.
            Obstacle::OriginGone if !self.retry_state.may_have_run => Refusal::OriginGone {
                retry_after_ms: self.request.left_ms(self.relay.now()),
            },
            _ => self.retry_state.refusal(self.relay, self.request),
        };
        if self.is_head_written {
            StreamEnd::BrokenOff(BrokenOff {
                delivered: self.delivered,
                last_failure: self.last_failure,
                obstacle,
                refusal,
                sends: self.retry_state.sends,
            })
        } else {
            StreamEnd::Refused { obstacle, refusal }
        }
    }

    /// Records that a continued stream has gone on.
    fn note_continued(&mut self) {
        if let Some(continuation) = &mut self.continuation {
            continuation.succeed();
        }
    }

    /// Records that a continued stream does not go on, unless it has.
    fn note_not_continued(&mut self, end: ContinuationEnd) {
        if let Some(continuation) = &mut self.continuation {
            continuation.fail(end, &self.retry_state.excluded);
        }
    }

    /// Chooses the endpoint on which the stream resumes, and connects to it. `silent_endpoint` is
    /// the engine of a silent run that is kept open meanwhile.
    ///
    /// A stream that has begun, here or in an earlier attempt of its caller, waits for obstacles that
    /// may disappear with time.
    async fn open_next(
        &mut self,
        silent_endpoint: Option<&EndpointId>,
    ) -> Result<NextAttempt, Obstacle> {
        let is_begun = self.is_continued() || silent_endpoint.is_some();
        let mut logged_obstacle = None;
        if let Some(continuation) = &mut self.continuation {
            continuation.note_search();
        }
        loop {
            if self.request.left_ms(self.relay.now()) == 0 {
                return Err(Obstacle::Deadline);
            }
            let obstacle = match self.try_open(is_begun, silent_endpoint).await {
                Ok(next) => {
                    if let Some(continuation) = &mut self.continuation {
                        continuation.note_run();
                    }
                    return Ok(next);
                }
                Err(Obstacle::Unreachable) if !is_begun || !self.retry_state.needs_pause() => {
                    continue;
                }
                Err(Obstacle::Withdrawn) => continue,
                Err(Obstacle::Held { left_ms }) => {
                    self.relay.wait_for_crash_change(left_ms).await;
                    continue;
                }
                Err(obstacle) => obstacle,
            };
            if !is_begun || !obstacle.is_transient() {
                return Err(obstacle);
            }
            if logged_obstacle != Some(obstacle) {
                logged_obstacle = Some(obstacle);
                self.log_wait(obstacle, silent_endpoint);
                if let Some(continuation) = &mut self.continuation {
                    continuation.note_wait(obstacle);
                }
            }
            if matches!(obstacle, Obstacle::Dials | Obstacle::NoEndpoint) {
                self.retry_state.clear_exclusions(silent_endpoint);
            }
            let pause_ms = self.retry_state.next_pause_ms();
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Whether the caller has a part of the stream.
    fn is_continued(&self) -> bool {
        self.retry_state.stream_version().is_some()
    }

    async fn try_open(
        &mut self,
        is_begun: bool,
        silent_endpoint: Option<&EndpointId>,
    ) -> Result<NextAttempt, Obstacle> {
        self.retry_state
            .check_may_send(self.relay, self.request, is_begun)?;
        if !self.retry_state.has_budget(self.relay, self.request) {
            return Err(Obstacle::Budget);
        }
        let (reservation, from_copy) = self.choose(silent_endpoint).await?;
        let attempt = open(self.relay, self.request, reservation, &mut self.retry_state).await?;
        Ok(NextAttempt { from_copy, attempt })
    }

    fn log_wait(&self, obstacle: Obstacle, silent_endpoint: Option<&EndpointId>) {
        if obstacle == Obstacle::Budget {
            self.relay.note_retry_refused(&self.request.service);
        }
        log_event!(
            info,
            events::STREAM_WAITS,
            request = self.request.id,
            obstacle = obstacle.name(),
            is_listened_to = silent_endpoint.is_some(),
            sends = self.retry_state.sends,
            left_ms = self.request.left_ms(self.relay.now())
        );
    }

    /// Reserves the endpoint that holds a copy of the run if the copy can be used, or the best
    /// endpoint otherwise.
    async fn choose(
        &mut self,
        silent_endpoint: Option<&EndpointId>,
    ) -> Result<(Reservation, Option<RunCopy>), Obstacle> {
        self.copies.poll_pending(self.relay.now());
        let copy = self.copies.copy().filter(|_| self.is_copy_usable);
        if let Some(copy) = copy {
            let is_tried = self.retry_state.excluded.contains(&copy.at.id);
            let obstacle = self.relay.unavailability_reason(&copy.at.id);
            let is_colocated = self
                .relay
                .would_colocate_with_suspect(self.request, &copy.at.id);
            let may_use = self
                .relay
                .may_use_version(self.request, &self.retry_state, &copy.at);
            let obstacle = obstacle
                .or((!may_use).then_some("has another version now"))
                .or(is_tried.then_some("tried before"))
                .or(is_colocated.then_some("a request may crash it"));
            let Some(cause) = obstacle else {
                let tokens = self.request.held_tokens(&self.relay.config.headers);
                let load = ReservedLoad::Copy { tokens };
                let mut reservation = Reservation::take(self.relay, copy.at.clone(), load);
                self.relay.mark_suspect(self.request, &mut reservation);
                return Ok((reservation, Some(copy.clone())));
            };
            log_event!(
                info,
                events::COPY_UNUSABLE,
                request = self.request.id,
                endpoint = copy.at.id,
                zone = copy.at.zone,
                is_tried = is_tried,
                cause = cause
            );
            // A run that is only silent may continue, and then needs its copy.
            if silent_endpoint.is_none() {
                self.copies.clear();
            }
        }
        let may_return = self.retry_state.has_exclusions_beside(silent_endpoint);
        let choosing =
            self.relay
                .choose_or_wait(self.request, &self.retry_state, self.is_continued());
        let is_bounded = self.is_continued() && may_return;
        let dispatched = if is_bounded {
            // Without an endpoint in time, those that are excluded are tried again.
            let bound = timeout(Duration::from_millis(MAX_EXCLUSION_MS), choosing);
            bound.await.unwrap_or(Dispatched::NoEndpoint)
        } else {
            choosing.await
        };
        match dispatched {
            Dispatched::Assigned(_, reservation) => Ok((*reservation, None)),
            Dispatched::Refused(overload) => {
                self.retry_state.note_overload(overload);
                Err(Obstacle::Overloaded)
            }
            Dispatched::NoEndpoint => Err(Obstacle::NoEndpoint),
            Dispatched::Stopping => Err(self.retry_state.note_stopping()),
        }
    }

    /// The copy that the engine is to stream: in another zone, so that it survives a failure of
    /// this one.
    fn choose_copy(&self, endpoint: &Announcement) -> Option<RunCopy> {
        let excluded = &self.retry_state.excluded;
        let at = self
            .relay
            .choose_copy_holder(self.request, excluded, endpoint)?;
        let tokens = self.request.held_tokens(&self.relay.config.headers);
        let reservation = CopyReservation::take(self.relay, &at, tokens);
        Some(RunCopy::backup(at, reservation))
    }
}

impl Drop for StreamRelay<'_> {
    /// Releases the copy however the stream ends, so that it no longer occupies an engine's memory.
    fn drop(&mut self) {
        self.note_not_continued(ContinuationEnd::CallerLeft);
        self.copies.poll_pending(self.relay.now());
        self.copies.release(self.relay);
    }
}
