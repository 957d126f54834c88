//! The router of one entry.

use indexmap::IndexMap;
use masticsill_types::{
    Class, ClockMs, EntryId, GenerationId, LoadReport, NodeId, WorkspaceId, ZoneId,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::cache_view::CacheChange;
use crate::config::{PlacementPolicy, RouterConfig};
use crate::endpoint::{EndpointDescription, EntryRank};
use crate::lane::Lanes;
use crate::limits::{Limiter, LocalLimits};
use crate::placement::{PlacementQuery, Placer};
use crate::pool::{EndpointIndex, EndpointTable};
use crate::request::{
    AdmitDecision, BackEndTarget, Placement, WorkEnd, WorkKind, WorkOutcome, WorkRequest,
};
use crate::retry_budget::RetryBudgets;

/// The properties of a catalogue entry that the router uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryPolicy {
    /// Class of its requests.
    pub class: Class,
    /// Limits at this node.
    pub limits: LocalLimits,
    /// What its requests need an endpoint to serve.
    pub target: BackEndTarget,
    /// Zones in which its requests may run; empty allows all.
    pub zones: Vec<ZoneId>,
}

#[derive(Clone, Debug)]
pub(crate) struct EntryState {
    pub(crate) class: Class,
    pub(crate) limiter: Limiter,
    pub(crate) target: BackEndTarget,
    pub(crate) zones: Vec<ZoneId>,
}

#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) class: Class,
    pub(crate) cost: u64,
    pub(crate) entry: EntryId,
    pub(crate) max_tokens: u32,
    pub(crate) node: NodeId,
    pub(crate) started_at: ClockMs,
    pub(crate) target: BackEndTarget,
    pub(crate) workspace: WorkspaceId,
}

#[derive(Clone, Debug)]
pub(crate) struct Queued {
    pub(crate) class: Class,
    pub(crate) entry: EntryId,
    pub(crate) is_resume: bool,
    pub(crate) target: BackEndTarget,
    pub(crate) workspace: WorkspaceId,
}

/// Decides which endpoint gets which request, and which requests are queued or refused.
///
/// Each request passed to [`Router::admit`] is started, refused or queued. A queued request is
/// later started or refused by [`Router::next_queued`], unless it is cancelled with
/// [`Router::withdraw`]. The end of each started request must be reported with
/// [`Router::on_finished`].
#[derive(Clone, Debug)]
pub struct Router {
    pub(crate) config: RouterConfig,
    /// Queued requests whose catalogue entry was removed, to be refused.
    pub(crate) dropped: Vec<GenerationId>,
    pub(crate) entries: IndexMap<EntryId, EntryState>,
    pub(crate) lanes: IndexMap<BackEndTarget, Lanes>,
    pub(crate) placer: Placer,
    pub(crate) queued: IndexMap<GenerationId, Queued>,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) next_rescan_at: ClockMs,
    pub(crate) rng: StdRng,
    pub(crate) running: IndexMap<GenerationId, Running>,
    pub(crate) table: EndpointTable,
}

impl Router {
    /// A router without endpoints and catalogue entries. `seed` initializes its random number
    /// generator.
    #[must_use]
    pub fn new(config: RouterConfig, seed: u64) -> Self {
        Self {
            config,
            dropped: Vec::new(),
            entries: IndexMap::new(),
            lanes: IndexMap::new(),
            placer: Placer::new(),
            queued: IndexMap::new(),
            retry_budgets: RetryBudgets::default(),
            next_rescan_at: ClockMs::default(),
            rng: StdRng::seed_from_u64(seed),
            running: IndexMap::new(),
            table: EndpointTable::default(),
        }
    }

    /// Adds a catalogue entry or changes its policy. A changed one keeps its counts and the levels
    /// of its token buckets.
    pub fn set_entry(&mut self, now: ClockMs, id: &EntryId, policy: EntryPolicy) {
        self.schedule_scan_of_all();
        let limiter = match self.entries.swap_remove(id) {
            Some(mut former) => {
                self.table.remove_entry(former.class, &former.target);
                former.limiter.set(now, policy.limits);
                former.limiter
            }
            None => Limiter::new(now, policy.limits),
        };
        self.table.add_entry(policy.class, &policy.target);
        let entry = EntryState {
            class: policy.class,
            limiter,
            target: policy.target,
            zones: policy.zones,
        };
        self.entries.insert(id.clone(), entry);
    }

    /// Removes a catalogue entry: new and queued requests are refused. Running generations and
    /// queued resumes go on.
    pub fn remove_entry(&mut self, id: &EntryId) {
        self.schedule_scan_of_all();
        if let Some(former) = self.entries.swap_remove(id) {
            self.table.remove_entry(former.class, &former.target);
        }
        let waiting = self.queued.iter();
        let waiting = waiting.filter(|(_, queued)| queued.entry == *id && !queued.is_resume);
        self.dropped.extend(waiting.map(|(id, _)| *id));
    }

    /// Sets this entry's rank among the entries that share the endpoints.
    pub fn set_entry_rank(&mut self, entry_rank: EntryRank) {
        self.placer.entry_rank = entry_rank;
    }

    /// Applies an endpoint's description from the membership; `None` when the endpoint is gone.
    pub fn on_member_change(&mut self, node: &NodeId, description: Option<EndpointDescription>) {
        if description.is_none() {
            self.retry_budgets.remove(node);
        }
        self.table.update(node, description, &self.config);
        self.schedule_scan_for(node);
    }

