//! The planner: decides which engine loads or unloads which target, and when.

use indexmap::{IndexMap, IndexSet};
use masticsill_catalogue::Catalogue;
use masticsill_types::{CatalogueVersion, ClockMs, EntryId, ModelId, ModelTarget, NodeId};
use masticsill_wire::engine::EngineOrder;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bucket::TokenBucket;
use crate::demand::{Demand, list_demands, list_referenced};
use crate::holders::Holders;
use crate::observed_engine::ObservedEngine;
use crate::plan::{OrderEnd, PlanLimits, PlannedOrder, model, target};

/// An order that was issued and has not ended.
#[derive(Clone, Debug)]
struct InFlightOrder {
    /// Whether the order's effect may be looked for; before the answer, the state that the engine
    /// announces may have another cause.
    is_answered: bool,
    order: EngineOrder,
    since: ClockMs,
}

/// Decides the next orders from the catalogue and the state that engines announce.
///
/// At any time at most one order is in flight per engine and at most one per model, so the replicas
/// of a model never load all at once. An order is in flight from its planning until its effect is
/// observed, it is refused, or it times out.
#[derive(Clone, Debug)]
pub struct LoadPlanner {
    bucket: TokenBucket,
    /// The entry for which the last load was issued; the next step starts with the entry after it.
    last_loaded: Option<EntryId>,
    limits: PlanLimits,
    next_load_at: ClockMs,
    backoff_until: IndexMap<(NodeId, ModelTarget), ClockMs>,
    random: ChaCha8Rng,
    shortage_since: IndexMap<EntryId, ClockMs>,
    in_flight: IndexMap<NodeId, InFlightOrder>,
    unreferenced_since: IndexMap<ModelTarget, ClockMs>,
}

impl LoadPlanner {
    /// A planner that has not issued any order; `seed` seeds its random choices.
    #[must_use]
    pub fn new(now: ClockMs, limits: PlanLimits, seed: u64) -> Self {
        Self {
            bucket: TokenBucket::new(now, limits.store_burst, limits.store_refill_interval_ms),
            last_loaded: None,
            limits,
            next_load_at: now,
            backoff_until: IndexMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            shortage_since: IndexMap::new(),
            in_flight: IndexMap::new(),
            unreferenced_since: IndexMap::new(),
        }
    }

    /// Records an order that a previous leader issued and that has not ended. Ignored if an order
    /// is already recorded for the same agent.
    pub fn record_in_flight(&mut self, now: ClockMs, agent: NodeId, order: EngineOrder) {
        let in_flight = InFlightOrder {
            is_answered: true,
            order,
            since: now,
        };
        self.in_flight.entry(agent).or_insert(in_flight);
    }

    /// Records how an order ended.
    pub fn record_end(&mut self, now: ClockMs, ended: PlannedOrder, end: OrderEnd) {
        let PlannedOrder { agent, order } = ended;
        let in_flight = self.in_flight.get_mut(&agent);
        let in_flight = in_flight.filter(|in_flight| in_flight.order == order);
        match (end, in_flight) {
            (OrderEnd::Done | OrderEnd::Unknown, Some(in_flight)) => in_flight.is_answered = true,
            (OrderEnd::Done | OrderEnd::Unknown, None) => {}
            (OrderEnd::Refused, in_flight) => {
                if in_flight.is_some() {
                    self.in_flight.swap_remove(&agent);
                }
                let until = now + self.limits.refusal_backoff_ms;
                let refused_target = (agent, target(&order).clone());
                self.backoff_until.insert(refused_target, until);
            }
        }
    }

