//! One overload, from its first request to the last answer.

use indexmap::IndexMap;
use masticsill_dispatch::{
    Decision, Overload, PlacementRequest, Requirements, WaitOutcome, Work, choose,
};
use masticsill_registry::{EndpointId, EndpointLoad, EngineReservationRequest, WatcherTable};
use masticsill_rollout::{ANY_VERSION, RequestVersions, VersionFilter};
use masticsill_types::{ClockMs, Priority, ZoneId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::entry::{Entry, SERVICE, ZONES, endpoint_id};

use super::callers::{Ask, draw_asks};
use super::engine::{Engine, EngineEvent, Job};
use super::plan::{OverloadPlan, Policy};
use super::tally::{CallerRecord, Tally};

/// Step of the clock.
const STEP_MS: u64 = 5;
/// Tokens of an answer.
const OUTPUT_TOKENS: u64 = 650;
/// Attempts of one caller.
const ATTEMPTS: u32 = 2;
/// When a caller comes back that was told no time.
const BLIND_RETRY_MS: u64 = 250;
/// Silence before the first event after which the naive policy asks another engine.
const NAIVE_PATIENCE_MS: u64 = 5_700;

/// A request on its way.
#[derive(Clone, Debug)]
struct Live {
    attempts: u32,
    deadline_at: ClockMs,
    entry: usize,
    prompt_tokens: u64,
    /// Where it is, and since when.
    sent: Option<(usize, ClockMs, bool)>,
    has_first: bool,
    workspace: String,
}

/// An attempt that is to come.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: ClockMs,
    request: usize,
}

struct World {
    arrivals: Vec<Arrival>,
    /// What the replica of each zone knows, in the order of the zones.
    books: Vec<WatcherTable>,
    engine_ids: Vec<EndpointId>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    live: IndexMap<usize, Live>,
    now: ClockMs,
    plan: OverloadPlan,
    random: ChaCha8Rng,
    records: Vec<CallerRecord>,
    /// Loads that entries told, and when the others hear of them.
    words: Vec<(ClockMs, usize, Vec<EndpointLoad>)>,
    heard: Vec<Vec<EndpointLoad>>,
}

/// Plays an overload and tells what its callers got.
#[must_use]
pub fn play(plan: &OverloadPlan) -> Tally {
    let mut world = World::new(plan);
    let end = ClockMs(plan.length_ms + plan.deadline_ms);
    while world.now < end && !(world.arrivals.is_empty() && world.live.is_empty()) {
        world.step();
    }
    Tally::of(&world.records, plan)
}

/// Plays an overload with each of the seeds from zero on.
#[must_use]
pub fn play_seeds(plan: &OverloadPlan, seeds: u64) -> Vec<Tally> {
    let plays = (0..seeds).map(|seed| play(&OverloadPlan { seed, ..*plan }));
    plays.collect()
}

/// The place of an engine's zone among the zones.
fn zone_place(id: &EndpointId, engines: &[EndpointId]) -> Option<usize> {
    let engine = engines.binary_search(id).ok()?;
    Some(engine % ZONES.len())
}

impl World {
    fn new(plan: &OverloadPlan) -> Self {
        let random = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut world = Self {
            arrivals: Vec::new(),
            books: vec![WatcherTable::default(); ZONES.len()],
            engine_ids: (0..plan.engines).map(endpoint_id).collect(),
            engines: vec![Engine::default(); plan.engines],
            entries: Vec::new(),
            live: IndexMap::new(),
            now: ClockMs(0),
            plan: *plan,
            random,
            records: Vec::new(),
            words: Vec::new(),
            heard: vec![Vec::new(); plan.entries],
        };
        for entry in 0..plan.entries {
            world
                .entries
                .push(Entry::new(entry, plan.entries, plan.engines));
        }
        for ask in draw_asks(plan, &mut world.random) {
            world.expect(ask);
        }
        world
    }

    /// Takes in a request that is to come.
    fn expect(&mut self, ask: Ask) {
        let request = self.records.len();
        let asked_at = ask.record.asked_at;
        let live = Live {
            attempts: 0,
            deadline_at: asked_at + self.plan.deadline_ms,
            entry: 0,
            prompt_tokens: ask.prompt_tokens,
            sent: None,
            has_first: false,
            workspace: ask.workspace,
        };
        self.live.insert(request, live);
        self.records.push(ask.record);
        let at = asked_at;
        self.arrivals.push(Arrival { at, request });
    }

