//! The waiting work of one class for one model, and how fast that class is served.

use std::collections::VecDeque;

use masticsill_types::{Class, ClockMs, GenerationId};

use crate::fair_queue::{FairQueue, StartAttempt, Waiting};
use crate::number::{MovingAverage, to_count, to_float};
use crate::request::WorkRequest;

/// Speed of a slot before anything was measured, in tokens a millisecond.
const INITIAL_SPEED_COST_PER_MS: f64 = 0.03;
const MAX_ESTIMATE_MS: u64 = 3_600_000;

/// The waiting work of one class for one model.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    /// New work.
    pub(crate) queue: FairQueue,
    /// Generations to be continued; they go first.
    pub(crate) resumes: VecDeque<Waiting>,
    resumes_cost: u64,
    /// Cost that one slot serves in a millisecond.
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

    /// Takes the first resume that `try_start` can start, and what it gave.
    pub(crate) fn start_resume<T>(
        &mut self,
        mut try_start: impl FnMut(&WorkRequest) -> StartAttempt<T>,
    ) -> Option<(WorkRequest, T)> {
        for position in 0..self.resumes.len() {
            match try_start(&self.resumes[position].request) {
                StartAttempt::Started(started) => {
                    return Some((self.remove_resume(position), started));
                }
                StartAttempt::Skipped => {}
                StartAttempt::Stopped => return None,
            }
        }
        None
    }

    /// Takes out one resume whose wait is over.
    pub(crate) fn expire_resume(&mut self, now: ClockMs) -> Option<WorkRequest> {
        let position = self
            .resumes
            .iter()
            .position(|waiting| waiting.expires_at <= now)?;
        Some(self.remove_resume(position))
    }

    /// Takes out a resume that is no longer wanted.
    pub(crate) fn withdraw_resume(&mut self, id: GenerationId) -> bool {
        let mut waiting = self.resumes.iter();
        let Some(position) = waiting.position(|waiting| waiting.request.id == id) else {
            return false;
        };
        self.remove_resume(position);
        true
    }

    fn remove_resume(&mut self, position: usize) -> WorkRequest {
        let waiting = self
            .resumes
            .remove(position)
            .expect("the place was just found");
        self.resumes_cost -= waiting.request.cost();
        waiting.request
    }

    /// Notes that work of this cost took this long.
    pub(crate) fn record_service(&mut self, cost: u64, duration_ms: u64) {
        self.speed
            .add(to_float(cost) / to_float(duration_ms.max(1)));
    }

    /// Milliseconds that work ahead takes on so many slots, the waiting resumes included.
    pub(crate) fn wait_ms(&self, cost_ahead: u64, slots: u32) -> u64 {
        let speed = self.speed.get().unwrap_or(INITIAL_SPEED_COST_PER_MS) * f64::from(slots.max(1));
        to_count(
            to_float(cost_ahead + self.resumes_cost) / speed,
            MAX_ESTIMATE_MS,
        )
    }

    /// Milliseconds that work of this cost takes in a slot, once that was measured.
    pub(crate) fn service_ms(&self, cost: u64) -> Option<u64> {
        let speed = self.speed.get()?;
        Some(to_count(to_float(cost) / speed, MAX_ESTIMATE_MS))
    }
}

/// Both classes' lanes for one model.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes {
    pub(crate) drafts: Lane,
    /// Whether something happened that may let waiting work start.
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
