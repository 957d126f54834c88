//! Reasons to refuse a request, and the time after which its caller may retry.

use masticsill_types::{Class, ClockMs, EntryId, Refusal, RefusalKind};

use crate::request::{WorkKind, WorkRequest};
use crate::router::Router;

/// Shortest retry time that a refusal returns.
const MIN_RETRY_AFTER_MS: u64 = 250;
/// Longest retry time that a refusal returns.
const MAX_RETRY_AFTER_MS: u64 = 60_000;
/// Retry time while no endpoint serves the target and none is held down.
const NO_ENDPOINT_RETRY_AFTER_MS: u64 = 2_000;
/// Retry time when a retry budget is used up.
const RETRY_BUDGET_RETRY_AFTER_MS: u64 = 1_000;
/// The wait is an estimate, so a request is queued only if the estimate is below the longest wait
/// by a margin: the longest wait divided by this.
const WAIT_MARGIN_DIVISOR: u64 = 10;

impl Router {
    /// Refuses requests of unknown catalogue entries and those beyond the request rate or the retry
    /// budgets, without regard to endpoints and queues. Resumes pass.
    pub(crate) fn refuse_by_limits(
        &mut self,
        now: ClockMs,
        request: &WorkRequest,
    ) -> Option<Refusal> {
        if request.kind == WorkKind::Resume {
            return None;
        }
        let Some(entry) = self.entries.get_mut(&request.catalogue_entry) else {
            return Some(unknown_entry(&request.catalogue_entry));
        };
        match &request.kind {
            WorkKind::Resume => None,
            WorkKind::New => {
                let retry_after_ms = entry.limiter.admit(now).err()?;
                Some(limit_reached("requests per second", retry_after_ms))
            }
            WorkKind::Retry { failed } => {
                let is_paid = self.retry_budgets.pay(&request.workspace, failed);
                (!is_paid).then(|| {
                    let detail = "too many attempts failed lately to try another endpoint";
                    Refusal::not_run(RefusalKind::BackEndFailed, detail)
                        .retry_after(RETRY_BUDGET_RETRY_AFTER_MS)
                })
            }
        }
    }

    /// Reasons not to queue a request that can't start now. Resumes are always queued.
    pub(crate) fn refuse_to_queue(
        &mut self,
        now: ClockMs,
        request: &WorkRequest,
    ) -> Option<Refusal> {
        let is_resume = request.kind == WorkKind::Resume;
        if is_resume {
            return None;
        }
        if !self.has_endpoint(now, request) {
            return Some(self.no_endpoint(now, request));
        }
        let entry = self.entries.get(&request.catalogue_entry)?;
        let has_entry_room = entry.limiter.has_queue_room();
        let wait = self.estimate_wait(request);
        let has_resumes = self.has_resumes(request);
        if !has_entry_room {
            return Some(limit_reached(
                "waiting requests",
                clamp_retry_after(wait.wait_ms),
            ));
        }
        if has_resumes && request.class == Class::PatientDraft {
            return Some(self.overloaded(request, "broken generations are continued first"));
        }
        if !wait.has_room {
            return Some(self.overloaded(request, "the queue is full"));
        }
        let max_wait_ms = self.config.max_wait_ms(request.class);
        let max_wait_ms = max_wait_ms - max_wait_ms / WAIT_MARGIN_DIVISOR;
        if wait.wait_ms > max_wait_ms {
            return Some(self.overloaded(request, "the wait would be too long"));
        }
        let end = now + wait.wait_ms + wait.service_ms;
        if request.deadline.is_some_and(|deadline| end > deadline) {
            return Some(self.overloaded(request, "its deadline can't be met"));
        }
        None
    }

    pub(crate) fn has_endpoint(&self, now: ClockMs, request: &WorkRequest) -> bool {
        let zones = self.zones_of(&request.catalogue_entry);
        let mut endpoints = self.table.endpoints_of(&request.target);
        endpoints.any(|endpoint| {
            let is_in_zone = zones.is_empty() || zones.contains(&endpoint.description.zone);
            is_in_zone && endpoint.is_usable(now) && !request.tried.contains(&endpoint.node)
        })
    }

    pub(crate) fn has_resumes(&self, request: &WorkRequest) -> bool {
        let lanes = self.lanes.get(&request.target);
        lanes.is_some_and(|lanes| {
            !lanes.drafts.resumes.is_empty() || !lanes.lookups.resumes.is_empty()
        })
    }

    pub(crate) fn estimate_wait(&self, request: &WorkRequest) -> WaitEstimate {
        let slots = self.table.draft_slots(&request.target) / self.placer.entry_rank.count.max(1);
        let Some(lanes) = self.lanes.get(&request.target) else {
            return WaitEstimate {
                has_room: true,
                service_ms: 0,
                wait_ms: 0,
            };
        };
        let lane = lanes.of(request.class);
        let ahead = lane.queue.ahead(request, self.config.queue_length);
        WaitEstimate {
            has_room: ahead.has_room,
            service_ms: lane.service_ms(request.cost()).unwrap_or(0),
            wait_ms: lane.wait_ms(ahead.cost, slots),
        }
    }

    pub(crate) fn refund_request(&mut self, request: &WorkRequest) {
        if request.kind == WorkKind::New
            && let Some(entry) = self.entries.get_mut(&request.catalogue_entry)
        {
            entry.limiter.refund_request();
        }
    }

    /// A refusal whose retry time is the estimated time until the work ahead is done.
    pub(crate) fn overloaded(&self, request: &WorkRequest, reason: &str) -> Refusal {
        let wait = self.estimate_wait(request);
        Refusal::not_run(RefusalKind::Overloaded, reason)
            .retry_after(clamp_retry_after(wait.wait_ms))
    }

    pub(crate) fn no_endpoint(&self, now: ClockMs, request: &WorkRequest) -> Refusal {
        let usable_at = self.table.next_hold_down_end(now, &request.target);
        let retry_after_ms = usable_at.map_or(NO_ENDPOINT_RETRY_AFTER_MS, |end| end.since(now));
        let detail = format!("no endpoint serves `{}` now", request.catalogue_entry);
        Refusal::not_run(RefusalKind::NoEndpoint, detail)
            .retry_after(clamp_retry_after(retry_after_ms))
    }
}

/// Estimates for a request if it were queued.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitEstimate {
    has_room: bool,
    service_ms: u64,
    wait_ms: u64,
}

fn clamp_retry_after(wait_ms: u64) -> u64 {
    wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}

pub(crate) fn unknown_entry(entry: &EntryId) -> Refusal {
    let detail = format!("catalogue entry `{entry}` is not in force");
    Refusal::not_run(RefusalKind::UnknownModel, detail)
}

fn limit_reached(limit: &str, retry_after_ms: u64) -> Refusal {
    let detail = format!("the entry's limit of {limit} is used up");
    Refusal::not_run(RefusalKind::LimitReached, detail)
        .retry_after(clamp_retry_after(retry_after_ms))
}