    fn step(&mut self) {
        self.now = self.now + STEP_MS;
        self.hear_words();
        self.work_engines();
        self.take_arrivals();
        self.end_waits();
        self.drop_overdue();
    }

    fn hear_words(&mut self) {
        let now = self.now;
        let due = self.words.extract_if(.., |(at, _, _)| *at <= now);
        let due: Vec<(ClockMs, usize, Vec<EndpointLoad>)> = due.collect();
        let has_news = !due.is_empty();
        for (_, entry, loads) in due {
            let watcher = self.entries[entry].watcher();
            for (zone, book) in self.books.iter_mut().enumerate() {
                let loads: Vec<EndpointLoad> = loads
                    .iter()
                    .filter(|load| zone_place(&load.id, &self.engine_ids) == Some(zone))
                    .cloned()
                    .collect();
                book.record_poll(now, &watcher, 0, &loads);
            }
            self.heard[entry] = loads;
        }
        let listeners = 0..self.entries.len();
        let listeners: Vec<usize> = listeners
            .filter(|listener| self.hears_now(*listener, has_news))
            .collect();
        for listener in listeners {
            let loads = self.loads_of_others(listener);
            for zone in ZONES {
                let zone = ZoneId::new(zone).expect("the name holds letters only");
                self.entries[listener]
                    .table
                    .update_loads(now, &zone, &loads);
            }
        }
    }

    /// Whether an entry receives the other entries' loads in this step. If reports have a fixed
    /// interval, entries receive them at different steps of it.
    fn hears_now(&self, listener: usize, has_news: bool) -> bool {
        match self.plan.pause_ms {
            0 => has_news,
            pause_ms => (self.now.0 + listener as u64 * STEP_MS) % pause_ms < STEP_MS,
        }
    }

    fn loads_of_others(&self, listener: usize) -> Vec<EndpointLoad> {
        let mut sums: IndexMap<&EndpointId, EndpointLoad> = IndexMap::new();
        let others = self.heard.iter().enumerate();
        for load in others
            .filter(|(entry, _)| *entry != listener)
            .flat_map(|(_, loads)| loads)
        {
            let sum = sums.entry(&load.id);
            let sum = sum.or_insert_with(|| EndpointLoad::none(load.id.clone()));
            sum.in_flight += load.in_flight;
            sum.reading += load.reading;
            sum.held_tokens += load.held_tokens;
        }
        sums.into_values().collect()
    }

    fn tell(&mut self, entry: usize) {
        let table = &self.entries[entry].table;
        let zones = ZONES.map(|zone| ZoneId::new(zone).expect("the name holds letters only"));
        let loads = zones.iter().flat_map(|zone| table.loads_in(self.now, zone));
        let loads = loads.collect();
        self.words
            .push((self.now + self.plan.word_ms, entry, loads));
    }

    #[allow(clippy::cast_precision_loss)]
    fn work_engines(&mut self) {
        for engine in 0..self.engines.len() {
            let events = self.engines[engine].work(&self.plan.engine, STEP_MS as f64);
            for event in events {
                match event {
                    EngineEvent::FirstToken(request) => self.note_first(request, engine),
                    EngineEvent::Done(request) => self.note_done(request, engine),
                }
            }
        }
    }

    fn note_first(&mut self, request: usize, engine: usize) {
        let now = self.now;
        self.records[request].first_at.get_or_insert(now);
        let Some(live) = self.live.get_mut(&request) else {
            return;
        };
        live.has_first = true;
        let (entry, tokens) = (live.entry, live.prompt_tokens);
        let began = live.sent.map(|(_, began, is_alone)| (began, is_alone));
        if let Some(endpoint) = self.entries[entry].table.get_mut(&endpoint_id(engine)) {
            endpoint.end_reading(now);
            if let Some((began, true)) = began {
                endpoint.reading_pace.note(tokens, now.since(began));
            }
        }
        self.tell(entry);
    }

