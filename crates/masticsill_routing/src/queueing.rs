//! Queued requests: how they enter the queues and how they leave them.

use masticsill_types::{Class, ClockMs, GenerationId, NodeId};

use crate::fair_queue::{StartAttempt, Waiting};
use crate::pool::EndpointIndex;
use crate::refusals::unknown_entry;
use crate::request::{Dequeued, WorkKind, WorkRequest};
use crate::router::{Queued, Router};

/// The queues are scanned after this time even if no event occurred, since token buckets refill and
/// hold-downs end without one.
const QUEUE_RESCAN_INTERVAL_MS: u64 = 50;

impl Router {
    /// The next request that leaves a queue. Call it after each event until it returns `None`, and
    /// again every few tens of milliseconds.
    pub fn next_queued(&mut self, now: ClockMs) -> Option<Dequeued> {
        if self.queued.is_empty() {
            return None;
        }
        if let Some(dequeued) = self.refuse_dropped() {
            return Some(dequeued);
        }
        if now >= self.next_rescan_at {
            self.next_rescan_at = now + QUEUE_RESCAN_INTERVAL_MS;
            self.schedule_scan_of_all();
        }
        for lane in 0..self.lanes.len() {
            if let Some(request) = self.expire(now, lane) {
                self.remove_queued(&request);
                let refusal = self.overloaded(&request, "its wait was over before its turn");
                return Some(Dequeued::Refused(request.id, refusal));
            }
            if !self.lanes[lane].needs_scan {
                continue;
            }
            for class in [Class::InstantLookup, Class::PatientDraft] {
                if let Some((request, index)) = self.start_in_lane(now, lane, class) {
                    self.remove_queued(&request);
                    let placement = self.start(now, &request, index);
                    return Some(Dequeued::Start(request.id, placement));
                }
            }
            self.lanes[lane].needs_scan = false;
        }
        None
    }

    fn refuse_dropped(&mut self) -> Option<Dequeued> {
        while let Some(id) = self.dropped.pop() {
            let Some(queued) = self.queued.get(&id) else {
                continue;
            };
            let refusal = unknown_entry(&queued.entry);
            self.withdraw(id);
            return Some(Dequeued::Refused(id, refusal));
        }
        None
    }

    pub(crate) fn schedule_scan_of_all(&mut self) {
        for lanes in self.lanes.values_mut() {
            lanes.needs_scan = !lanes.is_idle();
        }
    }

    /// Marks the lanes of an endpoint's targets for a scan.
    pub(crate) fn schedule_scan_for(&mut self, node: &NodeId) {
        for target in self.table.targets_of(node) {
            if let Some(lanes) = self.lanes.get_mut(&target) {
                lanes.needs_scan = true;
            }
        }
    }

    /// Removes a request that its caller cancelled. Returns whether it was queued.
    pub fn withdraw(&mut self, id: GenerationId) -> bool {
        let Some(queued) = self.queued.get(&id).cloned() else {
            return false;
        };
        let Some(lanes) = self.lanes.get_mut(&queued.target) else {
            return false;
        };
        let lane = lanes.of_mut(queued.class);
        let is_removed = if queued.is_resume {
            lane.withdraw_resume(id)
        } else {
            lane.queue.withdraw(&queued.workspace, id)
        };
        self.queued.swap_remove(&id);
        if let Some(entry) = self.entries.get_mut(&queued.entry) {
            entry.limiter.queued = entry.limiter.queued.saturating_sub(1);
        }
        is_removed
    }

    pub(crate) fn enqueue(&mut self, now: ClockMs, request: WorkRequest) {
        let longest = now + self.config.max_wait_ms(request.class);
        let expires_at = request
            .deadline
            .map_or(longest, |deadline| deadline.min(longest));
        let is_resume = request.kind == WorkKind::Resume;
        let queued = Queued {
            class: request.class,
            entry: request.catalogue_entry.clone(),
            is_resume,
            target: request.target.clone(),
            workspace: request.workspace.clone(),
        };
        if let Some(entry) = self.entries.get_mut(&request.catalogue_entry) {
            entry.limiter.queued += 1;
        }
        self.queued.insert(request.id, queued);
        let lanes = self.lanes.entry(request.target.clone()).or_default();
        lanes.needs_scan = true;
        let lane = lanes.of_mut(request.class);
        let waiting = Waiting {
            expires_at,
            request,
        };
        if is_resume {
            lane.push_resume(waiting);
        } else {
            lane.queue.push(waiting);
        }
    }

    pub(crate) fn remove_queued(&mut self, request: &WorkRequest) {
        self.queued.swap_remove(&request.id);
        if let Some(entry) = self.entries.get_mut(&request.catalogue_entry) {
            entry.limiter.queued = entry.limiter.queued.saturating_sub(1);
        }
    }

    pub(crate) fn expire(&mut self, now: ClockMs, lane: usize) -> Option<WorkRequest> {
        let lanes = &mut self.lanes[lane];
        [&mut lanes.lookups, &mut lanes.drafts]
            .into_iter()
            .find_map(|lane| {
                lane.expire_resume(now)
                    .or_else(|| lane.queue.expire_next(now))
            })
    }

    /// Removes the first request of a lane that can start and returns it with its endpoint. Resumes
    /// are tried first.
    pub(crate) fn start_in_lane(
        &mut self,
        now: ClockMs,
        lane: usize,
        class: Class,
    ) -> Option<(WorkRequest, EndpointIndex)> {
        let lanes = &mut self.lanes[lane];
        if lanes.is_idle() {
            return None;
        }
        // The lane is moved out of `self` because `try_start` borrows the rest of the router.
        let mut taken = std::mem::take(lanes.of_mut(class));
        let started = taken
            .start_resume(|request| self.try_start(now, request))
            .or_else(|| {
                taken
                    .queue
                    .start_next(|request| self.try_start(now, request))
            });
        *self.lanes[lane].of_mut(class) = taken;
        started
    }

    pub(crate) fn try_start(
        &mut self,
        now: ClockMs,
        request: &WorkRequest,
    ) -> StartAttempt<EndpointIndex> {
        if !self.may_start(now, request) {
            return StartAttempt::Skipped;
        }
        if let Some(index) = self.choose(now, request) {
            return StartAttempt::Started(index);
        }
        let entry = self.entries.get(&request.catalogue_entry);
        let is_constrained = entry.is_none_or(|entry| !entry.zones.is_empty());
        if is_constrained || !request.tried.is_empty() {
            StartAttempt::Skipped
        } else {
            StartAttempt::Stopped
        }
    }
}
