//! The planner: decides which engine loads or unloads which target, and when.

use indexmap::{IndexMap, IndexSet};
use masticsill_catalogue::Catalogue;
use masticsill_types::{CatalogueVersion, ClockMs, EntryId, ModelId, ModelTarget, NodeId};
use masticsill_wire::engine::EngineOrder;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bucket::TokenBucket;
use crate::holders::Holders;
use crate::plan::{OrderEnd, PlanLimits, PlannedOrder, model, target};
use crate::seen::EngineSeen;
use crate::wanted::{Wanted, list_named, list_wanted};

/// An order that was issued and has not ended.
#[derive(Clone, Debug)]
struct UnderWay {
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
    paused_until: IndexMap<(NodeId, ModelTarget), ClockMs>,
    random: ChaCha8Rng,
    short_since: IndexMap<EntryId, ClockMs>,
    under_way: IndexMap<NodeId, UnderWay>,
    unnamed_since: IndexMap<ModelTarget, ClockMs>,
}

impl LoadPlanner {
    /// A planner that has not issued any order; `seed` seeds its random choices.
    #[must_use]
    pub fn new(now: ClockMs, limits: PlanLimits, seed: u64) -> Self {
        Self {
            bucket: TokenBucket::new(now, limits.store_burst, limits.store_refill_ms),
            last_loaded: None,
            limits,
            next_load_at: now,
            paused_until: IndexMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            short_since: IndexMap::new(),
            under_way: IndexMap::new(),
            unnamed_since: IndexMap::new(),
        }
    }

    /// Records an order that a previous leader issued and that has not ended. Ignored if an order
    /// is already recorded for the same agent.
    pub fn note_under_way(&mut self, now: ClockMs, agent: NodeId, order: EngineOrder) {
        let under_way = UnderWay {
            is_answered: true,
            order,
            since: now,
        };
        self.under_way.entry(agent).or_insert(under_way);
    }

    /// Records how an order ended.
    pub fn note_end(&mut self, now: ClockMs, ended: PlannedOrder, end: OrderEnd) {
        let PlannedOrder { agent, order } = ended;
        let under_way = self.under_way.get_mut(&agent);
        let under_way = under_way.filter(|under_way| under_way.order == order);
        match (end, under_way) {
            (OrderEnd::Done | OrderEnd::Unknown, Some(under_way)) => under_way.is_answered = true,
            (OrderEnd::Done | OrderEnd::Unknown, None) => {}
            (OrderEnd::Refused, under_way) => {
                if under_way.is_some() {
                    self.under_way.swap_remove(&agent);
                }
                let until = now + self.limits.refused_pause_ms;
                let paused = (agent, target(&order).clone());
                self.paused_until.insert(paused, until);
            }
        }
    }

    /// Decides which orders to issue now. Each one returned is recorded as in flight.
    pub fn step(
        &mut self,
        now: ClockMs,
        catalogue: &Catalogue,
        engines: &[EngineSeen],
    ) -> Vec<PlannedOrder> {
        self.end_visible(now, engines);
        self.paused_until.retain(|_, until| *until > now);
        let wanted = list_wanted(catalogue);
        let loading = self.list_loading();
        let holders = Holders::list(engines, &loading);
        self.note_shortages(now, &wanted, &holders);
        self.note_unnamed(now, &wanted, engines);
        let mut planned = Vec::new();
        // A catalogue at version zero is unknown rather than empty, so it is no reason to unload.
        if catalogue.version() > CatalogueVersion::default() {
            // Unloads come first, because an engine without room for both targets can't load before
            // it has unloaded.
            self.plan_unloads(now, engines, &mut planned);
        }
        self.plan_loads(now, &wanted, engines, &holders, &mut planned);
        planned
    }

    /// Ends the orders whose effect is observed and those that have timed out.
    fn end_visible(&mut self, now: ClockMs, engines: &[EngineSeen]) {
        let timeout_ms = self.limits.order_timeout_ms;
        self.under_way.retain(|agent, under_way| {
            let engine = engines.iter().find(|engine| engine.agent == *agent);
            let is_visible = engine.is_some_and(|engine| match &under_way.order {
                EngineOrder::Load(target) => engine.has(target),
                // An engine that can't be used announces no loaded targets, which proves nothing.
                EngineOrder::Unload(target) => engine.takes_orders && !engine.has(target),
            });
            !(under_way.is_answered && is_visible) && now.since(under_way.since) < timeout_ms
        });
    }

    fn list_loading(&self) -> IndexMap<NodeId, ModelTarget> {
        let under_way = self.under_way.iter();
        let loading = under_way.filter_map(|(agent, under_way)| match &under_way.order {
            EngineOrder::Load(target) => Some((agent.clone(), target.clone())),
            EngineOrder::Unload(_) => None,
        });
        loading.collect()
    }