    fn note_done(&mut self, request: usize, engine: usize) {
        self.records[request].is_done = true;
        if let Some(live) = self.live.swap_remove(&request) {
            self.leave(&live, engine);
        }
    }

    /// Frees a request's place at an engine.
    fn leave(&mut self, live: &Live, engine: usize) {
        let now = self.now;
        let tokens = live.prompt_tokens + OUTPUT_TOKENS;
        if let Some(endpoint) = self.entries[live.entry].table.get_mut(&endpoint_id(engine)) {
            if !live.has_first {
                endpoint.end_reading(now);
            }
            endpoint.in_flight -= 1;
            endpoint.held_tokens -= tokens;
            endpoint.record_release(now);
        }
        self.tell(live.entry);
    }

    fn take_arrivals(&mut self) {
        let now = self.now;
        let due = self.arrivals.extract_if(.., |arrival| arrival.at <= now);
        let due: Vec<Arrival> = due.collect();
        for arrival in due {
            let entry = self.random.random_range(0..self.entries.len());
            let Some(live) = self.live.get_mut(&arrival.request) else {
                continue;
            };
            live.entry = entry;
            live.attempts += 1;
            match self.plan.policy {
                Policy::Dispatcher => self.ask(arrival.request),
                Policy::LeastLoaded => self.send_least_loaded(arrival.request),
            }
        }
    }

    /// Asks the own zone's replica for a place, and then another one's. The question takes less than a
    /// step of the clock.
    fn take_place(&mut self, entry: usize) -> Option<EndpointId> {
        let now = self.now;
        let near = entry % ZONES.len();
        let far = (near + self.random.random_range(1..ZONES.len())) % ZONES.len();
        let request = EngineReservationRequest {
            avoided: Vec::new(),
            service: SERVICE.to_owned(),
            versions: VersionFilter::default(),
            watcher: self.entries[entry].watcher(),
        };
        for zone in [near, far] {
            let engines = self.engine_ids.iter().skip(zone).step_by(ZONES.len());
            let engines: Vec<&EndpointId> = engines.collect();
            let place = self.books[zone].reserve_engine(now, &request, &engines);
            if let Some(load) = place {
                self.entries[entry].table.update_load(now, &load);
                return Some(load.id);
            }
        }
        None
    }

    fn need_of(&self, live: &Live, place: Option<EndpointId>) -> Requirements {
        Requirements {
            excluded: Vec::new(),
            cached: Vec::new(),
            reserved_endpoint: place,
            service: SERVICE.to_owned(),
            versions: RequestVersions::default(),
            work: Work::Stream {
                kv_cache_tokens: Some(self.plan.engine.memory_tokens),
                prompt_tokens: live.prompt_tokens,
                tokens: live.prompt_tokens + OUTPUT_TOKENS,
            },
        }
    }

    fn ask(&mut self, request: usize) {
        let now = self.now;
        let live = self.live[&request].clone();
        let workspace = Some(live.workspace.clone());
        let entry = &mut self.entries[live.entry];
        let kind = &self.plan.kinds[self.records[request].kind];
        let priority = Priority::new(self.plan.workspace_priority, kind.priority);
        let terms = entry.terms(now, kind.aim_ms, live.deadline_at, priority, workspace);
        let place = self.take_place(live.entry);
        let need = self.need_of(&live, place);
        let entry = &mut self.entries[live.entry];
        let decision = entry.ask(now, &need, &terms, &mut self.random);
        match decision {
            Decision::NoEndpoint => {}
            Decision::Refuse(overload) => self.refuse(request, now, overload.retry_after_ms),
            Decision::Send(choice) => self.send(request, &choice.id),
            Decision::Wait(ticket) => {
                self.entries[live.entry].waiting.insert(ticket, request);
            }
        }
    }

    fn end_waits(&mut self) {
        let now = self.now;
        for index in 0..self.entries.len() {
            while let Some(ended) = self.entries[index].next_end(now, &mut self.random) {
                self.end_wait(index, &ended);
            }
        }
    }

