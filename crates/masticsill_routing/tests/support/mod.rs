//! Builders, and a simulation of engines on a virtual clock.
#![allow(dead_code, reason = "each test and example uses a part of this module")]

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use masticsill_routing::{
    AdmitDecision, BackEndTarget, Dequeued, EndpointDescription, EntryPolicy, EntryRank,
    LocalLimits, Placement, PlacementPolicy, PrefixBlock, Router, RouterConfig, SlotGate, WorkEnd,
    WorkKind, WorkOutcome, WorkRequest,
};
use masticsill_types::{
    Class, ClockMs, EndpointKind, EntryId, GenerationId, Incarnation, LoadReport, ModelId,
    ModelTarget, NodeId, Refusal, VersionId, WorkspaceId, ZoneId,
};

pub(crate) const TICK_MS: u64 = 5;
/// Time that an engine takes to generate a token.
const TOKEN_US: u64 = 20_000;
/// Time that an engine takes to compute a prompt token that is not cached.
const PROMPT_TOKEN_US: u64 = 200;

pub(crate) fn node(name: &str) -> NodeId {
    NodeId::new(name).unwrap()
}

pub(crate) fn entry_id(name: &str) -> EntryId {
    EntryId::new(name).unwrap()
}

pub(crate) fn zone(name: &str) -> ZoneId {
    ZoneId::new(name).unwrap()
}

pub(crate) fn model(name: &str, version: &str) -> ModelTarget {
    ModelTarget {
        adapter: None,
        model: ModelId::new(name).unwrap(),
        version: VersionId::new(version).unwrap(),
    }
}

pub(crate) fn engine(slots: u32, at: &str) -> EndpointDescription {
    EndpointDescription {
        held_until: ClockMs(0),
        incarnation: Incarnation(1),
        is_leaving: false,
        kind: EndpointKind::Engine {
            loaded: vec![model("planner", "v1")],
            slots,
            is_checking_fencing: true,
        },
        zone: zone(at),
    }
}

pub(crate) fn request(id: u128, workspace: &str, class: Class, max_tokens: u32) -> WorkRequest {
    WorkRequest {
        catalogue_entry: entry_id(&format!("{workspace}/{class}")),
        class,
        deadline: None,
        id: GenerationId(id),
        kind: WorkKind::New,
        max_tokens,
        prefix: Vec::new(),
        prompt_tokens: 100,
        target: BackEndTarget::Engine(model("planner", "v1")),
        tried: Vec::new(),
        workspace: WorkspaceId::new(workspace).unwrap(),
    }
}

pub(crate) fn router(policy: PlacementPolicy, seed: u64) -> Router {
    let config = RouterConfig {
        policy,
        ..RouterConfig::in_zone(zone("muc-a"))
    };
    Router::new(config, seed)
}

/// A router that knows some workspaces' entries and some engines.
pub(crate) fn router_with(workspaces: &[&str], engines: u32, slots: u32) -> Router {
    let mut router = router(PlacementPolicy::Affinity, 7);
    for workspace in workspaces {
        set_limits(&mut router, ClockMs(0), workspace, LocalLimits::default());
    }
    for index in 0..engines {
        router.on_member_change(
            &node(&format!("agent-{index}")),
            Some(engine(slots, "muc-a")),
        );
    }
    router
}

pub(crate) fn set_limits(router: &mut Router, now: ClockMs, workspace: &str, limits: LocalLimits) {
    for class in [Class::InstantLookup, Class::PatientDraft] {
        let policy = EntryPolicy {
            class,
            limits,
            target: BackEndTarget::Engine(model("planner", "v1")),
            zones: Vec::new(),
        };
        router.set_entry(now, &entry_id(&format!("{workspace}/{class}")), policy);
    }
}

pub(crate) fn ended(outcome: WorkOutcome, tokens: u32) -> WorkEnd {
    WorkEnd { outcome, tokens }
}

struct Job {
    class: Class,
    entry: usize,
    id: GenerationId,
    prefix: Vec<PrefixBlock>,
    prompt_tokens: u32,
    tokens: u32,
}

/// An engine with slots, priority for lookups and a prefix cache.
struct Engine {
    /// Number of prefixes that the cache holds at most.
    cache_capacity: usize,
    cache: IndexSet<u64>,
    /// The agent's gate. Without one, all requests are forwarded on arrival.
    gate: Option<SlotGate>,
    is_dead: bool,
    node: NodeId,
    running: Vec<(ClockMs, Job)>,
    slots: usize,
    waiting: VecDeque<Job>,
}

impl Engine {
    fn take(&mut self, now: ClockMs, job: Job) {
        if let Some(gate) = &mut self.gate {
            gate.offer(now, job.id, job.class);
        }
        self.waiting.push_back(job);
    }

