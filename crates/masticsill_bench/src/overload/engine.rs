//! An engine that batches continuously.

use std::collections::VecDeque;

/// Times of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineModel {
    /// Tokens of a prompt that are read between two tokens of the runs.
    pub chunk_tokens: f64,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Requests that it queues before it turns more away.
    pub queue: usize,
    /// Time to read a token of a prompt, with nothing else to do.
    pub read_ms_per_token: f64,
    /// Time to make a token of each run.
    pub step_ms: f64,
}

impl Default for EngineModel {
    /// As the engines of today's deployments are described.
    fn default() -> Self {
        Self {
            chunk_tokens: 200.0,
            memory_tokens: 88_000,
            queue: 64,
            read_ms_per_token: 0.125,
            step_ms: 6.0,
        }
    }
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Tokens to make.
    pub(super) output_tokens: f64,
    pub(super) request: usize,
    /// Tokens held in the end.
    pub(super) tokens: u64,
    /// Tokens of the prompt that are not read yet.
    pub(super) unread_tokens: f64,
}

/// What happened at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum EngineEvent {
    FirstToken(usize),
    Done(usize),
}

/// One engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    held_tokens: u64,
    queued: VecDeque<Job>,
    running: Vec<Job>,
}

impl Engine {
    /// Takes a request, or turns it away.
    pub(super) fn offer(&mut self, model: &EngineModel, job: Job) -> bool {
        if self.queued.len() >= model.queue {
            return false;
        }
        self.queued.push_back(job);
        true
    }

    /// Whether a prompt is read, or waits to be.
    pub(super) fn is_reading(&self) -> bool {
        let is_unread = |job: &Job| job.unread_tokens > 0.0;
        !self.queued.is_empty() || self.running.iter().any(is_unread)
    }

    /// Drops a request whose caller has left.
    pub(super) fn cancel(&mut self, request: usize) {
        self.queued.retain(|job| job.request != request);
        let running = self.running.iter().position(|job| job.request == request);
        if let Some(place) = running {
            self.held_tokens -= self.running.remove(place).tokens;
        }
    }

    /// Works for a time.
    pub(super) fn work(&mut self, model: &EngineModel, time_ms: f64) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        self.admit(model);
        let is_reading = self.running.iter().any(|job| job.unread_tokens > 0.0);
        let chunk_ms = model.chunk_tokens * model.read_ms_per_token;
        // One token of each run, and a part of the first prompt between two of them.
        let cycle_ms = model.step_ms + if is_reading { chunk_ms } else { 0.0 };
        let cycles = time_ms / cycle_ms;
        let mut left_tokens = cycles * model.chunk_tokens;
        for job in &mut self.running {
            if job.unread_tokens > 0.0 {
                let read = job.unread_tokens.min(left_tokens);
                job.unread_tokens -= read;
                left_tokens -= read;
                if job.unread_tokens <= 0.0 {
                    events.push(EngineEvent::FirstToken(job.request));
                }
            } else {
                job.output_tokens -= cycles;
                if job.output_tokens <= 0.0 {
                    events.push(EngineEvent::Done(job.request));
                }
            }
        }
        for event in &events {
            if let EngineEvent::Done(request) = event {
                self.cancel(*request);
            }
        }
        events
    }

    fn admit(&mut self, model: &EngineModel) {
        while let Some(next) = self.queued.front() {
            if self.held_tokens + next.tokens > model.memory_tokens {
                return;
            }
            self.held_tokens += next.tokens;
            self.running.extend(self.queued.pop_front());
        }
    }
}