    /// Decides which orders to issue now. Each one returned is recorded as in flight.
    pub fn step(
        &mut self,
        now: ClockMs,
        catalogue: &Catalogue,
        engines: &[ObservedEngine],
    ) -> Vec<PlannedOrder> {
        self.end_completed(now, engines);
        self.backoff_until.retain(|_, until| *until > now);
        let demands = list_demands(catalogue);
        let loading = self.list_loading();
        let holders = Holders::list(engines, &loading);
        self.update_shortages(now, &demands, &holders);
        self.update_unreferenced(now, &demands, engines);
        let mut planned = Vec::new();
        // A catalogue at version zero never had an entry, so it says nothing about what was loaded
        // before.
        if catalogue.version() > CatalogueVersion::default() {
            // Unloads come first, because an engine without room for both targets can't load before
            // it has unloaded.
            self.plan_unloads(now, engines, &mut planned);
        }
        self.plan_loads(now, &demands, engines, &holders, &mut planned);
        planned
    }

    /// Ends the orders whose effect is observed and those that have timed out.
    fn end_completed(&mut self, now: ClockMs, engines: &[ObservedEngine]) {
        let timeout_ms = self.limits.order_timeout_ms;
        self.in_flight.retain(|agent, in_flight| {
            let engine = engines.iter().find(|engine| engine.agent == *agent);
            let is_effect_visible = engine.is_some_and(|engine| match &in_flight.order {
                EngineOrder::Load(target) => engine.has(target),
                // An engine that can't be used announces no loaded targets, which does not prove
                // that the target was unloaded.
                EngineOrder::Unload(target) => engine.takes_orders && !engine.has(target),
            });
            !(in_flight.is_answered && is_effect_visible) && now.since(in_flight.since) < timeout_ms
        });
    }

    fn list_loading(&self) -> IndexMap<NodeId, ModelTarget> {
        let in_flight = self.in_flight.iter();
        let loading = in_flight.filter_map(|(agent, in_flight)| match &in_flight.order {
            EngineOrder::Load(target) => Some((agent.clone(), target.clone())),
            EngineOrder::Unload(_) => None,
        });
        loading.collect()
    }