    fn take_finished(&mut self, now: ClockMs) -> Vec<Job> {
        let ended: Vec<(ClockMs, Job)> = self
            .running
            .extract_if(.., |(end, _)| *end <= now)
            .collect();
        for (_, job) in &ended {
            if let Some(gate) = &mut self.gate {
                gate.remove(job.id);
            }
        }
        ended.into_iter().map(|(_, job)| job).collect()
    }

    fn next_job(&mut self) -> Option<Job> {
        let position = if let Some(gate) = &mut self.gate {
            let id = gate.forward_next()?;
            self.waiting.iter().position(|job| job.id == id)?
        } else {
            let urgent = |job: &Job| job.class == Class::InstantLookup;
            self.waiting.iter().position(urgent).unwrap_or(0)
        };
        self.waiting.remove(position)
    }

    fn start_waiting(&mut self, now: ClockMs, computed_tokens: &mut u64) {
        while self.running.len() < self.slots {
            let Some(job) = self.next_job() else {
                return;
            };
            let cached = self.use_cache(&job.prefix);
            let computed = u64::from(job.prompt_tokens - cached.min(job.prompt_tokens));
            *computed_tokens += computed;
            let took_us = computed * PROMPT_TOKEN_US + u64::from(job.tokens) * TOKEN_US;
            self.running.push((now + took_us / 1_000, job));
        }
    }

    fn use_cache(&mut self, prefix: &[PrefixBlock]) -> u32 {
        let hits = prefix
            .iter()
            .filter(|block| self.cache.contains(&block.hash));
        let cached = hits.map(|block| block.tokens).max().unwrap_or(0);
        for block in prefix {
            self.cache.shift_remove(&block.hash);
            self.cache.insert(block.hash);
        }
        while self.cache.len() > self.cache_capacity {
            self.cache.shift_remove_index(0);
        }
        cached
    }
}

/// Results of the requests.
#[derive(Default)]
pub(crate) struct Tally {
    pub(crate) done: IndexMap<GenerationId, (ClockMs, u32)>,
    pub(crate) failed: Vec<GenerationId>,
    pub(crate) computed_tokens: u64,
    pub(crate) refused: IndexMap<GenerationId, (ClockMs, Refusal)>,
    pub(crate) started: IndexMap<GenerationId, NodeId>,
}

/// Entries and engines; load reports reach the entries with a delay.
pub(crate) struct Fleet {
    pub(crate) are_gated: bool,
    pub(crate) are_reports_frozen: bool,
    pub(crate) cache_capacity: usize,
    engines: IndexMap<NodeId, Engine>,
    pub(crate) now: ClockMs,
    pub(crate) routers: Vec<Router>,
    report_lag_ms: u64,
    reports: VecDeque<(ClockMs, NodeId, LoadReport)>,
    requests: IndexMap<GenerationId, (WorkRequest, u32)>,
    pub(crate) tally: Tally,
}

impl Fleet {
    pub(crate) fn new(routers: Vec<Router>, report_lag_ms: u64) -> Self {
        Self {
            are_gated: true,
            are_reports_frozen: false,
            cache_capacity: 40,
            engines: IndexMap::new(),
            now: ClockMs(0),
            routers,
            report_lag_ms,
            reports: VecDeque::new(),
            requests: IndexMap::new(),
            tally: Tally::default(),
        }
    }

    pub(crate) fn add_engine(&mut self, name: &str, slots: u32, at: &str) {
        let count = u32::try_from(self.routers.len()).unwrap();
        for (rank, router) in (0..).zip(&mut self.routers) {
            router.set_entry_rank(EntryRank { count, rank });
            router.on_member_change(&node(name), Some(engine(slots, at)));
        }
        let engine = Engine {
            cache: IndexSet::new(),
            cache_capacity: self.cache_capacity,
            gate: self.are_gated.then(|| SlotGate::new(slots)),
            is_dead: false,
            node: node(name),
            running: Vec::new(),
            slots: slots as usize,
            waiting: VecDeque::new(),
        };
        self.engines.insert(node(name), engine);
    }

    /// Sets for all agents whether lookups use their engines.
    pub(crate) fn set_shared(&mut self, is_shared: bool) {
        let gates = self
            .engines
            .values_mut()
            .filter_map(|engine| engine.gate.as_mut());
        for gate in gates {
            gate.set_shared(is_shared);
        }
    }

