//! Requests whose answer is a stream of numbered events.
//!
//! One answer to the caller may be made of several runs: each goes on after the last event that
//! the caller has. The head, with its signature, is that of the first run.
//!
//! A run that falls silent is doubted, not ended: it is listened to until the connection of its
//! successor stands, and goes on if it speaks before. Silence may be the relay's own, and where no
//! successor can be had, a late answer is worth more than half of one. What was begun is ended only
//! when its time is over, or when its engine broke it and no further send is allowed.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use masticsill_http1::{
    BodyDecoder, EventSplitter, HeadWriter, ResponseHead, write_chunk, write_last_chunk,
};
use masticsill_registry::{Announcement, EndpointId};
use masticsill_types::{ClockMs, log_event};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;

use crate::answer::{Answer, Refusal};
use crate::attempt::{SendFailure, Sent, exchange, fail, failure_of, open, with_patience};
use crate::copies::{Copy, CopyKeeper};
use crate::dispatching::Dispatched;
use crate::doubt::{LIFE_ENDED, Waited, note_replaced, note_went_on, until_replaced};
use crate::events;
use crate::lineage::{EventOrder, Placed};
use crate::metrics::CauseLabel;
use crate::relay::Relay;
use crate::request::{RelayRequest, SendOptions};
use crate::reservation::{CopyPlace, Place, Reservation};
use crate::timing::Timing;
use crate::tries::{Obstacle, Tries};
use crate::whole::{Verdict, collect, passed_headers};
use masticsill_dispatch::Failure;

/// Silence between events after which a run is given up: twice the longest usual gap, which is
/// that of six decoding steps beside another request's prefill (180 ms).
const EVENT_SILENCE_MS: u64 = 350;
/// Silence before the first event, beside the time that the prompt takes to read.
const FIRST_EVENT_MS: u64 = 3_000;
/// Prompt tokens that an engine is expected to read in a millisecond, behind other prompts.
const PROMPT_TOKENS_PER_MS: u64 = 3;

/// How a stream ended towards its caller.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    /// Whole: all of it has been written.
    Whole {
        endpoint: EndpointId,
        resumes: u32,
        timing: Timing,
    },
    /// An endpoint's answer that is no stream, to be written as a whole.
    Plain(Answer, EndpointId),
    /// The relay's own answer, to be written; nothing of the stream was.
    Refused(Refusal),
    /// Part of it was written and the rest can't be had: the connection must be closed.
    BrokenOff(BrokenOff),
    /// The caller takes nothing any more.
    CallerLeft(io::Error),
}

/// What is known of a stream that was broken off.
#[derive(Debug)]
pub(crate) struct BrokenOff {
    /// Events that the caller got.
    pub(crate) delivered: u64,
    /// What kept it from going on.
    pub(crate) obstacle: Obstacle,
    pub(crate) refusal: Refusal,
    /// Sends that may have run.
    pub(crate) sends: u32,
    /// How its last run ended.
    pub(crate) last_failure: &'static str,
}

/// The next run of a stream, about to be sent.
struct Next {
    from_copy: Option<Copy>,
    sent: Sent,
}

/// How one run ended.
enum RunEnd {
    Whole,
    Plain(Answer),
    /// It did not run; whether because the address belongs to another incarnation.
    NotRun {
        is_replaced: bool,
    },
    Failed(SendFailure),
    /// It was silent, and its successor's connection stands.
    Replaced(Box<Next>),
    CallerLeft(io::Error),
}

/// One stream on its way to its caller.
pub(crate) struct StreamRelay<'a> {
    copies: CopyKeeper,
    /// Events passed on by any run.
    delivered: u64,
    is_closing: bool,
    /// Whether the copy can be gone on from: its run has read its prompt.
    is_copy_usable: bool,
    is_head_written: bool,
    last_failure: &'static str,
    order: EventOrder,
    relay: &'a Rc<Relay>,
    request: &'a RelayRequest,
    resumes: u32,
    /// When its newest run was sent.
    run_began_at: ClockMs,
    timing: Timing,
    tries: Tries,
    writer: &'a mut OwnedWriteHalf,
}

