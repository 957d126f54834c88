//! The router of one entry.

use indexmap::IndexMap;
use masticsill_types::{
    Class, ClockMs, EntryId, GenerationId, LoadReport, NodeId, Refusal, RefusalKind, WorkspaceId,
    ZoneId,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cache_view::CacheChange;
use crate::config::{PlacementPolicy, RouterConfig};
use crate::endpoint::{EndpointDescription, EntrySeat};
use crate::fair_queue::{Trial, Waiting};
use crate::lane::{Lane, Lanes};
use crate::limits::{Limiter, LocalLimits};
use crate::placement::{Placer, Wanted};
use crate::pool::{EndpointIndex, EndpointTable};
use crate::request::{
    Admit, BackEndTarget, Dequeued, Placement, WorkEnd, WorkKind, WorkOutcome, WorkRequest,
};
use crate::retry_budget::RetryBudgets;

/// Refusals ask callers to come back within these bounds.
const SHORTEST_RETRY_MS: u64 = 250;
const LONGEST_RETRY_MS: u64 = 60_000;
/// When to come back while no endpoint serves the model.
const NO_ENDPOINT_RETRY_MS: u64 = 2_000;
/// When to come back once a retry budget is used up.
const BUDGET_RETRY_MS: u64 = 1_000;
/// Waits are estimates: work is only queued when this part of the longest wait is left over.
const WAIT_MARGIN_PART: u64 = 10;
/// Queues are looked through again after this time even when nothing happened.
const REVISIT_MS: u64 = 50;

/// What the router needs to know of a catalogue entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryPolicy {
    /// Its class.
    pub class: Class,
    /// What its callers may consume at this node.
    pub limits: LocalLimits,
    /// What its requests need.
    pub target: BackEndTarget,
    /// Zones allowed; empty allows all.
    pub zones: Vec<ZoneId>,
}

#[derive(Clone, Debug)]
struct EntryState {
    class: Class,
    limiter: Limiter,
    target: BackEndTarget,
    zones: Vec<ZoneId>,
}

#[derive(Clone, Debug)]
struct Running {
    class: Class,
    cost: u64,
    entry: EntryId,
    max_tokens: u32,
    node: NodeId,
    started_at: ClockMs,
    target: BackEndTarget,
    workspace: WorkspaceId,
}

#[derive(Clone, Debug)]
struct Queued {
    class: Class,
    entry: EntryId,
    is_resume: bool,
    target: BackEndTarget,
    workspace: WorkspaceId,
}

/// Decides which endpoint gets which request, who waits and who is refused.
///
/// Each request given to [`Router::admit`] is started, refused or queued. A queued one is later
/// started or refused by [`Router::next_queued`], unless it is withdrawn. Each started one ends
/// with [`Router::on_finished`].
#[derive(Clone, Debug)]
pub struct Router {
    config: RouterConfig,
    entries: IndexMap<EntryId, EntryState>,
    lanes: IndexMap<BackEndTarget, Lanes>,
    placer: Placer,
    queued: IndexMap<GenerationId, Queued>,
    retry_budgets: RetryBudgets,
    revisit_at: ClockMs,
    rng: StdRng,
    running: IndexMap<GenerationId, Running>,
    table: EndpointTable,
}

impl Router {
    /// A router without endpoints and catalogue entries. `seed` is its randomness.
    #[must_use]
    pub fn new(config: RouterConfig, seed: u64) -> Self {
        Self {
            config,
            entries: IndexMap::new(),
            lanes: IndexMap::new(),
            placer: Placer::new(),
            queued: IndexMap::new(),
            retry_budgets: RetryBudgets::default(),
            revisit_at: ClockMs::default(),
            rng: StdRng::seed_from_u64(seed),
            running: IndexMap::new(),
            table: EndpointTable::default(),
        }
    }