    fn note_shortages(&mut self, now: ClockMs, wanted: &[Wanted<'_>], holders: &Holders<'_>) {
        let short: IndexSet<&EntryId> = wanted
            .iter()
            .filter(|wanted| holders.count(wanted) < wanted.replicas)
            .map(|wanted| wanted.entry)
            .collect();
        self.short_since.retain(|entry, _| short.contains(entry));
        for entry in short {
            self.short_since.entry(entry.clone()).or_insert(now);
        }
    }

    fn note_unnamed(&mut self, now: ClockMs, wanted: &[Wanted<'_>], engines: &[EngineSeen]) {
        let named = list_named(wanted);
        let loaded = engines.iter().flat_map(|engine| &engine.loaded);
        let unnamed: IndexSet<&ModelTarget> =
            loaded.filter(|target| !named.contains(target)).collect();
        // A target is kept while no engine announces it, so that a short absence does not restart
        // its grace period.
        self.unnamed_since
            .retain(|target, _| !named.contains(target));
        for target in unnamed {
            self.unnamed_since.entry(target.clone()).or_insert(now);
        }
    }

    fn plan_loads(
        &mut self,
        now: ClockMs,
        wanted: &[Wanted<'_>],
        engines: &[EngineSeen],
        holders: &Holders<'_>,
        planned: &mut Vec<PlannedOrder>,
    ) {
        // Round robin, so that an entry whose loads are refused does not starve the others.
        let is_served = |it: &Wanted<'_>| self.last_loaded.as_ref() >= Some(it.entry);
        let (served, next) = wanted.split_at(wanted.partition_point(is_served));
        for wanted in next.iter().chain(served) {
            if !self.may_load(now, wanted) {
                continue;
            }
            let Some(engine) = self.choose(wanted, engines, holders) else {
                continue;
            };
            if !self.bucket.take(now) {
                return;
            }
            self.next_load_at = now + self.random.random_range(0..=self.limits.jitter_ms);
            self.last_loaded = Some(wanted.entry.clone());
            let order = EngineOrder::Load(wanted.target.clone());
            self.give(now, &engine.agent, order, planned);
        }
    }

    fn may_load(&self, now: ClockMs, wanted: &Wanted<'_>) -> bool {
        let is_short = self.short_since.get(wanted.entry);
        let is_short = is_short.is_some_and(|since| now.since(*since) >= self.limits.shortage_ms);
        let loads = self.under_way.values();
        let loads = loads.filter(|under_way| matches!(under_way.order, EngineOrder::Load(_)));
        is_short
            && now >= self.next_load_at
            && loads.count() < self.limits.loads_at_once
            && !self.is_model_busy(&wanted.target.model)
    }

    /// Chooses an engine for one more replica: in the zone with the fewest replicas of the target,
    /// and among those the engine with the fewest loaded targets.
    fn choose<'a>(
        &mut self,
        wanted: &Wanted<'_>,
        engines: &'a [EngineSeen],
        holders: &Holders<'_>,
    ) -> Option<&'a EngineSeen> {
        let is_candidate = |engine: &&EngineSeen| {
            wanted.allows(&engine.zone)
                && !engine.has(wanted.target)
                && self.is_free(engine, wanted.target)
        };
        let mut candidates: Vec<&EngineSeen> = engines.iter().filter(is_candidate).collect();
        if candidates.is_empty() {
            return None;
        }
        // `min_by_key` returns the first of equal candidates; the random rotation breaks the tie.
        let first = self.random.random_range(0..candidates.len());
        candidates.rotate_left(first);
        candidates.into_iter().min_by_key(|engine| {
            let in_zone = holders.count_in_zone(wanted.target, &engine.zone);
            (in_zone, engine.loaded.len())
        })
    }

    fn is_free(&self, engine: &EngineSeen, target: &ModelTarget) -> bool {
        let is_paused =
            |(agent, it): &(NodeId, ModelTarget)| *agent == engine.agent && it == target;
        engine.takes_orders
            && !engine.is_leaving
            && !self.under_way.contains_key(&engine.agent)
            && !self.paused_until.keys().any(is_paused)
    }

    fn plan_unloads(
        &mut self,
        now: ClockMs,
        engines: &[EngineSeen],
        planned: &mut Vec<PlannedOrder>,
    ) {
        let grace_ms = self.limits.grace_ms;
        let due = self.unnamed_since.iter();
        let due = due.filter(|(_, since)| now.since(**since) >= grace_ms);
        let due: Vec<ModelTarget> = due.map(|(target, _)| target.clone()).collect();
        for target in due {
            if self.is_model_busy(&target.model) {
                continue;
            }
            let holders = engines.iter().filter(|engine| engine.has(&target));
            let holders: Vec<&EngineSeen> = holders.collect();
            if holders.is_empty() {
                self.unnamed_since.swap_remove(&target);
                continue;
            }
            let mut holders = holders.into_iter();
            if let Some(engine) = holders.find(|engine| self.is_free(engine, &target)) {
                let order = EngineOrder::Unload(target);
                self.give(now, &engine.agent, order, planned);
            }
        }
    }

    fn is_model_busy(&self, id: &ModelId) -> bool {
        let mut orders = self.under_way.values();
        orders.any(|under_way| model(&under_way.order) == id)
    }

    fn give(
        &mut self,
        now: ClockMs,
        agent: &NodeId,
        order: EngineOrder,
        planned: &mut Vec<PlannedOrder>,
    ) {
        debug_assert!(!self.is_model_busy(&target(&order).model));
        let under_way = UnderWay {
            is_answered: false,
            order: order.clone(),
            since: now,
        };
        self.under_way.insert(agent.clone(), under_way);
        planned.push(PlannedOrder {
            agent: agent.clone(),
            order,
        });
    }
}