impl<'a> StreamRelay<'a> {
    pub(crate) fn new(
        relay: &'a Rc<Relay>,
        request: &'a RelayRequest,
        writer: &'a mut OwnedWriteHalf,
        is_closing: bool,
    ) -> Self {
        Self {
            copies: CopyKeeper::default(),
            delivered: 0,
            is_closing,
            is_copy_usable: false,
            is_head_written: false,
            last_failure: "none",
            order: EventOrder::after(request.last_event(&relay.config.headers)),
            relay,
            request,
            resumes: 0,
            run_began_at: request.received_at,
            timing: Timing::default(),
            tries: Tries::default(),
            writer,
        }
    }

    /// Relays until the stream is whole or given up.
    pub(crate) async fn run(mut self) -> StreamEnd {
        let mut next = self.open_next(None).await;
        let obstacle = loop {
            let Next { from_copy, sent } = match next {
                Ok(next) => next,
                Err(obstacle) => break obstacle,
            };
            let id = sent.endpoint().id.clone();
            let delivered_before = self.delivered;
            let end = self.run_once(sent, from_copy.as_ref()).await;
            // Its prompt was not read to the end: of 612 such copies engines refused 594, and each
            // refusal uses up the retry budget.
            let is_unread = self.delivered == delivered_before && from_copy.is_none();
            next = match end {
                RunEnd::Whole => {
                    return StreamEnd::Whole {
                        endpoint: id,
                        resumes: self.resumes,
                        timing: self.timing,
                    };
                }
                RunEnd::Plain(answer) => return StreamEnd::Plain(answer, id),
                RunEnd::CallerLeft(error) => return StreamEnd::CallerLeft(error),
                RunEnd::NotRun { is_replaced } => {
                    // Nothing ran here that could have made a copy.
                    self.copies.forget();
                    self.tries.note_not_run(!is_replaced && from_copy.is_none());
                    // An engine without the copy may still run the request from its prompt.
                    if from_copy.is_none() {
                        self.tries.exclude(id);
                    }
                    if self.is_head_written && self.tries.is_to_pause() {
                        let pause_ms = self.tries.next_pause_ms();
                        sleep(Duration::from_millis(pause_ms)).await;
                    }
                    self.open_next(None).await
                }
                RunEnd::Failed(failure) => {
                    if is_unread {
                        self.copies.forget();
                    }
                    self.tries.note(id, &failure);
                    self.open_next(None).await
                }
                RunEnd::Replaced(next) => Ok(*next),
            };
        };
        let refusal = self.tries.refusal(self.relay, self.request);
        if self.is_head_written {
            StreamEnd::BrokenOff(BrokenOff {
                delivered: self.delivered,
                last_failure: self.last_failure,
                obstacle,
                refusal,
                sends: self.tries.sends,
            })
        } else {
            StreamEnd::Refused(refusal)
        }
    }