    /// Sets a catalogue entry's policy, or changes it and keeps what is counted.
    pub fn set_entry(&mut self, now: ClockMs, id: &EntryId, policy: EntryPolicy) {
        self.wake_all();
        let limiter = match self.entries.swap_remove(id) {
            Some(mut former) => {
                former.limiter.set(now, policy.limits);
                former.limiter
            }
            None => Limiter::new(now, policy.limits),
        };
        let entry = EntryState {
            class: policy.class,
            limiter,
            target: policy.target,
            zones: policy.zones,
        };
        self.entries.insert(id.clone(), entry);
        self.note_lookup_targets();
    }

    /// Forgets a catalogue entry: new work is refused, queued work is refused in its turn.
    pub fn remove_entry(&mut self, id: &EntryId) {
        self.wake_all();
        self.entries.swap_remove(id);
        self.note_lookup_targets();
    }

    fn note_lookup_targets(&mut self) {
        let entries = self.entries.values();
        let lookups = entries.filter(|entry| entry.class == Class::InstantLookup);
        let targets = lookups.map(|entry| entry.target.clone()).collect();
        self.table.set_lookup_targets(targets);
    }

    /// Tells which entries share the endpoints.
    pub fn set_seat(&mut self, seat: EntrySeat) {
        self.placer.seat = seat;
    }

    /// Takes what membership says of an endpoint; `None` when it is gone.
    pub fn on_member_change(&mut self, node: &NodeId, description: Option<EndpointDescription>) {
        if description.is_none() {
            self.retry_budgets.forget(node);
        }
        self.table.describe(node, description, &self.config);
        self.wake_lanes_of(node);
    }

    /// Notes whether an endpoint's agent can be reached.
    pub fn set_down(&mut self, node: &NodeId, is_down: bool) {
        if let Some(endpoint) = self.table.get_mut(node) {
            endpoint.is_down = is_down;
        }
        self.wake_lanes_of(node);
    }

    /// Takes an endpoint's load report.
    pub fn on_load_report(&mut self, now: ClockMs, node: &NodeId, load: LoadReport) {
        if let Some(endpoint) = self.table.get_mut(node) {
            endpoint.report(now, load);
        }
        self.wake_lanes_of(node);
    }

    /// Takes changes of an engine's prefix cache.
    pub fn on_cache_changes(&mut self, node: &NodeId, changes: &[CacheChange]) {
        if let Some(endpoint) = self.table.get_mut(node) {
            for change in changes {
                endpoint.cache.take(*change);
            }
        }
    }

    /// Decides on a request.
    pub fn admit(&mut self, now: ClockMs, request: WorkRequest) -> Admit {
        if self.queued.contains_key(&request.id) {
            return Admit::Queued;
        }
        let former = WorkEnd {
            outcome: WorkOutcome::Failed,
            tokens: 0,
        };
        self.on_finished(now, request.id, former);
        if let Some(refusal) = self.refuse_at_door(now, &request) {
            return Admit::Refused(refusal);
        }
        let is_held_back = !self.may_start(now, &request) || self.must_wait(&request);
        if !is_held_back && let Some(index) = self.choose(now, &request) {
            return Admit::Start(self.start(now, &request, index));
        }
        if let Some(refusal) = self.refuse_to_queue(now, &request) {
            self.give_back_request(&request);
            return Admit::Refused(refusal);
        }
        self.enqueue(now, request);
        Admit::Queued
    }

    /// The next end of a wait. Call it after each event until it gives `None`, and again within
    /// a few tens of milliseconds.
    pub fn next_queued(&mut self, now: ClockMs) -> Option<Dequeued> {
        if self.queued.is_empty() {
            return None;
        }
        if now >= self.revisit_at {
            self.revisit_at = now + REVISIT_MS;
            self.wake_all();
        }
        for lane in 0..self.lanes.len() {
            if let Some(request) = self.expire(now, lane) {
                self.forget_queued(&request);
                let refusal = self.overloaded(&request, "its wait was over before its turn");
                return Some(Dequeued::Refused(request.id, refusal));
            }
            if !self.lanes[lane].has_news {
                continue;
            }
            for class in [Class::InstantLookup, Class::PatientDraft] {
                if let Some((request, index)) = self.start_in_lane(now, lane, class) {
                    self.forget_queued(&request);
                    let placement = self.start(now, &request, index);
                    return Some(Dequeued::Start(request.id, placement));
                }
            }
            self.lanes[lane].has_news = false;
        }
        None
    }

