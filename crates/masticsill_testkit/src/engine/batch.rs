//! Continuous batching: slots, the waiting line, orders, load and counters.

use std::collections::VecDeque;

use masticsill_types::{ClockMs, FencingNumber, ModelTarget};
use masticsill_wire::engine::{
    CacheEvents, CompletionBody, CompletionChunk, EngineLoad, EngineOrder, LoadedModels, OrderBody,
};
use ntex::util::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::EngineSettings;
use super::answer::{AnswerSpec, Sampler};
use super::cache::{Prefix, PrefixCache};

/// Wakes a stream without sending anything.
pub(crate) const NUDGE: Bytes = Bytes::new();
/// Events that may wait for a slow reader; beyond them its request pauses.
const STREAM_CAPACITY: usize = 256;
/// Steps between two wake-ups of a stream that has no token to send.
const NUDGE_STEPS: u64 = 8;
/// Step times that the reported token gap is taken over.
const GAP_SAMPLES: usize = 16;

/// Counters of a fake engine, as `GET /stats` answers them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStats {
    /// Requests ended by a cancel, a disconnect or an unload.
    pub cancelled: u64,
    /// Tokens decoded.
    pub decode_steps: u64,
    /// Requests whose answer is whole.
    pub finished: u64,
    /// The most requests in slots and waiting at once.
    pub most_open: u64,
    /// Orders carried out.
    pub orders_accepted: u64,
    /// Orders held back now.
    pub orders_held: u64,
    /// Orders refused for an old fencing number.
    pub orders_refused: u64,
    /// Tokens prefilled, without those found in the prefix cache.
    pub prefill_tokens: u64,
    /// Requests that found at least one block in the prefix cache.
    pub prefix_hits: u64,
    /// Requests in a slot now.
    pub running: u64,
    /// Requests taken in.
    pub started: u64,
    /// Requests refused because the model, version or adapter is not loaded.
    pub unknown_targets: u64,
    /// Requests waiting for a slot now.
    pub waiting: u64,
}

/// Why a request or an order was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EngineRefusal {
    OldFencingNumber,
    UnknownTarget,
}

#[derive(Debug)]
struct Job {
    prefix: Prefix,
    priority: u8,
    ready_at: ClockMs,
    request_id: String,
    sampler: Sampler,
    stream: mpsc::Sender<Bytes>,
    target: ModelTarget,
}

/// The state of one engine. Time comes in with each call.
#[derive(Debug)]
pub(crate) struct Batch {
    cache: PrefixCache,
    freeze_ms: u64,
    highest_fencing: FencingNumber,
    is_holding_orders: bool,
    last_step: Option<ClockMs>,
    loaded: Vec<ModelTarget>,
    loads: VecDeque<(ClockMs, EngineLoad)>,
    long_prefill_ms: u64,
    running: Vec<Job>,
    settings: EngineSettings,
    stats: EngineStats,
    step_count: u64,
    step_gaps_ms: VecDeque<u64>,
    waiting: VecDeque<Job>,
}