    fn end_wait(&mut self, entry: usize, ended: &WaitOutcome) {
        let ticket = ended.ticket();
        let Some(request) = self.entries[entry].waiting.swap_remove(&ticket) else {
            return;
        };
        match ended {
            WaitOutcome::Refuse(_, Overload { retry_after_ms, .. }) => {
                let asked_at = self.records[request].asked_at;
                let came_at = if self.live[&request].attempts == 1 {
                    asked_at
                } else {
                    self.now
                };
                self.refuse(request, came_at, *retry_after_ms);
            }
            WaitOutcome::NoEndpoint(_) => unreachable!("no request requires a version"),
            WaitOutcome::Send(_, choice) => self.send(request, &choice.id),
            WaitOutcome::Stopping(_) => unreachable!("no entry stops"),
        }
    }

    fn refuse(&mut self, request: usize, came_at: ClockMs, retry_after_ms: u64) {
        let record = &mut self.records[request];
        record.refusals += 1;
        let refusal_ms = self.now.since(came_at);
        record.refusal_ms = Some(record.refusal_ms.unwrap_or_default().max(refusal_ms));
        let live = &self.live[&request];
        if live.attempts >= ATTEMPTS {
            self.live.swap_remove(&request);
            return;
        }
        self.arrivals.push(Arrival {
            at: self.now + retry_after_ms,
            request,
        });
    }

    fn send_least_loaded(&mut self, request: usize) {
        let now = self.now;
        let entry = &self.entries[self.live[&request].entry];
        let random = &mut self.random;
        let wanted = PlacementRequest {
            closed: &[],
            excluded: &[],
            cached: &[],
            not_in_zone: None,
            reserved_endpoint: None,
            service: SERVICE,
            share: entry.share,
            versions: &ANY_VERSION,
            zone: &entry.zone,
        };
        let choice = choose(&entry.table, now, &wanted, |_| true, || random.random());
        if let Some(choice) = choice {
            self.send(request, &choice.id);
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn send(&mut self, request: usize, id: &EndpointId) {
        let now = self.now;
        let engine = self.engine_ids.iter().position(|engine| engine == id);
        let engine = engine.expect("only engines are chosen");
        let live = &mut self.live[&request];
        let tokens = live.prompt_tokens + OUTPUT_TOKENS;
        let job = Job {
            output_tokens: OUTPUT_TOKENS as f64,
            request,
            tokens,
            unread_tokens: live.prompt_tokens as f64,
        };
        self.records[request].meetings += u32::from(self.engines[engine].is_reading());
        if !self.engines[engine].offer(&self.plan.engine, job) {
            self.refuse(request, now, BLIND_RETRY_MS);
            return;
        }
        let entry = live.entry;
        live.has_first = false;
        let mut is_alone = true;
        if let Some(endpoint) = self.entries[entry].table.get_mut(id) {
            is_alone = endpoint.reading_total(now) == 0;
            endpoint.begin_reading();
            endpoint.in_flight += 1;
            endpoint.held_tokens += tokens;
        }
        live.sent = Some((engine, now, is_alone));
        self.tell(entry);
    }

    /// Callers leave when their time is over; the naive policy turns elsewhere before.
    fn drop_overdue(&mut self) {
        let now = self.now;
        let is_naive = self.plan.policy == Policy::LeastLoaded;
        let overdue = self.live.iter().filter_map(|(request, live)| {
            let is_over = now >= live.deadline_at;
            let is_silent = is_naive
                && !live.has_first
                && live
                    .sent
                    .is_some_and(|(_, since, _)| now.since(since) > NAIVE_PATIENCE_MS);
            (is_over || is_silent).then_some((*request, is_over))
        });
        let overdue: Vec<(usize, bool)> = overdue.collect();
        for (request, is_over) in overdue {
            let live = self.live[&request].clone();
            if let Some((engine, ..)) = live.sent {
                self.engines[engine].cancel(request);
                self.leave(&live, engine);
            }
            if is_over {
                let entry = &mut self.entries[live.entry];
                let ticket = entry.waiting.iter().find(|(_, waits)| **waits == request);
                if let Some(ticket) = ticket.map(|(ticket, _)| *ticket) {
                    entry.withdraw(ticket);
                }
                self.live.swap_remove(&request);
            } else {
                self.live[&request].sent = None;
                self.send_least_loaded(request);
            }
        }
    }
}