    fn wake_all(&mut self) {
        for lanes in self.lanes.values_mut() {
            lanes.has_news = !lanes.is_idle();
        }
    }

    /// Marks the lanes of an endpoint's targets for another look.
    fn wake_lanes_of(&mut self, node: &NodeId) {
        for target in self.table.targets_of(node) {
            if let Some(lanes) = self.lanes.get_mut(&target) {
                lanes.has_news = true;
            }
        }
    }

    /// Takes out a request that its caller no longer wants. Returns whether it was queued.
    pub fn withdraw(&mut self, id: GenerationId) -> bool {
        let Some(queued) = self.queued.get(&id).cloned() else {
            return false;
        };
        let Some(lanes) = self.lanes.get_mut(&queued.target) else {
            return false;
        };
        let lane = lane_of(lanes, queued.class);
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

    /// Notes the end of started work; an unknown id is ignored.
    pub fn on_finished(&mut self, now: ClockMs, id: GenerationId, end: WorkEnd) {
        let Some(running) = self.running.swap_remove(&id) else {
            return;
        };
        if let Some(endpoint) = self.table.get_mut(&running.node) {
            endpoint.end(now, running.class);
        }
        if let Some(index) = self.table.index_of(&running.node) {
            self.placer.note_left(index);
        }
        if let Some(entry) = self.entries.get_mut(&running.entry) {
            entry
                .limiter
                .end(running.max_tokens.saturating_sub(end.tokens));
        }
        if end.outcome == WorkOutcome::Completed {
            self.retry_budgets.earn(&running.workspace, &running.node);
            let lanes = self.lanes.entry(running.target).or_default();
            let duration_ms = now.since(running.started_at);
            lane_of(lanes, running.class).served(running.cost, duration_ms);
        }
        self.wake_lanes_of(&running.node);
    }

    /// Requests that wait.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.queued.len()
    }

