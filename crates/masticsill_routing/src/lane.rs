//! Queues of one class for one target, with a measured service rate.

use std::collections::VecDeque;

use masticsill_types::{Class, ClockMs, GenerationId};

use crate::fair_queue::{FairQueue, StartAttempt, Waiting};
use crate::number::{MovingAverage, to_count, to_float};
use crate::request::WorkRequest;

/// Service rate of a slot before any was measured, in units of [`WorkRequest::cost`] (generated
/// tokens) per millisecond.
const INITIAL_SPEED_COST_PER_MS: f64 = 0.03;
/// Upper bound of estimated times.
const MAX_ESTIMATE_MS: u64 = 3_600_000;

/// The queued requests of one class for one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    /// New and retried requests.
    pub(crate) queue: FairQueue,
    /// Generations to be resumed. They start before new requests.
    pub(crate) resumes: VecDeque<Waiting>,
    resumes_cost: u64,
    /// Cost served by one slot per millisecond.
    speed: MovingAverage,
}

impl Lane {
    pub(crate) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.resumes.is_empty()
    }

    pub(crate) fn push_resume(&mut self, waiting: Waiting) {
        self.resumes_cost += waiting.request.cost();
        self.resumes.push_back(waiting);
    }

    /// Removes and returns the first resume that `try_start` starts, with the value that it
    /// returned.
    pub(crate) fn start_resume<T>(
        &mut self,
        mut try_start: impl FnMut(&WorkRequest) -> StartAttempt<T>,
    ) -> Option<(WorkRequest, T)> {
        for index in 0..self.resumes.len() {
            match try_start(&self.resumes[index].request) {
                StartAttempt::Started(started) => return Some((self.take_resume(index), started)),
                StartAttempt::Skipped => {}
                StartAttempt::Stopped => return None,
            }
        }
        None
    }

    /// Removes and returns one resume whose queueing time is over.
    pub(crate) fn expire_resume(&mut self, now: ClockMs) -> Option<WorkRequest> {
        let index = self
            .resumes
            .iter()
            .position(|waiting| waiting.expires_at <= now)?;
        Some(self.take_resume(index))
    }

    /// Removes a resume that its caller cancelled. Returns whether it was queued.
    pub(crate) fn withdraw_resume(&mut self, id: GenerationId) -> bool {
        let mut waiting = self.resumes.iter();
        let Some(index) = waiting.position(|waiting| waiting.request.id == id) else {
            return false;
        };
        self.take_resume(index);
        true
    }

    fn take_resume(&mut self, index: usize) -> WorkRequest {
        let waiting = self
            .resumes
            .remove(index)
            .expect("the index was just found");
        self.resumes_cost -= waiting.request.cost();
        waiting.request
    }

    /// Records that a request of this cost took this long.
    pub(crate) fn record_service(&mut self, cost: u64, duration_ms: u64) {
        self.speed
            .add(to_float(cost) / to_float(duration_ms.max(1)));
    }

    /// Estimates the milliseconds that `slots` slots need for the cost ahead and the queued
    /// resumes.
    pub(crate) fn wait_ms(&self, cost_ahead: u64, slots: u32) -> u64 {
        let speed = self.speed.get().unwrap_or(INITIAL_SPEED_COST_PER_MS) * f64::from(slots.max(1));
        to_count(
            to_float(cost_ahead + self.resumes_cost) / speed,
            MAX_ESTIMATE_MS,
        )
    }

    /// Estimates the milliseconds that a request of this cost takes in one slot; `None` before any
    /// was measured.
    pub(crate) fn service_ms(&self, cost: u64) -> Option<u64> {
        let speed = self.speed.get()?;
        Some(to_count(to_float(cost) / speed, MAX_ESTIMATE_MS))
    }
}

/// The lanes of both classes for one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes {
    pub(crate) drafts: Lane,
    /// Whether something happened since the last scan that may allow a queued request to start.
    pub(crate) needs_scan: bool,
    pub(crate) lookups: Lane,
}

impl Lanes {
    pub(crate) fn of(&self, class: Class) -> &Lane {
        match class {
            Class::InstantLookup => &self.lookups,
            Class::PatientDraft => &self.drafts,
        }
    }

    pub(crate) fn of_mut(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::InstantLookup => &mut self.lookups,
            Class::PatientDraft => &mut self.drafts,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.drafts.is_idle() && self.lookups.is_idle()
    }
}
