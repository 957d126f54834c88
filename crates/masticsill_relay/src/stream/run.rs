//! One run of a stream: the request is sent, and the run's events are forwarded.

use std::io;

use bytes::BytesMut;
use masticsill_dispatch::{EVENT_GAP_TIMEOUT_MS, Failure, silence_timeout_ms};
use masticsill_http1::{
    BodyDecoder, EventSplitter, HeadWriter, ResponseHead, write_chunk, write_last_chunk,
};
use masticsill_registry::{Announcement, EndpointId, StreamOrigin};
use masticsill_types::{ClockMs, log_event};
use tokio::io::AsyncWriteExt;

use super::{NextAttempt, RunEnd, StreamRelay};
use crate::attempt::{Attempt, RunProgress, SendFailure, exchange, fail, failure_of};
use crate::copies::RunCopy;
use crate::endpoint_response::{
    UNSIGNED_SUCCESS, Verdict, forwarded_headers, is_signed, read_response,
};
use crate::event_order::EventPosition;
use crate::events;
use crate::failover::{INCARNATION_REPLACED, WatchResult, WatchedAttempt};
use crate::metrics::{CauseLabel, StreamLabel};
use crate::request::SendOptions;

/// Target gap of a route that states none.
const DEFAULT_TARGET_GAP_MS: u64 = 700;
/// Timeout of the first event, in addition to the prefill time.
const FIRST_EVENT_BASE_TIMEOUT_MS: u64 = 3_000;
/// Maximum size of an event: far more than an engine writes for a few tokens.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Prompt tokens that an engine is expected to prefill per millisecond while other prompts are
/// ahead.
const PROMPT_TOKENS_PER_MS: u64 = 3;