    /// Requests that run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Refusals that need no look at endpoints or queues.
    fn refuse_at_door(&mut self, now: ClockMs, request: &WorkRequest) -> Option<Refusal> {
        let Some(entry) = self.entries.get_mut(&request.catalogue_entry) else {
            return Some(unknown_entry(request));
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
                        .retry_after(BUDGET_RETRY_MS)
                })
            }
        }
    }

    /// Whether the limits let a request start now.
    fn may_start(&mut self, now: ClockMs, request: &WorkRequest) -> bool {
        let entry = self.entries.get_mut(&request.catalogue_entry);
        entry.is_some_and(|entry| entry.limiter.may_start(now))
    }

    /// Whether others wait for the same and go first.
    fn must_wait(&self, request: &WorkRequest) -> bool {
        let Some(lanes) = self.lanes.get(&request.target) else {
            return false;
        };
        let lane = match request.class {
            Class::InstantLookup => &lanes.lookups,
            Class::PatientDraft => &lanes.drafts,
        };
        match request.kind {
            WorkKind::Resume => !lane.resumes.is_empty(),
            WorkKind::New | WorkKind::Retry { .. } => !lane.is_idle(),
        }
    }

    fn choose(&mut self, now: ClockMs, request: &WorkRequest) -> Option<EndpointIndex> {
        let entry = self.entries.get(&request.catalogue_entry)?;
        let wanted = Wanted {
            class: request.class,
            request,
            zones: &entry.zones,
        };
        self.placer
            .choose(now, wanted, &self.table, &self.config, &mut self.rng)
    }

    fn start(&mut self, now: ClockMs, request: &WorkRequest, index: EndpointIndex) -> Placement {
        let node = self
            .table
            .at(index)
            .expect("a chosen endpoint is in the table")
            .node
            .clone();
        if self.config.policy == PlacementPolicy::Affinity {
            self.placer.remember(&request.prefix, index);
        }
        if let Some(entry) = self.entries.get_mut(&request.catalogue_entry) {
            entry.limiter.start(request.max_tokens);
        }
        let mut cached_tokens = 0;
        if let Some(endpoint) = self.table.get_mut(&node) {
            cached_tokens = endpoint.cached_tokens(&request.prefix);
            endpoint.begin(now, request.class);
            for block in &request.prefix {
                endpoint.cache.expect(block.hash);
            }
        }
        let running = Running {
            class: request.class,
            cost: request.cost(),
            entry: request.catalogue_entry.clone(),
            max_tokens: request.max_tokens,
            node: node.clone(),
            started_at: now,
            target: request.target.clone(),
            workspace: request.workspace.clone(),
        };
        self.running.insert(request.id, running);
        Placement {
            cached_tokens,
            node,
        }
    }

    /// Why a request that can't start now may not wait either.
    fn refuse_to_queue(&mut self, now: ClockMs, request: &WorkRequest) -> Option<Refusal> {
        let is_resume = request.kind == WorkKind::Resume;
        if is_resume {
            return None;
        }
        if !self.has_endpoint(now, request) {
            return Some(self.no_endpoint(now, request));
        }
        let entry = self.entries.get(&request.catalogue_entry)?;
        let has_entry_room = entry.limiter.has_queue_room();
        let wait = self.expect_wait(request);
        let has_resumes = self.has_resumes(request);
        if !has_entry_room {
            return Some(limit_reached("waiting requests", bound_retry(wait.wait_ms)));
        }
        if has_resumes && request.class == Class::PatientDraft {
            return Some(self.overloaded(request, "broken generations are continued first"));
        }
        if !wait.has_room {
            return Some(self.overloaded(request, "the queue is full"));
        }
        let longest_ms = self.config.longest_wait_ms(request.class);
        let longest_ms = longest_ms - longest_ms / WAIT_MARGIN_PART;
        if wait.wait_ms > longest_ms {
            return Some(self.overloaded(request, "the wait would be too long"));
        }
        let end = now + wait.wait_ms + wait.service_ms;
        if request.deadline.is_some_and(|deadline| end > deadline) {
            return Some(self.overloaded(request, "its deadline can't be met"));
        }
        None
    }

    fn has_endpoint(&self, now: ClockMs, request: &WorkRequest) -> bool {
        let zones = self
            .entries
            .get(&request.catalogue_entry)
            .map_or(&[][..], |entry| entry.zones.as_slice());
        let mut endpoints = self.table.endpoints_of(&request.target);
        endpoints.any(|endpoint| {
            let is_in_zone = zones.is_empty() || zones.contains(&endpoint.description.zone);
            is_in_zone && endpoint.is_usable(now) && !request.tried.contains(&endpoint.node)
        })
    }

    fn has_resumes(&self, request: &WorkRequest) -> bool {
        let lanes = self.lanes.get(&request.target);
        lanes.is_some_and(|lanes| {
            !lanes.drafts.resumes.is_empty() || !lanes.lookups.resumes.is_empty()
        })
    }

    fn expect_wait(&self, request: &WorkRequest) -> ExpectedWait {
        let slots = self.table.draft_slots(&request.target) / self.placer.seat.count.max(1);
        let Some(lanes) = self.lanes.get(&request.target) else {
            return ExpectedWait {
                has_room: true,
                service_ms: 0,
                wait_ms: 0,
            };
        };
        let lane = match request.class {
            Class::InstantLookup => &lanes.lookups,
            Class::PatientDraft => &lanes.drafts,
        };
        let ahead = lane.queue.ahead(request, self.config.queue_length);
        ExpectedWait {
            has_room: ahead.has_room,
            service_ms: lane.service_ms(request.cost()).unwrap_or(0),
            wait_ms: lane.wait_ms(ahead.cost, slots),
        }
    }

    fn enqueue(&mut self, now: ClockMs, request: WorkRequest) {
        let longest = now + self.config.longest_wait_ms(request.class);
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
        lanes.has_news = true;
        let lane = lane_of(lanes, request.class);
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

    fn forget_queued(&mut self, request: &WorkRequest) {
        self.queued.swap_remove(&request.id);
        if let Some(entry) = self.entries.get_mut(&request.catalogue_entry) {
            entry.limiter.queued = entry.limiter.queued.saturating_sub(1);
        }
    }

    fn expire(&mut self, now: ClockMs, lane: usize) -> Option<WorkRequest> {
        let lanes = &mut self.lanes[lane];
        [&mut lanes.lookups, &mut lanes.drafts]
            .into_iter()
            .find_map(|lane| {
                lane.expire_resume(now)
                    .or_else(|| lane.queue.expire_next(now))
            })
    }

    /// Starts the first request of a lane that can start, resumes first.
    fn start_in_lane(
        &mut self,
        now: ClockMs,
        lane: usize,
        class: Class,
    ) -> Option<(WorkRequest, EndpointIndex)> {
        let lanes = &mut self.lanes[lane];
        if lanes.is_idle() {
            return None;
        }
        // The lane is taken out so that its requests can be tried against the rest.
        let mut taken = std::mem::take(lane_of(lanes, class));
        let started = taken
            .start_resume(|request| self.try_start(now, request))
            .or_else(|| {
                taken
                    .queue
                    .start_next(|request| self.try_start(now, request))
            });
        *lane_of(&mut self.lanes[lane], class) = taken;
        started
    }

    fn try_start(&mut self, now: ClockMs, request: &WorkRequest) -> Trial<EndpointIndex> {
        if !self.may_start(now, request) {
            return Trial::Skipped;
        }
        if let Some(index) = self.choose(now, request) {
            return Trial::Started(index);
        }
        let entry = self.entries.get(&request.catalogue_entry);
        let is_choosy = entry.is_none_or(|entry| !entry.zones.is_empty());
        if is_choosy || !request.tried.is_empty() {
            Trial::Skipped
        } else {
            Trial::Stopped
        }
    }

    fn give_back_request(&mut self, request: &WorkRequest) {
        if request.kind == WorkKind::New
            && let Some(entry) = self.entries.get_mut(&request.catalogue_entry)
        {
            entry.limiter.give_back_request();
        }
    }

    /// A refusal with the time until the work that is ahead now will be done.
    fn overloaded(&self, request: &WorkRequest, reason: &str) -> Refusal {
        let wait = self.expect_wait(request);
        Refusal::not_run(RefusalKind::Overloaded, reason).retry_after(bound_retry(wait.wait_ms))
    }

    fn no_endpoint(&self, now: ClockMs, request: &WorkRequest) -> Refusal {
        let held = self.table.next_return(now, &request.target);
        let retry_after_ms = held.map_or(NO_ENDPOINT_RETRY_MS, |end| end.since(now));
        let detail = format!("no endpoint serves `{}` now", request.catalogue_entry);
        Refusal::not_run(RefusalKind::NoEndpoint, detail).retry_after(bound_retry(retry_after_ms))
    }
}

/// What waiting would mean for a request.
#[derive(Clone, Copy, Debug)]
struct ExpectedWait {
    has_room: bool,
    service_ms: u64,
    wait_ms: u64,
}

fn lane_of(lanes: &mut Lanes, class: Class) -> &mut Lane {
    match class {
        Class::InstantLookup => &mut lanes.lookups,
        Class::PatientDraft => &mut lanes.drafts,
    }
}

fn bound_retry(wait_ms: u64) -> u64 {
    wait_ms.clamp(SHORTEST_RETRY_MS, LONGEST_RETRY_MS)
}

fn unknown_entry(request: &WorkRequest) -> Refusal {
    let detail = format!(
        "catalogue entry `{}` is not in force",
        request.catalogue_entry
    );
    Refusal::not_run(RefusalKind::UnknownModel, detail)
}

fn limit_reached(limit: &str, retry_after_ms: u64) -> Refusal {
    let detail = format!("the entry's limit of {limit} is used up");
    Refusal::not_run(RefusalKind::LimitReached, detail).retry_after(bound_retry(retry_after_ms))
}