    /// Chooses where the stream goes on, and connects there. `doubted` is the engine of a run that is
    /// listened to meanwhile.
    ///
    /// For a stream that was begun, what time alone may remove is waited for.
    async fn open_next(&mut self, doubted: Option<&EndpointId>) -> Result<Next, Obstacle> {
        let is_begun = self.is_head_written || doubted.is_some();
        let mut told = None;
        loop {
            if self.request.left_ms(self.relay.now()) == 0 {
                return Err(Obstacle::Deadline);
            }
            let obstacle = match self.try_open(is_begun, doubted).await {
                Ok(next) => return Ok(next),
                Err(Obstacle::Unreached) if !is_begun || !self.tries.is_to_pause() => continue,
                Err(Obstacle::Held { left_ms }) => {
                    self.relay.await_judgement(left_ms).await;
                    continue;
                }
                Err(obstacle) => obstacle,
            };
            if !is_begun || !obstacle.is_passing() {
                return Err(obstacle);
            }
            if told != Some(obstacle) {
                told = Some(obstacle);
                self.log_wait(obstacle, doubted);
            }
            if matches!(obstacle, Obstacle::Dials | Obstacle::Nobody) {
                self.tries.ask_again(doubted);
            }
            let pause_ms = self.tries.next_pause_ms();
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn try_open(
        &mut self,
        is_begun: bool,
        doubted: Option<&EndpointId>,
    ) -> Result<Next, Obstacle> {
        self.tries.may_go_on(self.relay, self.request, is_begun)?;
        if !self.tries.has_budget(self.relay, self.request) {
            return Err(Obstacle::Budget);
        }
        let (reservation, from_copy) = self.choose(doubted).await?;
        let sent = open(self.relay, self.request, reservation, &mut self.tries).await?;
        Ok(Next { from_copy, sent })
    }

    fn log_wait(&self, obstacle: Obstacle, doubted: Option<&EndpointId>) {
        if obstacle == Obstacle::Budget {
            self.relay.note_retry_refused(&self.request.service);
        }
        log_event!(
            info,
            events::STREAM_WAITS,
            request = self.request.id,
            obstacle = obstacle.name(),
            is_listened_to = doubted.is_some(),
            sends = self.tries.sends,
            left_ms = self.request.left_ms(self.relay.now())
        );
    }

    /// The endpoint that holds a copy of the run, while it can be used, or the best of all.
    async fn choose(
        &mut self,
        doubted: Option<&EndpointId>,
    ) -> Result<(Reservation, Option<Copy>), Obstacle> {
        self.copies.collect(self.relay.now());
        let copy = self.copies.copy().filter(|_| self.is_copy_usable);
        if let Some(copy) = copy {
            let is_tried = self.tries.excluded.contains(&copy.at.id);
            let obstacle = self.relay.obstacle(&copy.at.id);
            let Some(cause) = obstacle.or(is_tried.then_some("tried before")) else {
                let tokens = self.request.held_tokens(&self.relay.config.headers);
                let place = Place::Copy { tokens };
                let reservation = Reservation::take(self.relay, copy.at.clone(), place);
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
            // A run that is only doubted may go on, and needs its copy then.
            if doubted.is_none() {
                self.copies.forget();
            }
        }
        let is_resume = self.delivered > 0;
        let choosing = self
            .relay
            .choose_or_wait(self.request, &self.tries, is_resume);
        match choosing.await {
            Dispatched::Sent(_, reservation) => Ok((*reservation, None)),
            Dispatched::Refused(overload) => {
                self.tries.note_overload(overload);
                Err(Obstacle::Overloaded)
            }
            Dispatched::Nobody => Err(Obstacle::Nobody),
        }
    }

    /// Where the engine is to keep a copy: in another zone, so that it survives this one.
    fn choose_copy(&self, endpoint: &Announcement) -> Option<Copy> {
        let excluded = &self.tries.excluded;
        let at = self
            .relay
            .choose_copy_holder(self.request, excluded, endpoint)?;
        let tokens = self.request.held_tokens(&self.relay.config.headers);
        let place = CopyPlace::take(self.relay, &at, tokens);
        Some(Copy::backup(at, place))
    }

    async fn run_once(&mut self, mut sent: Sent, from_copy: Option<&Copy>) -> RunEnd {
        let (relay, request) = (self.relay, self.request);
        let endpoint = sent.endpoint().clone();
        let copy = self.choose_copy(&endpoint);
        let options = SendOptions {
            backup_at: copy.as_ref().map(|copy| copy.at.address.to_string()),
            last_event: self.order.last().filter(|_| self.delivered > 0),
            resume_from: from_copy.map(|copy| copy.reference(&request.id)),
        };
        if self.delivered > 0 {
            self.note_resume(&endpoint, from_copy.is_some());
        }
        // The engine begins its copy while it reads the prompt, before any answer.
        self.copies.begin(copy);
        self.is_copy_usable = from_copy.is_some();
        let patience_ms = self.first_patience_ms();
        let sent_at = relay.now();
        self.run_began_at = sent_at;
        let exchange = exchange(relay, request, &mut sent, &options);
        let failure = Failure::Silent;
        let waited = self.listen(&endpoint, sent_at, patience_ms, failure, exchange);
        let head = match waited.await {
            Waited::Done(Ok(head)) => head,
            Waited::Done(Err(error)) => {
                return self.run_failed(sent, failure_of(&error), &error.to_string());
            }
            Waited::Replaced(next) => return RunEnd::Replaced(Box::new(next)),
            Waited::Ended => return self.run_failed(sent, Failure::Replaced, LIFE_ENDED),
            Waited::Over => return self.run_failed(sent, failure, "no answer"),
        };
        if head.status != 200 {
            return match collect(relay, request, sent, head).await {
                Ok((Verdict::NotRun { is_replaced }, _)) => RunEnd::NotRun { is_replaced },
                // The caller has another run's head already.
                Ok(_) if self.is_head_written => RunEnd::Failed(SendFailure::MayHaveRun),
                Ok((_, answer)) => RunEnd::Plain(answer),
                Err(failure) => RunEnd::Failed(failure),
            };
        }
        self.pass_events(sent, &head, sent_at + patience_ms).await
    }

    fn run_failed(&mut self, sent: Sent, failure: Failure, cause: &str) -> RunEnd {
        self.last_failure = failure.name();
        RunEnd::Failed(fail(self.relay, self.request, sent, failure, cause))
    }

    /// Counts and logs that the stream goes on at another engine.
    fn note_resume(&mut self, endpoint: &Announcement, is_from_copy: bool) {
        self.resumes += 1;
        let cause = if is_from_copy { "copy" } else { "prompt" };
        let resumes = &self.relay.metrics.resumes;
        resumes.get_or_create(&CauseLabel { cause }).inc();
        log_event!(
            info,
            events::STREAM_RESUMED,
            request = self.request.id,
            endpoint = endpoint.id,
            zone = endpoint.zone,
            after_event = self.order.last().unwrap_or_default(),
            from_copy = is_from_copy,
            sends = self.tries.sends
        );
    }

    /// Waits for something of a run that was last heard at `heard_at`. After `patience_ms` of silence
    /// the run is doubted: a successor is looked for, and the run listened to until it is connected.
    async fn listen<T>(
        &mut self,
        endpoint: &Announcement,
        heard_at: ClockMs,
        patience_ms: u64,
        failure: Failure,
        waiting: impl Future<Output = T>,
    ) -> Waited<T, Next> {
        let (relay, request) = (self.relay, self.request);
        tokio::pin!(waiting);
        let patience_ms = patience_ms.min(request.left_ms(relay.now()));
        let heard = with_patience(relay, endpoint, heard_at, patience_ms, waiting.as_mut());
        if let Some(done) = heard.await {
            return Waited::Done(done);
        }
        if request.left_ms(relay.now()) == 0 {
            return Waited::Over;
        }
        if relay.has_ended(&endpoint.id) {
            return Waited::Ended;
        }
        relay.note_failure(endpoint, failure);
        let doubt = self.tries.begin_doubt(endpoint.id.clone());
        let next = self.open_next(Some(&endpoint.id));
        let done = match until_replaced(relay, request, waiting, next).await {
            Waited::Done(done) => done,
            Waited::Replaced(next) => {
                self.last_failure = failure.name();
                note_replaced(relay, request, endpoint, failure, self.run_began_at);
                return Waited::Replaced(next);
            }
            Waited::Ended | Waited::Over => {
                self.tries.end_doubt(&doubt);
                return Waited::Over;
            }
        };
        self.tries.end_doubt(&doubt);
        note_went_on(relay, request, endpoint, heard_at);
        Waited::Done(done)
    }

    fn first_patience_ms(&self) -> u64 {
        let tokens = self.request.prompt_tokens(&self.relay.config.headers);
        let reading_ms = tokens.unwrap_or_default() / PROMPT_TOKENS_PER_MS;
        let left_ms = self.request.left_ms(self.relay.now());
        left_ms.min(FIRST_EVENT_MS + reading_ms)
    }

    /// Passes a run's events on until it ends.
    async fn pass_events(
        &mut self,
        mut sent: Sent,
        head: &ResponseHead,
        first_by: ClockMs,
    ) -> RunEnd {
        let endpoint = sent.endpoint().clone();
        let mut decoder = BodyDecoder::new(head.framing);
        let mut splitter = EventSplitter::default();
        let mut has_event = false;
        loop {
            let now = self.relay.now();
            let silence_ms = if has_event {
                EVENT_SILENCE_MS
            } else {
                // Whose head came in the last moment has that much time for its first event.
                first_by.since(now).max(EVENT_SILENCE_MS)
            };
            let silence = if has_event {
                Failure::Stalled
            } else {
                Failure::Silent
            };
            let reading = sent.upstream().next_piece(&mut decoder);
            let waited = self.listen(&endpoint, now, silence_ms, silence, reading);
            let (failure, cause) = match waited.await {
                Waited::Replaced(next) => return RunEnd::Replaced(Box::new(next)),
                Waited::Ended => (Failure::Replaced, LIFE_ENDED.to_owned()),
                Waited::Over => (silence, "no event".to_owned()),
                Waited::Done(Ok(Some(piece))) => {
                    self.relay.note_heard(&endpoint.id);
                    splitter.push(&piece);
                    match self.pass_whole_events(&mut splitter, head).await {
                        Ok(true) => {
                            sent.end_reading();
                            if has_event {
                                let pace_ms = self.relay.now().since(now);
                                self.relay.note_pace(&endpoint.id, pace_ms);
                            }
                            has_event = true;
                            self.is_copy_usable = true;
                            self.tries.note_at_work();
                            self.keep_copy(&endpoint);
                            continue;
                        }
                        Ok(false) => continue,
                        Err(PassError::Caller(error)) => return RunEnd::CallerLeft(error),
                        Err(PassError::Order) => {
                            (Failure::Malformed, "events are missing".to_owned())
                        }
                    }
                }
                Waited::Done(Ok(None)) if splitter.pending_bytes() == 0 => {
                    return self.finish(sent, head).await;
                }
                Waited::Done(Ok(None)) => (Failure::Broken, "the last event is cut".to_owned()),
                Waited::Done(Err(error)) => (failure_of(&error), error.to_string()),
            };
            return self.run_failed(sent, failure, &cause);
        }
    }

    /// Writes the events that are whole; returns whether there was one.
    async fn pass_whole_events(
        &mut self,
        splitter: &mut EventSplitter,
        head: &ResponseHead,
    ) -> Result<bool, PassError> {
        let mut passed = BytesMut::new();
        let mut is_missing = false;
        let mut has_event = false;
        while let Some(event) = splitter.next_event() {
            has_event = true;
            match self.order.place(event.id) {
                Placed::Known => {}
                Placed::Next => {
                    self.order.deliver(event.id);
                    self.delivered += 1;
                    passed.extend_from_slice(&event.bytes);
                }
                Placed::Missing => {
                    is_missing = true;
                    break;
                }
            }
        }
        if !passed.is_empty() {
            let received_at = self.request.received_at;
            self.timing.note_events(received_at, self.relay.now());
            self.write(head, &passed).await.map_err(PassError::Caller)?;
        }
        if is_missing {
            Err(PassError::Order)
        } else {
            Ok(has_event)
        }
    }

    async fn write(&mut self, head: &ResponseHead, events: &[u8]) -> io::Result<()> {
        let mut bytes = self.head_bytes(head);
        write_chunk(&mut bytes, events);
        self.writer.write_all(&bytes).await
    }

    /// The head of the answer, before its first event.
    fn head_bytes(&mut self, head: &ResponseHead) -> BytesMut {
        if self.is_head_written {
            return BytesMut::new();
        }
        self.is_head_written = true;
        let mut writer = HeadWriter::response(head.status);
        for header in &passed_headers(head) {
            writer.copy(header);
        }
        writer.field("Transfer-Encoding", "chunked");
        if self.is_closing {
            writer.field("Connection", "close");
        }
        writer.finish()
    }

    /// Sees to it that another engine holds a copy of the run.
    fn keep_copy(&mut self, running: &Announcement) {
        let now = self.relay.now();
        self.copies.collect(now);
        let relay = self.relay;
        if !self
            .copies
            .needs_copy(now, |copy| relay.is_ready(&copy.at.id))
        {
            return;
        }
        // The engine that holds it gets what is new; another one would get all of it.
        let held = self.copies.copy().map(|copy| copy.at.clone());
        let held = held.filter(|at| relay.is_ready(&at.id));
        let renewed = held.and_then(|at| Some((at, self.copies.place()?)));
        let anew = || self.choose_copy(running).map(Copy::into_parts);
        if let Some((at, place)) = renewed.or_else(anew) {
            self.copies.ask(relay, &self.request.id, running, at, place);
        }
    }

    async fn finish(&mut self, sent: Sent, head: &ResponseHead) -> RunEnd {
        sent.keep(head);
        self.relay.note_completion(self.request);
        let mut bytes = self.head_bytes(head);
        write_last_chunk(&mut bytes);
        match self.writer.write_all(&bytes).await {
            Ok(()) => RunEnd::Whole,
            Err(error) => RunEnd::CallerLeft(error),
        }
    }
}

impl Drop for StreamRelay<'_> {
    /// However the stream ends, its copy must not hold an engine's memory any longer.
    fn drop(&mut self) {
        self.copies.collect(self.relay.now());
        self.copies.release(self.relay);
    }
}

/// Why events could not be passed on.
enum PassError {
    Caller(io::Error),
    Order,
}