impl StreamRelay<'_> {
    /// Sends the stream's request on an open connection, and forwards events until the run ends.
    pub(super) async fn run_once(
        &mut self,
        mut attempt: Attempt,
        from_copy: Option<&RunCopy>,
    ) -> RunEnd {
        let (relay, request) = (self.relay, self.request);
        let endpoint = attempt.endpoint().clone();
        let copy = self.choose_copy(&endpoint);
        let options = SendOptions {
            backup_at: copy.as_ref().map(|copy| copy.at.address.to_string()),
            last_event: self.order.last().filter(|_| self.delivered > 0),
            resume_from: from_copy.map(|copy| copy.reference(&request.id)),
        };
        if self.delivered > 0 {
            self.note_resume(&endpoint, from_copy.is_some());
        }
        // The engine starts to stream its copy during the prefill, before any response.
        self.copies.reset(copy);
        self.is_copy_usable = from_copy.is_some();
        let silence_timeout_ms = self.first_event_timeout_ms();
        let is_resume = self.delivered > 0;
        let progress = attempt.begin(request, self.reached_ms, is_resume);
        let watched = self.watched(&endpoint, progress, silence_timeout_ms, Failure::Silent);
        let sent_at = watched.last_received_at;
        let exchange = exchange(relay, request, &mut attempt, &options);
        let head = match self.watch_attempt(&watched, exchange).await {
            WatchResult::Done(Ok(head)) => head,
            WatchResult::Done(Err(error)) => {
                return self.run_failed(attempt, failure_of(&error), &error.to_string());
            }
            WatchResult::Replaced(next) => return RunEnd::Replaced(Box::new(next)),
            WatchResult::Superseded => {
                return self.run_failed(attempt, Failure::Replaced, INCARNATION_REPLACED);
            }
            WatchResult::DeadlineReached => {
                return self.run_failed(attempt, Failure::Silent, "no answer");
            }
        };
        if head.status != 200 || request.head.is_method("HEAD") {
            return match read_response(relay, request, attempt, head).await {
                Ok((Verdict::NotRun { is_replaced }, _)) => RunEnd::NotRun { is_replaced },
                // The caller has already received the head of another run.
                Ok(_) if self.is_head_written => RunEnd::Failed(SendFailure::MayHaveRun),
                Ok((_, response)) => RunEnd::Plain(response),
                Err(failure) => RunEnd::Failed(failure),
            };
        }
        if !is_signed(relay, &head) {
            return self.run_failed(attempt, Failure::Malformed, UNSIGNED_SUCCESS);
        }
        self.forward_events(attempt, &head, sent_at + silence_timeout_ms)
            .await
    }

    fn run_failed(&mut self, attempt: Attempt, failure: Failure, cause: &str) -> RunEnd {
        self.last_failure = failure.name();
        RunEnd::Failed(fail(self.relay, self.request, attempt, failure, cause))
    }

    /// Counts and logs that the stream resumes at another engine.
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
            version = endpoint.version,
            after_event = self.order.last().unwrap_or_default(),
            from_copy = is_from_copy,
            sends = self.retry_state.sends
        );
    }

    /// Waits for the next bytes of a run. Once the run is presumed to have failed, a replacement is
    /// sought and the run kept open until the replacement is connected.
    async fn watch_attempt<T>(
        &mut self,
        watched: &WatchedAttempt<'_>,
        waiting: impl Future<Output = T>,
    ) -> WatchResult<T, NextAttempt> {
        tokio::pin!(waiting);
        if let Some(ended) = watched.wait_until_silent(waiting.as_mut()).await {
            return ended;
        }
        let id = &watched.endpoint.id;
        let presumed = self.retry_state.presume_failed(id.clone());
        let next = self.open_next(Some(id));
        let waited = watched.wait_until_replaced(waiting, next).await;
        if let WatchResult::Replaced(next) = &waited {
            self.last_failure = watched.failure.name();
            let is_from_copy = next.from_copy.is_some();
            let tokens = self.request.prompt_tokens(&self.relay.config.headers);
            let tokens_again = tokens.filter(|_| !is_from_copy).unwrap_or_default();
            watched.note_replaced(tokens_again);
        } else {
            self.retry_state.retract_presumed_failure(&presumed);
        }
        waited
    }

    /// Describes the run for the wait that begins now.
    fn watched<'b>(
        &self,
        endpoint: &'b Announcement,
        progress: RunProgress,
        silence_timeout_ms: u64,
        failure: Failure,
    ) -> WatchedAttempt<'b>
    where
        Self: 'b,
    {
        let last_received_at = self.relay.now();
        WatchedAttempt {
            progress,
            endpoint,
            failure,
            last_received_at,
            silence_timeout_ms: silence_timeout_ms.min(self.request.left_ms(last_received_at)),
            relay: self.relay,
            request: self.request,
        }
    }

    fn first_event_timeout_ms(&self) -> u64 {
        let tokens = self.request.prompt_tokens(&self.relay.config.headers);
        let prefill_ms = tokens.unwrap_or_default() / PROMPT_TOKENS_PER_MS;
        let left_ms = self.request.left_ms(self.relay.now());
        left_ms.min(FIRST_EVENT_BASE_TIMEOUT_MS + prefill_ms)
    }

    /// The silence after an event with which the run is presumed to have failed.
    fn event_gap_timeout_ms(&self, endpoint: &EndpointId) -> u64 {
        let endpoints = self.relay.endpoints.borrow();
        let usual_ms = endpoints.longest_usual_gap_ms(self.relay.now(), endpoint);
        let target_gap_ms = self.request.route.target_event_gap_ms;
        silence_timeout_ms(usual_ms, target_gap_ms.unwrap_or(DEFAULT_TARGET_GAP_MS))
    }

    /// Forwards a run's events until the run ends.
    async fn forward_events(
        &mut self,
        mut attempt: Attempt,
        head: &ResponseHead,
        first_event_deadline: ClockMs,
    ) -> RunEnd {
        let endpoint = attempt.endpoint().clone();
        let mut decoder = BodyDecoder::new(head.framing);
        let mut splitter = EventSplitter::default();
        let mut has_event = false;
        let mut last_event_at = self.relay.now();
        loop {
            let now = self.relay.now();
            let silence_ms = if has_event {
                // Bytes that are no event are no sign that the run makes progress.
                let timeout_ms = self.event_gap_timeout_ms(&endpoint.id);
                timeout_ms.saturating_sub(now.since(last_event_at))
            } else {
                // A run whose head arrived at the last moment gets this long for its first event.
                first_event_deadline.since(now).max(EVENT_GAP_TIMEOUT_MS)
            };
            let silence = if has_event {
                Failure::Stalled
            } else {
                Failure::Silent
            };
            let watched = self.watched(&endpoint, attempt.progress, silence_ms, silence);
            let reading = attempt.upstream().next_chunk(&mut decoder);
            let (failure, cause) = match self.watch_attempt(&watched, reading).await {
                WatchResult::Replaced(next) => return RunEnd::Replaced(Box::new(next)),
                WatchResult::Superseded => (Failure::Replaced, INCARNATION_REPLACED.to_owned()),
                WatchResult::DeadlineReached => (silence, "no event".to_owned()),
                WatchResult::Done(Ok(Some(piece))) => {
                    self.relay.record_received(&endpoint.id);
                    let gap_ms = self.relay.now().since(last_event_at);
                    splitter.push(&piece);
                    let forwarded = self.forward_complete_events(&mut splitter, head, &endpoint);
                    match forwarded.await {
                        Ok(has_new_event) => {
                            if has_new_event {
                                self.reached_ms = attempt.note_event();
                                self.relay.note_progress(self.request, self.reached_ms);
                                if has_event {
                                    self.relay.note_event_gap(&endpoint.id, gap_ms);
                                }
                                has_event = true;
                                last_event_at = self.relay.now();
                                self.is_copy_usable = true;
                                self.retry_state.reset_pauses();
                                self.ensure_copy(&endpoint);
                            }
                            match hold_pending(&mut attempt, &splitter) {
                                Ok(()) => continue,
                                Err(failed) => failed,
                            }
                        }
                        Err(ForwardError::Caller(error)) => return RunEnd::CallerLeft(error),
                        Err(ForwardError::Order) => {
                            (Failure::Malformed, "events are missing".to_owned())
                        }
                    }
                }
                WatchResult::Done(Ok(None)) if splitter.pending_bytes() == 0 => {
                    return self.finish(attempt, head).await;
                }
                WatchResult::Done(Ok(None)) => {
                    (Failure::Broken, "the last event is cut".to_owned())
                }
                WatchResult::Done(Err(error)) => (failure_of(&error), error.to_string()),
            };
            return self.run_failed(attempt, failure, &cause);
        }
    }

    /// Writes the complete events received; returns whether there was one.
    async fn forward_complete_events(
        &mut self,
        splitter: &mut EventSplitter,
        head: &ResponseHead,
        endpoint: &Announcement,
    ) -> Result<bool, ForwardError> {
        let mut passed = BytesMut::new();
        let mut is_missing = false;
        let mut has_event = false;
        let is_first = self.delivered == 0;
        while let Some(event) = splitter.next_event() {
            has_event = true;
            match self.order.classify(event.id) {
                EventPosition::Duplicate => {}
                EventPosition::Next => {
                    self.order.record_delivered(event.id);
                    self.delivered += 1;
                    passed.extend_from_slice(&event.bytes);
                }
                EventPosition::Gap => {
                    is_missing = true;
                    break;
                }
            }
        }
        if !passed.is_empty() {
            if is_first {
                let label =
                    StreamLabel::new(self.request.is_continuation(&self.relay.config.headers));
                self.relay.metrics.streams_begun.get_or_create(&label).inc();
                self.note_continued();
                self.record_origin(endpoint).await;
            }
            let received_at = self.request.received_at;
            self.timing.note_events(received_at, self.relay.now());
            self.write(head, &passed)
                .await
                .map_err(ForwardError::Caller)?;
        }
        if is_missing {
            Err(ForwardError::Order)
        } else {
            Ok(has_event)
        }
    }

    /// Records where the stream begins, before its caller can continue it elsewhere.
    async fn record_origin(&mut self, endpoint: &Announcement) {
        if self.is_continued() {
            return;
        }
        self.retry_state.set_stream_version(&endpoint.version);
        let origin = StreamOrigin {
            service: endpoint.service.clone(),
            version: endpoint.version.clone(),
        };
        self.relay.record_stream_origin(self.request, origin);
        self.relay.await_origin_stored().await;
    }

    async fn write(&mut self, head: &ResponseHead, events: &[u8]) -> io::Result<()> {
        let mut bytes = self.head_bytes(head);
        write_chunk(&mut bytes, events);
        self.writer.write_all(&bytes).await
    }

    /// The head of the response, written before the first event.
    fn head_bytes(&mut self, head: &ResponseHead) -> BytesMut {
        if self.is_head_written {
            return BytesMut::new();
        }
        self.is_head_written = true;
        self.request.stage.note_answering();
        let mut writer = HeadWriter::response(head.status);
        for header in &forwarded_headers(head) {
            writer.copy(header);
        }
        writer.field("Transfer-Encoding", "chunked");
        if self.is_closing {
            writer.field("Connection", "close");
        }
        writer.finish()
    }

    /// Ensures that another engine holds a copy of the run.
    fn ensure_copy(&mut self, running: &Announcement) {
        let now = self.relay.now();
        self.copies.poll_pending(now);
        let relay = self.relay;
        if !self
            .copies
            .needs_copy(now, |copy| relay.is_ready(&copy.at.id))
        {
            return;
        }
        // The current holder receives only what is new; another one would receive the whole KV
        // cache.
        let current_holder = self.copies.copy().map(|copy| copy.at.clone());
        let current_holder = current_holder.filter(|at| relay.is_ready(&at.id));
        let renewed = current_holder.and_then(|at| Some((at, self.copies.reservation()?)));
        let new_copy = || self.choose_copy(running).map(RunCopy::into_parts);
        if let Some((at, reservation)) = renewed.or_else(new_copy) {
            self.copies
                .start_copy(relay, &self.request.id, running, at, reservation);
        }
    }

    async fn finish(&mut self, attempt: Attempt, head: &ResponseHead) -> RunEnd {
        attempt.return_to_pool(head);
        self.relay.note_completion(self.request);
        let mut bytes = self.head_bytes(head);
        write_last_chunk(&mut bytes);
        match self.writer.write_all(&bytes).await {
            Ok(()) => RunEnd::Whole,
            Err(error) => RunEnd::CallerLeft(error),
        }
    }
}

/// Why events could not be forwarded.
enum ForwardError {
    Caller(io::Error),
    Order,
}

/// Counts the bytes of an event that is not complete yet; returns why the run fails if they are too
/// many.
fn hold_pending(attempt: &mut Attempt, splitter: &EventSplitter) -> Result<(), (Failure, String)> {
    let pending_bytes = splitter.pending_bytes();
    if pending_bytes > MAX_EVENT_BYTES {
        let cause = format!("an event has more than {MAX_EVENT_BYTES} bytes");
        return Err((Failure::Malformed, cause));
    }
    let held = attempt.upstream().hold(pending_bytes);
    held.map_err(|error| (failure_of(&error), error.to_string()))
}