    /// Sets whether an endpoint's agent can't be reached. An unreachable endpoint gets no new work.
    pub fn set_unreachable(&mut self, node: &NodeId, is_unreachable: bool) {
        if let Some(endpoint) = self.table.get_mut(node) {
            endpoint.is_unreachable = is_unreachable;
        }
        self.schedule_scan_for(node);
    }

    /// Applies an endpoint's load report.
    pub fn on_load_report(&mut self, now: ClockMs, node: &NodeId, load: LoadReport) {
        if let Some(endpoint) = self.table.get_mut(node) {
            endpoint.report(now, load);
        }
        self.schedule_scan_for(node);
    }

    /// Applies changes to an engine's prefix cache.
    pub fn on_cache_changes(&mut self, node: &NodeId, changes: &[CacheChange]) {
        if let Some(endpoint) = self.table.get_mut(node) {
            for change in changes {
                endpoint.cache.apply(*change);
            }
        }
    }

    /// Decides whether a request starts now, is queued or is refused.
    pub fn admit(&mut self, now: ClockMs, request: WorkRequest) -> AdmitDecision {
        if self.queued.contains_key(&request.id) {
            return AdmitDecision::Queued;
        }
        let former = WorkEnd {
            outcome: WorkOutcome::Failed,
            tokens: 0,
        };
        self.on_finished(now, request.id, former);
        if let Some(refusal) = self.refuse_by_limits(now, &request) {
            return AdmitDecision::Refused(refusal);
        }
        let is_held_back = !self.may_start(now, &request) || self.must_wait(&request);
        if !is_held_back && let Some(index) = self.choose(now, &request) {
            return AdmitDecision::Start(self.start(now, &request, index));
        }
        if let Some(refusal) = self.refuse_to_queue(now, &request) {
            self.refund_request(&request);
            return AdmitDecision::Refused(refusal);
        }
        self.enqueue(now, request);
        AdmitDecision::Queued
    }

    /// Records a request that runs at an endpoint already, without any decision. Ignored if the
    /// endpoint is unknown.
    pub fn adopt(&mut self, now: ClockMs, request: &WorkRequest, node: &NodeId) {
        if let Some(index) = self.table.index_of(node) {
            self.start(now, request, index);
        }
    }

    /// Whether any endpoint accepts requests of a catalogue entry now, whether or not it has a free
    /// slot.
    #[must_use]
    pub fn can_serve(&self, now: ClockMs, entry: &EntryId, target: &BackEndTarget) -> bool {
        let zones = self.zones_of(entry);
        let mut endpoints = self.table.endpoints_of(target);
        endpoints.any(|endpoint| {
            let is_in_zone = zones.is_empty() || zones.contains(&endpoint.description.zone);
            is_in_zone && endpoint.is_usable(now)
        })
    }

    /// Records the end of a started request; an unknown id is ignored.
    pub fn on_finished(&mut self, now: ClockMs, id: GenerationId, end: WorkEnd) {
        let Some(running) = self.running.swap_remove(&id) else {
            return;
        };
        if let Some(endpoint) = self.table.get_mut(&running.node) {
            endpoint.end(now, running.class);
        }
        if let Some(index) = self.table.index_of(&running.node) {
            self.placer.note_freed_slot(index);
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
            lanes
                .of_mut(running.class)
                .record_service(running.cost, duration_ms);
        }
        self.schedule_scan_for(&running.node);
    }

    /// Number of queued requests.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.queued.len()
    }

    /// Number of running requests.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Whether the limits of its catalogue entry let a request start now. A resumed generation must
    /// be within the limit of concurrent requests, but not within the token rate: its tokens were
    /// charged when it was admitted.
    pub(crate) fn may_start(&mut self, now: ClockMs, request: &WorkRequest) -> bool {
        let entry = self.entries.get_mut(&request.catalogue_entry);
        match (entry, &request.kind) {
            (Some(entry), WorkKind::Resume) => entry.limiter.has_concurrency_room(),
            (Some(entry), WorkKind::New | WorkKind::Retry { .. }) => entry.limiter.may_start(now),
            (None, kind) => *kind == WorkKind::Resume,
        }
    }

    /// Zones in which a catalogue entry's requests may run; empty allows all.
    pub(crate) fn zones_of(&self, entry: &EntryId) -> &[ZoneId] {
        let entry = self.entries.get(entry);
        entry.map_or(&[], |entry| entry.zones.as_slice())
    }

    /// Whether queued requests for the same target and class go first.
    pub(crate) fn must_wait(&self, request: &WorkRequest) -> bool {
        let Some(lanes) = self.lanes.get(&request.target) else {
            return false;
        };
        let lane = lanes.of(request.class);
        match request.kind {
            WorkKind::Resume => !lane.resumes.is_empty(),
            WorkKind::New | WorkKind::Retry { .. } => !lane.is_idle(),
        }
    }

    pub(crate) fn choose(&mut self, now: ClockMs, request: &WorkRequest) -> Option<EndpointIndex> {
        let entry = self.entries.get(&request.catalogue_entry);
        let query = PlacementQuery {
            class: request.class,
            request,
            zones: entry.map_or(&[], |entry| entry.zones.as_slice()),
        };
        self.placer
            .choose(now, query, &self.table, &self.config, &mut self.rng)
    }

    pub(crate) fn start(
        &mut self,
        now: ClockMs,
        request: &WorkRequest,
        index: EndpointIndex,
    ) -> Placement {
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
                endpoint.cache.note_sent(block.hash);
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
}