impl Batch {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let cache = PrefixCache::new(
            settings.cache_tokens,
            settings.cache_event_lag_ms,
            settings.cache_event_gap_every,
        );
        Self {
            cache,
            freeze_ms: 0,
            highest_fencing: FencingNumber::default(),
            is_holding_orders: false,
            last_step: None,
            loaded: settings.loaded.clone(),
            loads: VecDeque::new(),
            long_prefill_ms: 0,
            running: Vec::new(),
            settings,
            stats: EngineStats::default(),
            step_count: 0,
            step_gaps_ms: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Puts a request into the waiting line.
    pub(crate) fn submit(
        &mut self,
        body: &CompletionBody,
    ) -> Result<mpsc::Receiver<Bytes>, EngineRefusal> {
        let target = ModelTarget {
            adapter: body.adapter.clone(),
            model: body.model.clone(),
            version: body.version.clone(),
        };
        if !self.loaded.contains(&target) {
            self.stats.unknown_targets += 1;
            return Err(EngineRefusal::UnknownTarget);
        }
        let spec = AnswerSpec::from(body);
        let (stream, receiver) = mpsc::channel(STREAM_CAPACITY);
        let job = Job {
            prefix: Prefix::new(&spec, &body.resume_token_ids),
            priority: body.priority,
            ready_at: ClockMs(0),
            request_id: body.request_id.clone(),
            sampler: Sampler::new(&spec, &body.resume_token_ids),
            stream,
            target,
        };
        let place = self
            .waiting
            .partition_point(|other| other.priority <= job.priority);
        self.waiting.insert(place, job);
        self.stats.started += 1;
        let open = self.running.len() + self.waiting.len();
        self.stats.most_open = self.stats.most_open.max(open as u64);
        Ok(receiver)
    }

    /// Ends every request of that name.
    pub(crate) fn cancel(&mut self, request_id: &str) {
        self.retain_jobs(|job| job.request_id != request_id);
    }

    /// One step of the whole batch: each request that is ready gains a token.
    pub(crate) fn step(&mut self, now: ClockMs) {
        self.retain_jobs(|job| !job.stream.is_closed());
        self.nudge_idle_streams(now);
        self.fill_slots(now);
        let mut running = std::mem::take(&mut self.running);
        running.retain_mut(|job| self.decode(now, job));
        self.running = running;
        self.record_load(now);
    }

    /// Loads or unloads; an unload ends the requests that run on its target.
    pub(crate) fn order(&mut self, body: OrderBody) -> Result<(), EngineRefusal> {
        if self.settings.is_checking_fencing && body.fencing < self.highest_fencing {
            self.stats.orders_refused += 1;
            return Err(EngineRefusal::OldFencingNumber);
        }
        self.highest_fencing = self.highest_fencing.max(body.fencing);
        self.stats.orders_accepted += 1;
        match body.order {
            EngineOrder::Load(target) => {
                if !self.loaded.contains(&target) {
                    self.loaded.push(target);
                }
            }
            EngineOrder::Unload(target) => {
                self.loaded.retain(|loaded| *loaded != target);
                self.retain_jobs(|job| job.target != target);
            }
        }
        Ok(())
    }

    /// The newest report that is as old as the load lag.
    pub(crate) fn load(&self, now: ClockMs) -> EngineLoad {
        let lag_ms = self.settings.load_lag_ms;
        match self.loads.front() {
            Some((at, load)) if at.0 + lag_ms <= now.0 => EngineLoad {
                age_ms: now.0 - at.0,
                ..*load
            },
            // Nothing ran before the first step.
            _ => EngineLoad {
                age_ms: lag_ms,
                ..EngineLoad::default()
            },
        }
    }

    pub(crate) fn cache_events(&self, now: ClockMs, after: u64) -> CacheEvents {
        self.cache.events_after(now, after)
    }

    pub(crate) fn models(&self) -> LoadedModels {
        LoadedModels {
            loaded: self.loaded.clone(),
            slots: narrow(self.settings.slots),
        }
    }

    pub(crate) fn stats(&self) -> EngineStats {
        EngineStats {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            ..self.stats
        }
    }

    /// Freezes the whole engine at its next step.
    pub(crate) fn freeze(&mut self, freeze_ms: u64) {
        self.freeze_ms = freeze_ms;
    }

    /// Holds orders back, as an engine that loads for a long time, or lets them go on.
    pub(crate) fn hold_orders(&mut self, is_holding: bool) {
        self.is_holding_orders = is_holding;
    }

    pub(crate) fn is_holding_orders(&self) -> bool {
        self.is_holding_orders
    }

    pub(crate) fn note_held(&mut self, is_held: bool) {
        if is_held {
            self.stats.orders_held += 1;
        } else {
            self.stats.orders_held -= 1;
        }
    }

    /// Takes the pending freeze, in milliseconds.
    pub(crate) fn take_freeze(&mut self) -> u64 {
        std::mem::take(&mut self.freeze_ms)
    }

    /// Lengthens the prefill of the next request that gets a slot.
    pub(crate) fn lengthen_prefill(&mut self, long_prefill_ms: u64) {
        self.long_prefill_ms = long_prefill_ms;
    }

    fn retain_jobs(&mut self, is_kept: impl Fn(&Job) -> bool) {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(&is_kept);
        self.waiting.retain(&is_kept);
        let after = self.running.len() + self.waiting.len();
        self.stats.cancelled += (before - after) as u64;
    }

    fn fill_slots(&mut self, now: ClockMs) {
        while self.running.len() < self.settings.slots {
            let Some(mut job) = self.waiting.pop_front() else {
                return;
            };
            job.ready_at = ClockMs(now.0 + self.prefill(now, &job.prefix));
            self.running.push(job);
        }
    }

    /// Wakes streams that are idle, because `ntex` sees a caller's disconnect only when it polls the
    /// body.
    fn nudge_idle_streams(&mut self, now: ClockMs) {
        self.step_count += 1;
        if !self.step_count.is_multiple_of(NUDGE_STEPS) {
            return;
        }
        let prefilling = self.running.iter().filter(|job| now < job.ready_at);
        for job in self.waiting.iter().chain(prefilling) {
            let _ = job.stream.try_send(NUDGE);
        }
    }

    /// Counts a prefill and tells how long it takes, in milliseconds.
    fn prefill(&mut self, now: ClockMs, prefix: &Prefix) -> u64 {
        let cached_tokens = self.cache.take_in(now, prefix);
        let prefilled_tokens = (prefix.token_count - cached_tokens) as u64;
        self.stats.prefix_hits += u64::from(cached_tokens > 0);
        self.stats.prefill_tokens += prefilled_tokens;
        let prefill_ms = prefilled_tokens * self.settings.prefill_us_per_token / 1_000;
        prefill_ms + std::mem::take(&mut self.long_prefill_ms)
    }

    /// Gives one request its next token; false once its answer is whole.
    fn decode(&mut self, now: ClockMs, job: &mut Job) -> bool {
        if now < job.ready_at {
            return true;
        }
        let Ok(permit) = job.stream.try_reserve() else {
            return true;
        };
        let index = job.sampler.index();
        let tokens: Vec<_> = job.sampler.sample().into_iter().collect();
        let finish_reason = job.sampler.finish_reason();
        self.stats.decode_steps += tokens.len() as u64;
        self.stats.finished += u64::from(finish_reason.is_some());
        permit.send(encode_event(&CompletionChunk {
            finish_reason: finish_reason.map(str::to_owned),
            index,
            tokens,
        }));
        finish_reason.is_none()
    }

    fn record_load(&mut self, now: ClockMs) {
        if let Some(last) = self.last_step.replace(now) {
            self.step_gaps_ms.push_back(now.0.saturating_sub(last.0));
        }
        if self.step_gaps_ms.len() > GAP_SAMPLES {
            self.step_gaps_ms.pop_front();
        }
        let load = EngineLoad {
            age_ms: 0,
            running: narrow(self.running.len()),
            token_gap_ms: self.median_gap_ms(),
            waiting: narrow(self.waiting.len()),
        };
        self.loads.push_back((now, load));
        let is_due = |at: ClockMs| at.0 + self.settings.load_lag_ms <= now.0;
        while self.loads.get(1).is_some_and(|(at, _)| is_due(*at)) {
            self.loads.pop_front();
        }
    }

    fn median_gap_ms(&self) -> u32 {
        let mut gaps_ms: Vec<u64> = self.step_gaps_ms.iter().copied().collect();
        gaps_ms.sort_unstable();
        let median_ms = gaps_ms.get(gaps_ms.len() / 2).copied().unwrap_or_default();
        u32::try_from(median_ms).unwrap_or(u32::MAX)
    }
}

fn encode_event(chunk: &CompletionChunk) -> Bytes {
    let json = serde_json::to_string(chunk).expect("chunks have only string keys");
    let end = match chunk.finish_reason {
        Some(_) => "data: [DONE]\n\n",
        None => "",
    };
    Bytes::from(format!("data: {json}\n\n{end}"))
}

fn narrow(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