    /// Kills an engine; the entries offer its requests again as resumes.
    pub(crate) fn kill(&mut self, name: &str) {
        for router in &mut self.routers {
            router.on_member_change(&node(name), None);
        }
        let engine = &mut self.engines[&node(name)];
        engine.is_dead = true;
        let running = engine.running.drain(..).map(|(_, job)| job);
        let lost: Vec<Job> = running.chain(engine.waiting.drain(..)).collect();
        for job in lost {
            let end = ended(WorkOutcome::Failed, 0);
            self.routers[job.entry].on_finished(self.now, job.id, end);
            let (mut request, tokens) = self.requests[&job.id].clone();
            request.kind = WorkKind::Resume;
            self.offer(job.entry, request, tokens);
        }
    }

    /// Offers a request that generates `tokens` tokens to an entry.
    pub(crate) fn offer(&mut self, entry: usize, request: WorkRequest, tokens: u32) {
        let id = request.id;
        self.requests.insert(id, (request.clone(), tokens));
        match self.routers[entry].admit(self.now, request) {
            AdmitDecision::Start(placement) => self.start(entry, id, &placement),
            AdmitDecision::Queued => {}
            AdmitDecision::Refused(refusal) => {
                self.tally.refused.insert(id, (self.now, refusal));
            }
        }
    }

    fn start(&mut self, entry: usize, id: GenerationId, placement: &Placement) {
        self.tally.started.insert(id, placement.node.clone());
        let (request, tokens) = &self.requests[&id];
        let job = Job {
            class: request.class,
            entry,
            id,
            prefix: request.prefix.clone(),
            prompt_tokens: request.prompt_tokens,
            tokens: *tokens,
        };
        let engine = &mut self.engines[&placement.node];
        assert!(
            !engine.is_dead,
            "{} is dead and was given a request",
            engine.node
        );
        engine.take(self.now, job);
        engine.start_waiting(self.now, &mut self.tally.computed_tokens);
    }

    pub(crate) fn tick(&mut self) {
        self.now = self.now + TICK_MS;
        let mut ends = Vec::new();
        for engine in self.engines.values_mut() {
            ends.extend(engine.take_finished(self.now));
            engine.start_waiting(self.now, &mut self.tally.computed_tokens);
        }
        for job in ends {
            let end = ended(WorkOutcome::Completed, job.tokens);
            self.routers[job.entry].on_finished(self.now, job.id, end);
            let twice = self.tally.done.insert(job.id, (self.now, job.tokens));
            assert!(twice.is_none(), "a request was completed twice");
        }
        if self.now.0.is_multiple_of(100) && !self.are_reports_frozen {
            self.send_reports();
        }
        self.deliver_reports();
        for entry in 0..self.routers.len() {
            while let Some(dequeued) = self.routers[entry].next_queued(self.now) {
                match dequeued {
                    Dequeued::Start(id, placement) => self.start(entry, id, &placement),
                    Dequeued::Refused(id, refusal) => {
                        self.tally.refused.insert(id, (self.now, refusal));
                    }
                }
            }
        }
    }

    fn send_reports(&mut self) {
        for engine in self.engines.values().filter(|engine| !engine.is_dead) {
            let load = LoadReport {
                running: u32::try_from(engine.running.len()).unwrap(),
                waiting: u32::try_from(engine.waiting.len()).unwrap(),
                age_ms: self.report_lag_ms,
                token_gap_ms: 20,
            };
            let at = self.now + self.report_lag_ms;
            self.reports.push_back((at, engine.node.clone(), load));
        }
    }

    fn deliver_reports(&mut self) {
        while self.reports.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, node, load) = self.reports.pop_front().unwrap();
            for router in &mut self.routers {
                router.on_load_report(self.now, &node, load);
            }
        }
    }

    pub(crate) fn run_until_idle(&mut self, bound_ms: u64) {
        let end = self.now + bound_ms;
        let is_busy = |fleet: &Self| {
            let busy = |engine: &Engine| !engine.running.is_empty();
            fleet.engines.values().any(busy)
                || fleet.routers.iter().any(|router| router.queued_count() > 0)
        };
        while is_busy(self) {
            assert!(
                self.now < end,
                "requests did not finish within {bound_ms} ms"
            );
            self.tick();
        }
    }

    /// Number of requests at each engine, running and waiting.
    pub(crate) fn loads(&self) -> Vec<usize> {
        let engines = self.engines.values();
        engines
            .map(|engine| engine.running.len() + engine.waiting.len())
            .collect()
    }

    /// Asserts that every offered request was either completed or refused.
    pub(crate) fn assert_none_lost(&self) {
        for id in self.requests.keys() {
            let is_done = self.tally.done.contains_key(id);
            let is_refused = self.tally.refused.contains_key(id);
            assert!(
                is_done != is_refused,
                "{id}: done {is_done}, refused {is_refused}"
            );
        }
    }
}