    fn update_shortages(&mut self, now: ClockMs, demands: &[Demand<'_>], holders: &Holders<'_>) {
        let short: IndexSet<&EntryId> = demands
            .iter()
            .filter(|demand| holders.count(demand) < demand.replicas)
            .map(|demand| demand.entry)
            .collect();
        self.shortage_since.retain(|entry, _| short.contains(entry));
        for entry in short {
            self.shortage_since.entry(entry.clone()).or_insert(now);
        }
    }

    fn update_unreferenced(
        &mut self,
        now: ClockMs,
        demands: &[Demand<'_>],
        engines: &[ObservedEngine],
    ) {
        let referenced = list_referenced(demands);
        let loaded = engines.iter().flat_map(|engine| &engine.loaded);
        let unreferenced: IndexSet<&ModelTarget> = loaded
            .filter(|target| !referenced.contains(target))
            .collect();
        // A target is kept while no engine announces it, so that a short absence does not restart
        // its grace period.
        self.unreferenced_since
            .retain(|target, _| !referenced.contains(target));
        for target in unreferenced {
            self.unreferenced_since.entry(target.clone()).or_insert(now);
        }
    }

    fn plan_loads(
        &mut self,
        now: ClockMs,
        demands: &[Demand<'_>],
        engines: &[ObservedEngine],
        holders: &Holders<'_>,
        planned: &mut Vec<PlannedOrder>,
    ) {
        // Round robin, so that an entry whose loads are refused does not starve the others.
        let is_served = |it: &Demand<'_>| self.last_loaded.as_ref() >= Some(it.entry);
        let (served, next) = demands.split_at(demands.partition_point(is_served));
        for demand in next.iter().chain(served) {
            if !self.may_start_load(now, demand) {
                continue;
            }
            let Some(engine) = self.choose_engine(demand, engines, holders) else {
                continue;
            };
            if !self.bucket.try_take(now) {
                return;
            }
            self.next_load_at = now + self.random.random_range(0..=self.limits.max_load_jitter_ms);
            self.last_loaded = Some(demand.entry.clone());
            let order = EngineOrder::Load(demand.target.clone());
            self.issue(now, &engine.agent, order, planned);
        }
    }

    fn may_start_load(&self, now: ClockMs, demand: &Demand<'_>) -> bool {
        let is_short = self.shortage_since.get(demand.entry);
        let is_short =
            is_short.is_some_and(|since| now.since(*since) >= self.limits.shortage_delay_ms);
        let loads = self.in_flight.values();
        let loads = loads.filter(|in_flight| matches!(in_flight.order, EngineOrder::Load(_)));
        is_short
            && now >= self.next_load_at
            && loads.count() < self.limits.max_concurrent_loads
            && !self.is_model_busy(&demand.target.model)
    }

    /// Chooses an engine for one more replica: in the zone with the fewest replicas of the target,
    /// and among those the engine with the fewest loaded targets.
    fn choose_engine<'a>(
        &mut self,
        demand: &Demand<'_>,
        engines: &'a [ObservedEngine],
        holders: &Holders<'_>,
    ) -> Option<&'a ObservedEngine> {
        let is_candidate = |engine: &&ObservedEngine| {
            demand.allows(&engine.zone)
                && !engine.has(demand.target)
                && self.is_available(engine, demand.target)
        };
        let mut candidates: Vec<&ObservedEngine> = engines.iter().filter(is_candidate).collect();
        if candidates.is_empty() {
            return None;
        }
        // `min_by_key` returns the first of equal candidates; the random rotation breaks the tie.
        let first = self.random.random_range(0..candidates.len());
        candidates.rotate_left(first);
        candidates.into_iter().min_by_key(|engine| {
            let in_zone = holders.count_in_zone(demand.target, &engine.zone);
            (in_zone, engine.loaded.len())
        })
    }

    fn is_available(&self, engine: &ObservedEngine, target: &ModelTarget) -> bool {
        let is_backing_off =
            |(agent, it): &(NodeId, ModelTarget)| *agent == engine.agent && it == target;
        engine.takes_orders
            && !engine.is_leaving
            && !self.in_flight.contains_key(&engine.agent)
            && !self.backoff_until.keys().any(is_backing_off)
    }

    fn plan_unloads(
        &mut self,
        now: ClockMs,
        engines: &[ObservedEngine],
        planned: &mut Vec<PlannedOrder>,
    ) {
        let unload_grace_ms = self.limits.unload_grace_ms;
        let due = self.unreferenced_since.iter();
        let due = due.filter(|(_, since)| now.since(**since) >= unload_grace_ms);
        let due: Vec<ModelTarget> = due.map(|(target, _)| target.clone()).collect();
        for target in due {
            if self.is_model_busy(&target.model) {
                continue;
            }
            let holders = engines.iter().filter(|engine| engine.has(&target));
            let holders: Vec<&ObservedEngine> = holders.collect();
            if holders.is_empty() {
                self.unreferenced_since.swap_remove(&target);
                continue;
            }
            let mut holders = holders.into_iter();
            if let Some(engine) = holders.find(|engine| self.is_available(engine, &target)) {
                let order = EngineOrder::Unload(target);
                self.issue(now, &engine.agent, order, planned);
            }
        }
    }

    fn is_model_busy(&self, id: &ModelId) -> bool {
        let mut orders = self.in_flight.values();
        orders.any(|in_flight| model(&in_flight.order) == id)
    }

    fn issue(
        &mut self,
        now: ClockMs,
        agent: &NodeId,
        order: EngineOrder,
        planned: &mut Vec<PlannedOrder>,
    ) {
        debug_assert!(!self.is_model_busy(&target(&order).model));
        let in_flight = InFlightOrder {
            is_answered: false,
            order: order.clone(),
            since: now,
        };
        self.in_flight.insert(agent.clone(), in_flight);
        planned.push(PlannedOrder {
            agent: agent.clone(),
            order,
        });
    }
}
